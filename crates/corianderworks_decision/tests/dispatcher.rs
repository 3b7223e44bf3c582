//! Tests of the dispatcher through the interface that the daemon uses (sections 2.4 and 2.5).

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

/// Lets requests succeed until 50 ms, so that the home knows the usual latencies.
fn record_usual_latencies(home: &mut Dispatcher) {
    for t in 0..40 {
        if let Admission::Run(lease) = home.admit(ms(t), request(t, true, ms(9_000))) {
            home.finish(ms(t), lease, Outcome::Success { latency: LATENCY });
        }
    }
    home.tick(ms(50));
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

/// Two homes that both own every upstream and exchange messages, with one request every 10 ms at
/// each.
struct HomePair {
    now: Duration,
    homes: [Dispatcher; 2],
    ticket: u64,
    sent: BTreeMap<UpstreamKey, u32>,
    log: Vec<(usize, Action)>,
    deliver_messages: bool,
}

impl HomePair {
    fn new(permits: &[u32]) -> Self {
        let mut pair = Self {
            now: ms(0),
            homes: [home(1, 5, Some(2)), home(2, 5, Some(1))],
            ticket: 0,
            sent: BTreeMap::new(),
            log: Vec::new(),
            deliver_messages: true,
        };
        let permits: Vec<PermitNumber> = permits.iter().copied().map(PermitNumber).collect();
        pair.homes[0].set_permits(ms(0), &permits);
        pair.run(Duration::from_secs(8), |_, _| true);
        pair.sent.clear();
        pair
    }

    /// Simulates `span`; `succeeds` decides whether a request from a home to an upstream succeeds.
    fn run<F>(&mut self, span: Duration, succeeds: F)
    where
        F: Fn(usize, u64) -> bool,
    {
        let end = self.now + span;
        while self.now < end {
            self.now += LATENCY;
            for home_index in 0..2 {
                self.send_request(home_index, &succeeds);
            }
            if self.now.as_millis().is_multiple_of(50) {
                self.tick();
            }
        }
    }

    fn send_request<F>(&mut self, home_index: usize, succeeds: &F)
    where
        F: Fn(usize, u64) -> bool,
    {
        self.ticket += 1;
        let view = request(self.ticket, true, self.now + Duration::from_secs(1));
        let now = self.now;
        if let Admission::Run(lease) = self.homes[home_index].admit(now, view) {
            *self.sent.entry(lease.upstream).or_default() += 1;
            let latency = LATENCY;
            let outcome = match succeeds(home_index, lease.upstream.0) {
                true => Outcome::Success { latency },
                false => Outcome::Error {
                    status: 500,
                    latency,
                },
            };
            let actions = self.homes[home_index].finish(now, lease, outcome);
            self.apply_actions(home_index, actions);
        }
    }

    fn tick(&mut self) {
        for home_index in 0..2 {
            let actions = self.homes[home_index].tick(self.now);
            self.apply_actions(home_index, actions);
            if let Some(report) = self.homes[home_index]
                .evidence(self.now)
                .filter(|_| self.deliver_messages)
            {
                let from = DaemonKey(1 + home_index as u64);
                let actions = self.homes[1 - home_index].peer_evidence(self.now, from, report);
                self.apply_actions(1 - home_index, actions);
            }
        }
    }

    fn apply_actions(&mut self, home_index: usize, actions: Vec<Action>) {
        for action in actions {
            let other = &mut self.homes[1 - home_index];
            let responses = match &action {
                Action::Announce(a) if self.deliver_messages => {
                    other.announcement(self.now, a.clone())
                }
                Action::AskEject { upstream, .. } if self.deliver_messages => {
                    other.eject_request(self.now, DaemonKey(1 + home_index as u64), *upstream)
                }
                _ => Vec::new(),
            };
            self.log.push((home_index, action));
            self.apply_actions(1 - home_index, responses);
        }
    }

    fn standing(&self, home_index: usize, upstream: u64) -> Standing {
        let reports = self.homes[home_index].explain(self.now);
        let found = reports.iter().find(|r| r.upstream.0 == upstream);
        found.expect("the upstream is configured").standing
    }

    fn ejections(&self) -> usize {
        let ejected = |(_, a): &&(usize, Action)| matches!(a, Action::Ejected { .. });
        self.log.iter().filter(ejected).count()
    }
}

/// Guards against a failing server that stays in use at the owner without a permit, and against
/// an ejected server that is never reinstated after it recovers.
#[test]
fn both_owners_eject_and_reinstate_through_trials() {
    let mut pair = HomePair::new(&[0]);
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

/// Guards against an ejection time that does not grow when a server fails its trial requests.
#[test]
fn failed_trials_lengthen_the_penalty() {
    let mut pair = HomePair::new(&[0]);
    pair.run(Duration::from_secs(1), |_, upstream| upstream != 3);
    pair.sent.clear();
    pair.run(Duration::from_secs(60), |_, upstream| upstream != 3);
    let trials = pair.sent[&UpstreamKey(3)];
    assert!((2..=12).contains(&trials), "{trials} requests in 60 s");
    assert_eq!(pair.standing(0, 3), Standing::Ejected);
}

/// Guards against ejection below the floor: without a free permit a failing server is ranked last
/// instead of ejected, and retries stop.
#[test]
fn without_a_permit_upstreams_are_ranked_last() {
    for (permits, ejected) in [(&[][..], 0), (&[0][..], 1)] {
        let mut pair = HomePair::new(permits);
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

/// Guards against ejection for a fault that is not one server's: a failing path from one home, a
/// failure of all or most upstreams of the service, or a peer that sends no reports.
#[test]
fn shared_and_path_faults_do_not_eject() {
    type Succeeds = fn(usize, u64) -> bool;
    let cases: [(&str, Succeeds); 3] = [
        ("path from one home", |home_index, upstream| {
            home_index != 0 || upstream != 3
        }),
        ("all upstreams", |_, _| false),
        ("most upstreams", |_, upstream| upstream == 1),
    ];
    for (name, succeeds) in cases {
        let mut pair = HomePair::new(&[0, 1]);
        pair.run(ms(3000), succeeds);
        assert_eq!(pair.ejections(), 0, "{name}");
    }
    let mut pair = HomePair::new(&[0, 1]);
    pair.run(ms(3000), |home_index, upstream| {
        home_index != 0 || upstream != 3
    });
    assert_eq!(pair.standing(0, 3), Standing::PathFault);
    assert_eq!(pair.standing(1, 3), Standing::InUse);
    pair.run(ms(8000), |_, _| true);
    assert_eq!(pair.standing(0, 3), Standing::InUse, "the path recovered");
}

/// Guards against an ejection that stays in effect without announcements for the TTL, and against
/// one that reduces the service below its floor when another server leaves.
#[test]
fn ejections_end_with_their_permit() {
    let mut pair = HomePair::new(&[0]);
    pair.run(ms(1000), |_, upstream| upstream != 3);
    pair.deliver_messages = false;
    pair.run(ms(5100), |_, upstream| upstream != 3);
    assert_ne!(
        pair.standing(1, 3),
        Standing::Ejected,
        "no announcement for the TTL"
    );

    let mut pair = HomePair::new(&[0]);
    pair.run(ms(1000), |_, upstream| upstream != 3);
    let mut leaving_views = views(5, Some(2));
    leaving_views[0].state = UpstreamState::Leaving;
    let actions = pair.homes[0].set_upstreams(pair.now, &leaving_views);
    let upstream = UpstreamKey(3);
    assert!(
        actions.contains(&Action::Restored { upstream }),
        "{actions:?}"
    );
    let ends_ejection = |a: &Action| matches!(a, Action::Announce(a) if a.upstream.is_none());
    assert!(
        actions.iter().any(ends_ejection),
        "the other home must be notified"
    );
}

/// Guards against new requests to a draining server (P5): the drain signal on a response, the
/// leaving state and removal from the VM list must each suffice.
#[test]
fn leaving_upstreams_receive_no_requests() {
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

/// Guards against waiting for a time-out on an unresponsive connection, and against cancelling a
/// request that may run only once (P4).
#[test]
fn a_stuck_request_retires_its_connection() {
    for idempotent in [true, false] {
        let mut home = home(1, 1, None);
        record_usual_latencies(&mut home);
        home.admit(ms(50), request(100, idempotent, ms(9_000)));
        let actions: Vec<Action> = (51..400).flat_map(|t| home.tick(ms(t))).collect();
        let count_actions =
            |wanted: fn(&Action) -> bool| actions.iter().filter(|a| wanted(a)).count();
        assert_eq!(
            count_actions(|a| matches!(a, Action::RetireConnections { .. })),
            1
        );
        assert_eq!(count_actions(|a| matches!(a, Action::Probe { .. })), 1);
        let abandoned = count_actions(|a| matches!(a, Action::Abandon { .. }));
        assert_eq!(abandoned, usize::from(idempotent));
        assert_eq!(count_actions(|a| matches!(a, Action::Ejected { .. })), 0);
    }
}

/// Guards against abandoning a late request that can't be retried, although its server may still
/// answer within the deadline.
#[test]
fn a_late_request_is_abandoned_only_for_a_retry() {
    let mut home = home(1, 2, None);
    record_usual_latencies(&mut home);
    let failed = Outcome::Error {
        status: 500,
        latency: LATENCY,
    };
    let other = request(50, true, ms(9_000));
    while home.may_retry(ms(50), &other, failed) == Retry::Retry {}

    home.admit(ms(50), request(100, true, ms(30_000)));
    home.admit(ms(50), request(101, true, ms(1_000)));
    let mut abandoned_within = |from: u64, until: u64| -> Vec<Ticket> {
        (from..until)
            .flat_map(|t| home.tick(ms(t)))
            .filter_map(|action| match action {
                Action::Abandon { ticket, .. } => Some(ticket),
                _ => None,
            })
            .collect()
    };
    assert_eq!(abandoned_within(51, 9_000), []);
    // The budget is available again, but too late for the second request.
    assert_eq!(abandoned_within(9_000, 12_000), [Ticket(100)]);
}

/// Guards against abandoning more late requests at once than the budget has retries for.
#[test]
fn late_requests_share_the_retries_that_are_left() {
    let mut home = home(1, 8, None);
    record_usual_latencies(&mut home);
    let late: Vec<RequestView> = (100..116).map(|t| request(t, true, ms(5_000))).collect();
    for request in &late {
        assert!(matches!(
            home.admit(ms(50), request.clone()),
            Admission::Run(_)
        ));
    }
    let mut retried = 0;
    for t in 51..1_000 {
        for action in home.tick(ms(t)) {
            if let Action::Abandon { ticket, lease } = action {
                let stalled = Outcome::Stalled {
                    latency: ms(t - 50),
                };
                home.finish(ms(t), lease, stalled);
                let request = &late[(ticket.0 - 100) as usize];
                assert_eq!(home.may_retry(ms(t), request, stalled), Retry::Retry);
                retried += 1;
            }
        }
    }
    assert!(
        (1..late.len()).contains(&retried),
        "{retried} requests retried"
    );
}

/// Guards against the ejection of the server that is slowest to recover from a slowdown of the whole
/// service, when its siblings have just become fast again.
#[test]
fn end_of_a_shared_slowdown_ejects_no_server() {
    for (sibling_latency, asks_for_ejection) in [(ms(30), false), (LATENCY, true)] {
        let mut home = home(1, 8, None);
        let mut now = ms(0);
        let mut actions = Vec::new();
        // Eight requests every 100 ms; each is answered in the time that its server needs.
        let mut round = |home: &mut Dispatcher, latency_of: &dyn Fn(UpstreamKey) -> Duration| {
            now += ms(100);
            let leases: Vec<Lease> = (0..8)
                .filter_map(|t| match home.admit(now, request(t, true, ms(90_000))) {
                    Admission::Run(lease) => Some(lease),
                    _ => None,
                })
                .collect();
            for lease in leases {
                let latency = latency_of(lease.upstream);
                actions.extend(home.finish(now, lease, Outcome::Success { latency }));
            }
            actions.extend(home.tick(now));
        };
        for _ in 0..40 {
            round(&mut home, &|_| LATENCY);
        }
        let slowest = UpstreamKey(1);
        let shared = |_| sibling_latency;
        let slow_server = |others: Duration| {
            move |upstream| match upstream == slowest {
                true => ms(60),
                false => others,
            }
        };
        for _ in 0..10 {
            round(&mut home, &shared);
        }
        // Evidence on the slowest server reaches the threshold as the others become fast again.
        for _ in 0..6 {
            round(&mut home, &slow_server(sibling_latency));
        }
        round(&mut home, &slow_server(LATENCY));
        let asked = actions
            .iter()
            .any(|a| matches!(a, Action::AskEject { upstream, .. } if *upstream == slowest));
        assert_eq!(asked, asks_for_ejection, "siblings at {sibling_latency:?}");
    }
}

/// Guards against hedging a request that may run only once, without a free slot, or before the
/// service's p95 latency is known and has elapsed.
#[test]
fn hedges_need_an_idempotent_request_and_a_free_slot() {
    let mut home = home(1, 2, None);
    let idempotent = request(900, true, ms(9_000));
    assert_eq!(
        home.hedge_after(ms(0), &idempotent),
        None,
        "no latencies are known"
    );
    record_usual_latencies(&mut home);
    let delay = home.hedge_after(ms(50), &idempotent);
    assert!(delay.is_some_and(|delay| delay >= LATENCY), "{delay:?}");
    let non_idempotent = request(901, false, ms(9_000));
    assert_eq!(home.hedge_after(ms(50), &non_idempotent), None);
    assert_eq!(home.admit_hedge(ms(50), &non_idempotent), None);
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

/// Guards against a baseline that does not eject, which would distort the comparison: it ejects
/// after five consecutive failures and restores the upstream later.
#[test]
fn baseline_ejects_after_consecutive_failures() {
    let mut scheduler = Baseline::new(run(1), DispatchConfig::default());
    scheduler.set_upstreams(ms(0), &views(5, None));
    let mut sent = BTreeMap::new();
    for t in 0..200 {
        if let Admission::Run(lease) = scheduler.admit(ms(t), request(t, true, ms(9_000))) {
            *sent.entry(lease.upstream.0).or_insert(0) += 1;
            let latency = LATENCY;
            let outcome = match lease.upstream.0 {
                3 => Outcome::Truncated { latency },
                _ => Outcome::Success { latency },
            };
            scheduler.finish(ms(t), lease, outcome);
        }
    }
    assert_eq!(sent[&3], 5);
    let restored = scheduler.tick(Duration::from_secs(60));
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

    /// Guards against more requests in flight than slots, an unbounded queue, and requests that are
    /// started twice, started after their deadline, or lost.
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
        let refused: BTreeSet<Ticket> = home
            .tick(end)
            .into_iter()
            .filter_map(|action| match action {
                Action::Refuse { ticket, .. } => Some(ticket),
                _ => None,
            })
            .collect();
        prop_assert_eq!(refused, waiting.into_keys().collect::<BTreeSet<_>>());
    }
}
