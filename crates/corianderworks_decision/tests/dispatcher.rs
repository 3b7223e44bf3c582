//! Guards the dispatcher as the daemon drives it (sections 2.4 and 2.5).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderworks_decision::baseline::Baseline;
use corianderworks_decision::dispatcher::*;
use corianderworks_decision::ids::{
    CustomerKey, DaemonKey, DaemonRun, Incarnation, ServiceKey, UpstreamKey,
};
use proptest::prelude::*;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

const LATENCY: Duration = ms(10);

fn run(daemon: u64) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(daemon),
        incarnation: Incarnation(1),
    }
}

fn view(upstream: u64, state: UpstreamState, co_owner: Option<u64>) -> UpstreamView {
    UpstreamView {
        upstream: UpstreamKey(upstream),
        slots_share: Some(2),
        total_slots: 4,
        domain: "a".to_owned(),
        state,
        co_owner: co_owner.map(DaemonKey),
    }
}

fn views(count: u64, co_owner: Option<u64>) -> Vec<UpstreamView> {
    (1..=count)
        .map(|u| view(u, UpstreamState::Live, co_owner))
        .collect()
}

fn home(daemon: u64, count: u64, co_owner: Option<u64>) -> Dispatcher {
    let config = DispatchConfig::default();
    let mut home = Dispatcher::new(ServiceKey(1), run(daemon), config, daemon);
    home.set_upstreams(ms(0), &views(count, co_owner));
    home
}

fn request(ticket: u64, idempotent: bool, deadline: Duration) -> RequestView {
    RequestView {
        ticket: Ticket(ticket),
        customer: CustomerKey(ticket % 3),
        priority: 0,
        deadline,
        idempotent,
        tried: Vec::new(),
    }
}

/// Two homes that share every upstream, with their messages and one request every 10 ms at each.
struct Pair {
    now: Duration,
    homes: [Dispatcher; 2],
    ticket: u64,
    sent: BTreeMap<UpstreamKey, u32>,
    log: Vec<(usize, Action)>,
    delivers: bool,
}

impl Pair {
    fn new(permits: &[u32]) -> Self {
        let mut pair = Self {
            now: ms(0),
            homes: [home(1, 5, Some(2)), home(2, 5, Some(1))],
            ticket: 0,
            sent: BTreeMap::new(),
            log: Vec::new(),
            delivers: true,
        };
        let permits: Vec<PermitNumber> = permits.iter().copied().map(PermitNumber).collect();
        pair.homes[0].set_permits(ms(0), &permits);
        pair.run(Duration::from_secs(8), |_, _| true);
        pair.sent.clear();
        pair
    }

    /// Runs for a time; `works` says whether a request from a home to an upstream succeeds.
    fn run<F>(&mut self, span: Duration, works: F)
    where
        F: Fn(usize, u64) -> bool,
    {
        let end = self.now + span;
        while self.now < end {
            self.now += LATENCY;
            for node in 0..2 {
                self.send_one(node, &works);
            }
            if self.now.as_millis().is_multiple_of(50) {
                self.tick();
            }
        }
    }

    fn send_one<F>(&mut self, node: usize, works: &F)
    where
        F: Fn(usize, u64) -> bool,
    {
        self.ticket += 1;
        let view = request(self.ticket, true, self.now + Duration::from_secs(1));
        let now = self.now;
        if let Admission::Run(lease) = self.homes[node].admit(now, view) {
            *self.sent.entry(lease.upstream).or_default() += 1;
            let latency = LATENCY;
            let outcome = match works(node, lease.upstream.0) {
                true => Outcome::Success { latency },
                false => Outcome::Error {
                    status: 500,
                    latency,
                },
            };
            let actions = self.homes[node].finish(now, lease, outcome);
            self.act(node, actions);
        }
    }

