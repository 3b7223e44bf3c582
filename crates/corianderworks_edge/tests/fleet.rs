//! Several daemons with a fake store: propagation of changes, drains and evidence, and store
//! outages.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use corianderworks_decision::edge::fleet::Member;
use corianderworks_decision::edge::load_balancer::{Candidates, Evidence};
use corianderworks_decision::edge::routes::Idempotency;
use corianderworks_edge::registration;
use corianderworks_edge::state::Edge;
use corianderworks_platform::daemons;
use corianderworks_platform::store::StoreClient;
use serde_json::{Value, json};
use support::assert_eventually;
use support::fleet::{accepting_servers, configuration_version, start_daemon, up_count};
use support::store::{ResponseMode, Store, configuration_spec, entry_spec, entry_status};

/// The platform allows 2 s for drains and configurations to take effect.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

static NEXT_PORT: AtomicU16 = AtomicU16::new(21_000);

async fn start_store(servers: &[&str]) -> Store {
    let store = Store::start().await;
    store.put("config", "main", configuration_spec(3), Value::Null);
    for (i, id) in servers.iter().enumerate() {
        store.put(
            "servers",
            id,
            entry_spec(&format!("10.0.0.{i}:80")),
            entry_status("ready"),
        );
    }
    store
}

fn next_port() -> u16 {
    NEXT_PORT.fetch_add(1, Ordering::Relaxed)
}

#[tokio::test]
async fn all_daemons_apply_store_changes_within_the_time_limit() {
    let store = start_store(&["s1", "s2"]).await;
    let port = next_port();
    let mut fleet = Vec::new();
    for (host, domain) in [(2, "a"), (3, "a"), (4, "a"), (5, "b"), (6, "b"), (7, "b")] {
        fleet.push(start_daemon(port, host, domain, store.address).await);
    }
    let all = |condition: &dyn Fn(&Edge) -> bool| fleet.iter().all(|e| condition(e));
    assert_eventually(APPLY_TIMEOUT, "first state", || {
        all(&|e| configuration_version(e) == 3 && accepting_servers(e) == 2)
    })
    .await;
    assert_eventually(Duration::from_secs(4), "membership", || {
        all(&|e| up_count(e) == 6)
    })
    .await;
    store.put(
        "servers",
        "s1",
        entry_spec("10.0.0.0:80"),
        entry_status("draining"),
    );
    assert_eventually(APPLY_TIMEOUT, "drain", || {
        all(&|e| accepting_servers(e) == 1)
    })
    .await;
    store.put("config", "main", configuration_spec(9), Value::Null);
    assert_eventually(APPLY_TIMEOUT, "configuration", || {
        all(&|e| configuration_version(e) == 9)
    })
    .await;
    store.remove("servers", "s2");
    assert_eventually(APPLY_TIMEOUT, "removal", || {
        all(&|e| accepting_servers(e) == 0)
    })
    .await;
    // Only the watchers call the store: 2 daemons per domain, each with a watch of 1.2 s for each
    // of 2 kinds. Each watch starts up to 3 calls in 2.4 s. If all daemons watched, there would
    // be 36 calls.
    let before = store.calls();
    tokio::time::sleep(Duration::from_millis(2_400)).await;
    let calls = store.calls() - before;
    assert!(calls <= 24, "{calls} calls in 2.4 s");
}

