//! Measures the processor time and memory of quotas at the size of the fleet today and as planned.
//!
//! Run with `cargo run --release -p corianderworks_decision --example quota_cost`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderworks_decision::edge::fleet::RunKey;
use corianderworks_decision::edge::organisations::RateLimit;
use corianderworks_decision::edge::quota::{
    OrganisationTag, QuotaBounds, Quotas, ReportedAdmissions,
};

const ROUNDS: usize = 200_000;

fn main() {
    for (daemons, organisations) in [(101, 80), (430, 19_000)] {
        measure(daemons, organisations);
    }
}

fn measure(daemons: usize, organisations: usize) {
    let names: Vec<Arc<str>> = (0..organisations)
        .map(|n| format!("org-{n}").into())
        .collect();
    let limit = RateLimit {
        rate_per_s: 1_000.0,
        burst: 1_000.0,
    };
    let mut quotas = Quotas::at_first_start(QuotaBounds::default(), Duration::ZERO);
    quotas.set_limits(names.iter().map(|n| (n.clone(), limit)), Duration::ZERO);
    quotas.set_reporting_daemons(daemons, Some(daemons), Duration::ZERO);
    // A step through the organisations that is no multiple of their number.
    let at = |round: usize| (round * 7_919) % organisations;
    let time = |round: usize| Duration::from_micros(round as u64 / 10);
    let per_round = |label: &str, started: Duration| {
        let ns = (cpu_time() - started).as_nanos() as f64 / ROUNDS as f64;
        println!("{daemons} daemons, {organisations} organisations: {label} {ns:.0} ns");
    };
    let started = cpu_time();
    for round in 0..ROUNDS {
        black_box(quotas.admit(&names[at(round)], (0.5, 0.5), time(round)));
    }
    per_round("admit", started);
    let counts = quotas.take_counts();
    println!("{} organisations in the report", counts.len());
    let reports: Vec<_> = (0..ROUNDS)
        .map(|round| {
            let admissions = ReportedAdmissions {
                admitted_total: round as u32,
                admitted_new: 1,
                refused_new: 0,
            };
            let tag = OrganisationTag::of(&names[at(round)]);
            (RunKey((round % daemons) as u32), [(tag, admissions)])
        })
        .collect();
    for (label, is_empty) in [
        ("apply a report with one organisation", false),
        ("apply an empty report", true),
    ] {
        let started = cpu_time();
        for (round, (origin, counts)) in reports.iter().enumerate() {
            let counts = if is_empty { &counts[..0] } else { &counts[..] };
            quotas.apply_counts(*origin, counts, false, time(round));
        }
        per_round(label, started);
    }
    println!(
        "tracked: {} organisations, {} totals",
        quotas.tracked_organisations(),
        quotas.tracked_peer_totals()
    );
    let started = Instant::now();
    quotas.set_reporting_daemons(daemons - 1, Some(daemons), Duration::from_secs(1));
    println!("a daemon becomes silent: {:?}", started.elapsed());
    let started = Instant::now();
    quotas.set_reporting_daemons(daemons, Some(daemons), Duration::from_secs(2));
    quotas.set_reporting_daemons(daemons, Some(daemons), Duration::from_secs(3));
    println!("two updates of the coverage: {:?}", started.elapsed());
    let started = Instant::now();
    quotas.set_limits(
        names.iter().map(|n| (n.clone(), limit)),
        Duration::from_secs(3),
    );
    println!("new limits: {:?}", started.elapsed());
}

/// Returns the processor time of this thread, which other processes of the machine don't add to.
fn cpu_time() -> Duration {
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let on_cpu_ns = schedstat.split(' ').next().and_then(|ns| ns.parse().ok());
    Duration::from_nanos(on_cpu_ns.unwrap_or(0))
}