    fn tick(&mut self) {
        for node in 0..2 {
            let actions = self.homes[node].tick(self.now);
            self.act(node, actions);
            if let Some(report) = self.homes[node]
                .evidence(self.now)
                .filter(|_| self.delivers)
            {
                let from = DaemonKey(1 + node as u64);
                let actions = self.homes[1 - node].peer_evidence(self.now, from, report);
                self.act(1 - node, actions);
            }
        }
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            let other = &mut self.homes[1 - node];
            let answer = match &action {
                Action::Announce(a) if self.delivers => other.announcement(self.now, a.clone()),
                Action::AskEject { upstream, .. } if self.delivers => {
                    other.eject_request(self.now, DaemonKey(1 + node as u64), *upstream)
                }
                _ => Vec::new(),
            };
            self.log.push((node, action));
            self.act(1 - node, answer);
        }
    }

    fn standing(&self, node: usize, upstream: u64) -> Standing {
        let reports = self.homes[node].explain(self.now);
        let found = reports.iter().find(|r| r.upstream.0 == upstream);
        found.expect("the upstream is configured").standing
    }

    fn ejections(&self) -> usize {
        let ejected = |(_, a): &&(usize, Action)| matches!(a, Action::Ejected { .. });
        self.log.iter().filter(ejected).count()
    }
}

/// Guards against a failing server that stays in use at the home without a permit, and against
/// one that never returns.
#[test]
fn both_owners_eject_and_reinstate_through_trials() {
    let mut pair = Pair::new(&[0]);
    pair.run(ms(1000), |_, upstream| upstream != 3);
    assert_eq!([0, 1].map(|n| pair.standing(n, 3)), [Standing::Ejected; 2]);
    pair.sent.clear();
    pair.run(ms(2000), |_, upstream| upstream != 3);
    assert_eq!(
        pair.sent.get(&UpstreamKey(3)),
        None,
        "an ejected upstream receives nothing"
    );
    pair.run(Duration::from_secs(10), |_, _| true);
    assert_eq!([0, 1].map(|n| pair.standing(n, 3)), [Standing::InUse; 2]);
}

/// Guards against a penalty that does not grow for a server that fails its trials.
#[test]
fn failed_trials_lengthen_the_penalty() {
    let mut pair = Pair::new(&[0]);
    pair.run(Duration::from_secs(1), |_, upstream| upstream != 3);
    pair.sent.clear();
    pair.run(Duration::from_secs(60), |_, upstream| upstream != 3);
    let trials = pair.sent[&UpstreamKey(3)];
    assert!((2..=12).contains(&trials), "{trials} requests in 60 s");
    assert_eq!(pair.standing(0, 3), Standing::Ejected);
}

/// Guards the floor: without a free permit a failing server is ranked last, not ejected, and
/// retries stop.
#[test]
fn without_a_permit_upstreams_are_ranked_last() {
    for (permits, ejected) in [(&[][..], 0), (&[0][..], 1)] {
        let mut pair = Pair::new(permits);
        pair.run(ms(2000), |_, upstream| upstream > 2);
        let standings = [1, 2].map(|u| pair.standing(0, u));
        let out = standings
            .iter()
            .filter(|s| **s == Standing::Ejected)
            .count();
        assert_eq!(out, ejected, "{standings:?}");
        assert!(standings.contains(&Standing::RankedLast), "{standings:?}");
        let retry = request(1, true, pair.now + Duration::from_secs(1));
        let outcome = Outcome::ConnectFailed;
        assert_eq!(
            pair.homes[0].may_retry(pair.now, &retry, outcome),
            Retry::GiveUp
        );
    }
}

/// Guards against ejection for a fault of the path, of the whole service, or of a peer's silence.
#[test]
fn faults_elsewhere_eject_nothing() {
    type Works = fn(usize, u64) -> bool;
    let cases: [(&str, Works); 3] = [
        ("path from one home", |node, upstream| {
            node != 0 || upstream != 3
        }),
        ("all upstreams", |_, _| false),
        ("most upstreams", |_, upstream| upstream == 1),
    ];
    for (name, works) in cases {
        let mut pair = Pair::new(&[0, 1]);
        pair.run(ms(3000), works);
        assert_eq!(pair.ejections(), 0, "{name}");
    }
    let mut pair = Pair::new(&[0, 1]);
    pair.run(ms(3000), |node, upstream| node != 0 || upstream != 3);
    assert_eq!(pair.standing(0, 3), Standing::PathFault);
    assert_eq!(pair.standing(1, 3), Standing::InUse);
    pair.run(ms(8000), |_, _| true);
    assert_eq!(pair.standing(0, 3), Standing::InUse, "the path recovered");
}

