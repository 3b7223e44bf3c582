//! Entries of backend servers: draining, new runs, and lapsed entries after a store outage.

use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::servers::{
    Announcement, Availability, Change, ServerEntry, ServerKey, Servers,
};

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        revision: 1,
        started_unix_ms: 1_000,
        service: "ledger".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "a".into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn entry_at(id: &str, revision: u64) -> ServerEntry {
    ServerEntry {
        revision,
        ..entry(id)
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
    servers.store_responded(Duration::ZERO);
    servers.replace_all(ids.iter().map(|id| entry(id)), 1, Duration::ZERO);
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
    servers.store_responded(at_ms(2_000));
    servers.store_call_failed();
    // A cut of the own daemon that is too short for entries to lapse.
    servers.store_responded(at_ms(4_900));
    servers.store_responded(at_ms(7_800));
    let grace = servers.lapse_grace(at_ms(10_000));
    assert!(matches!(
        servers.remove_entry("s1", 1, grace, at_ms(10_000)),
        Change::Removed(_)
    ));
}

#[test]
fn a_server_whose_entry_lapsed_in_an_outage_is_kept_for_two_seconds() {
    let mut servers = servers_with(&["s1", "s2"]);
    servers.store_responded(at_ms(1_000));
    servers.store_call_failed();
    servers.store_responded(at_ms(6_000));
    servers.replace_all([], 5, at_ms(6_010));
    assert_eq!(accepting_count(&servers, at_ms(6_100)), 2);
    // One of the servers is still running and registers again.
    servers.upsert(entry_at("s2", 6), at_ms(7_000));
    assert_eq!(accepting_count(&servers, at_ms(7_900)), 2);
    assert_eq!(accepting_count(&servers, at_ms(8_000)), 1);
    assert_eq!(servers.remove_expired(at_ms(8_000)).len(), 1);
    assert_eq!(accepting_count(&servers, at_ms(60_000)), 1);
}

/// Other daemons may hear of the removal before they hear that the store is back.
#[test]
fn a_removal_that_arrives_before_other_signs_of_the_store_keeps_the_server() {
    let mut servers = servers_with(&["s1"]);
    let grace = servers.lapse_grace(at_ms(5_000));
    assert!(matches!(
        servers.remove_entry("s1", 2, grace, at_ms(5_000)),
        Change::Lapsed(_)
    ));
    servers.store_responded(at_ms(5_100));
    assert_eq!(accepting_count(&servers, at_ms(6_900)), 1);
    assert_eq!(accepting_count(&servers, at_ms(7_000)), 0);
}

#[test]
fn the_first_contact_with_the_store_is_an_outage_only_if_calls_failed() {
    for (failed, kept) in [(false, 0), (true, 1)] {
        let mut servers = Servers::new();
        // The state that a relay sends to a daemon that has just started.
        servers.upsert(entry("s1"), at_ms(10));
        if failed {
            servers.store_call_failed();
        }
        servers.store_responded(at_ms(900));
        servers.replace_all([], 5, at_ms(900));
        assert_eq!(accepting_count(&servers, at_ms(1_000)), kept);
    }
}

#[test]
fn a_draining_server_is_not_kept_after_an_outage() {
    let mut servers = servers_with(&["s1"]);
    let draining = ServerEntry {
        draining: true,
        ..entry("s1")
    };
    servers.upsert(draining, at_ms(10));
    servers.store_responded(at_ms(1_000));
    servers.store_responded(at_ms(6_000));
    let grace = servers.lapse_grace(at_ms(6_001));
    assert!(!grace.is_zero());
    assert!(matches!(
        servers.remove_entry("s1", 1, grace, at_ms(6_001)),
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

/// A relay that was paused, or a list that was read before the change, delivers older entries.
#[test]
fn an_older_entry_does_not_undo_a_drain() {
    let mut servers = servers_with(&["s1"]);
    let draining = ServerEntry {
        draining: true,
        ..entry_at("s1", 4)
    };
    servers.upsert(draining, at_ms(1));
    assert_eq!(
        servers.upsert(entry_at("s1", 3), at_ms(2)),
        Change::Unchanged
    );
    servers.replace_all([entry_at("s1", 3)], 3, at_ms(3));
    assert_eq!(accepting_count(&servers, at_ms(3)), 0);
}

#[test]
fn an_older_entry_does_not_bring_a_removed_server_back() {
    let mut servers = servers_with(&["s1"]);
    servers.remove_entry("s1", 4, Duration::ZERO, at_ms(1));
    assert_eq!(
        servers.upsert(entry_at("s1", 3), at_ms(2)),
        Change::Unchanged
    );
    assert!(servers.is_empty());
    // The removal may also arrive before the entry.
    servers.remove_entry("s2", 6, Duration::ZERO, at_ms(3));
    servers.upsert(entry_at("s2", 5), at_ms(4));
    assert!(servers.is_empty());
    // A server that registers again has a newer entry.
    servers.upsert(entry_at("s1", 7), at_ms(5));
    assert_eq!(accepting_count(&servers, at_ms(5)), 1);
}

/// A daemon that has just started gets the state of a relay, which may be behind the store.
#[test]
fn a_server_that_a_newer_list_no_longer_has_is_not_added() {
    let mut servers = Servers::new();
    servers.replace_all([entry_at("s1", 2)], 9, at_ms(1));
    servers.upsert(entry_at("s2", 8), at_ms(2));
    assert_eq!(accepting_count(&servers, at_ms(2)), 1);
    servers.upsert(entry_at("s3", 10), at_ms(2));
    assert_eq!(accepting_count(&servers, at_ms(2)), 2);
}

#[test]
fn a_list_keeps_servers_that_are_newer_than_the_list() {
    let mut servers = servers_with(&["s1"]);
    servers.upsert(entry_at("s2", 8), at_ms(1));
    servers.replace_all([entry_at("s1", 1)], 7, at_ms(2));
    assert_eq!(accepting_count(&servers, at_ms(2)), 2);
    servers.replace_all([entry_at("s1", 1)], 9, at_ms(3));
    assert_eq!(accepting_count(&servers, at_ms(3)), 1);
}

fn key(servers: &Servers, id: &str) -> ServerKey {
    servers.key_of_id(id).expect("a server")
}

#[test]
fn a_leaving_server_gets_no_requests_whatever_its_entry_says() {
    let mut servers = servers_with(&["s1", "s2"]);
    let leaving = key(&servers, "s1");
    assert!(servers.announce(leaving, Announcement::Leaving));
    assert!(!servers.announce(leaving, Announcement::Leaving));
    assert_eq!(accepting_count(&servers, at_ms(1)), 1);
    servers.upsert(entry_at("s1", 5), at_ms(2));
    assert_eq!(accepting_count(&servers, at_ms(2)), 1);
    // The entry lapses and comes back, as around a store outage.
    servers.remove_entry("s1", 6, Duration::ZERO, at_ms(3));
    servers.upsert(entry_at("s1", 7), at_ms(4));
    assert_eq!(accepting_count(&servers, at_ms(4)), 1);
    let later_run = ServerEntry {
        started_unix_ms: 2_000,
        ..entry_at("s1", 8)
    };
    servers.upsert(later_run, at_ms(5));
    assert_eq!(accepting_count(&servers, at_ms(5)), 2);
}

/// Attempts of requests in progress name the server by its key.
#[test]
fn a_run_keeps_its_key_if_its_entry_leaves_and_comes_back() {
    let mut servers = servers_with(&["s1"]);
    let first = key(&servers, "s1");
    servers.remove_entry("s1", 2, Duration::ZERO, at_ms(1));
    assert!(servers.get(first).is_none());
    assert_eq!(servers.key_of_tag(entry("s1").tag()), None);
    // What it said meanwhile holds when it is back.
    assert!(servers.announce(first, Announcement::Leaving));
    servers.upsert(entry_at("s1", 3), at_ms(2));
    assert_eq!(key(&servers, "s1"), first);
    assert_eq!(servers.key_of_tag(entry("s1").tag()), Some(first));
    assert_eq!(accepting_count(&servers, at_ms(2)), 0);
    // Another run, or another address, is another server.
    for (revision, started_unix_ms, port) in [(5, 2_000, 80), (7, 2_000, 81)] {
        let before = key(&servers, "s1");
        servers.remove_entry("s1", revision - 1, Duration::ZERO, at_ms(3));
        let other = ServerEntry {
            started_unix_ms,
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            ..entry_at("s1", revision)
        };
        servers.upsert(other, at_ms(4));
        assert_ne!(key(&servers, "s1"), before);
        assert!(!servers.announce(before, Announcement::Leaving));
    }
    // Nothing is kept forever.
    servers.remove_entry("s1", 8, Duration::ZERO, at_ms(5));
    let last = servers
        .key_of_run(entry_of_run(2_000).tag())
        .expect("a run");
    servers.remove_expired(at_ms(5) + Duration::from_secs(15 * 60));
    assert!(servers.run(last).is_none());
}

fn entry_of_run(started_unix_ms: u64) -> ServerEntry {
    ServerEntry {
        started_unix_ms,
        ..entry("s1")
    }
}

#[test]
fn a_paused_server_gets_no_requests_until_the_end_of_its_pause() {
    let mut servers = servers_with(&["s1", "s2"]);
    let [first, second] = ["s1", "s2"].map(|id| key(&servers, id));
    servers.announce(first, Announcement::PausedUntil(at_ms(3_000)));
    // A later, shorter pause doesn't end an earlier one.
    servers.announce(first, Announcement::PausedUntil(at_ms(1_000)));
    assert_eq!(accepting_count(&servers, at_ms(2_999)), 1);
    servers.announce(second, Announcement::PausedUntil(at_ms(5_000)));
    assert_eq!(accepting_count(&servers, at_ms(2_999)), 0);
    assert_eq!(
        servers.next_opening("ledger", at_ms(1_000)),
        Some(at_ms(3_000))
    );
    let server = servers.get(first).expect("a server");
    assert_eq!(
        server.availability(at_ms(2_999)),
        Availability::Paused(at_ms(3_000))
    );
    assert_eq!(accepting_count(&servers, at_ms(3_000)), 1);
    assert_eq!(servers.next_opening("ledger", at_ms(5_000)), None);
}
