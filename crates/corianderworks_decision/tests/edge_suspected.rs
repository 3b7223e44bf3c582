//! Requests that can't be retried and servers that are suspected to fail.
//!
//! A quiet day: at any time a few servers of a service fail a part of their requests for some
//! seconds. Each failed request is lost, so a server that is known to fail shouldn't get another
//! one before it is likely to be healthy again.

#[path = "support/servers.rs"]
mod servers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use corianderworks_decision::edge::load_balancer::{
    Candidates, Evidence, LoadBalancer, Query, RelativeLatency,
};
use corianderworks_decision::edge::servers::{ServerKey, Servers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use servers::{add_server, server_entry};

const SERVICE: &str = "ordering";
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const DAEMONS: usize = 101;
const SERVERS: usize = 14;
const SLOTS: u32 = 2;
const REQUESTS_PER_S: f64 = 42.0;
const SERVICE_TIME: Duration = Duration::from_millis(160);
/// Time after which a failing server responds.
const FAILED_AFTER: Duration = Duration::from_millis(5);
/// Length of a failure of a server, and mean time between the starts of two failures.
const FAILING_FOR: Duration = Duration::from_secs(5);
const FAILURE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Share of requests that a failing server fails, drawn for each failure, and a healthy one.
const FAILURE_RATE_FAILING: (f64, f64) = (0.45, 0.7);
const FAILURE_RATE_HEALTHY: f64 = 0.012;
/// Range of the age of the reports of other daemons.
const REPORT_AGE: (Duration, Duration) = (Duration::from_millis(30), Duration::from_millis(200));
const LENGTH: Duration = Duration::from_secs(150);
/// Failing probability from which on a daemon knows that a request is at risk.
const SUSPECTED_PROBABILITY: f64 = 0.1;
/// Failures at suspected servers that are accepted per failure of a server: a probe should come
/// when most failures are over.
const FAILED_PROBES_MAX: f64 = 0.5;
/// Time within which a server that is healthy again has to get a request.
const FOUND_WITHIN: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Notice {
    Started,
    Succeeded,
    Failed,
}

/// Notice of a request, received by a daemon: time, daemon, server, and whether the daemon sent it.
type Event = Reverse<(Duration, usize, usize, Notice, bool)>;

struct Daemon {
    domain: &'static str,
    load_balancer: LoadBalancer,
    peer_in_flight: [u32; SERVERS],
}

struct SimulatedServer {
    key: ServerKey,
    /// End of the latest failure, and the share of requests that fail until then.
    failing_until: Duration,
    failure_rate: f64,
    slots: Vec<Duration>,
    used_at: Vec<Duration>,
    /// Intervals between the failures and after the last one.
    healthy: Vec<(Duration, Duration)>,
}

/// Outcome of a simulated day.
#[derive(Debug, Default)]
struct Day {
    requests: u32,
    failed: u32,
    /// Failures of servers, each of which may fail many requests.
    server_failures: u32,
    /// Requests at servers that the daemon suspected, and those of them that failed.
    at_suspected: u32,
    failed_at_suspected: u32,
    /// Times from the recovery of a server to its next request.
    found_after: Vec<Duration>,
}

fn exponential(random: &mut Pcg64, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - random.random::<f64>()).ln())
}

fn report_age(random: &mut Pcg64) -> Duration {
    let (min, max) = REPORT_AGE;
    min + (max - min).mul_f64(random.random())
}

fn apply(
    daemon: &mut Daemon,
    servers: &Servers,
    (server, key): (usize, ServerKey),
    is_own: bool,
    (notice, at): (Notice, Duration),
) {
    let listed = (key, servers.get(key).expect("listed"));
    let evidence = match notice {
        Notice::Started => {
            daemon.peer_in_flight[server] += 1;
            let in_flight = daemon.peer_in_flight[server];
            daemon.load_balancer.set_peer_in_flight(key, in_flight, at);
            return;
        }
        Notice::Succeeded => Evidence::Success(RelativeLatency(100)),
        Notice::Failed => Evidence::Failure,
    };
    if is_own {
        daemon.load_balancer.attempt_ended(key);
        daemon.load_balancer.observe(listed, evidence, at);
        return;
    }
    daemon.load_balancer.observe_reported(listed, evidence, at);
    daemon.peer_in_flight[server] -= 1;
    let in_flight = daemon.peer_in_flight[server];
    daemon.load_balancer.set_peer_in_flight(key, in_flight, at);
}

