//! Log lines from which engineers on call learn what a daemon did and believed.

mod support;

use std::time::Duration;

use corianderworks_decision::edge::load_balancer::{Evidence, RelativeLatency};
use serde_json::Value;
use support::log::Log;
use support::{Action, Backend, Daemon, server_entry};
use tokio::time::{Instant, sleep};

/// Lines that one second may hold for each kind of line.
const LINES_PER_S: usize = 100;

/// Guards against callers that give up at a stalled server whose log lines don't name it.
#[tokio::test]
async fn line_of_a_request_whose_caller_left_names_its_server() {
    let log = Log::start();
    let backend = Backend::start([Action::Hang]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller
        .send("GET /write/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: left\r\n\r\n")
        .await;
    while backend.received_requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    let line = log.line("forward: caller left", ("request", "left")).await;
    assert_eq!(line["service"], "ledger");
    let servers = line["servers"].as_str().unwrap();
    assert!(
        servers.starts_with("s0(busy ") && servers.ends_with("(unfinished)"),
        "{servers}"
    );
}

/// Guards against a wrong refusal or failure of which the log can't tell whether it was the response
/// to an earlier request on the connection.
#[tokio::test]
async fn line_of_a_failed_request_names_the_connection_and_the_skipped_responses() {
    const OTHER_THEN_OWN: &str = "HTTP/1.1 503 Full\r\nRequest-Id: other\r\nNot-Executed: 1\r\n\
                                  Content-Length: 0\r\n\r\nHTTP/1.1 500 Bad\r\n\
                                  Request-Id: {id}\r\nContent-Length: 0\r\n\r\n";
    let log = Log::start();
    let backend = Backend::start([support::OK, Action::Raw(OTHER_THEN_OWN)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    for id in ["skip-1", "skip-2"] {
        daemon.fetch(&support::post("/write/x", id, "fee")).await;
    }
    let line = log.line("forward: ended", ("request", "skip-2")).await;
    let servers = line["servers"].as_str().unwrap();
    assert!(servers.contains("failed:500 (reused port "), "{servers}");
    assert!(servers.ends_with(", skipped 1)"), "{servers}");
    let metrics = daemon.edge.metrics_text().unwrap();
    let skipped = "corianderworks_edge_skipped_responses_total{service=\"ledger\"} 1";
    assert!(metrics.contains(skipped), "{metrics}");
}

/// Guards against servers that get no requests without a line that tells since when and why.
#[tokio::test]
async fn suspected_server_is_logged_with_its_evidence() {
    let log = Log::start();
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let key = daemon.edge.lock_state().servers.key_of_id("s0").unwrap();
    daemon.edge.observe(key, Evidence::Failure);
    daemon.edge.observe(key, Evidence::Failure);
    let line = log.line("servers: suspected", ("server", "s0")).await;
    assert_eq!(line["evidence"], "failure");
    assert_eq!(line["source"], "own");
    for _ in 0..10 {
        daemon
            .edge
            .observe(key, Evidence::Success(RelativeLatency(100)));
    }
    let line = log
        .line("servers: no longer suspected", ("server", "s0"))
        .await;
    assert_eq!(line["evidence"], "success");
    assert_eq!(line["failures"], 2);
}

/// A list of the store may remove thousands of servers at once, for example when an operator
/// deletes a service. The lines must stay bounded and name servers by their id.
#[tokio::test]
async fn removal_of_all_servers_is_logged_in_few_lines_that_name_them() {
    let log = Log::start();
    let backend = Backend::start([]).await;
    let daemon = Daemon::start().await;
    let count = 4_000;
    let entries: Vec<_> = (0..count)
        .map(|i| server_entry(&format!("s{i}"), backend.address, 4))
        .collect();
    daemon.edge.replace_servers(entries, 1, "list");
    sleep(Duration::from_millis(1_100)).await;
    let started = Instant::now();
    daemon.edge.replace_servers(Vec::new(), 2, "list");
    assert!(daemon.edge.lock_state().servers.is_empty());
    let seconds = started.elapsed().as_secs() as usize + 2;
    let lines = log.lines("servers: removed", ("source", "list"));
    assert!(lines.len() <= seconds * LINES_PER_S, "{}", lines.len());
    let is_id = |l: &Value| l["server"].as_str().is_some_and(|s| s.starts_with('s'));
    assert!(
        !lines.is_empty() && lines.iter().all(is_id),
        "{:?}",
        lines.first()
    );
}
