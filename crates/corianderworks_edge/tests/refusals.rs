//! Tests of requests that wait because servers refused them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_decision::edge::budget::RetryBudgetBounds;
use corianderworks_edge::caller;
use corianderworks_edge::metrics::Metrics;
use corianderworks_edge::state::Edge;
use corianderworks_platform::settings::Settings;
use support::{
    Action, Backend, Daemon, RESPONSE_TIMEOUT, assert_eventually, configuration_with_timeout,
    settings,
};
use tokio::net::TcpListener;

/// Starts a daemon with a patient route, one server and a retry budget of a few retries per second.
async fn start_daemon(backend: &Backend) -> Daemon {
    let settings = Settings {
        budget: RetryBudgetBounds {
            ratio: 0.2,
            extra: 10.0,
            window: Duration::from_secs(1),
        },
        ..settings()
    };
    let metrics = Metrics::new().expect("metrics");
    let edge = Arc::new(Edge::new(settings, Arc::new(SystemClock::new()), metrics));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(caller::accept(edge.clone(), listener));
    let configuration = configuration_with_timeout(1, Duration::from_secs(8));
    edge.install_configuration(Arc::new(configuration), None, "test");
    let daemon = Daemon { edge, address };
    daemon.apply_entry("s0", backend, "a", 1);
    daemon
}

fn patient_get(id: &str) -> String {
    format!("GET /read/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\r\n")
}

/// A caller with time left must not be refused because the retry budget is used up for the moment.
#[tokio::test]
async fn a_refused_request_waits_for_the_retry_budget() {
    let backend = Backend::start(vec![Action::Refuse; 4]).await;
    let daemon = start_daemon(&backend).await;
    let mut caller = daemon.connect().await;
    caller.send(&patient_get("r1")).await;
    let response = tokio::time::timeout(Duration::from_secs(9), caller.response()).await;
    let response = response.expect("a response in time").expect("a response");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(backend.received_requests().len(), 5);
}

/// A request whose caller has left must not take a slot.
#[tokio::test]
async fn a_waiting_request_is_not_sent_after_its_caller_has_left() {
    let backend = Backend::start(vec![Action::Refuse; 100]).await;
    let daemon = start_daemon(&backend).await;
    let mut caller = daemon.connect().await;
    caller.send(&patient_get("r1")).await;
    let is_refused = || !backend.received_requests().is_empty();
    assert_eventually(RESPONSE_TIMEOUT, "a refused attempt", is_refused).await;
    assert_eq!(daemon.edge.in_flight(), 1);
    drop(caller);
    let has_left = || daemon.edge.in_flight() == 0;
    assert_eventually(RESPONSE_TIMEOUT, "the end of the request", has_left).await;
    let received = backend.received_requests().len();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(backend.received_requests().len(), received);
}
