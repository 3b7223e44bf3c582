//! Record of suspected servers: when each came under suspicion, on what evidence, and how it ended.

use std::time::Duration;

use corianderworks_decision::edge::load_balancer::{Evidence, LoadBalancer, RelativeLatency};
use corianderworks_decision::edge::servers::{Change, ServerEntry, ServerKey, Servers};
use corianderworks_decision::edge::suspicions::{BeliefChange, Cause, Observer, Suspicions};

const SUCCESS: Evidence = Evidence::Success(RelativeLatency(100));

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Daemon {
    servers: Servers,
    load_balancer: LoadBalancer,
    suspicions: Suspicions,
    key: ServerKey,
}

impl Daemon {
    fn new() -> Self {
        let mut servers = Servers::new();
        let entry = ServerEntry {
            id: "s1".into(),
            revision: 1,
            started_unix_ms: 1,
            service: "ledger".into(),
            address: "127.0.0.1:80".parse().unwrap(),
            domain: "a".into(),
            slots: 4,
            draining: false,
            cold: Duration::ZERO,
        };
        let Change::Added(key) = servers.upsert(entry, Duration::ZERO) else {
            panic!("the server is new");
        };
        Self {
            servers,
            load_balancer: LoadBalancer::new(),
            suspicions: Suspicions::default(),
            key,
        }
    }

    fn observe(&mut self, evidence: Evidence, observer: Observer, ms: u64) -> Option<BeliefChange> {
        let server = self.servers.get(self.key).unwrap();
        self.load_balancer
            .observe((self.key, server), evidence, at_ms(ms));
        let cause = Cause { evidence, observer };
        self.suspicions
            .record(&self.load_balancer, self.key, cause, at_ms(ms))
    }
}

/// Guards against a change of belief that leaves no trace, and against a line for each failure.
#[test]
fn suspicion_is_reported_once_with_its_evidence_and_its_end() {
    let mut daemon = Daemon::new();
    assert_eq!(daemon.observe(SUCCESS, Observer::Own, 100), None);
    assert_eq!(daemon.observe(Evidence::Overdue, Observer::Own, 200), None);
    let change = daemon.observe(Evidence::Failure, Observer::Peer, 300);
    let Some(BeliefChange::Suspected {
        cause,
        failing_probability,
    }) = change
    else {
        panic!("{change:?}");
    };
    assert_eq!(cause.evidence, Evidence::Failure);
    assert_eq!(cause.observer, Observer::Peer);
    assert!(failing_probability >= 0.4, "{failing_probability}");
    assert_eq!(daemon.observe(Evidence::Failure, Observer::Own, 400), None);
    let mut ms = 500;
    let cleared = loop {
        if let Some(change) = daemon.observe(SUCCESS, Observer::Own, ms) {
            break change;
        }
        ms += 100;
        assert!(ms < 5_000, "successes end a suspicion");
    };
    let expected = BeliefChange::Cleared {
        cause: Some(Cause {
            evidence: SUCCESS,
            observer: Observer::Own,
        }),
        suspected_for: at_ms(ms - 300),
        negative_count: 2,
    };
    assert_eq!(cleared, expected);
}

/// Guards against a suspicion that looks as if it lasted although the load balancer has long
/// forgotten its evidence.
#[test]
fn suspicion_ends_when_its_evidence_is_too_old() {
    let mut daemon = Daemon::new();
    let change = daemon.observe(Evidence::Unreachable, Observer::Own, 1_000);
    assert!(matches!(change, Some(BeliefChange::Suspected { .. })));
    let mut ms = 1_100;
    let ended = loop {
        let changes = daemon
            .suspicions
            .clear_aged(&daemon.load_balancer, at_ms(ms));
        let is_suspected = daemon.load_balancer.is_suspected(daemon.key, at_ms(ms));
        assert_eq!(changes.is_empty(), is_suspected);
        if let Some(change) = changes.into_iter().next() {
            break change;
        }
        ms += 100;
        assert!(ms < 60_000, "evidence becomes too old");
    };
    let expected = BeliefChange::Cleared {
        cause: None,
        suspected_for: at_ms(ms - 1_000),
        negative_count: 1,
    };
    assert_eq!(ended, (daemon.key, expected));
}
