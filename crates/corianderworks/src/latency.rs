//! Measurement of the latency that daemons add to a request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use comfy_table::Table;
use corianderworks_standin::backend::{BackendSettings, ServiceTime};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::body::{self, Body};
use crate::fleet::{Fleet, FleetError, th_central};

/// Number of daemons of the measured fleet, more than a service has homes, so that some only relay.
const DAEMONS: usize = 8;
/// Service that receives the requests.
const SERVICE: &str = "timber-grades";
/// Size of each response body in bytes.
const BODY_BYTES: usize = 1_024;
/// Number of requests per second on each path.
const RATE_PER_S: u32 = 250;
/// Time after a membership change in which limit homes accumulate allowance and grant none.
const ALLOWANCE_TIME: Duration = Duration::from_secs(1);
/// Maximum added latency at p99, in microseconds.
const TARGET_US: u64 = 2_100;

/// Why the latency could not be measured.
#[derive(Debug, Error)]
pub enum LatencyError {
    /// The fleet failed to start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A connection or request failed, or the response was not a complete success.
    #[error("a request failed: {0}")]
    Request(String),
    /// The fleet has no backend server, home or relay for the measured service.
    #[error("the fleet has no {0} for the service")]
    MissingPath(&'static str),
}

/// Latency on one path to the backend server.
#[derive(Debug, Serialize)]
pub struct PathLatency {
    /// Path: `direct`, `home` or `relayed`.
    pub path: &'static str,
    /// Number of measured requests, without those of the warm-up.
    pub requests: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// Latency at p99 in microseconds.
    pub p99_us: u64,
    /// Difference to the direct path at p50, in microseconds.
    pub added_p50_us: i64,
    /// Difference to the direct path at p99, in microseconds.
    pub added_p99_us: i64,
}

/// Measures the latency of a direct connection, of a home and of a relay at the same time.
pub async fn measure(requests: u32) -> Result<Vec<PathLatency>, LatencyError> {
    let backend = BackendSettings {
        service_time: ServiceTime {
            median_ms: 0.0,
            sigma: 0.0,
            max_ms: 0.0,
        },
        ..BackendSettings::default()
    };
    let mut fleet = Fleet::start(th_central(), backend, 10).await?;
    fleet.add_daemons(DAEMONS).await?;
    for (_, daemon) in &fleet.daemons {
        daemon.ready().await;
    }
    while fleet
        .daemons
        .iter()
        .any(|(_, daemon)| daemon.member_count() < DAEMONS)
    {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(ALLOWANCE_TIME).await;
    let direct = fleet
        .backends
        .iter()
        .find(|backend| backend.service == SERVICE)
        .ok_or(LatencyError::MissingPath("backend server"))?
        .vm
        .address;
    let find_daemon = |is_home: bool| {
        let found = fleet
            .daemons
            .iter()
            .find(|(_, daemon)| daemon.is_home(SERVICE) == is_home);
        found.map(|(_, daemon)| daemon.http_address)
    };
    let home = find_daemon(true).ok_or(LatencyError::MissingPath("home"))?;
    let relay = find_daemon(false).ok_or(LatencyError::MissingPath("relay"))?;
    let paths = [("direct", direct), ("home", home), ("relayed", relay)];
    let (direct_latencies, home_latencies, relay_latencies) = tokio::try_join!(
        measure_path(paths[0].1, requests),
        measure_path(paths[1].1, requests),
        measure_path(paths[2].1, requests),
    )?;
    let direct_quantiles = (
        direct_latencies.value_at_quantile(0.5) as i64,
        direct_latencies.value_at_quantile(0.99) as i64,
    );
    let row = |(path, histogram): (&'static str, Histogram<u64>)| {
        let (p50_us, p99_us) = (
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
        );
        PathLatency {
            path,
            requests: histogram.len(),
            p50_us,
            p99_us,
            added_p50_us: p50_us as i64 - direct_quantiles.0,
            added_p99_us: p99_us as i64 - direct_quantiles.1,
        }
    };
    Ok([
        ("direct", direct_latencies),
        ("home", home_latencies),
        ("relayed", relay_latencies),
    ]
    .into_iter()
    .map(row)
    .collect())
}

/// Measures the paths, prints a table or JSON and returns whether the p99 target is met.
pub async fn run(requests: u32, json: bool) -> Result<bool, LatencyError> {
    let paths = measure(requests).await?;
    let met = paths
        .iter()
        .all(|path| path.added_p99_us <= TARGET_US as i64);
    if json {
        println!(
            "{}",
            serde_json::json!({ "paths": paths, "target_us": TARGET_US, "met": met })
        );
        return Ok(met);
    }
    let mut table = Table::new();
    table.set_header([
        "path",
        "requests",
        "p50 µs",
        "p99 µs",
        "added p50 µs",
        "added p99 µs",
    ]);
    for path in &paths {
        table.add_row([
            path.path.to_owned(),
            path.requests.to_string(),
            path.p50_us.to_string(),
            path.p99_us.to_string(),
            path.added_p50_us.to_string(),
            path.added_p99_us.to_string(),
        ]);
    }
    println!("{table}");
    let result = if met { "met" } else { "missed" };
    println!("target: at most {TARGET_US} µs added at p99: {result}");
    Ok(met)
}

async fn measure_path(address: SocketAddr, requests: u32) -> Result<Histogram<u64>, LatencyError> {
    let mut sender = connect(address).await?;
    let mut histogram =
        Histogram::new(3).map_err(|error| LatencyError::Request(error.to_string()))?;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / RATE_PER_S);
    // The first requests open connections and aren't part of the steady state.
    let warm_up_requests = requests / 10;
    for number in 0..requests + warm_up_requests {
        interval.tick().await;
        let start = Instant::now();
        send_request(&mut sender).await?;
        if number >= warm_up_requests {
            histogram.saturating_record(start.elapsed().as_micros() as u64);
        }
    }
    Ok(histogram)
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, LatencyError> {
    let stream = TcpStream::connect(address).await.map_err(request_error)?;
    stream.set_nodelay(true).map_err(request_error)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(request_error)?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn send_request(sender: &mut SendRequest<Body>) -> Result<(), LatencyError> {
    sender.ready().await.map_err(request_error)?;
    let request = Request::get(format!("/{SERVICE}?size={BODY_BYTES}"))
        .header("host", "corianderworks")
        .header("cw-customer", "customer-1")
        .header("cw-check", "latency")
        .body(body::empty())
        .map_err(request_error)?;
    let response = sender.send_request(request).await.map_err(request_error)?;
    let status = response.status();
    let content = response
        .into_body()
        .collect()
        .await
        .map_err(request_error)?
        .to_bytes();
    if status.is_success() && content.len() == BODY_BYTES {
        Ok(())
    } else {
        Err(LatencyError::Request(format!(
            "{status} with {} bytes",
            content.len()
        )))
    }
}

fn request_error(error: impl std::fmt::Display) -> LatencyError {
    LatencyError::Request(error.to_string())
}
