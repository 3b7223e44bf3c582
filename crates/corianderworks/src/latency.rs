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

/// Daemons of the measured fleet: more than a service has homes, so that some only relay.
const DAEMONS: usize = 8;
/// Service that is called.
const SERVICE: &str = "timber-grades";
/// Response bodies, in bytes.
const BODY_BYTES: usize = 1_024;
/// Requests per second on each path.
const RATE_PER_S: u32 = 250;
/// After a change of the members, limit homes save up allowance before they grant any.
const ALLOWANCE_TIME: Duration = Duration::from_secs(1);
/// Added latency allowed for 99 in 100 requests, in microseconds.
const TARGET_US: u64 = 2_100;

/// Why the measurement failed.
#[derive(Debug, Error)]
pub enum LatencyError {
    /// The fleet failed to start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A request failed.
    #[error("a request failed: {0}")]
    Request(String),
    /// No daemon took the wanted part.
    #[error("no daemon is {0} of the service")]
    NoDaemon(&'static str),
}

/// Latency on one path.
#[derive(Debug, Serialize)]
pub struct PathLatency {
    /// The path.
    pub path: &'static str,
    /// Requests measured.
    pub requests: u64,
    /// Latency of 50 in 100 requests, in microseconds.
    pub p50_us: u64,
    /// Latency of 99 in 100 requests, in microseconds.
    pub p99_us: u64,
    /// Latency added at p50 over the direct path, in microseconds.
    pub added_p50_us: i64,
    /// Latency added at p99 over the direct path, in microseconds.
    pub added_p99_us: i64,
}

/// Measures a direct connection, a home and a relay side by side.
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
        .ok_or(LatencyError::NoDaemon("backend server"))?
        .vm
        .address;
    let find = |home: bool| {
        let found = fleet
            .daemons
            .iter()
            .find(|(_, daemon)| daemon.is_home(SERVICE) == home);
        found.map(|(_, daemon)| daemon.http_address)
    };
    let home = find(true).ok_or(LatencyError::NoDaemon("home"))?;
    let relay = find(false).ok_or(LatencyError::NoDaemon("no home"))?;
    let paths = [("direct", direct), ("home", home), ("relayed", relay)];
    let (a, b, c) = tokio::try_join!(
        run_path(paths[0].1, requests),
        run_path(paths[1].1, requests),
        run_path(paths[2].1, requests),
    )?;
    let base = (
        a.value_at_quantile(0.5) as i64,
        a.value_at_quantile(0.99) as i64,
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
            added_p50_us: p50_us as i64 - base.0,
            added_p99_us: p99_us as i64 - base.1,
        }
    };
    Ok([("direct", a), ("home", b), ("relayed", c)]
        .into_iter()
        .map(row)
        .collect())
}

/// Measures and prints; returns whether the target is met.
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
    let verdict = if met { "met" } else { "missed" };
    println!("target: at most {TARGET_US} µs added at p99: {verdict}");
    Ok(met)
}

async fn run_path(address: SocketAddr, requests: u32) -> Result<Histogram<u64>, LatencyError> {
    let mut sender = connect(address).await?;
    let mut histogram =
        Histogram::new(3).map_err(|error| LatencyError::Request(error.to_string()))?;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / RATE_PER_S);
    // The first requests set up connections and are not part of a steady state.
    let warm_up = requests / 10;
    for number in 0..requests + warm_up {
        interval.tick().await;
        let start = Instant::now();
        exchange(&mut sender).await?;
        if number >= warm_up {
            histogram.saturating_record(start.elapsed().as_micros() as u64);
        }
    }
    Ok(histogram)
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, LatencyError> {
    let stream = TcpStream::connect(address).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(failed)?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(sender: &mut SendRequest<Body>) -> Result<(), LatencyError> {
    sender.ready().await.map_err(failed)?;
    let request = Request::get(format!("/{SERVICE}?size={BODY_BYTES}"))
        .header("host", "corianderworks")
        .header("cw-customer", "customer-1")
        .header("cw-check", "latency")
        .body(body::empty())
        .map_err(failed)?;
    let response = sender.send_request(request).await.map_err(failed)?;
    let status = response.status();
    let content = response
        .into_body()
        .collect()
        .await
        .map_err(failed)?
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

fn failed(error: impl std::fmt::Display) -> LatencyError {
    LatencyError::Request(error.to_string())
}