/// Calls to the store are priced and limited for the whole fleet, so a change must not make every
/// daemon of a domain without a watcher read the store.
#[tokio::test]
async fn changes_reach_domains_without_a_watcher_without_store_calls() {
    const CHANGES: u64 = 4;
    let store = start_store(&["s1", "s2"]).await;
    let port = next_port();
    let mut fleet = Vec::new();
    for (host, domain) in (2..).zip("aabbccddeeffgg".chars()) {
        fleet.push(start_daemon(port, host, &domain.to_string(), store.address).await);
    }
    let all = |condition: &dyn Fn(&Edge) -> bool| fleet.iter().all(|e| condition(e));
    assert_eventually(Duration::from_secs(6), "membership", || {
        all(&|e| up_count(e) == fleet.len() && accepting_servers(e) == 2)
    })
    .await;
    // Calls of daemons that took themselves for watchers while they knew no others have ended.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = store.calls();
    let started = tokio::time::Instant::now();
    for change in 1..=CHANGES {
        let name = format!("n{change}");
        let spec = entry_spec(&format!("10.0.1.{change}:80"));
        store.put("servers", &name, spec, entry_status("ready"));
        assert_eventually(APPLY_TIMEOUT, "new server", || {
            all(&|e| accepting_servers(e) == 2 + change as usize)
        })
        .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    // 3 watchers of 2 kinds call once per watch of 1.2 s and once more for each change.
    let watches = started.elapsed().as_secs_f64() / 1.2 + 1.0;
    let expected = 3.0 * (2.0 * watches + CHANGES as f64);
    let calls = store.calls() - before;
    assert!(
        calls as f64 <= expected,
        "{calls} calls, expected {expected}"
    );
}

#[tokio::test]
async fn daemon_without_store_access_gets_changes_from_its_domain() {
    let store = start_store(&["s1"]).await;
    let unavailable_store = Store::start().await;
    unavailable_store.set_response_mode(ResponseMode::Unavailable);
    let port = next_port();
    let first = start_daemon(port, 2, "a", store.address).await;
    assert_eventually(APPLY_TIMEOUT, "first daemon", || {
        configuration_version(&first) == 3
    })
    .await;
    let second = start_daemon(port, 3, "a", unavailable_store.address).await;
    assert_eventually(APPLY_TIMEOUT, "complete state from a peer", || {
        configuration_version(&second) == 3 && accepting_servers(&second) == 1
    })
    .await;
    store.put(
        "servers",
        "s1",
        entry_spec("10.0.0.0:80"),
        entry_status("draining"),
    );
    assert_eventually(APPLY_TIMEOUT, "drain from a peer", || {
        accepting_servers(&second) == 0
    })
    .await;
}

#[tokio::test]
async fn malformed_configuration_does_not_replace_an_earlier_usable_one() {
    let store = start_store(&["s1"]).await;
    let unavailable_store = Store::start().await;
    unavailable_store.set_response_mode(ResponseMode::Unavailable);
    let port = next_port();
    let first = start_daemon(port, 2, "a", store.address).await;
    assert_eventually(APPLY_TIMEOUT, "first daemon", || {
        configuration_version(&first) == 3
    })
    .await;
    let second = start_daemon(port, 3, "a", unavailable_store.address).await;
    assert_eventually(APPLY_TIMEOUT, "second daemon", || {
        configuration_version(&second) == 3
    })
    .await;
    // The response to one watch contains both writes.
    store.put("config", "main", configuration_spec(9), Value::Null);
    store.put("config", "main", json!({"version": "r10"}), Value::Null);
    assert_eventually(APPLY_TIMEOUT, "version 9 from a peer", || {
        configuration_version(&second) == 9
    })
    .await;
}

#[tokio::test]
async fn daemon_applies_changes_missed_while_the_store_hung() {
    let store = start_store(&["s1", "s2"]).await;
    let edge = start_daemon(next_port(), 2, "a", store.address).await;
    assert_eventually(APPLY_TIMEOUT, "first state", || {
        accepting_servers(&edge) == 2
    })
    .await;
    store.set_response_mode(ResponseMode::Hang);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    store.set_response_mode(ResponseMode::Respond);
    store.put(
        "servers",
        "s1",
        entry_spec("10.0.0.0:80"),
        entry_status("draining"),
    );
    store.drop_history();
    // Has to take effect within 3 s after the store responds again.
    assert_eventually(Duration::from_secs(3), "drain", || {
        accepting_servers(&edge) == 1
    })
    .await;
}

#[tokio::test]
async fn servers_whose_entries_lapse_in_an_outage_are_kept_for_two_seconds_after_it() {
    let store = start_store(&["s1", "s2"]).await;
    let edge = start_daemon(next_port(), 2, "a", store.address).await;
    assert_eventually(APPLY_TIMEOUT, "first state", || {
        accepting_servers(&edge) == 2
    })
    .await;
    store.set_response_mode(ResponseMode::CloseConnection);
    // Entries lapse after three heartbeats of 1.5 s, the last of which may precede the outage.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    store.remove("servers", "s1");
    store.remove("servers", "s2");
    store.set_response_mode(ResponseMode::Respond);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(accepting_servers(&edge), 2);
    store.put(
        "servers",
        "s2",
        entry_spec("10.0.0.1:80"),
        entry_status("ready"),
    );
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(accepting_servers(&edge), 1);
}

/// Daemons of one domain, each with an address of the store of its own.
struct SeparateAccess {
    store: Store,
    fleet: Vec<(Arc<Edge>, Store)>,
}

impl SeparateAccess {
    /// Starts four daemons and waits until two of them watch the store for all.
    async fn start(servers: &[&str]) -> Self {
        let store = start_store(servers).await;
        let port = next_port();
        let mut fleet = Vec::new();
        for host in 2..6 {
            let access = store.open_address().await;
            let edge = start_daemon(port, host, "a", access.address).await;
            fleet.push((edge, access));
        }
        let fleet = Self { store, fleet };
        assert_eventually(Duration::from_secs(6), "membership", || {
            let is_complete = |e: &Edge| up_count(e) == 4 && accepting_servers(e) == servers.len();
            fleet.fleet.iter().all(|(e, _)| is_complete(e))
        })
        .await;
        // Watches of daemons that knew no others end.
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        assert_eq!(fleet.watchers().count(), 2);
        fleet
    }

    fn watches_store(edge: &Edge) -> bool {
        edge.lock_state().fleet.watches_store(edge.clock.now())
    }

    fn watchers(&self) -> impl Iterator<Item = &Store> {
        let watchers = self.fleet.iter().filter(|(e, _)| Self::watches_store(e));
        watchers.map(|(_, access)| access)
    }

    fn others(&self) -> impl Iterator<Item = &Edge> {
        let others = self.fleet.iter().filter(|(e, _)| !Self::watches_store(e));
        others.map(|(edge, _)| &**edge)
    }
}

/// A server that leaves while the watchers are cut off from a store that is up must not be kept as
/// one whose entry may have lapsed in an outage.
#[tokio::test]
async fn a_server_that_leaves_during_a_cut_of_the_watchers_gets_no_requests() {
    // After 600 ms the watchers return and report the removal. After 3 s the other daemons have
    // read the store themselves, which is their first call.
    for cut in [600, 3_000].map(Duration::from_millis) {
        let fleet = SeparateAccess::start(&["s1", "s2"]).await;
        // A change that the watchers report, so that the other daemons don't read the store soon.
        let (spec, status) = (entry_spec("10.0.0.9:80"), entry_status("ready"));
        fleet.store.put("servers", "s3", spec, status);
        let knows_all = || fleet.fleet.iter().all(|(e, _)| accepting_servers(e) == 3);
        assert_eventually(APPLY_TIMEOUT, "the third server", knows_all).await;
        fleet
            .watchers()
            .for_each(|w| w.set_response_mode(ResponseMode::CloseConnection));
        let cut_start = tokio::time::Instant::now();
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.store.remove("servers", "s1");
        let drain_end = tokio::time::Instant::now() + APPLY_TIMEOUT;
        tokio::time::sleep_until((cut_start + cut).min(drain_end)).await;
        if cut < APPLY_TIMEOUT {
            fleet
                .watchers()
                .for_each(|w| w.set_response_mode(ResponseMode::Respond));
        }
        tokio::time::sleep_until(drain_end).await;
        let accepting: Vec<_> = fleet.others().map(accepting_servers).collect();
        assert_eq!(accepting, [2, 2], "cut of {cut:?}");
    }
}

/// Guards against use of a server that left while the watchers could read the configuration, but not
/// the servers: their reports on one kind of object say nothing about the other.
#[tokio::test]
async fn watchers_that_read_only_the_configuration_do_not_hide_a_removal() {
    let fleet = SeparateAccess::start(&["s1", "s2"]).await;
    fleet
        .watchers()
        .for_each(|w| w.set_response_mode_of("servers", ResponseMode::Hang));
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.store.remove("servers", "s1");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let accepting: Vec<_> = fleet.others().map(accepting_servers).collect();
    assert_eq!(accepting, [1, 1]);
}

/// Daemons that don't watch the store have to know of an outage, too, to keep the servers whose
/// entries lapsed in it.
#[tokio::test]
async fn all_daemons_keep_servers_whose_entries_lapse_in_an_outage() {
    let fleet = SeparateAccess::start(&["s1", "s2"]).await;
    let set_all = |mode| {
        let all = fleet.fleet.iter().map(|(_, access)| access);
        all.for_each(|a| a.set_response_mode(mode));
    };
    let accepting = || {
        let edges = fleet.fleet.iter().map(|(e, _)| e);
        edges.map(|e| accepting_servers(e)).collect::<Vec<_>>()
    };
    set_all(ResponseMode::CloseConnection);
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    fleet.store.remove("servers", "s1");
    set_all(ResponseMode::Respond);
    let returned = tokio::time::Instant::now();
    // The daemons call again within 0.8 s.
    tokio::time::sleep_until(returned + Duration::from_millis(1_800)).await;
    assert_eq!(accepting(), [2; 4]);
    tokio::time::sleep_until(returned + Duration::from_millis(3_300)).await;
    assert_eq!(accepting(), [1; 4]);
}

#[tokio::test]
async fn malformed_objects_do_not_affect_other_objects() {
    let store = start_store(&["s1"]).await;
    store.put("servers", "forged", json!({"address": 7}), Value::Null);
    store.put("servers", "text", json!("text"), Value::Null);
    let edge = start_daemon(next_port(), 2, "a", store.address).await;
    // The daemon reads both kinds of object at the same time, in any order.
    assert_eventually(APPLY_TIMEOUT, "first state", || {
        configuration_version(&edge) == 3 && accepting_servers(&edge) == 1
    })
    .await;
    store.put("config", "main", json!({"version": "r99"}), Value::Null);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(configuration_version(&edge), 3);
    store.put("config", "main", configuration_spec(100), Value::Null);
    assert_eventually(APPLY_TIMEOUT, "next configuration", || {
        configuration_version(&edge) == 100
    })
    .await;
}

#[tokio::test]
async fn registration_succeeds_after_lost_responses() {
    let store = start_store(&["s1"]).await;
    store.set_response_mode(ResponseMode::DropResponse);
    let edge = start_daemon(next_port(), 2, "a", store.address).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.set_response_mode(ResponseMode::Respond);
    assert_eventually(Duration::from_secs(5), "first state", || {
        configuration_version(&edge) == 3
    })
    .await;
    let second = start_daemon(edge.settings.peer_port, 3, "a", store.address).await;
    assert_eventually(Duration::from_secs(4), "membership", || {
        up_count(&second) == 2 && up_count(&edge) == 2
    })
    .await;
}

#[tokio::test]
async fn all_daemons_avoid_a_server_after_one_of_them_observed_failures() {
    let store = start_store(&["s1", "s2"]).await;
    let port = next_port();
    let mut fleet = Vec::new();
    for (host, domain) in [(2, "a"), (3, "a"), (4, "b"), (5, "b")] {
        fleet.push(start_daemon(port, host, domain, store.address).await);
    }
    assert_eventually(Duration::from_secs(5), "membership", || {
        fleet.iter().all(|e| up_count(e) == 4)
    })
    .await;
    assert_eventually(APPLY_TIMEOUT, "first state", || {
        let has_state = |e: &Edge| configuration_version(e) == 3 && accepting_servers(e) == 2;
        fleet.iter().all(|e| has_state(e))
    })
    .await;
    let failing_server = fleet[0]
        .lock_state()
        .servers
        .key_of_id("s1")
        .expect("a server");
    fleet[0].observe(failing_server, Evidence::Failure);
    fleet[0].observe(failing_server, Evidence::Failure);
    let chosen_server = |e: &Edge| {
        let configuration = e.configuration().expect("a configuration");
        let route = configuration
            .route("shop.example", "/read/x")
            .expect("a route");
        let idempotency = Idempotency::NonIdempotent;
        let chosen = e.choose_server(
            route,
            "ledger",
            idempotency,
            Candidates::Except(&[]),
            route.timeout,
        );
        chosen.expect("a server").1.id.to_string()
    };
    // The target is detection within 1 s; half of that is reserved for the failing requests
    // themselves.
    let all_avoid_s1 = || {
        fleet
            .iter()
            .all(|e| (0..20).all(|_| chosen_server(e) == "s2"))
    };
    assert_eventually(Duration::from_millis(500), "evidence", all_avoid_s1).await;
}

#[tokio::test]
async fn refresh_removes_records_of_removed_daemons_and_restores_its_own() {
    let store = start_store(&["s1"]).await;
    let edge = start_daemon(next_port(), 2, "a", store.address).await;
    let client = StoreClient::new(store.address);
    let removed = Member {
        vm: "vm-removed".into(),
        started_unix_ms: 1,
        domain: "a".into(),
        peer: SocketAddr::from(([127, 0, 0, 99], 1)),
        callers: SocketAddr::from(([127, 0, 0, 99], 2)),
        capacity_millicores: 200,
    };
    let earlier_run = Member {
        vm: "vm-restarted".into(),
        ..removed.clone()
    };
    for member in [&removed, &earlier_run] {
        daemons::register(&client, member, true)
            .await
            .expect("a record");
    }
    assert_eventually(APPLY_TIMEOUT, "own record", || {
        store.names(daemons::KIND).len() == 3
    })
    .await;
    edge.lock_state().removed_members = vec![removed.clone(), earlier_run.clone()];
    // One of the VMs has restarted in the meantime.
    let restarted = Member {
        started_unix_ms: 2,
        ..earlier_run
    };
    daemons::register(&client, &restarted, false)
        .await
        .expect("a record");
    store.remove(daemons::KIND, "vm-2");
    registration::refresh(&edge, &client)
        .await
        .expect("the store responds");
    assert_eq!(store.names(daemons::KIND), ["vm-2", "vm-restarted"]);
    assert!(edge.lock_state().fleet.others().any(|m| *m == restarted));
}
