//! Daemons whose links are slow for what the store, or a daemon that watches it, has to send.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_edge::peers::{Incoming, Peers, StoreUpdate};
use corianderworks_edge::state::Edge;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use support::assert_eventually;
use support::fleet::{accepting_servers, configuration_version, start_daemon, up_count};
use support::slow_link::{start_datagram_link, start_link};
use support::store::{ResponseMode, Store, configuration_spec, entry_spec, entry_status};
use tokio::time::{Instant, sleep, timeout_at};

/// The platform allows 2 s for drains and configurations to take effect.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time that a fleet of this size needs to start.
const START_TIMEOUT: Duration = Duration::from_secs(8);
/// Environment variable with the first and the last seed of a long run, as in `1-50`.
const SEEDS_VARIABLE: &str = "SLOW_LINK_SEEDS";
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

static NEXT_PORT: AtomicU16 = AtomicU16::new(24_000);

/// Changes of the configuration in quick succession.
#[derive(Debug, Clone, Copy)]
struct Series {
    routes: usize,
    link_mbit_per_s: u32,
    changes: u64,
    gap: Duration,
}

impl Series {
    /// Draws a series whose configuration passes the link in 0.22 s at most.
    fn draw(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            routes: random.random_range(200..=1_400),
            link_mbit_per_s: random.random_range(10..=40),
            changes: random.random_range(5..=40),
            gap: Duration::from_millis(random.random_range(20..=150)),
        }
    }

    /// Configuration of about 190 bytes a route.
    fn configuration(self, version: u64) -> Value {
        let mut spec = configuration_spec(version);
        let routes = (0..self.routes).map(|n| {
            json!({"name": format!("route-of-a-customer-{n:05}"),
                   "pathPrefix": format!("/customer-{n:05}/of-the-association/"),
                   "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 600, "priority": 1,
                   "maxAttempts": 2, "service": "ledger"})
        });
        let paths = spec["hosts"][0]["paths"].as_array_mut();
        paths.expect("a list of routes").extend(routes);
        spec
    }

    /// Writes the configurations and returns the version of the last one.
    async fn write(self, store: &Store) -> u64 {
        for change in 1..=self.changes {
            let version = 1 + change * 2;
            store.put("config", "main", self.configuration(version), Value::Null);
            if change < self.changes {
                sleep(self.gap).await;
            }
        }
        1 + self.changes * 2
    }
}

fn next_port() -> u16 {
    NEXT_PORT.fetch_add(1, Ordering::Relaxed)
}

/// Starts two daemons in each of three domains, each behind a link of its own.
async fn start_fleet(series: Series, store: &Store) -> Vec<Arc<Edge>> {
    let port = next_port();
    let mut fleet = Vec::new();
    for (host, domain) in (2..).zip(["a", "a", "b", "b", "c", "c"]) {
        let address = start_link(store.address, series.link_mbit_per_s).await;
        fleet.push(start_daemon(port, host, domain, address).await);
    }
    assert_eventually(START_TIMEOUT, "first state", || {
        let has_started = |e: &Edge| configuration_version(e) == 1 && up_count(e) == fleet.len();
        fleet.iter().all(|e| has_started(e))
    })
    .await;
    // Calls of daemons that took themselves for watchers while they knew no others have ended.
    sleep(APPLY_TIMEOUT).await;
    fleet
}

async fn check_series(series: Series) {
    let store = Store::start().await;
    let entry = entry_spec("10.0.0.1:80");
    store.put("servers", "s1", entry, entry_status("ready"));
    store.put("config", "main", series.configuration(1), Value::Null);
    let fleet = start_fleet(series, &store).await;
    let last = series.write(&store).await;
    assert_eventually(APPLY_TIMEOUT, &format!("last of {series:?}"), || {
        fleet.iter().all(|e| configuration_version(e) == last)
    })
    .await;
}

/// Guards against watchers that keep an old configuration until the history of the store is gone: a
/// response to a watch contains each of the changes in full, more are made while it arrives, and one
/// that does not fit into the time of a call is requested again and again.
#[tokio::test(flavor = "multi_thread")]
async fn last_of_many_large_configurations_is_in_force_in_time() {
    let series = Series {
        routes: 1_400,
        link_mbit_per_s: 10,
        changes: 26,
        gap: Duration::from_millis(60),
    };
    check_series(series).await;
}

