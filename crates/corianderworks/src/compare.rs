//! Comparison of two balancing modes under the same load: homes that own slots, and daemons that
//! each balance on their own.

use std::time::{Duration, Instant};

use comfy_table::Table;
use corianderworks_lists::settings::Balance;
use corianderworks_load::outcome::Outcome;
use corianderworks_load::reconcile::NotReconciled;
use corianderworks_load::settings::{LoadSettings, Phase};
use corianderworks_standin::backend::{BackendSettings, Mode, ServiceTime};
use serde::Serialize;

use crate::demo::{DemoError, load_settings, wait_ready};
use crate::fleet::{Fleet, ee_north};

/// Number of daemons, the same as the entry VMs of one deployment.
const DAEMONS: usize = 40;
/// Duration of the load in milliseconds.
const LOAD_MS: u64 = 12_000;
/// Time from the start of the load until one backend server of each service fails every request.
const FAILURE_DELAY: Duration = Duration::from_secs(4);
/// Requests per second: 30% of the capacity of 35 backend servers with 2 slots and a median service
/// time of 20 ms.
const RATE_PER_S: f64 = 1_000.0;

/// Measurements of one balancing mode.
#[derive(Debug, Serialize)]
pub struct BalanceMeasurements {
    /// Name of the balancing mode.
    pub balance: &'static str,
    /// Number of requests that the callers sent.
    pub requests: u64,
    /// Number of requests that ended with a complete and correct response.
    pub answered: u64,
    /// Number of requests refused as not run.
    pub not_run: u64,
    /// Number of requests that ended with an error status or with an unknown outcome.
    pub failed: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// Latency at p99 in milliseconds.
    pub p99_ms: f64,
    /// Number of requests that exceeded the slots of a backend server and that it refused.
    pub shed: u64,
    /// Largest number of connections to one backend server at the same time.
    pub connections_peak: u64,
    /// Number of requests that backend servers received after they began to fail.
    pub sent_to_failing: u64,
    /// Mean payload of the control datagrams that one daemon sends, in bytes per second.
    pub control_bytes_per_s: f64,
    /// Calls to the platform per second, summed over all daemons.
    pub platform_calls_per_s: f64,
    /// Number of wrong or partial responses (violations of P2).
    pub violations: u64,
}

/// Measures both balancing modes and prints a table or JSON; returns whether there were no
/// violations.
pub async fn run(json: bool) -> Result<bool, DemoError> {
    let measurements = vec![
        measure(Balance::Owners, "owners").await?,
        measure(Balance::Alone, "alone (baseline)").await?,
    ];
    if json {
        println!(
            "{}",
            serde_json::to_string(&measurements).unwrap_or_default()
        );
    } else {
        println!("{}", table(&measurements));
    }
    Ok(measurements
        .iter()
        .all(|measurements| measurements.violations == 0))
}

async fn measure(balance: Balance, name: &'static str) -> Result<BalanceMeasurements, DemoError> {
    let backend = BackendSettings {
        service_time: ServiceTime {
            median_ms: 20.0,
            sigma: 0.3,
            max_ms: 200.0,
        },
        ..BackendSettings::default()
    };
    let mut fleet = Fleet::start(ee_north(), backend, 40).await?;
    fleet.balance = balance;
    fleet.add_daemons(DAEMONS).await?;
    wait_ready(&fleet).await?;
    let settings = LoadSettings {
        callers: 120,
        phases: vec![Phase {
            for_ms: LOAD_MS,
            rate_per_s: RATE_PER_S,
        }],
        progress_ms: 0,
        ..load_settings(&fleet)
    };
    let before = control_totals(&fleet);
    let start = Instant::now();
    let load = corianderworks_load::run(settings, &NotReconciled);
    let inject_failures = async {
        tokio::time::sleep(FAILURE_DELAY).await;
        for spec in fleet.deployment.services {
            if let Some(backend) = fleet.backend(&format!("{}-1", spec.name)) {
                let mode = Mode::Errors {
                    share: 1.0,
                    status: 500,
                    run_share: 0.0,
                };
                backend.stand_in.set_mode(mode);
            }
        }
    };
    let (load, ()) = tokio::join!(load, inject_failures);
    let load = load?;
    let seconds = start.elapsed().as_secs_f64();
    let after = control_totals(&fleet);
    let mut measurements = BalanceMeasurements {
        balance: name,
        requests: load.requests,
        answered: load.count(Outcome::Answered),
        not_run: load.count(Outcome::NotRun),
        failed: load.count(Outcome::ErrorStatus) + load.count(Outcome::Unknown),
        p50_ms: load.latency.p50_us as f64 / 1_000.0,
        p99_ms: load.latency.p99_us as f64 / 1_000.0,
        shed: 0,
        connections_peak: 0,
        sent_to_failing: 0,
        control_bytes_per_s: (after.0 - before.0) as f64 / seconds / DAEMONS as f64,
        platform_calls_per_s: (after.1 - before.1) as f64 / seconds,
        violations: load
            .violations
            .iter()
            .filter(|(kind, _)| kind.guarantee() == "P2")
            .map(|(_, violations)| violations.count)
            .sum(),
    };
    for backend in &fleet.backends {
        let stats = backend.stand_in.stats();
        measurements.shed += stats.shed;
        measurements.connections_peak = measurements.connections_peak.max(stats.connections_peak);
        if backend.vm.name.ends_with("-1") {
            measurements.sent_to_failing += stats.requests_since_mode;
        }
    }
    Ok(measurements)
}

/// Returns the bytes of control datagrams and the calls to the platform, summed over all daemons.
fn control_totals(fleet: &Fleet) -> (u64, u64) {
    let daemons = fleet.daemons.iter().map(|(_, daemon)| daemon);
    daemons.fold((0, 0), |(bytes, calls), daemon| {
        (
            bytes + daemon.datagram_bytes(),
            calls + daemon.platform_calls(),
        )
    })
}

fn table(measurements: &[BalanceMeasurements]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "balance",
        "requests",
        "answered",
        "not run",
        "failed",
        "p50 ms",
        "p99 ms",
        "shed by backends",
        "connections at one backend",
        "sent to failing backends",
        "control B/s per daemon",
        "platform calls/s",
    ]);
    for row in measurements {
        table.add_row([
            row.balance.to_owned(),
            row.requests.to_string(),
            row.answered.to_string(),
            row.not_run.to_string(),
            row.failed.to_string(),
            format!("{:.1}", row.p50_ms),
            format!("{:.1}", row.p99_ms),
            row.shed.to_string(),
            row.connections_peak.to_string(),
            row.sent_to_failing.to_string(),
            format!("{:.0}", row.control_bytes_per_s),
            format!("{:.0}", row.platform_calls_per_s),
        ]);
    }
    table
}
