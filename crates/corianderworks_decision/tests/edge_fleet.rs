//! Membership, relays, store watchers and addresses for callers.

use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::fleet::{DaemonStatus, Fleet, Member};

fn member(vm: &str, domain: &str, started_unix_ms: u64) -> Member {
    let last = vm.bytes().map(u32::from).sum::<u32>() as u8;
    Member {
        vm: vm.into(),
        started_unix_ms,
        domain: domain.into(),
        peer: SocketAddr::from(([10, 0, 0, last], 7000)),
        callers: SocketAddr::from(([10, 0, 0, last], 80)),
        capacity_millicores: 100,
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

/// Returns the fleet from the view of `own`; all daemons are ready and reported at `at`.
fn fleet_of(own: &str, at: Duration) -> Fleet {
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
    fleet.set_own_status(DaemonStatus::Ready);
    for member in members {
        let key = member.key();
        fleet.learn(member, false, at);
        fleet.record_report(key, DaemonStatus::Ready, at);
    }
    fleet
}

fn names(members: &[Member]) -> Vec<&str> {
    members.iter().map(|m| &*m.vm).collect()
}

#[test]
fn all_daemons_agree_on_relays_and_three_of_them_watch_the_store() {
    let now = at_ms(100);
    let mut watchers = Vec::new();
    for (vm, _) in MEMBERS {
        let fleet = fleet_of(vm, at_ms(0));
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
    // First and second relays alternate; domain b has its watcher in the second one.
    assert_eq!(watchers, ["a1", "b2", "c1"]);
}

#[test]
fn relays_are_linked_with_one_relay_of_each_other_domain() {
    let fleet = fleet_of("a2", at_ms(0));
    let mut targets = fleet.relay_targets(at_ms(100));
    targets.sort_by(|a, b| a.vm.cmp(&b.vm));
    // The only daemon of domain c is a target of both relays of the other domains.
    assert_eq!(names(&targets), ["b2", "c1", "d2"]);
    assert!(
        fleet_of("a3", at_ms(0))
            .relay_targets(at_ms(100))
            .is_empty()
    );
}

#[test]
fn a_silent_daemon_is_dropped_from_addresses_and_relays() {
    let mut fleet = fleet_of("a3", at_ms(0));
    for vm in ["a2", "b1", "b2"] {
        let domain = &vm[..1];
        fleet.record_report(
            member(vm, domain, 1).key(),
            DaemonStatus::Ready,
            at_ms(1_000),
        );
    }
    let now = at_ms(1_700);
    let relays: Vec<_> = fleet
        .relays("a", now)
        .iter()
        .map(|m| m.vm.to_string())
        .collect();
    assert_eq!(relays, ["a2", "a3"]);
    assert_eq!(fleet.addresses_for("a", DaemonStatus::Ready, now).len(), 2);
    assert!(!fleet.is_up(&member("a1", "a", 1), now));
}

#[test]
fn a_leaving_daemon_is_not_returned_to_callers() {
    let mut fleet = fleet_of("a1", at_ms(0));
    fleet.record_report(member("a2", "a", 1).key(), DaemonStatus::Leaving, at_ms(10));
    let addresses = fleet.addresses_for("a", DaemonStatus::Ready, at_ms(20));
    assert_eq!(addresses.len(), 2);
    assert!(!addresses.contains(&member("a2", "a", 1).callers));
    // For a domain with a single daemon, the daemons of all domains are returned.
    assert_eq!(
        fleet
            .addresses_for("c", DaemonStatus::Ready, at_ms(20))
            .len(),
        7
    );
}

#[test]
fn a_new_run_replaces_the_old_one_even_if_its_clock_is_behind() {
    let mut fleet = fleet_of("a1", at_ms(0));
    let earlier = member("a2", "a", 0);
    assert!(!fleet.learn(earlier.clone(), false, at_ms(10)));
    assert!(fleet.learn(earlier.clone(), true, at_ms(10)));
    assert!(fleet.member(earlier.key()).is_some());
    assert!(fleet.member(member("a2", "a", 1).key()).is_none());
}

#[test]
fn with_few_domains_each_has_several_watchers() {
    let mut fleet = Fleet::new(member("a2", "a", 1));
    for (vm, domain) in [("a1", "a"), ("b1", "b"), ("b2", "b")] {
        fleet.learn(member(vm, domain, 1), false, at_ms(0));
    }
    assert!(fleet.watches_store(at_ms(1)));
}

#[test]
fn a_member_expires_after_long_silence_but_not_during_a_partition() {
    let mut fleet = fleet_of("a1", at_ms(0));
    let reporting = member("a2", "a", 1);
    fleet.record_report(reporting.key(), DaemonStatus::Ready, at_ms(600_000));
    // A partition of 10 minutes.
    assert_eq!(fleet.remove_expired(at_ms(600_000)), []);
    let removed = fleet.remove_expired(at_ms(901_000));
    assert_eq!(removed.len(), MEMBERS.len() - 2);
    assert_eq!(fleet.others().collect::<Vec<_>>(), [&reporting]);
    // A removed daemon is added again when it returns.
    let returned = member("b1", "b", 1);
    assert!(fleet.learn(returned.clone(), true, at_ms(902_000)));
    assert!(fleet.is_up(&returned, at_ms(902_000)));
}

/// Returns the fleet from the view of the last daemon of the first domain; the first daemon of each
/// domain has a larger VM and started last.
fn large_fleet(domains: u8, daemons_per_domain: u8) -> Fleet {
    let member = |domain: u8, index: u8| Member {
        vm: format!("vm-{domain}-{index}").into(),
        started_unix_ms: if index == 0 { 9 } else { u64::from(index) },
        domain: format!("domain-{domain}").into(),
        peer: SocketAddr::from(([10, 0, domain, index], 7000)),
        callers: SocketAddr::from(([10, 0, domain, index], 80)),
        capacity_millicores: if index == 0 { 500 } else { 100 },
    };
    let mut fleet = Fleet::new(member(0, daemons_per_domain - 1));
    fleet.set_own_status(DaemonStatus::Ready);
    for domain in 0..domains {
        for index in 0..daemons_per_domain {
            let member = member(domain, index);
            let key = member.key();
            fleet.learn(member, false, at_ms(0));
            fleet.record_report(key, DaemonStatus::Ready, at_ms(0));
        }
    }
    fleet
}

/// Each request makes two reports. If each went to all daemons of a domain, the cost of a request
/// would grow with the fleet.
#[test]
fn a_daemon_sends_reports_to_the_relays_only_whatever_the_size_of_the_fleet() {
    for (domains, daemons) in [(4, 10), (6, 49), (7, 62)] {
        let topology = large_fleet(domains, daemons).topology(at_ms(1));
        assert_eq!(topology.relays.len(), 2);
        assert_eq!(topology.candidates.len(), 3);
        assert_eq!(topology.relay_targets, []);
        assert_eq!(topology.domain_peers.len(), usize::from(daemons) - 1);
    }
}

#[test]
fn the_largest_ready_vms_are_relays() {
    let mut fleet = large_fleet(6, 49);
    let now = at_ms(1);
    let relays = |fleet: &Fleet| -> Vec<String> {
        let relays = fleet.relays("domain-0", now);
        relays.iter().map(|m| m.vm.to_string()).collect()
    };
    assert_eq!(relays(&fleet), ["vm-0-0", "vm-0-1"]);
    // A VM that has just started has no state to send to others.
    let first = fleet.others().find(|m| &*m.vm == "vm-0-0").expect("a VM");
    let key = first.key();
    fleet.record_report(key, DaemonStatus::NotReady, now);
    assert_eq!(relays(&fleet), ["vm-0-1", "vm-0-2"]);
    fleet.record_report(key, DaemonStatus::Ready, now);
    assert_eq!(relays(&fleet), ["vm-0-0", "vm-0-1"]);
}

#[test]
fn the_second_relay_takes_over_when_the_first_is_silent() {
    let fleet = fleet_of("a2", at_ms(0));
    let topology = fleet.topology(at_ms(1));
    assert_eq!(topology.relay_position, Some(1));
    assert_eq!(topology.first_relay, Some(member("a1", "a", 1).peer));
    let heard_at = at_ms(5_000);
    assert!(!topology.relays_report(false, heard_at, at_ms(5_600)));
    assert!(topology.relays_report(true, heard_at, at_ms(5_600)));
    assert!(topology.relays_report(false, heard_at, at_ms(5_700)));
    let other = fleet_of("a3", at_ms(0)).topology(at_ms(1));
    assert!(!other.relays_report(true, at_ms(0), at_ms(5_700)));
}

/// At the first start of a fleet, weak VMs take seconds until their first report. A daemon that
/// dropped them would take itself for a relay and read the store.
#[test]
fn members_without_a_report_count_as_up_for_longer_at_the_first_start() {
    let own = member("a3", "a", 1);
    for (mut fleet, is_relay) in [
        (Fleet::at_first_start(own.clone()), false),
        (Fleet::new(own.clone()), true),
    ] {
        for vm in ["a1", "a2", "a4"] {
            fleet.learn(member(vm, "a", 1), false, at_ms(0));
        }
        assert_eq!(fleet.relay_position(at_ms(3_000)).is_some(), is_relay);
        assert!(fleet.relay_position(at_ms(4_100)).is_some());
    }
}

#[test]
fn relays_connect_to_members_that_do_not_know_them() {
    let relay = fleet_of("a1", at_ms(0));
    let mut targets = relay.link_targets(at_ms(100));
    targets.sort_by(|a, b| a.vm.cmp(&b.vm));
    assert_eq!(names(&targets), ["a2", "a3", "b1", "c1", "d1"]);
}

/// An outage of the store ends the permission of all daemons. They still serve public routes, so
/// callers must get addresses.
#[test]
fn daemons_without_key_permission_are_named_only_if_no_daemon_is_ready() {
    let at = at_ms(10);
    let mut fleet = fleet_of("a1", at);
    let without = DaemonStatus::WithoutKeyPermission;
    for (vm, domain) in &MEMBERS[..3] {
        fleet.record_report(member(vm, domain, 1).key(), without, at);
    }
    // All daemons of domain a are without permission, so its callers get the five of the others.
    assert_eq!(fleet.addresses_for("a", without, at).len(), 5);
    for (vm, domain) in MEMBERS {
        fleet.record_report(member(vm, domain, 1).key(), without, at);
    }
    assert_eq!(fleet.addresses_for("a", without, at).len(), 3);
    assert_eq!(fleet.addresses_for("c", without, at).len(), 8);
    assert_eq!(fleet.addresses_for("a", DaemonStatus::Ready, at).len(), 1);
}

/// Relays ask the daemons that watch the store, so they have to name the same ones.
#[test]
fn relays_know_the_daemons_that_watch_the_store() {
    let at = at_ms(10);
    let names = MEMBERS.map(|(vm, _)| vm);
    let watching: Vec<_> = names
        .into_iter()
        .filter(|vm| fleet_of(vm, at).watches_store(at))
        .collect();
    assert_eq!(watching.len(), 3);
    for vm in names {
        let fleet = fleet_of(vm, at);
        let watchers = fleet.other_watchers(at).into_iter();
        let mut watchers: Vec<_> = watchers.map(|m| &*m.vm).collect();
        watchers.sort();
        let others = watching.iter().copied().filter(|w| *w != vm);
        assert_eq!(watchers, others.collect::<Vec<_>>(), "{vm}");
        let is_relay = fleet.relay_position(at).is_some();
        assert_eq!(fleet.topology(at).watchers.is_empty(), !is_relay, "{vm}");
    }
}