/// Plays a day. `idempotent_share` of the requests may be retried.
fn play(seed: u64, idempotent_share: f64) -> Day {
    let mut random = Pcg64::seed_from_u64(seed);
    // The same failures of servers and the same requests whatever the daemons choose.
    let mut day_random = Pcg64::seed_from_u64(seed + 1_000);
    let mut listed = Servers::new();
    let mut servers: Vec<_> = (0..SERVERS)
        .map(|i| SimulatedServer {
            key: add_server(
                &mut listed,
                server_entry(i, SERVICE, DOMAINS[i % DOMAINS.len()], SLOTS),
            ),
            failing_until: Duration::ZERO,
            failure_rate: 0.0,
            slots: vec![Duration::ZERO; SLOTS as usize],
            used_at: Vec::new(),
            healthy: Vec::new(),
        })
        .collect();
    let mut daemons: Vec<_> = (0..DAEMONS)
        .map(|i| Daemon {
            domain: DOMAINS[i % DOMAINS.len()],
            load_balancer: LoadBalancer::new(),
            peer_in_flight: [0; SERVERS],
        })
        .collect();
    let mut day = Day::default();
    let mut notices: BinaryHeap<Event> = BinaryHeap::new();
    let mut now = Duration::from_secs(10);
    let (end, mut next_failure) = (now + LENGTH, now);
    while now < end {
        now += exponential(
            &mut day_random,
            Duration::from_secs_f64(1.0 / REQUESTS_PER_S),
        );
        while next_failure <= now {
            let server = &mut servers[day_random.random_range(0..SERVERS)];
            if server.failing_until <= now {
                let (min, max) = FAILURE_RATE_FAILING;
                server.failure_rate = min + (max - min) * day_random.random::<f64>();
                server.failing_until = now + FAILING_FOR;
                if let Some(last) = server.healthy.last_mut() {
                    last.1 = now;
                }
                server.healthy.push((server.failing_until, end));
                day.server_failures += 1;
            }
            next_failure += exponential(&mut day_random, FAILURE_INTERVAL);
        }
        while let Some(Reverse((at, ..))) = notices.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((at, daemon, server, notice, is_own))) = notices.pop() else {
                break;
            };
            let server = (server, servers[server].key);
            let daemon = &mut daemons[daemon];
            apply(daemon, &listed, server, is_own, (notice, at));
        }
        let own = day_random.random_range(0..DAEMONS);
        let may_retry = day_random.random::<f64>() < idempotent_share;
        let query = Query {
            service: SERVICE,
            typical_latency: SERVICE_TIME,
            domain: daemons[own].domain,
            may_retry,
            candidates: Candidates::Except(&[]),
        };
        let choice = daemons[own]
            .load_balancer
            .choose(&listed, query, now, || random.random())
            .expect("a server");
        daemons[own].load_balancer.attempt_started(choice.key, now);
        let index = servers.iter().position(|s| s.key == choice.key);
        let index = index.expect("a known server");
        let server = &mut servers[index];
        server.used_at.push(now);
        let rate = match now < server.failing_until {
            true => server.failure_rate,
            false => FAILURE_RATE_HEALTHY,
        };
        let fails = random.random::<f64>() < rate;
        let (ended_at, notice) = match fails {
            true => (now + FAILED_AFTER, Notice::Failed),
            false => {
                let work = SERVICE_TIME.mul_f64(0.5 + random.random::<f64>());
                let slot = server.slots.iter_mut().min().expect("a slot");
                *slot = now.max(*slot) + work;
                (*slot, Notice::Succeeded)
            }
        };
        for daemon in 0..DAEMONS {
            if daemon == own {
                notices.push(Reverse((ended_at, daemon, index, notice, true)));
                continue;
            }
            let age = report_age(&mut random);
            notices.push(Reverse((now + age, daemon, index, Notice::Started, false)));
            notices.push(Reverse((ended_at + age, daemon, index, notice, false)));
        }
        if may_retry {
            continue;
        }
        let is_suspected = choice.failing_probability >= SUSPECTED_PROBABILITY;
        day.requests += 1;
        day.failed += u32::from(fails);
        day.at_suspected += u32::from(is_suspected);
        day.failed_at_suspected += u32::from(is_suspected && fails);
    }
    for server in &servers {
        for (from, to) in &server.healthy {
            let first = server.used_at.partition_point(|at| at < from);
            let found_at = server.used_at.get(first).copied().unwrap_or(Duration::MAX);
            // A server that fails again soon may stay suspected.
            if found_at < *to || *from + FOUND_WITHIN < *to {
                day.found_after.push(found_at.saturating_sub(*from));
            }
        }
    }
    day
}

fn print(seed: u64, day: &Day) {
    let found = day
        .found_after
        .iter()
        .map(Duration::as_secs_f64)
        .sum::<f64>();
    println!(
        "seed {seed}: {} requests, {} failed, {} failures of servers, {} of {} requests at \
         suspected servers failed, found after {:.1} s on average, {:?} at most",
        day.requests,
        day.failed,
        day.server_failures,
        day.failed_at_suspected,
        day.at_suspected,
        found / day.found_after.len() as f64,
        day.found_after.iter().max()
    );
}

/// Guards against using requests that can't be retried as probes of servers that are known to fail.
#[test]
fn few_requests_that_cannot_be_retried_fail_at_suspected_servers() {
    let (mut failed, mut server_failures) = (0, 0);
    for seed in 1..=3 {
        let day = play(seed, 0.0);
        print(seed, &day);
        failed += day.failed_at_suspected;
        server_failures += day.server_failures;
    }
    assert!(
        f64::from(failed) <= FAILED_PROBES_MAX * f64::from(server_failures),
        "{failed} failures at suspected servers, {server_failures} failures of servers"
    );
}

/// Guards against servers that stay unused after a failure because a service gets no requests that
/// may be retried.
#[test]
fn recovered_servers_are_found_without_idempotent_requests() {
    for seed in 4..=5 {
        let day = play(seed, 0.0);
        print(seed, &day);
        let longest = day.found_after.iter().max().expect("a recovery");
        assert!(*longest <= FOUND_WITHIN, "seed {seed}: {longest:?}");
    }
}
