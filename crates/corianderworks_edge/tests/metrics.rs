//! Metrics of the state of a daemon, and their number.

mod support;

use std::collections::BTreeMap;

use corianderworks_decision::edge::load_balancer::Evidence;
use corianderworks_decision::edge::routes::{
    CallerLimits, ConfigVersion, Configuration, Idempotency, Route, WeightedService,
};
use corianderworks_decision::edge::servers::ServerEntry;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{Action, Backend, Daemon, server_entry};

/// Size to design for.
const SERVICES: usize = 150;
const SERVERS: usize = 4_000;
const ROUTES: usize = 4_100;

/// Values by name with labels.
fn series(daemon: &Daemon) -> BTreeMap<String, f64> {
    let text = daemon.edge.metrics_text().unwrap();
    let lines = text.lines().filter(|l| !l.starts_with('#'));
    let pairs = lines.filter_map(|l| l.rsplit_once(' '));
    pairs
        .map(|(name, value)| (name.to_owned(), value.parse().unwrap()))
        .collect()
}

fn state(name: &str) -> String {
    format!("corianderworks_edge_state{{name=\"{name}\"}}")
}

/// Guards against an engineer on call who can't tell how full a service is, how current the
/// configuration is, or what the process uses.
#[tokio::test]
async fn metrics_show_load_currency_and_resources() {
    let backend = Backend::start([Action::Hang]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller
        .send("GET /write/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: w1\r\n\r\n")
        .await;
    while backend.received_requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let series = series(&daemon);
    let expected = [
        (
            "corianderworks_edge_service_load{service=\"ledger\",what=\"in-flight\"}",
            1.0,
        ),
        (
            "corianderworks_edge_service_load{service=\"ledger\",what=\"slots\"}",
            4.0,
        ),
        (
            "corianderworks_edge_server_load{server=\"s0\",service=\"ledger\",what=\"in-flight\"}",
            1.0,
        ),
        (
            "corianderworks_edge_server_load{server=\"s0\",service=\"ledger\",what=\"slots\"}",
            4.0,
        ),
        (
            "corianderworks_edge_retry_budget_left{service=\"ledger\"}",
            1.0,
        ),
        (&state("configuration_version"), 1.0),
        (&state("log_lines_omitted"), 0.0),
    ];
    for (name, value) in expected {
        assert_eq!(series.get(name), Some(&value), "{name} in {series:#?}");
    }
    for name in ["resident_bytes", "open_descriptors"] {
        let value = series.get(&state(name)).copied().unwrap_or_default();
        assert!(value > 0.0, "{name} in {series:#?}");
    }
    for name in ["configuration_age_ms", "processor_time_ms"] {
        assert!(series.contains_key(&state(name)), "{name} in {series:#?}");
    }
    // Nobody has read the store.
    assert!(!series.contains_key(&state("servers_read_age_ms")));
}

/// Daemon with requests in flight at all of its servers, some of which fail.
async fn loaded_daemon(servers: usize, routes: usize) -> Daemon {
    let daemon = Daemon::start().await;
    let service = |number: usize| -> Arc<str> { format!("service-{}", number % SERVICES).into() };
    let route = |number: usize| Route {
        name: format!("route-{number}").as_str().into(),
        path_prefix: format!("/{number}/"),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(600),
        priority: number as u32,
        attempts_max: 2,
        is_public: false,
        split: vec![WeightedService {
            service: service(number),
            weight: 1,
        }],
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    let hosts = [("shop.example".to_owned(), routes.clone())];
    let version = ConfigVersion(1);
    let configuration = Configuration::new(version, CallerLimits::default(), hosts, []);
    daemon
        .edge
        .install_configuration(Arc::new(configuration), None, "test");
    let address = "127.0.0.1:9".parse().unwrap();
    let entry = |number: usize| ServerEntry {
        service: service(number),
        domain: format!("domain-{}", number % 7).into(),
        ..server_entry(&format!("s{number}"), address, 4)
    };
    let entries = (0..servers).map(entry).collect();
    daemon.edge.replace_servers(entries, 1, "list");
    for number in 0..servers {
        let id = format!("s{number}");
        let key = daemon.edge.lock_state().servers.key_of_id(&id).unwrap();
        // Forgotten, so that the request stays in flight.
        std::mem::forget(daemon.edge.start_attempt(key));
        daemon.edge.observe(key, Evidence::Failure);
    }
    for route in &routes {
        daemon
            .edge
            .record_latency(route, Duration::from_millis(100));
    }
    daemon
}

/// Guards against a series for each server or route, which would exceed the memory of a VM.
#[tokio::test]
async fn number_of_series_does_not_grow_with_servers_and_routes() {
    let few = loaded_daemon(SERVERS / 2, ROUTES / 2).await;
    let many = loaded_daemon(SERVERS, ROUTES).await;
    let (few, many) = (series(&few), series(&many));
    println!("{} and {} series", few.len(), many.len());
    assert_eq!(few.len(), many.len());
}

/// Measures the time to read the metrics, and their size:
/// `cargo test --release -p corianderworks_edge --test metrics -- --ignored --nocapture`.
#[tokio::test]
#[ignore = "a measurement"]
async fn cost_of_reading_the_metrics() {
    const READS: u32 = 200;
    let daemon = loaded_daemon(SERVERS, ROUTES).await;
    for _ in 0..3 {
        let started = Instant::now();
        let mut bytes = 0;
        for _ in 0..READS {
            bytes = daemon.edge.metrics_text().unwrap().len();
        }
        let took = started.elapsed() / READS;
        let started = Instant::now();
        for _ in 0..READS {
            daemon.edge.metrics.prometheus_text().unwrap();
        }
        let encoding = started.elapsed() / READS;
        println!("{took:?} and {bytes} bytes a read, {encoding:?} of it to encode the series");
    }
}
