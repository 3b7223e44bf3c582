//! Daemons, the store and each other: changes, outages, drains, evidence.

mod support;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_decision::edge::fleet::Member;
use corianderworks_decision::edge::load_balancer::{Candidates, Evidence};
use corianderworks_decision::edge::routes::Idempotency;
use corianderworks_edge::metrics::Metrics;
use corianderworks_edge::peers::Peers;
use corianderworks_edge::state::Edge;
use corianderworks_edge::{peer_sync, registration, store_sync};
use corianderworks_platform::daemons;
use corianderworks_platform::store::StoreClient;
use serde_json::{Value, json};
use support::settings;
use support::store::{Mood, Store, configuration, entry, state};

/// The platform allows 2 s for drains and configurations.
const IN_FORCE_MAX: Duration = Duration::from_millis(2_000);

static PORT: AtomicU16 = AtomicU16::new(21_000);

/// Starts a daemon; `last` is the last byte of its loopback address.
async fn start(port: u16, last: u8, domain: &str, store: SocketAddr) -> Arc<Edge> {
    let address: IpAddr = IpAddr::from([127, 0, 0, last]);
    let mut settings = settings();
    settings.vm = format!("vm-{last}");
    settings.address = address;
    settings.domain = domain.to_owned();
    settings.callers = SocketAddr::new(address, 80);
    settings.peer_port = port;
    settings.seeds = vec![IpAddr::from([127, 0, 0, 2])];
    settings.store = store;
    let metrics = Metrics::new().expect("metrics");
    let edge = Arc::new(Edge::new(settings, Arc::new(SystemClock::new()), metrics));
    let (peers, incoming) = Peers::bind(SocketAddr::new(address, port)).expect("a peer socket");
    let client = Arc::new(StoreClient::new(store));
    tokio::spawn(registration::register(
        edge.clone(),
        client.clone(),
        peers.clone(),
    ));
    tokio::spawn(store_sync::run(edge.clone(), client, peers.clone()));
    tokio::spawn(peer_sync::run(edge.clone(), peers, incoming));
    let ticking = edge.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            ticking.tick();
        }
    });
    edge
}

