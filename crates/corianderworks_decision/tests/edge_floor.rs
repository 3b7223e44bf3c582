//! Floor on the healthy servers in use during a partial failure of a service.
//!
//! In every window of 2 s in which more than a tenth but less than half of the requests of a
//! service fail, at least 70% of its healthy servers must get requests. A server that failed
//! on its own counts as healthy 2 s after it stopped failing.

#[path = "support/servers.rs"]
mod servers;

use std::collections::HashSet;
use std::time::Duration;

use corianderworks_decision::edge::load_balancer::{
    Candidates, Evidence, LoadBalancer, Query, RelativeLatency,
};
use corianderworks_decision::edge::peer_load::{relay_delay, report_delay};
use corianderworks_decision::edge::servers::{ServerKey, Servers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use servers::{add_server, server_entry};

const SERVICE: &str = "ordering";
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const WINDOW: Duration = Duration::from_secs(2);
const RECOVERY_TIME: Duration = Duration::from_secs(2);
const FLOOR_SHARE: f64 = 0.7;
/// Network delay of a report from a daemon over two relays to the daemons of another domain.
const TRANSIT_TIME: Duration = Duration::from_millis(9);
/// Simulated time of one run.
const RUN_LENGTH: Duration = Duration::from_secs(32);
const RUNS: u64 = 40;

/// Request load and failures of a simulated service.
#[derive(Debug, Clone, Copy)]
struct Workload {
    servers: usize,
    slots: u32,
    request_interval: Duration,
    service_time: Duration,
    /// Length of each failure of a server.
    failing_for: Duration,
    /// Mean time between two failures of a server.
    healthy_for: Duration,
}

const ORDERING: Workload = Workload {
    servers: 14,
    slots: 2,
    request_interval: Duration::from_millis(24),
    service_time: Duration::from_millis(160),
    failing_for: Duration::from_millis(3_600),
    healthy_for: Duration::from_millis(8_400),
};

#[derive(Debug, Clone, Copy)]
struct Attempt {
    at: Duration,
    server: usize,
    fails: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    /// Start and end of the latest failure.
    failing: Option<(Duration, Duration)>,
}

impl Health {
    fn fails_at(self, at: Duration) -> bool {
        self.failing.is_some_and(|(from, to)| from <= at && at < to)
    }
}

/// Simulates a workload for `length`. Returns the attempts and, for each of them, whether each
/// server was healthy.
fn simulate(workload: Workload, seed: u64, length: Duration) -> (Vec<Attempt>, Vec<Vec<bool>>) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut servers = Servers::new();
    let keys: Vec<ServerKey> = (0..workload.servers)
        .map(|i| {
            add_server(
                &mut servers,
                server_entry(i, SERVICE, DOMAINS[i % DOMAINS.len()], workload.slots),
            )
        })
        .collect();
    let mut load_balancer = LoadBalancer::new();
    let mut health = vec![Health::default(); workload.servers];
    let mut in_flight: Vec<(Duration, Attempt)> = Vec::new();
    let (mut attempts, mut healthy) = (Vec::new(), Vec::new());
    let mut now = Duration::from_secs(10);
    let end = now + length;
    while now < end {
        now += workload.request_interval;
        for state in &mut health {
            let probability =
                workload.request_interval.as_secs_f64() / workload.healthy_for.as_secs_f64();
            if !state.fails_at(now) && random.random::<f64>() < probability {
                state.failing = Some((now, now + workload.failing_for));
            }
        }
        healthy.push(health.iter().map(|h| is_healthy(*h, now)).collect());
        in_flight.retain(|(done_at, attempt)| {
            if *done_at > now {
                return true;
            }
            let key = keys[attempt.server];
            load_balancer.attempt_ended(key);
            let evidence = match attempt.fails {
                true => Evidence::Failure,
                false => Evidence::Success(RelativeLatency(100)),
            };
            load_balancer.observe((key, servers.get(key).expect("listed")), evidence, now);
            false
        });
        let domain = DOMAINS[random.random_range(0..DOMAINS.len())];
        let query = Query {
            service: SERVICE,
            typical_latency: workload.service_time,
            domain,
            may_retry: false,
            candidates: Candidates::Except(&[]),
        };
        let choice = load_balancer
            .choose(&servers, query, now, || random.random())
            .expect("a server");
        let server = keys.iter().position(|k| *k == choice.key).expect("known");
        let fails = health[server].fails_at(now) && random.random::<f64>() < 0.85;
        let attempt = Attempt {
            at: now,
            server,
            fails,
        };
        load_balancer.attempt_started(choice.key, now);
        let duration = match fails {
            true => Duration::from_millis(1),
            false => workload.service_time,
        };
        // A success needs no relay: most requests to a server come from its own domain.
        let relayed = if fails {
            relay_delay(true)
        } else {
            Duration::ZERO
        };
        let report_time = report_delay(fails) + relayed + TRANSIT_TIME;
        in_flight.push((now + duration + report_time, attempt));
        attempts.push(attempt);
    }
    (attempts, healthy)
}