/// Same with other speeds, sizes, intervals and counts.
#[tokio::test(flavor = "multi_thread")]
async fn last_of_a_drawn_series_is_in_force_in_time() {
    let seeds = match std::env::var(SEEDS_VARIABLE) {
        Ok(text) => {
            let (first, last) = text.split_once('-').expect("two seeds");
            first.parse().expect("a number")..=last.parse().expect("a number")
        }
        Err(_) => SEEDS,
    };
    for seed in seeds {
        println!("seed {seed}");
        check_series(Series::draw(seed)).await;
    }
}

/// Guards against a daemon that goes on with what it knew before the store turned it away, because
/// the changes since then are more than fit into the time of a call.
#[tokio::test(flavor = "multi_thread")]
async fn changes_during_a_long_refusal_are_in_force_in_time() {
    const SERVERS: usize = 40;
    const CHANGES_OF_EACH_SERVER: usize = 250;
    let series = Series {
        routes: 700,
        link_mbit_per_s: 10,
        changes: 30,
        gap: Duration::ZERO,
    };
    let store = Store::start().await;
    let write_server = |n: usize, state: &str| {
        let entry = entry_spec(&format!("10.0.0.{n}:80"));
        store.put("servers", &format!("s{n}"), entry, entry_status(state));
    };
    let write_servers = |state: &str| (0..SERVERS).for_each(|n| write_server(n, state));
    write_servers("ready");
    store.put("config", "main", series.configuration(1), Value::Null);
    let address = start_link(store.address, series.link_mbit_per_s).await;
    let edge = start_daemon(next_port(), 2, "a", address).await;
    assert_eventually(START_TIMEOUT, "first state", || {
        configuration_version(&edge) == 1 && accepting_servers(&edge) == SERVERS
    })
    .await;
    store.set_response_mode(ResponseMode::Unavailable);
    // The pending watches have ended.
    sleep(APPLY_TIMEOUT).await;
    for _ in 0..CHANGES_OF_EACH_SERVER / 2 {
        write_servers("draining");
        write_servers("ready");
    }
    write_server(0, "draining");
    let last = series.write(&store).await;
    store.set_response_mode(ResponseMode::Respond);
    assert_eventually(APPLY_TIMEOUT, "last state", || {
        configuration_version(&edge) == last && accepting_servers(&edge) == SERVERS - 1
    })
    .await;
}

/// Guards against daemons that get the last configuration of a series late from a daemon that
/// watches the store: all earlier ones were sent to them as well, over the same link.
#[tokio::test(flavor = "multi_thread")]
async fn superseded_configurations_do_not_delay_the_last_one_between_daemons() {
    const CONFIGURATION_BYTES: usize = 270_000;
    const CHANGES: u8 = 26;
    let port = next_port();
    let address = |host: u8| SocketAddr::from(([127, 0, 0, host], port));
    let (sender, mut sender_events) = Peers::bind(address(2)).expect("a peer socket");
    let (_receiver, mut received) = Peers::bind(address(3)).expect("a peer socket");
    let to = start_datagram_link(address(3), 10).await;
    sender.start_connecting(to);
    let connected = sender_events.recv().await.expect("an event");
    assert!(matches!(connected, Incoming::Connected(_)), "{connected:?}");
    for change in 1..=CHANGES {
        let update = StoreUpdate {
            configuration: Some(Bytes::from(vec![change; CONFIGURATION_BYTES])),
            ..StoreUpdate::default()
        };
        sender.send_store_update(to, &update);
        sleep(Duration::from_millis(60)).await;
    }
    let deadline = Instant::now() + APPLY_TIMEOUT;
    loop {
        let event = timeout_at(deadline, received.recv()).await;
        let event = event.expect("the last configuration in time");
        match event.expect("an event") {
            Incoming::Configuration(_, bytes) if bytes[0] == CHANGES => {
                assert_eq!(bytes.len(), CONFIGURATION_BYTES);
                return;
            }
            _ => {}
        }
    }
}
