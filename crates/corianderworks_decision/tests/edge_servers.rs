//! Entries of backend servers: drains, new runs, and lapses around an outage of the store.

use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::servers::{Change, ServerEntry, Servers};

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        started_unix_ms: 1_000,
        service: "ledger".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "a".into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn accepting(servers: &Servers, now: Duration) -> usize {
    servers
        .of_service("ledger")
        .filter(|(_, s)| s.accepts(now))
        .count()
}

fn reachable_with(ids: &[&str]) -> Servers {
    let mut servers = Servers::new();
    servers.set_store_reachable(true, Duration::ZERO);
    servers.replace_all(ids.iter().map(|id| entry(id)), Duration::ZERO);
    servers
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut servers = reachable_with(&["s1"]);
    let draining = ServerEntry {
        draining: true,
        ..entry("s1")
    };
    assert!(matches!(
        servers.upsert(draining, at_ms(1)),
        Change::Draining(_)
    ));
    assert_eq!(accepting(&servers, at_ms(1)), 0);
}

#[test]
fn an_entry_that_vanishes_while_the_store_is_stable_is_gone_at_once() {
    let mut servers = reachable_with(&["s1"]);
    let grace = servers.lapse_grace(at_ms(10_000));
    assert!(matches!(
        servers.vanish("s1", grace, at_ms(10_000)),
        Change::Removed(_)
    ));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_stays_two_seconds_and_then_is_gone() {
    let mut servers = reachable_with(&["s1", "s2"]);
    servers.set_store_reachable(false, at_ms(1_000));
    servers.set_store_reachable(true, at_ms(6_000));
    servers.replace_all([], at_ms(6_010));
    assert_eq!(accepting(&servers, at_ms(6_100)), 2);
    // One of them lives and registers again.
    servers.upsert(entry("s2"), at_ms(7_000));
    assert_eq!(accepting(&servers, at_ms(7_900)), 2);
    assert_eq!(accepting(&servers, at_ms(8_000)), 1);
    assert_eq!(servers.expire(at_ms(8_000)).len(), 1);
    assert_eq!(accepting(&servers, at_ms(60_000)), 1);
}

#[test]
fn a_server_that_was_draining_is_not_kept_after_an_outage() {
    let mut servers = reachable_with(&["s1"]);
    let draining = ServerEntry {
        draining: true,
        ..entry("s1")
    };
    servers.upsert(draining, at_ms(10));
    servers.set_store_reachable(false, at_ms(1_000));
    servers.set_store_reachable(true, at_ms(2_000));
    let grace = servers.lapse_grace(at_ms(2_001));
    assert!(matches!(
        servers.vanish("s1", grace, at_ms(2_001)),
        Change::Removed(_)
    ));
}

#[test]
fn a_new_run_under_an_old_id_replaces_the_old_one_and_not_the_other_way_round() {
    let mut servers = reachable_with(&["s1"]);
    let later = ServerEntry {
        started_unix_ms: 2_000,
        ..entry("s1")
    };
    assert!(matches!(
        servers.upsert(later.clone(), at_ms(1)),
        Change::Added(_)
    ));
    assert_eq!(servers.upsert(entry("s1"), at_ms(2)), Change::Unchanged);
    assert!(servers.key_of_tag(later.tag()).is_some());
    assert_eq!(servers.len(), 1);
}

#[test]
fn equal_lists_have_equal_digests_and_a_drain_changes_it() {
    let mut one = reachable_with(&["s1", "s2"]);
    let other = reachable_with(&["s2", "s1"]);
    assert_eq!(one.digest(), other.digest());
    let draining = ServerEntry {
        draining: true,
        ..entry("s1")
    };
    one.upsert(draining, at_ms(1));
    assert_ne!(one.digest(), other.digest());
}