fn is_healthy(health: Health, now: Duration) -> bool {
    health
        .failing
        .is_none_or(|(from, to)| now < from || now >= to + RECOVERY_TIME)
}

/// Describes each window in which the floor was violated.
fn floor_violations(
    workload: Workload,
    attempts: &[Attempt],
    healthy: &[Vec<bool>],
) -> Vec<String> {
    let steps = (WINDOW.as_secs_f64() / workload.request_interval.as_secs_f64()) as usize;
    let mut violations = Vec::new();
    for from in 0..attempts.len().saturating_sub(steps) {
        let window = &attempts[from..from + steps];
        let failed = window.iter().filter(|a| a.fails).count();
        let share = failed as f64 / window.len() as f64;
        if share <= 0.1 || share >= 0.5 {
            continue;
        }
        // Only servers that are healthy throughout the window count.
        let is_healthy = |server: usize| healthy[from..from + steps].iter().all(|s| s[server]);
        let all: Vec<_> = (0..workload.servers).filter(|s| is_healthy(*s)).collect();
        let used: HashSet<_> = window.iter().map(|a| a.server).collect();
        let in_use = all.iter().filter(|s| used.contains(*s)).count();
        if in_use > 0 && (in_use as f64) < FLOOR_SHARE * all.len() as f64 {
            let at_ms = window[0].at.as_millis();
            violations.push(format!(
                "{at_ms} ms: {in_use} of {} healthy servers, {failed} of {} failed",
                all.len(),
                window.len()
            ));
        }
    }
    violations
}

#[test]
fn most_healthy_servers_are_in_use_during_partial_failure() {
    let mut all_violations = Vec::new();
    for seed in 1..=RUNS {
        let (attempts, healthy) = simulate(ORDERING, seed, RUN_LENGTH);
        let violations = floor_violations(ORDERING, &attempts, &healthy);
        all_violations.extend(
            violations
                .into_iter()
                .map(|text| format!("seed {seed}, {text}")),
        );
    }
    assert!(
        all_violations.is_empty(),
        "{} windows, first: {}",
        all_violations.len(),
        all_violations[0]
    );
}

/// Share of requests that fail if servers are chosen at random: at any time 3 in 10 servers
/// are failing, each with 85% of its requests.
const RANDOM_CHOICE_FAILED_SHARE: f64 = 0.3 * 0.85;

#[test]
fn few_requests_fail_although_requests_are_spread_to_idle_servers() {
    for seed in 1..=5 {
        let (attempts, _) = simulate(ORDERING, seed, Duration::from_secs(300));
        let failed = attempts.iter().filter(|a| a.fails).count();
        let share = failed as f64 / attempts.len() as f64;
        assert!(
            share < RANDOM_CHOICE_FAILED_SHARE / 4.0,
            "seed {seed}: {share}"
        );
    }
}
