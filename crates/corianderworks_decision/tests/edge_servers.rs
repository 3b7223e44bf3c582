//! Entries of backend servers: draining, new runs, and lapsed entries after a store outage.

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

fn accepting_count(servers: &Servers, now: Duration) -> usize {
    servers
        .of_service("ledger")
        .filter(|(_, s)| s.accepts_requests(now))
        .count()
}

fn servers_with(ids: &[&str]) -> Servers {
    let mut servers = Servers::new();
    servers.set_store_reachable(true, Duration::ZERO);
    servers.replace_all(ids.iter().map(|id| entry(id)), Duration::ZERO);
    servers
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut servers = servers_with(&["s1"]);
    let draining = ServerEntry {
        draining: true,
        ..entry("s1")
    };
    assert!(matches!(
        servers.upsert(draining, at_ms(1)),
        Change::Draining(_)
    ));
    assert_eq!(accepting_count(&servers, at_ms(1)), 0);
}

#[test]
fn an_entry_removed_while_the_store_is_reachable_removes_the_server_at_once() {
    let mut servers = servers_with(&["s1"]);
    let grace = servers.lapse_grace(at_ms(10_000));
    assert!(matches!(
        servers.remove_entry("s1", grace, at_ms(10_000)),
        Change::Removed(_)
    ));
}

#[test]
fn a_server_whose_entry_lapsed_in_an_outage_is_kept_for_two_seconds() {
    let mut servers = servers_with(&["s1", "s2"]);
    servers.set_store_reachable(false, at_ms(1_000));
    servers.set_store_reachable(true, at_ms(6_000));
    servers.replace_all([], at_ms(6_010));
    assert_eq!(accepting_count(&servers, at_ms(6_100)), 2);
    // One of the servers is still running and registers again.
    servers.upsert(entry("s2"), at_ms(7_000));
    assert_eq!(accepting_count(&servers, at_ms(7_900)), 2);
    assert_eq!(accepting_count(&servers, at_ms(8_000)), 1);
    assert_eq!(servers.remove_expired(at_ms(8_000)).len(), 1);
    assert_eq!(accepting_count(&servers, at_ms(60_000)), 1);
}

#[test]
fn a_draining_server_is_not_kept_after_an_outage() {
    let mut servers = servers_with(&["s1"]);
    let draining = ServerEntry {
        draining: true,
        ..entry("s1")
    };
    servers.upsert(draining, at_ms(10));
    servers.set_store_reachable(false, at_ms(1_000));
    servers.set_store_reachable(true, at_ms(2_000));
    let grace = servers.lapse_grace(at_ms(2_001));
    assert!(matches!(
        servers.remove_entry("s1", grace, at_ms(2_001)),
        Change::Removed(_)
    ));
}

#[test]
fn a_later_run_with_the_same_id_replaces_an_earlier_one_only() {
    let mut servers = servers_with(&["s1"]);
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
fn the_digest_ignores_order_and_changes_with_draining() {
    let mut first = servers_with(&["s1", "s2"]);
    let second = servers_with(&["s2", "s1"]);
    assert_eq!(first.digest(), second.digest());
    let draining = ServerEntry {
        draining: true,
        ..entry("s1")
    };
    first.upsert(draining, at_ms(1));
    assert_ne!(first.digest(), second.digest());
}