async fn eventually<F>(within: Duration, what: &str, holds: F)
where
    F: Fn() -> bool,
{
    let ends = tokio::time::Instant::now() + within;
    while !holds() {
        assert!(
            tokio::time::Instant::now() < ends,
            "not within {within:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn version(edge: &Edge) -> u64 {
    edge.configuration().map_or(0, |c| c.version.0)
}

fn accepting(edge: &Edge) -> usize {
    let now = edge.clock.now();
    edge.lock_state()
        .servers
        .of_service("ledger")
        .filter(|(_, s)| s.accepts_requests(now))
        .count()
}

async fn store_with(servers: &[&str]) -> Store {
    let store = Store::start().await;
    store.put("config", "main", configuration(3), Value::Null);
    for (i, id) in servers.iter().enumerate() {
        store.put(
            "servers",
            id,
            entry(&format!("10.0.0.{i}:80")),
            state("ready"),
        );
    }
    store
}

fn port() -> u16 {
    PORT.fetch_add(1, Ordering::Relaxed)
}

#[tokio::test]
async fn changes_of_the_store_are_in_force_at_all_daemons_in_time() {
    let store = store_with(&["s1", "s2"]).await;
    let port = port();
    let mut fleet = Vec::new();
    for (last, domain) in [(2, "a"), (3, "a"), (4, "a"), (5, "b"), (6, "b"), (7, "b")] {
        fleet.push(start(port, last, domain, store.address).await);
    }
    let all = |holds: &dyn Fn(&Edge) -> bool| fleet.iter().all(|e| holds(e));
    eventually(IN_FORCE_MAX, "first state", || {
        all(&|e| version(e) == 3 && accepting(e) == 2)
    })
    .await;
    let size = |e: &Edge| e.lock_state().fleet.up_count(e.clock.now());
    eventually(Duration::from_secs(4), "membership", || {
        all(&|e| size(e) == 6)
    })
    .await;
    store.put("servers", "s1", entry("10.0.0.0:80"), state("draining"));
    eventually(IN_FORCE_MAX, "drain", || all(&|e| accepting(e) == 1)).await;
    store.put("config", "main", configuration(9), Value::Null);
    eventually(IN_FORCE_MAX, "configuration", || all(&|e| version(e) == 9)).await;
    store.remove("servers", "s2");
    eventually(IN_FORCE_MAX, "removal", || all(&|e| accepting(e) == 0)).await;
    // Only the watching daemons wait at the store: 2 of each domain, 2 kinds, 1.2 s each;
    // up to 3 calls of each begin in 2.4 s. All daemons together would make 36.
    let before = store.calls();
    tokio::time::sleep(Duration::from_millis(2_400)).await;
    let calls = store.calls() - before;
    assert!(calls <= 24, "{calls} calls in 2.4 s");
}

#[tokio::test]
async fn a_daemon_that_the_store_turns_away_learns_from_its_domain() {
    let store = store_with(&["s1"]).await;
    let refusing = Store::start().await;
    refusing.set_mood(Mood::Refuses);
    let port = port();
    let first = start(port, 2, "a", store.address).await;
    eventually(IN_FORCE_MAX, "first daemon", || version(&first) == 3).await;
    let second = start(port, 3, "a", refusing.address).await;
    eventually(IN_FORCE_MAX, "whole state from a peer", || {
        version(&second) == 3 && accepting(&second) == 1
    })
    .await;
    store.put("servers", "s1", entry("10.0.0.0:80"), state("draining"));
    eventually(IN_FORCE_MAX, "drain from a peer", || {
        accepting(&second) == 0
    })
    .await;
}

#[tokio::test]
async fn an_unreadable_version_does_not_hide_the_usable_one_before_it() {
    let store = store_with(&["s1"]).await;
    let refusing = Store::start().await;
    refusing.set_mood(Mood::Refuses);
    let port = port();
    let first = start(port, 2, "a", store.address).await;
    eventually(IN_FORCE_MAX, "first daemon", || version(&first) == 3).await;
    let second = start(port, 3, "a", refusing.address).await;
    eventually(IN_FORCE_MAX, "second daemon", || version(&second) == 3).await;
    // Both writes end the same watch.
    store.put("config", "main", configuration(9), Value::Null);
    store.put("config", "main", json!({"version": "r10"}), Value::Null);
    eventually(IN_FORCE_MAX, "version 9 from a peer", || {
        version(&second) == 9
    })
    .await;
}

#[tokio::test]
async fn a_silent_store_is_noticed_and_its_changes_are_caught_up() {
    let store = store_with(&["s1", "s2"]).await;
    let edge = start(port(), 2, "a", store.address).await;
    eventually(IN_FORCE_MAX, "first state", || accepting(&edge) == 2).await;
    store.set_mood(Mood::Silent);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    store.set_mood(Mood::Answers);
    store.put("servers", "s1", entry("10.0.0.0:80"), state("draining"));
    store.drop_history();
    // In force no later than 3 s after the store answers again.
    eventually(Duration::from_secs(3), "drain", || accepting(&edge) == 1).await;
}

#[tokio::test]
async fn entries_that_lapse_in_an_outage_are_used_until_two_seconds_after_it() {
    let store = store_with(&["s1", "s2"]).await;
    let edge = start(port(), 2, "a", store.address).await;
    eventually(IN_FORCE_MAX, "first state", || accepting(&edge) == 2).await;
    store.set_mood(Mood::Closes);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.remove("servers", "s1");
    store.remove("servers", "s2");
    store.set_mood(Mood::Answers);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(accepting(&edge), 2);
    store.put("servers", "s2", entry("10.0.0.1:80"), state("ready"));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(accepting(&edge), 1);
}

#[tokio::test]
async fn unreadable_objects_are_skipped_and_the_others_hold() {
    let store = store_with(&["s1"]).await;
    store.put("servers", "forged", json!({"address": 7}), Value::Null);
    store.put("servers", "text", json!("text"), Value::Null);
    let edge = start(port(), 2, "a", store.address).await;
    eventually(IN_FORCE_MAX, "first state", || accepting(&edge) == 1).await;
    store.put("config", "main", json!({"version": "r99"}), Value::Null);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(version(&edge), 3);
    store.put("config", "main", configuration(100), Value::Null);
    eventually(IN_FORCE_MAX, "next configuration", || version(&edge) == 100).await;
}

#[tokio::test]
async fn registration_survives_lost_answers() {
    let store = store_with(&["s1"]).await;
    store.set_mood(Mood::LosesAnswers);
    let edge = start(port(), 2, "a", store.address).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.set_mood(Mood::Answers);
    eventually(Duration::from_secs(5), "first state", || {
        version(&edge) == 3
    })
    .await;
    let second = start(edge.settings.peer_port, 3, "a", store.address).await;
    let size = |e: &Edge| e.lock_state().fleet.up_count(e.clock.now());
    eventually(Duration::from_secs(4), "membership", || {
        size(&second) == 2 && size(&edge) == 2
    })
    .await;
}

#[tokio::test]
async fn a_failure_seen_by_one_daemon_moves_the_requests_of_all() {
    let store = store_with(&["s1", "s2"]).await;
    let port = port();
    let mut fleet = Vec::new();
    for (last, domain) in [(2, "a"), (3, "a"), (4, "b"), (5, "b")] {
        fleet.push(start(port, last, domain, store.address).await);
    }
    let size = |e: &Edge| e.lock_state().fleet.up_count(e.clock.now());
    eventually(Duration::from_secs(5), "membership", || {
        fleet.iter().all(|e| size(e) == 4)
    })
    .await;
    let failing = fleet[0]
        .lock_state()
        .servers
        .key_of_id("s1")
        .expect("a server");
    fleet[0].observe(failing, Evidence::Failure);
    fleet[0].observe(failing, Evidence::Failure);
    let chosen = |e: &Edge| {
        let configuration = e.configuration().expect("a configuration");
        let route = configuration
            .route("shop.example", "/read/x")
            .expect("a route");
        let once = Idempotency::NonIdempotent;
        let chosen = e.choose_server(route, "ledger", once, Candidates::Except(&[]));
        chosen.expect("a server").1.id.to_string()
    };
    // Detection within 1 s is the target; half of it is left for the failures themselves.
    let moved = || fleet.iter().all(|e| (0..20).all(|_| chosen(e) == "s2"));
    eventually(Duration::from_millis(500), "evidence", moved).await;
}

#[tokio::test]
async fn records_of_removed_daemons_go_and_a_lost_record_comes_back() {
    let store = store_with(&["s1"]).await;
    let edge = start(port(), 2, "a", store.address).await;
    let client = StoreClient::new(store.address);
    let gone = Member {
        vm: "vm-gone".into(),
        started_unix_ms: 1,
        domain: "a".into(),
        peer: SocketAddr::from(([127, 0, 0, 99], 1)),
        callers: SocketAddr::from(([127, 0, 0, 99], 2)),
    };
    let later = Member {
        vm: "vm-later".into(),
        ..gone.clone()
    };
    for member in [&gone, &later] {
        daemons::register(&client, member).await.expect("a record");
    }
    eventually(IN_FORCE_MAX, "own record", || {
        store.names(daemons::KIND).len() == 3
    })
    .await;
    edge.lock_state().removed_members = vec![gone.clone(), later.clone()];
    // The VM has started again meanwhile.
    let restarted = Member {
        started_unix_ms: 2,
        ..later
    };
    daemons::register(&client, &restarted)
        .await
        .expect("a record");
    store.remove(daemons::KIND, "vm-2");
    registration::refresh(&edge, &client)
        .await
        .expect("the store answers");
    assert_eq!(store.names(daemons::KIND), ["vm-2", "vm-later"]);
    assert!(edge.lock_state().fleet.others().any(|m| *m == restarted));
}
