//! Use of the healthy servers of a service at all times, without a warning by failed requests.
//!
//! If all daemons stop at once, the requests in flight are cut, which may be more than a tenth of
//! the requests of the last 2 s. Of the healthy servers, 70% must have got requests in these 2 s.
//! No daemon foresees the stop, so the share is checked in every window of 2 s. A server that
//! failed on its own counts as healthy 2 s after it stopped failing.

mod simulation;

use std::time::Duration;

use simulation::{Simulation, Workload};

const STOCK: Workload = Workload {
    services: 1,
    servers: 48,
    slots: 2,
    domains: 5,
    requests_per_s: 150.0,
    service_time: Duration::from_millis(210),
    may_retry: true,
    failing_share: 0.3,
    failing_for: Duration::from_secs(12),
    release: None,
    length: Duration::from_secs(40),
};

const ORDERING: Workload = Workload {
    servers: 101,
    requests_per_s: 410.0,
    service_time: Duration::from_millis(160),
    may_retry: false,
    ..STOCK
};

const LEDGER: Workload = Workload {
    servers: 77,
    slots: 4,
    domains: 4,
    requests_per_s: 310.0,
    service_time: Duration::from_millis(320),
    may_retry: false,
    ..STOCK
};

const SITE_LOOKUP: Workload = Workload {
    servers: 44,
    slots: 4,
    domains: 4,
    requests_per_s: 45.0,
    service_time: Duration::from_millis(1_300),
    ..STOCK
};

/// 430 daemons in front of 4,000 servers. The daemons of a domain have the same view.
const FULL_SIZE: Workload = Workload {
    services: 150,
    servers: 27,
    slots: 4,
    domains: 7,
    requests_per_s: 620.0,
    service_time: Duration::from_millis(20),
    may_retry: false,
    failing_share: 0.05,
    length: Duration::from_secs(7),
    ..STOCK
};

/// Plays workloads with some seeds each and fails if any window has too few servers in use.
fn assert_most_servers_are_used<I>(workloads: I, seeds: std::ops::RangeInclusive<u64>)
where
    I: IntoIterator<Item = (&'static str, Workload)>,
{
    let mut all_violations = Vec::new();
    for (name, workload) in workloads {
        for seed in seeds.clone() {
            let simulation = Simulation::new(workload, seed).run();
            let violations = simulation.violations();
            println!(
                "{name}, seed {seed}: {:.1}% failed, {} violations",
                simulation.failed_share() * 100.0,
                violations.len()
            );
            all_violations.extend(violations.into_iter().map(|text| format!("{name}: {text}")));
        }
    }
    assert!(
        all_violations.is_empty(),
        "{} windows, first: {}",
        all_violations.len(),
        all_violations[0]
    );
}

const GROWN_SERVICES: [(&str, Workload); 4] = [
    ("stock", STOCK),
    ("ordering", ORDERING),
    ("ledger", LEDGER),
    ("site lookup", SITE_LOOKUP),
];

#[test]
fn most_healthy_servers_are_in_use_before_all_daemons_stop() {
    assert_most_servers_are_used(GROWN_SERVICES, 1..=4);
}

#[test]
fn most_healthy_servers_are_in_use_while_few_fail() {
    let failing_share = 0.05;
    let workloads = GROWN_SERVICES.map(|(name, workload)| {
        let mostly_healthy = Workload {
            failing_share,
            ..workload
        };
        (name, mostly_healthy)
    });
    assert_most_servers_are_used(workloads, 1..=4);
}

#[test]
fn most_healthy_servers_are_in_use_while_failures_are_short() {
    let failing_for = Duration::from_millis(3_600);
    let workloads = GROWN_SERVICES.map(|(name, workload)| {
        let short_failures = Workload {
            failing_for,
            ..workload
        };
        (name, short_failures)
    });
    assert_most_servers_are_used(workloads, 1..=4);
}

#[test]
fn new_servers_leave_the_older_ones_in_use() {
    let workloads = GROWN_SERVICES.map(|(name, workload)| {
        let with_release = Workload {
            release: Some((Duration::from_secs(20), workload.servers / 3)),
            ..workload
        };
        (name, with_release)
    });
    assert_most_servers_are_used(workloads, 5..=8);
}

#[test]
fn most_healthy_servers_are_in_use_at_full_size() {
    assert_most_servers_are_used([("full size", FULL_SIZE)], 1..=1);
}

/// Requests that a server of these workloads has in its slots and its queue at the same time.
const QUEUE_LENGTH_MAX: usize = 8;

#[test]
fn new_server_is_not_flooded() {
    for (name, workload) in GROWN_SERVICES {
        let workload = Workload {
            release: Some((Duration::from_secs(5), 1)),
            length: Duration::from_secs(7),
            ..workload
        };
        for seed in 1..=8 {
            let simulation = Simulation::new(workload, seed).run();
            let added = simulation.servers.iter().filter(|s| !s.listed_at.is_zero());
            let first_requests = added.map(|s| {
                let until = s.listed_at + workload.service_time;
                s.used_at.iter().filter(|at| **at < until).count()
            });
            let most = first_requests.max().expect("an added server");
            let limit = workload.slots as usize + QUEUE_LENGTH_MAX;
            println!("{name}, seed {seed}: {most} requests");
            assert!(most <= limit, "{name}, seed {seed}: {most} requests");
        }
    }
}
