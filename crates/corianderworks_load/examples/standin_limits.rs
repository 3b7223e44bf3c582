//! Measures the limits of the stand-ins: calls per second and latency over several connections,
//! each with one call in flight.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfy_table::{Table, presets};
use corianderworks_load::recorder::LatencyHistogram;
use corianderworks_standin::backend::{BackendSettings, BackendStandIn, ServiceTime};
use corianderworks_standin::platform::{PlatformSettings, PlatformStandIn};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

const DURATION: Duration = Duration::from_secs(3);
const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

struct Case {
    name: &'static str,
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
    condition: Option<&'static str>,
    http2: bool,
}

/// Sends calls over one connection, one after the other, and records their latencies.
async fn measure_connection(case: &Case, connection: String) -> LatencyHistogram {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new())
        .http2_only(case.http2)
        .build_http();
    let mut histogram = LatencyHistogram::default();
    let started = Instant::now();
    let mut call_number = 0_u64;
    while started.elapsed() < DURATION {
        call_number += 1;
        let path = case
            .path
            .replace("{}", &format!("{connection}-{call_number}"));
        let mut request = Request::builder()
            .method(case.method)
            .uri(format!("http://{}{path}", case.address))
            .header("cw-check", "c");
        if let Some(condition) = case.condition {
            request = request.header("if-none-match", condition);
        }
        let request = request.body(Full::default()).expect("a valid request");
        let sent = Instant::now();
        let response = client.request(request).await.expect("a response");
        assert!(response.status().is_success(), "{}", response.status());
        response.into_body().collect().await.expect("a whole body");
        histogram.record(sent.elapsed());
    }
    histogram
}

async fn measure(case: &Case, connections: usize, table: &mut Table) {
    let started = Instant::now();
    let names = (0..connections).map(|n| format!("{connections}-{n}"));
    let measurements = names.map(|connection| measure_connection(case, connection));
    let histograms = futures_util::future::join_all(measurements).await;
    let seconds = started.elapsed().as_secs_f64();
    let mut merged = LatencyHistogram::default();
    for histogram in &histograms {
        merged.merge(histogram);
    }
    let latency = merged.latency();
    table.add_row([
        case.name.to_owned(),
        connections.to_string(),
        format!("{:.0}", latency.count as f64 / seconds),
        latency.p50_us.to_string(),
        latency.p99_us.to_string(),
    ]);
}

#[tokio::main(worker_threads = 4)]
async fn main() {
    let backend_settings = BackendSettings {
        slots: 64,
        connect_us: 0,
        service_time: ServiceTime {
            median_ms: 0.0,
            ..ServiceTime::default()
        },
        record_request_ids: false,
        ..BackendSettings::default()
    };
    let backend = BackendStandIn::start(LOOPBACK.into(), backend_settings).await;
    let backend = backend.expect("start the backend stand-in");
    let platform_settings = PlatformSettings {
        writes_per_s: 0,
        reads_per_s: 0,
        latency_ms: 0,
        ..PlatformSettings::default()
    };
    let platform = PlatformStandIn::start(LOOPBACK.into(), platform_settings).await;
    let platform = platform.expect("start the platform stand-in");
    platform.write("m", vec![b'x'; 1_000]);
    let case = |name, address, path, http2| Case {
        name,
        address,
        method: "GET",
        path,
        condition: None,
        http2,
    };
    let (backend_address, platform_address) = (backend.address(), platform.address());
    let put_case = Case {
        method: "PUT",
        condition: Some("*"),
        ..case(
            "platform PUT of a new object",
            platform_address,
            "/objects/{}",
            false,
        )
    };
    let cases = [
        case("backend JSON, HTTP/1.1", backend_address, "/x", false),
        case("backend JSON, HTTP/2", backend_address, "/x", true),
        case(
            "backend 16 KiB, HTTP/1.1",
            backend_address,
            "/x?size=16384",
            false,
        ),
        case(
            "platform GET of 1 KB",
            platform_address,
            "/objects/m",
            false,
        ),
        put_case,
    ];
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["call", "connections", "calls/s", "p50 us", "p99 us"]);
    for case in &cases {
        for connections in [1, 8, 32] {
            measure(case, connections, &mut table).await;
        }
    }
    println!("{table}");
}