/// Guards against an ejection that outlives its announcements, and against one that shrinks the
/// service when servers leave.
#[test]
fn ejections_end_with_their_permit() {
    let mut pair = Pair::new(&[0]);
    pair.run(ms(1000), |_, upstream| upstream != 3);
    pair.delivers = false;
    pair.run(ms(5100), |_, upstream| upstream != 3);
    assert_ne!(
        pair.standing(1, 3),
        Standing::Ejected,
        "no announcement for the TTL"
    );

    let mut pair = Pair::new(&[0]);
    pair.run(ms(1000), |_, upstream| upstream != 3);
    let mut left = views(5, Some(2));
    left[0].state = UpstreamState::Leaving;
    let actions = pair.homes[0].set_upstreams(pair.now, &left);
    let upstream = UpstreamKey(3);
    assert!(
        actions.contains(&Action::Restored { upstream }),
        "{actions:?}"
    );
    let ends = |a: &Action| matches!(a, Action::Announce(a) if a.upstream.is_none());
    assert!(actions.iter().any(ends), "the other home must learn it");
}

/// Guards the drain (P5): each of the signals alone stops new requests.
#[test]
fn leaving_upstreams_receive_nothing() {
    let drained = Outcome::Drained { latency: LATENCY };
    for state in [
        UpstreamState::Live,
        UpstreamState::Leaving,
        UpstreamState::Gone,
    ] {
        let mut home = home(1, 2, None);
        if state == UpstreamState::Live {
            let Admission::Run(lease) = home.admit(ms(1), request(1, true, ms(900))) else {
                panic!("a slot is free");
            };
            home.finish(ms(2), lease, drained);
        } else {
            let other = view(2, UpstreamState::Live, None);
            home.set_upstreams(ms(1), &[view(1, state, None), other]);
        }
        let started: BTreeSet<u64> = (10..20)
            .filter_map(|t| match home.admit(ms(3), request(t, true, ms(900))) {
                Admission::Run(lease) => Some(lease.upstream.0),
                _ => None,
            })
            .collect();
        assert_eq!(started.len(), 1, "{state:?}: {started:?}");
    }
}

/// Guards against waiting for a time-out on a silent connection, and against cancelling a request
/// that may run only once (P4).
#[test]
fn a_stuck_request_retires_its_connection() {
    for idempotent in [true, false] {
        let mut home = home(1, 1, None);
        for t in 0..40 {
            if let Admission::Run(lease) = home.admit(ms(t), request(t, true, ms(9_000))) {
                home.finish(ms(t), lease, Outcome::Success { latency: LATENCY });
            }
        }
        home.tick(ms(50));
        home.admit(ms(50), request(100, idempotent, ms(9_000)));
        let actions: Vec<Action> = (51..400).flat_map(|t| home.tick(ms(t))).collect();
        let has = |wanted: fn(&Action) -> bool| actions.iter().filter(|a| wanted(a)).count();
        assert_eq!(has(|a| matches!(a, Action::RetireConnections { .. })), 1);
        assert_eq!(has(|a| matches!(a, Action::Probe { .. })), 1);
        let abandoned = has(|a| matches!(a, Action::Abandon { .. }));
        assert_eq!(abandoned, usize::from(idempotent));
        assert_eq!(has(|a| matches!(a, Action::Ejected { .. })), 0);
    }
}

/// Guards against hedges of requests that may run only once, without a free slot, or before the
/// service's p95.
#[test]
fn hedges_need_an_idempotent_request_and_a_free_slot() {
    let mut home = home(1, 2, None);
    let idempotent = request(900, true, ms(9_000));
    assert_eq!(
        home.hedge_after(ms(0), &idempotent),
        None,
        "no latencies are known"
    );
    for t in 0..40 {
        if let Admission::Run(lease) = home.admit(ms(t), request(t, true, ms(9_000))) {
            home.finish(ms(t), lease, Outcome::Success { latency: LATENCY });
        }
    }
    home.tick(ms(50));
    let after = home.hedge_after(ms(50), &idempotent);
    assert!(after.is_some_and(|after| after >= LATENCY), "{after:?}");
    let once = request(901, false, ms(9_000));
    assert_eq!(home.hedge_after(ms(50), &once), None);
    assert_eq!(home.admit_hedge(ms(50), &once), None);
    assert!(home.admit_hedge(ms(50), &idempotent).is_some());
    let free = home.load(ms(50)).free_slots;
    for t in 0..u64::from(free) {
        assert!(matches!(
            home.admit(ms(50), request(1000 + t, true, ms(9_000))),
            Admission::Run(_)
        ));
    }
    assert_eq!(
        home.admit_hedge(ms(50), &idempotent),
        None,
        "no slot is free"
    );
}

