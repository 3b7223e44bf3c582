//! Measures the limits of the load generator: callers connect directly to backend stand-ins with a
//! service time of zero, without the fleet.

use std::time::Duration;

use comfy_table::{Table, presets};
use corianderworks_load::outcome::Outcome;
use corianderworks_load::settings::{HttpMethod, Phase, RouteMix, Weighted};
use corianderworks_load::{LoadSettings, run};
use corianderworks_standin::backend::{BackendSettings, BackendStandIn, ServiceTime};

const BACKEND_COUNT: usize = 8;
const RUN_DURATION: Duration = Duration::from_secs(5);
const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

#[tokio::main(worker_threads = 4)]
async fn main() {
    let mut backends = Vec::new();
    for _ in 0..BACKEND_COUNT {
        let settings = BackendSettings {
            slots: 64,
            connect_us: 0,
            service_time: ServiceTime {
                median_ms: 0.0,
                ..ServiceTime::default()
            },
            ..BackendSettings::default()
        };
        let backend = BackendStandIn::start(LOOPBACK.into(), settings).await;
        backends.push(backend.expect("start a backend stand-in"));
    }
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "rate/s",
        "answered/s",
        "not answered",
        "violations",
        "p50 us",
        "p99 us",
        "p50 us from send",
        "p99 us from send",
    ]);
    for rate_per_s in [500.0, 2_000.0, 8_000.0, 16_000.0] {
        let settings = LoadSettings {
            direct: backends.iter().map(BackendStandIn::address).collect(),
            callers: 40,
            routes: vec![RouteMix {
                service: "ordering".to_owned(),
                path: "/orders".to_owned(),
                weight: 1,
                methods: vec![
                    Weighted {
                        value: HttpMethod::Get,
                        weight: 4,
                    },
                    Weighted {
                        value: HttpMethod::Post,
                        weight: 1,
                    },
                ],
                sizes: vec![
                    Weighted {
                        value: 0,
                        weight: 1,
                    },
                    Weighted {
                        value: 4_096,
                        weight: 1,
                    },
                ],
                request_sizes: vec![Weighted {
                    value: 200,
                    weight: 1,
                }],
            }],
            phases: vec![Phase {
                for_ms: RUN_DURATION.as_millis() as u64,
                rate_per_s,
            }],
            ..LoadSettings::default()
        };
        let report = run(settings, &backends).await.expect("a run");
        let answered = report.count(Outcome::Answered);
        let row = [
            rate_per_s as u64,
            report.goodput_per_s as u64,
            report.requests - answered,
            report.violation_count(),
            report.latency.p50_us,
            report.latency.p99_us,
            report.since_send.p50_us,
            report.since_send.p99_us,
        ];
        table.add_row(row);
    }
    println!("{table}");
}
