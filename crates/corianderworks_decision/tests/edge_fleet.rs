//! Membership, relays, watchers and address answers of the edge daemons.

use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::fleet::{Fleet, Member, Standing};

fn member(vm: &str, domain: &str, started_unix_ms: u64) -> Member {
    let last = vm.bytes().map(u32::from).sum::<u32>() as u8;
    Member {
        vm: vm.into(),
        started_unix_ms,
        domain: domain.into(),
        peer: SocketAddr::from(([10, 0, 0, last], 7000)),
        callers: SocketAddr::from(([10, 0, 0, last], 80)),
    }
}

const MEMBERS: [(&str, &str); 8] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("d1", "d"),
    ("d2", "d"),
];

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A fleet as `own` sees it; all are ready and were heard at `at`.
fn seen_by(own: &str, at: Duration) -> Fleet {
    let members: Vec<_> = MEMBERS
        .iter()
        .map(|(vm, domain)| member(vm, domain, 1))
        .collect();
    let own = members
        .iter()
        .find(|m| &*m.vm == own)
        .expect("a member")
        .clone();
    let mut fleet = Fleet::new(own);
    for member in members {
        let key = member.key();
        fleet.learn(member, false, at);
        fleet.report(key, Standing::Ready, at);
    }
    fleet
}

fn names(members: &[Member]) -> Vec<&str> {
    members.iter().map(|m| &*m.vm).collect()
}

#[test]
fn all_daemons_agree_on_relays_and_each_domain_has_a_watcher() {
    let now = at_ms(100);
    let mut watchers = Vec::new();
    for (vm, _) in MEMBERS {
        let fleet = seen_by(vm, at_ms(0));
        let relays: Vec<_> = fleet
            .relays("a", now)
            .iter()
            .map(|m| m.vm.to_string())
            .collect();
        assert_eq!(relays, ["a1", "a2"]);
        if fleet.watches_store(now) {
            watchers.push(vm);
        }
    }
    assert_eq!(watchers, ["a1", "b1", "c1", "d1"]);
}

#[test]
fn relays_are_linked_with_one_relay_of_each_other_domain() {
    let fleet = seen_by("a2", at_ms(0));
    let mut targets = fleet.relay_targets(at_ms(100));
    targets.sort_by(|a, b| a.vm.cmp(&b.vm));
    // Domain c has one daemon, which takes part in both planes.
    assert_eq!(names(&targets), ["b2", "c1", "d2"]);
    assert!(seen_by("a3", at_ms(0)).relay_targets(at_ms(100)).is_empty());
}

#[test]
fn a_silent_daemon_leaves_address_answers_and_its_place_as_a_relay() {
    let mut fleet = seen_by("a3", at_ms(0));
    for vm in ["a2", "b1", "b2"] {
        let domain = &vm[..1];
        fleet.report(member(vm, domain, 1).key(), Standing::Ready, at_ms(1_000));
    }
    let now = at_ms(1_700);
    let relays: Vec<_> = fleet
        .relays("a", now)
        .iter()
        .map(|m| m.vm.to_string())
        .collect();
    assert_eq!(relays, ["a2", "a3"]);
    assert_eq!(fleet.addresses_for("a", true, now).len(), 2);
    assert!(!fleet.is_up(&member("a1", "a", 1), now));
}

#[test]
fn a_leaving_daemon_is_not_named_to_callers() {
    let mut fleet = seen_by("a1", at_ms(0));
    fleet.report(member("a2", "a", 1).key(), Standing::Leaving, at_ms(10));
    let answer = fleet.addresses_for("a", true, at_ms(20));
    assert_eq!(answer.len(), 2);
    assert!(!answer.contains(&member("a2", "a", 1).callers));
    // A domain with a single daemon is answered with all.
    assert_eq!(fleet.addresses_for("c", true, at_ms(20)).len(), 7);
}

#[test]
fn a_new_run_replaces_the_old_one_even_if_its_clock_is_behind() {
    let mut fleet = seen_by("a1", at_ms(0));
    let earlier = member("a2", "a", 0);
    assert!(!fleet.learn(earlier.clone(), false, at_ms(10)));
    assert!(fleet.learn(earlier.clone(), true, at_ms(10)));
    assert!(fleet.member(earlier.key()).is_some());
    assert!(fleet.member(member("a2", "a", 1).key()).is_none());
}

#[test]
fn few_domains_have_more_than_one_watcher() {
    let mut fleet = Fleet::new(member("a2", "a", 1));
    for (vm, domain) in [("a1", "a"), ("b1", "b"), ("b2", "b")] {
        fleet.learn(member(vm, domain, 1), false, at_ms(0));
    }
    assert!(fleet.watches_store(at_ms(1)));
}

#[test]
fn a_daemon_that_is_silent_for_long_is_forgotten_and_one_that_is_cut_off_is_not() {
    let mut fleet = seen_by("a1", at_ms(0));
    let heard = member("a2", "a", 1);
    fleet.report(heard.key(), Standing::Ready, at_ms(600_000));
    // A partition of ten minutes.
    assert_eq!(fleet.forget_removed(at_ms(600_000)), []);
    let removed = fleet.forget_removed(at_ms(901_000));
    assert_eq!(removed.len(), MEMBERS.len() - 2);
    assert_eq!(fleet.others().collect::<Vec<_>>(), [&heard]);
    // It is learned again when it comes back.
    let back = member("b1", "b", 1);
    assert!(fleet.learn(back.clone(), true, at_ms(902_000)));
    assert!(fleet.is_up(&back, at_ms(902_000)));
}