/// Guards the comparison: the baseline ejects after consecutive failures and returns later.
#[test]
fn the_baseline_ejects_after_consecutive_failures() {
    let mut alone = Baseline::new(run(1), DispatchConfig::default());
    alone.set_upstreams(ms(0), &views(5, None));
    let mut sent = BTreeMap::new();
    for t in 0..200 {
        if let Admission::Run(lease) = alone.admit(ms(t), request(t, true, ms(9_000))) {
            *sent.entry(lease.upstream.0).or_insert(0) += 1;
            let latency = LATENCY;
            let outcome = match lease.upstream.0 {
                3 => Outcome::Truncated { latency },
                _ => Outcome::Success { latency },
            };
            alone.finish(ms(t), lease, outcome);
        }
    }
    assert_eq!(sent[&3], 5);
    let restored = alone.tick(Duration::from_secs(60));
    assert_eq!(
        restored,
        [Action::Restored {
            upstream: UpstreamKey(3)
        }]
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5EED),
        ..ProptestConfig::default()
    })]

    /// Guards against slot overruns, an unbounded queue, and requests that are started twice,
    /// started late, or lost.
    #[test]
    fn every_request_is_started_or_refused_once(
        steps in prop::collection::vec((0..8_u8, 0..5_u8, any::<u16>()), 1..300),
    ) {
        let mut home = home(1, 3, None);
        let mut now = ms(0);
        let mut waiting: BTreeMap<Ticket, Duration> = BTreeMap::new();
        let mut leases: Vec<Lease> = Vec::new();
        for (ticket, (step, kind, any)) in steps.into_iter().enumerate() {
            now += ms(u64::from(any % 40));
            let mut actions = Vec::new();
            match step {
                0..=3 => {
                    let deadline = now + ms(20 + u64::from(any % 300));
                    let mut request = request(ticket as u64, any % 2 == 0, deadline);
                    request.priority = kind;
                    match home.admit(now, request) {
                        Admission::Run(lease) => leases.push(lease),
                        Admission::Wait => {
                            waiting.insert(Ticket(ticket as u64), deadline);
                        }
                        Admission::Refuse(_) => {}
                    }
                }
                4 | 5 if !leases.is_empty() => {
                    let lease = leases.remove(usize::from(any) % leases.len());
                    let latency = ms(10);
                    let outcome = match kind {
                        0 => Outcome::Error { status: 500, latency },
                        1 => Outcome::NotRun { latency },
                        _ => Outcome::Success { latency },
                    };
                    actions = home.finish(now, lease, outcome);
                }
                6 => {
                    if let Some((ticket, _)) = waiting.pop_first() {
                        home.cancel(now, ticket);
                    }
                }
                _ => actions = home.tick(now),
            }
            for action in actions {
                match action {
                    Action::Start { ticket, lease } => {
                        let deadline = waiting.remove(&ticket);
                        prop_assert!(deadline.is_some_and(|at| now < at), "started late or twice");
                        leases.push(lease);
                    }
                    Action::Refuse { ticket, .. } => prop_assert!(waiting.remove(&ticket).is_some()),
                    _ => {}
                }
            }
            for upstream in 1..=3 {
                let used = leases.iter().filter(|l| l.upstream.0 == upstream).count();
                prop_assert!(used <= 2, "{used} requests at upstream {upstream}");
            }
            prop_assert!(home.load(now).queued <= 12);
        }
        let end = now + Duration::from_secs(60);
        let rest: BTreeSet<Ticket> = home
            .tick(end)
            .into_iter()
            .filter_map(|action| match action {
                Action::Refuse { ticket, .. } => Some(ticket),
                _ => None,
            })
            .collect();
        prop_assert_eq!(rest, waiting.into_keys().collect::<BTreeSet<_>>());
    }
}
