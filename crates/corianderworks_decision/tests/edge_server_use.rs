//! Use of the healthy servers of a service at all times, without a warning by failed requests.
//!
//! If all daemons stop at once, the requests in flight are cut, which may be more than a tenth of
//! the requests of the last 2 s. Of the healthy servers, 70% must have got requests in these 2 s.
//! No daemon foresees the stop, so the share is checked in every window of 2 s. A server that
//! failed on its own counts as healthy 2 s after it stopped failing.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::load_balancer::{
    Candidates, Evidence, LoadBalancer, Query, RelativeLatency,
};
use corianderworks_decision::edge::servers::{Change, ServerEntry, ServerKey, Servers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const WINDOW: Duration = Duration::from_secs(2);
const WINDOW_STEP: Duration = Duration::from_millis(100);
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Time after which a listed server counts as healthy.
const SETTLING_TIME: Duration = Duration::from_secs(6);
const FLOOR_SHARE: f64 = 0.7;
/// Time after the start that isn't checked.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time until the daemons of a domain learn of a request that one of them sent, or of its response.
const OWN_DOMAIN_DELAY: Duration = Duration::from_millis(12);
/// Same for the daemons of other domains, and for failures.
const OTHER_DOMAIN_DELAY: Duration = Duration::from_millis(112);
const OTHER_DOMAIN_FAILURE_DELAY: Duration = Duration::from_millis(18);
/// Time after which a failing server responds.
const FAILED_AFTER: Duration = Duration::from_millis(5);
/// Share of the requests that a failing and a healthy server fail.
const FAILURE_RATE_FAILING: f64 = 0.85;
const FAILURE_RATE_HEALTHY: f64 = 0.012;

/// Load and failures of services that are alike.
#[derive(Debug, Clone, Copy)]
struct Workload {
    services: usize,
    /// Per service.
    servers: usize,
    slots: u32,
    domains: usize,
    /// Per service.
    requests_per_s: f64,
    service_time: Duration,
    may_retry: bool,
    /// Share of the servers that are failing at any time.
    failing_share: f64,
    /// Mean length of the failures of a server.
    failing_for: Duration,
    /// Time at which servers of each service are replaced by new ones, and their number.
    release: Option<(Duration, usize)>,
    length: Duration,
}

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

#[derive(Debug, Clone, Copy)]
struct Health {
    fails: bool,
    next_change: Duration,
    /// End of the latest failure.
    failed_until: Duration,
}

#[derive(Debug)]
struct SimulatedServer {
    service: usize,
    /// The same in all domains, because they get the same changes in the same order.
    key: ServerKey,
    listed_at: Duration,
    removed_at: Duration,
    health: Health,
    /// Times at which the slots become free.
    slots: Vec<Duration>,
    /// Requests in flight as each domain knows it.
    known_in_flight: Vec<u32>,
    /// Times of requests, and intervals in which the server was healthy.
    used_at: Vec<Duration>,
    healthy: Vec<(Duration, Duration)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Notice {
    Started,
    Succeeded,
    Failed,
    Ended,
}

/// Notice of a request at a server, received by a domain.
type Event = Reverse<(Duration, usize, usize, Notice)>;

struct Domain {
    name: &'static str,
    servers: Servers,
    load_balancer: LoadBalancer,
}

struct Simulation {
    workload: Workload,
    random: Pcg64,
    domains: Vec<Domain>,
    service_names: Vec<String>,
    servers: Vec<SimulatedServer>,
    index_of: HashMap<ServerKey, usize>,
    events: BinaryHeap<Event>,
    requests: u32,
    failed: u32,
}

const DOMAIN_NAMES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];

impl Simulation {
    fn new(workload: Workload, seed: u64) -> Self {
        let mut simulation = Self {
            workload,
            random: Pcg64::seed_from_u64(seed),
            domains: DOMAIN_NAMES[..workload.domains]
                .iter()
                .map(|name| Domain {
                    name,
                    servers: Servers::new(),
                    load_balancer: LoadBalancer::new(),
                })
                .collect(),
            service_names: (0..workload.services)
                .map(|i| format!("service-{i}"))
                .collect(),
            servers: Vec::new(),
            index_of: HashMap::new(),
            events: BinaryHeap::new(),
            requests: 0,
            failed: 0,
        };
        for service in 0..workload.services {
            for _ in 0..workload.servers {
                simulation.add_server(service, Duration::ZERO);
            }
        }
        simulation
    }

    fn add_server(&mut self, service: usize, now: Duration) {
        let index = self.servers.len();
        let entry = ServerEntry {
            id: format!("s{index}").into(),
            started_unix_ms: 1_000,
            service: self.service_names[service].as_str().into(),
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            domain: DOMAIN_NAMES[index % self.domains.len()].into(),
            slots: self.workload.slots,
            draining: false,
            cold: Duration::ZERO,
        };
        let add = |domain: &mut Domain| match domain.servers.upsert(entry.clone(), now) {
            Change::Added(key) => {
                domain.load_balancer.add_server(key, now);
                key
            }
            other => panic!("{other:?}"),
        };
        let keys: Vec<_> = self.domains.iter_mut().map(add).collect();
        assert!(keys.iter().all(|k| *k == keys[0]));
        self.index_of.insert(keys[0], index);
        let fails = self.random.random::<f64>() < self.workload.failing_share;
        let health = Health {
            fails,
            next_change: now + self.next_change(fails).mul_f64(self.random.random()),
            failed_until: Duration::ZERO,
        };
        self.servers.push(SimulatedServer {
            service,
            key: keys[0],
            listed_at: now,
            removed_at: Duration::MAX,
            health,
            slots: vec![Duration::ZERO; self.workload.slots as usize],
            known_in_flight: vec![0; self.domains.len()],
            used_at: Vec::new(),
            healthy: Vec::new(),
        });
    }

    /// Returns the time until a server begins or stops to fail.
    fn next_change(&mut self, fails: bool) -> Duration {
        let healthy_for = self
            .workload
            .failing_for
            .mul_f64(1.0 / self.workload.failing_share - 1.0);
        match fails {
            true => self
                .workload
                .failing_for
                .mul_f64(0.5 + self.random.random::<f64>()),
            false => healthy_for.mul_f64(-(1.0 - self.random.random::<f64>()).ln()),
        }
    }

    fn run(mut self) -> Self {
        let total_per_s = self.workload.requests_per_s * self.workload.services as f64;
        let mut now = Duration::ZERO;
        let mut release = self.workload.release;
        while now < self.workload.length {
            now += Duration::from_secs_f64(-(1.0 - self.random.random::<f64>()).ln() / total_per_s);
            if let Some((_, count)) = release.take_if(|(at, _)| *at <= now) {
                self.replace_servers(count, now);
            }
            self.deliver_notices(now);
            self.send_request(now);
        }
        for index in 0..self.servers.len() {
            self.update_health(index, now);
            let health = self.servers[index].health;
            if !health.fails {
                self.servers[index].healthy.push((health.failed_until, now));
            }
        }
        self
    }

    fn replace_servers(&mut self, count: usize, now: Duration) {
        for service in 0..self.workload.services {
            let mut of_service = (0..self.servers.len())
                .filter(|i| self.servers[*i].service == service)
                .collect::<Vec<_>>();
            of_service.truncate(count);
            for index in of_service {
                self.servers[index].removed_at = now;
                let key = self.servers[index].key;
                for domain in &mut self.domains {
                    let id = format!("s{index}");
                    let removed = domain.servers.remove_entry(&id, Duration::ZERO, now);
                    assert_eq!(removed, Change::Removed(key));
                    domain.load_balancer.remove_server(key);
                }
                self.add_server(service, now);
            }
        }
    }

    fn deliver_notices(&mut self, now: Duration) {
        while self.events.peek().is_some_and(|e| e.0.0 <= now) {
            let Some(Reverse((at, domain, index, notice))) = self.events.pop() else {
                return;
            };
            let server = &mut self.servers[index];
            let key = server.key;
            let domain_state = &mut self.domains[domain];
            let Some(listed) = domain_state.servers.get(key) else {
                continue;
            };
            let load_balancer = &mut domain_state.load_balancer;
            match notice {
                Notice::Started => server.known_in_flight[domain] += 1,
                Notice::Ended => server.known_in_flight[domain] -= 1,
                Notice::Succeeded => {
                    let evidence = Evidence::Success(RelativeLatency(100));
                    load_balancer.observe_reported((key, listed), evidence, at);
                }
                Notice::Failed => {
                    load_balancer.observe_reported((key, listed), Evidence::Failure, at);
                }
            }
            if matches!(notice, Notice::Started | Notice::Ended) {
                load_balancer.set_peer_in_flight(key, server.known_in_flight[domain], at);
            }
        }
    }

    fn send_request(&mut self, now: Duration) {
        let service = self.random.random_range(0..self.workload.services);
        let own = self.random.random_range(0..self.domains.len());
        let domain = &self.domains[own];
        let query = Query {
            service: &self.service_names[service],
            typical_latency: self.workload.service_time,
            domain: domain.name,
            may_retry: self.workload.may_retry,
            candidates: Candidates::Except(&[]),
        };
        let random = &mut self.random;
        let choice = domain
            .load_balancer
            .choose(&domain.servers, query, now, || random.random())
            .expect("a server");
        let index = self.index_of[&choice.key];
        self.update_health(index, now);
        let rate = match self.servers[index].health.fails {
            true => FAILURE_RATE_FAILING,
            false => FAILURE_RATE_HEALTHY,
        };
        let fails = self.random.random::<f64>() < rate;
        if now >= WARM_UP {
            self.requests += 1;
            self.failed += u32::from(fails);
        }
        let work = self
            .workload
            .service_time
            .mul_f64(0.5 + self.random.random::<f64>());
        let server = &mut self.servers[index];
        server.used_at.push(now);
        let ended_at = match fails {
            true => now + FAILED_AFTER,
            false => {
                let slot = server.slots.iter_mut().min().expect("a slot");
                *slot = now.max(*slot) + work;
                *slot
            }
        };
        self.notify(own, index, (now, ended_at), fails);
    }

    /// Schedules the notices of a request for all domains.
    fn notify(
        &mut self,
        own: usize,
        index: usize,
        (now, ended_at): (Duration, Duration),
        fails: bool,
    ) {
        for domain in 0..self.domains.len() {
            let delay = match domain == own {
                true => OWN_DOMAIN_DELAY,
                false => OTHER_DOMAIN_DELAY,
            };
            let mut push = |at: Duration, notice| {
                self.events.push(Reverse((at, domain, index, notice)));
            };
            if fails {
                push(
                    ended_at + delay.min(OTHER_DOMAIN_FAILURE_DELAY),
                    Notice::Failed,
                );
                continue;
            }
            push(ended_at + delay, Notice::Succeeded);
            // A request that ends before the report of its start is sent is never in flight in one.
            if now + delay < ended_at {
                push(now + delay, Notice::Started);
                push(ended_at + delay, Notice::Ended);
            }
        }
    }

    fn update_health(&mut self, index: usize, now: Duration) {
        while self.servers[index].health.next_change <= now {
            let changed_at = self.servers[index].health.next_change;
            let fails = !self.servers[index].health.fails;
            let next_change = changed_at + self.next_change(fails);
            let server = &mut self.servers[index];
            if fails {
                server
                    .healthy
                    .push((server.health.failed_until, changed_at));
            } else {
                server.health.failed_until = changed_at;
            }
            server.health.fails = fails;
            server.health.next_change = next_change;
        }
    }

    fn failed_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.requests)
    }

    /// Describes each window in which too few of the healthy servers of a service got requests.
    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for service in 0..self.workload.services {
            let servers: Vec<_> = self
                .servers
                .iter()
                .filter(|s| s.service == service)
                .collect();
            let mut from = WARM_UP;
            while from + WINDOW <= self.workload.length {
                let healthy = servers.iter().filter(|s| s.is_healthy(from));
                let healthy: Vec<_> = healthy.collect();
                let in_use = healthy.iter().filter(|s| s.is_used(from)).count();
                if in_use > 0 && (in_use as f64) < FLOOR_SHARE * healthy.len() as f64 {
                    violations.push(format!(
                        "{} ms: {in_use} of {} healthy servers",
                        from.as_millis(),
                        healthy.len()
                    ));
                }
                from += WINDOW_STEP;
            }
        }
        violations
    }
}

impl SimulatedServer {
    /// Whether the server counts as healthy during the whole window.
    fn is_healthy(&self, from: Duration) -> bool {
        let to = from + WINDOW;
        let has_settled = self.listed_at.is_zero() || self.listed_at + SETTLING_TIME <= from;
        let recovered =
            |failed_until: Duration| failed_until.is_zero() || failed_until + RECOVERY_TIME <= from;
        has_settled
            && to <= self.removed_at
            && self.healthy.iter().any(|(a, b)| recovered(*a) && to <= *b)
    }

    fn is_used(&self, from: Duration) -> bool {
        let first = self.used_at.partition_point(|at| *at < from);
        self.used_at
            .get(first)
            .is_some_and(|at| *at < from + WINDOW)
    }
}

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
