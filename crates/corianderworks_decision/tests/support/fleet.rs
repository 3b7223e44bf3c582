//! Simulation of entries and limit homes with a lossy network between them, which checks that the
//! admitted requests stay within the bounds of the rate limit.

use std::time::Duration;

use corianderworks_decision::ids::{CustomerKey, DaemonKey};
use corianderworks_decision::limits::*;

pub const CUSTOMER: CustomerKey = CustomerKey(5);
pub const HOMES: [Option<DaemonKey>; 2] = [Some(DaemonKey(100)), Some(DaemonKey(101))];
const LINK_DELAY: Duration = Duration::from_millis(2);
/// Time after which the other home takes a home that is down for dead.
const DEATH_CONFIRMATION: Duration = Duration::from_secs(4);
pub const STEP: Duration = Duration::from_millis(1);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Leaky bucket that counts admitted requests and drains at the permitted rate. A level that
/// never exceeds a bound shows that the rate limit holds over every time window.
#[derive(Debug, Default)]
struct LeakyBucket {
    level: f64,
    since: Duration,
}

impl LeakyBucket {
    fn add(&mut self, now: Duration, rate: f64) -> f64 {
        let drained = (now - self.since).as_secs_f64() * rate;
        self.level = (self.level - drained).max(0.0) + 1.0;
        self.since = now;
        self.level
    }
}

#[derive(Debug)]
struct Home {
    limit_home: LimitHome,
    down_since: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct Link {
    pub drop_asks: bool,
    pub drop_answers: bool,
    pub slow: bool,
}

#[derive(Debug)]
enum Message {
    Ask(usize, PendingGrantRequest),
    Answer(usize, PendingGrantRequest, GrantResponse),
}

#[derive(Debug)]
pub struct Fleet {
    pub now: Duration,
    allowance: PlanLimits,
    entries: Vec<EntryLimiter>,
    homes: Vec<Home>,
    pub links: Vec<[Link; 2]>,
    messages: Vec<(Duration, Message)>,
    waiting: Vec<(usize, Duration)>,
    pub admitted: u32,
    pub fallback: u32,
    pub asks: u32,
    level: LeakyBucket,
    fallback_levels: Vec<LeakyBucket>,
}

impl Fleet {
    pub fn new(members: usize, rate_per_s: u32) -> Self {
        let home = || Home {
            limit_home: LimitHome::new(Duration::ZERO),
            down_since: None,
        };
        Self {
            now: Duration::ZERO,
            allowance: PlanLimits {
                rate_per_s,
                concurrency: u32::MAX,
            },
            entries: (0..members).map(|_| EntryLimiter::default()).collect(),
            homes: vec![home(), home()],
            links: (0..members).map(|_| Default::default()).collect(),
            messages: Vec::new(),
            waiting: Vec::new(),
            admitted: 0,
            fallback: 0,
            asks: 0,
            level: LeakyBucket::default(),
            fallback_levels: (0..members).map(|_| LeakyBucket::default()).collect(),
        }
    }

    pub fn request(&mut self, entry: usize, arrived: Option<Duration>) {
        let members = self.entries.len();
        let (admission, ask) = self.entries[entry].admit(
            self.now,
            CUSTOMER,
            self.allowance,
            HOMES,
            members,
            arrived.is_some(),
        );
        if let Some(ask) = ask {
            self.asks += 1;
            let link = &self.links[entry][home_index(&ask)];
            let delay = if link.slow { ms(150) } else { LINK_DELAY };
            if !link.drop_asks {
                let message = Message::Ask(entry, ask);
                self.messages.push((self.now + delay, message));
            }
        }
        match admission {
            Admission::Admitted(_, AdmissionSource::Fallback) => self.admit_fallback(entry),
            Admission::Admitted(..) => self.admit(),
            Admission::Wait => {
                let arrived = arrived.unwrap_or(self.now);
                self.waiting.push((entry, arrived));
            }
            _ => {}
        }
    }

    fn admit(&mut self) {
        self.admitted += 1;
        let rate = f64::from(self.allowance.rate_per_s);
        let burst = rate.max(2.0);
        let grant = (rate * GRANT_LIFETIME.as_secs_f64()).max(2.0);
        let bound = burst + grant + self.entries.len() as f64;
        let level = self.level.add(self.now, rate);
        assert!(
            level <= bound,
            "{level} over the bound {bound} at {:?}",
            self.now
        );
    }

    fn admit_fallback(&mut self, entry: usize) {
        self.fallback += 1;
        let share = f64::from(self.allowance.rate_per_s) / self.entries.len() as f64;
        let level = self.fallback_levels[entry].add(self.now, share.max(1.0));
        assert!(level <= 2.0 + 1e-6, "{level} over the fallback share");
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
            due.into_iter()
                .for_each(|(_, message)| self.deliver(message));
            for (entry, arrived) in std::mem::take(&mut self.waiting) {
                if now < arrived + GRANT_TIMEOUT {
                    self.request(entry, Some(arrived));
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Ask(entry, ask) => {
                let index = home_index(&ask);
                let peer = match self.homes[1 - index].down_since {
                    Some(since) if self.now >= since + DEATH_CONFIRMATION => PeerState::Dead,
                    _ => PeerState::Alive,
                };
                let link = &self.links[entry][index];
                let home = &mut self.homes[index];
                if home.down_since.is_some() {
                    return;
                }
                let answer =
                    home.limit_home
                        .handle_request(self.now, ask.request, self.allowance, peer);
                let delay = if link.slow { ms(150) } else { LINK_DELAY };
                if !link.drop_answers {
                    let message = Message::Answer(entry, ask, answer.unwrap());
                    self.messages.push((self.now + delay, message));
                }
            }
            Message::Answer(entry, ask, answer) => {
                self.entries[entry].handle_response(self.now, ask, answer);
            }
        }
    }

    pub fn set_down(&mut self, home: usize, down: bool) {
        let home = &mut self.homes[home];
        match (down, home.down_since) {
            (true, None) => home.down_since = Some(self.now),
            (false, Some(_)) => {
                home.down_since = None;
                home.limit_home = LimitHome::new(self.now);
            }
            _ => {}
        }
    }
}

fn home_index(ask: &PendingGrantRequest) -> usize {
    usize::from(Some(ask.home) == HOMES[1])
}
