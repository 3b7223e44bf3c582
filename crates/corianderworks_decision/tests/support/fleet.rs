//! Entries and limit homes with a lossy network between them, checking the bound of the limits.

use std::time::Duration;

use corianderworks_decision::ids::{CustomerKey, DaemonKey};
use corianderworks_decision::limits::*;

pub const CUSTOMER: CustomerKey = CustomerKey(5);
pub const HOMES: [Option<DaemonKey>; 2] = [Some(DaemonKey(100)), Some(DaemonKey(101))];
const DELAY: Duration = Duration::from_millis(2);
const CONFIRMED: Duration = Duration::from_secs(4);
pub const STEP: Duration = Duration::from_millis(1);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Level that falls at a rate and must never rise over a limit: this checks every window.
#[derive(Debug, Default)]
struct Level {
    level: f64,
    since: Duration,
}

impl Level {
    fn add(&mut self, now: Duration, rate: f64) -> f64 {
        let fallen = (now - self.since).as_secs_f64() * rate;
        self.level = (self.level - fallen).max(0.0) + 1.0;
        self.since = now;
        self.level
    }
}

#[derive(Debug)]
struct Home {
    machine: LimitHome,
    down_since: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct Link {
    pub no_ask: bool,
    pub no_answer: bool,
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
    level: Level,
    fallback_levels: Vec<Level>,
}

impl Fleet {
    pub fn new(members: usize, rate_per_s: u32) -> Self {
        let home = || Home {
            machine: LimitHome::new(Duration::ZERO),
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
            level: Level::default(),
            fallback_levels: (0..members).map(|_| Level::default()).collect(),
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
            let delay = if link.slow { ms(150) } else { DELAY };
            if !link.no_ask {
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

    pub fn pass(&mut self, time: Duration) {
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
                    Some(since) if self.now >= since + CONFIRMED => PeerState::Dead,
                    _ => PeerState::Alive,
                };
                let link = &self.links[entry][index];
                let home = &mut self.homes[index];
                if home.down_since.is_some() {
                    return;
                }
                let answer =
                    home.machine
                        .handle_request(self.now, ask.request, self.allowance, peer);
                let delay = if link.slow { ms(150) } else { DELAY };
                if !link.no_answer {
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
                home.machine = LimitHome::new(self.now);
            }
            _ => {}
        }
    }
}

fn home_index(ask: &PendingGrantRequest) -> usize {
    usize::from(Some(ask.home) == HOMES[1])
}
