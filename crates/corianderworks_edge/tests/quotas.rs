//! Quotas of organisations at a daemon: which requests are refused, and what is reported.

mod support;

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::organisations::{Organisation, Organisations, RateLimit};
use corianderworks_edge::reason::Reason;
use corianderworks_edge::report_datagrams::encode;
use support::{Action, Backend, Daemon, get, header};

/// Tokens of an organisation with this burst at a daemon without peers: the burst and the part of the
/// tolerance of 20 requests that is added to it.
const BURST: f64 = 2.0;
const TOKENS: usize = 8;

async fn daemon_with(backend: &Backend) -> Daemon {
    let daemon = Daemon::with_backends(&[backend]).await;
    let mut organisations = Organisations::new([1; 32]);
    let north = Organisation {
        name: "north".into(),
        priority: None,
        limit: Some(RateLimit {
            rate_per_s: 0.01,
            burst: BURST,
        }),
    };
    let south = Organisation {
        name: "south".into(),
        priority: None,
        limit: None,
    };
    organisations.add(north, ["key-of-north"]);
    organisations.add(south, ["key-of-south"]);
    let configuration = support::configuration(2).with_organisations(organisations);
    daemon
        .edge
        .install_configuration(Arc::new(configuration), None, "test");
    let edge = daemon.edge.clone();
    let update = move || {
        let now = edge.clock.now();
        let quotas = &mut edge.lock_state().quotas;
        quotas.set_reporting_daemons(1, Some(1), now);
    };
    update();
    // The task for the peers, which doesn't run here, does the same; a longer time without it counts
    // as a pause of the process.
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            update();
        }
    });
    daemon
}

fn request(organisation: &str) -> String {
    let line = format!("\r\nAuthorization: Token key-of-{organisation}\r\n");
    get("/read/x", "r1").replacen("\r\n", &line, 1)
}

#[tokio::test]
async fn requests_above_the_quota_are_refused_and_not_sent() {
    let backend = Backend::start([]).await;
    let daemon = daemon_with(&backend).await;
    for _ in 0..TOKENS {
        assert_eq!(daemon.fetch(&request("north")).await.status, 200);
    }
    let response = daemon.fetch(&request("north")).await;
    assert_eq!(response.status, 429);
    assert!(response.body.contains("\"quota\""), "{}", response.body);
    let retry_after = header(&response.head, "retry-after").expect("a retry time");
    let retry_after_s: f64 = retry_after.parse().expect("a number");
    assert!((0.2..=7.5).contains(&retry_after_s), "{retry_after}");
    assert_eq!(backend.received_requests().len(), TOKENS);
    // Organisations without a limit, and the metrics, aren't affected.
    assert_eq!(daemon.fetch(&request("south")).await.status, 200);
    let metrics = daemon.edge.metrics_text().expect("metrics");
    let expected = "corianderworks_edge_quota_refused{organisation=\"north\"} 1";
    assert!(metrics.contains(expected), "{metrics}");
    assert!(!metrics.contains("south"), "{metrics}");
}

/// Guards against a quota that is used up by requests that no server ran.
#[tokio::test]
async fn refused_requests_give_their_token_back() {
    // More refusals than a request gets.
    let backend = Backend::start(vec![Action::Refuse; 200]).await;
    let daemon = daemon_with(&backend).await;
    for _ in 0..TOKENS * 2 {
        let response = daemon.fetch(&request("north")).await;
        assert_eq!(response.status, 503, "{}", response.body);
    }
}

/// Requests of organisations without a limit must add nothing to reports, and a report without
/// organisations one byte at most.
#[tokio::test]
async fn only_organisations_with_a_limit_add_to_reports() {
    let backend = Backend::start([]).await;
    let daemon = daemon_with(&backend).await;
    daemon.fetch(&request("south")).await;
    let without = daemon.edge.take_report(1, false);
    assert_eq!(without.quotas, []);
    daemon.fetch(&request("north")).await;
    let mut with = daemon.edge.take_report(2, false);
    assert_eq!(with.quotas.len(), 1);
    let bytes_with = encode(std::slice::from_ref(&with))[0].len();
    with.quotas.clear();
    let bytes_without = encode(&[with])[0].len();
    println!("bytes of a request: {}", bytes_with - bytes_without);
    assert!(bytes_with - bytes_without <= 7);
    assert_eq!(daemon.edge.take_report(3, false).quotas, []);
}

/// Guards against messages that quotas would add: neither an admission nor a refusal sends a report
/// of its own.
#[tokio::test]
async fn the_quota_sends_no_report() {
    let backend = Backend::start([]).await;
    let daemon = daemon_with(&backend).await;
    let edge = daemon.edge.clone();
    // Takes a notification of the start, if there is one.
    let notified = |wait| tokio::time::timeout(wait, edge.report_trigger.notified());
    notified(Duration::from_millis(20)).await.ok();
    let north = Organisation {
        name: "north".into(),
        priority: None,
        limit: Some(RateLimit {
            rate_per_s: 0.01,
            burst: BURST,
        }),
    };
    for _ in 0..TOKENS * 2 {
        edge.admit_to_quota(&north).ok();
    }
    assert!(notified(Duration::from_millis(50)).await.is_err());
}

#[test]
fn a_quota_refusal_says_that_the_request_was_not_run() {
    assert_eq!(Reason::Quota.status().0, 429);
    assert!(Reason::Quota.means_not_run());
    assert!(!Reason::TimedOut.means_not_run());
}
