//! The commands `status` and `explain`, and the metrics endpoint, against a running fleet.

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use corianderworks::fleet::{Fleet, ee_north};
use corianderworks::status_types::{Explanation, Status};
use corianderworks_standin::backend::BackendSettings;
use corianderworks_standin::platform::PlatformFault;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

async fn run_json_command<T>(command: &str, daemon: SocketAddr, extra_args: &[&str]) -> T
where
    T: DeserializeOwned,
{
    let mut process = Command::new(env!("CARGO_BIN_EXE_corianderworks"));
    process.args([command, "--daemon", &daemon.to_string(), "--json"]);
    process.args(extra_args);
    let output = tokio::task::spawn_blocking(move || process.output().unwrap()).await;
    let output = output.unwrap();
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Sends one request that is served and one that is refused, and returns the metrics.
async fn metrics_after_requests(daemon: SocketAddr) -> String {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let mut text = String::new();
    for path in ["/stock", "/none", "/metrics"] {
        let request = Request::get(format!("http://{daemon}{path}"))
            .header("cw-customer", "customer-0")
            .body(Empty::new())
            .unwrap();
        let body = client.request(request).await.unwrap().into_body();
        text = String::from_utf8_lossy(&body.collect().await.unwrap().to_bytes()).into_owned();
    }
    text
}

/// Guards against `status`, `explain` and the metrics reporting anything but the daemon's actual
/// state.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn commands_show_the_state_of_a_running_fleet() {
    let backend = BackendSettings::default();
    let mut fleet = Fleet::start(ee_north(), backend, 4).await.unwrap();
    fleet.add_daemons(4).await.unwrap();
    let start = Instant::now();
    let daemon = fleet.daemons[0].1.http_address;
    let status = loop {
        let status: Status = run_json_command("status", daemon, &[]).await;
        let is_complete = |s: &Status| s.ready && s.services.iter().all(|s| s.homes.len() == 4);
        let has_permits = |s: &Status| s.services.iter().any(|s| !s.permits.is_empty());
        if status.members.len() == 4 && is_complete(&status) && has_permits(&status) {
            break status;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "{status:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!(status.name, "entry-0");
    assert!(status.members.iter().all(|m| m.state == "alive"));
    let configuration = status.configuration.unwrap();
    assert_eq!((configuration.version, &*configuration.who), (1, "fleet"));
    assert!(status.platform.reachable && status.alarms.is_empty());
    let ordering = status.services.iter().find(|s| s.name == "ordering");
    let ordering = ordering.unwrap();
    assert_eq!((ordering.healthy, ordering.floor), (11, 8));
    assert!(ordering.upstreams.iter().all(|u| u.state == "healthy"));

    let cases = [
        ("customer-0", "GET", "/stock", None),
        ("customer-0", "POST", "/ordering/orders", None),
        ("customer-0", "DELETE", "/stock", Some("method")),
        ("customer-0", "GET", "/none", Some("no-route")),
        ("nobody & co", "GET", "/stock", Some("unknown-customer")),
    ];
    for (customer, method, path, reason) in cases {
        let extra_args = ["--customer", customer, "--method", method, "--path", path];
        let explanation: Explanation = run_json_command("explain", daemon, &extra_args).await;
        assert_eq!(explanation.reason.as_deref(), reason, "{explanation:?}");
        assert_eq!(explanation.admitted, reason.is_none());
        assert_eq!(explanation.limit_homes.len(), 2);
        let has_homes_and_plan = explanation.homes.len() == 4 && explanation.plan.is_some();
        assert!(reason.is_some() || has_homes_and_plan, "{explanation:?}");
    }

    let metrics_after_requests = metrics_after_requests(daemon).await;
    for line in [
        "corianderworks_requests_total{outcome=\"not-run\"} 1",
        "corianderworks_requests_total{outcome=\"served\"} 1",
        "corianderworks_refusals_total{reason=\"no-route\"} 1",
        "corianderworks_configuration_version 1",
    ] {
        assert!(
            metrics_after_requests.lines().any(|l| l == line),
            "{line} in {metrics_after_requests}"
        );
    }
    for name in [
        "added_latency_seconds_count",
        "platform_calls_total",
        "control_bytes_total",
    ] {
        assert!(
            metrics_after_requests.contains(name),
            "{name} in {metrics_after_requests}"
        );
    }

    fleet.platform.set_fault(PlatformFault {
        outage: true,
        ..PlatformFault::default()
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let status: Status = run_json_command("status", daemon, &[]).await;
    assert!(!status.platform.reachable);
    assert!(
        status
            .alarms
            .iter()
            .any(|a| a.name == "platform-unreachable")
    );
}
