//! Daemons of several domains that balance the requests of services with failing servers.
//!
//! The daemons of a domain share one view, which lags by the delays of the reports.

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
pub struct Workload {
    pub services: usize,
    /// Per service.
    pub servers: usize,
    pub slots: u32,
    pub domains: usize,
    /// Per service.
    pub requests_per_s: f64,
    pub service_time: Duration,
    pub may_retry: bool,
    /// Share of the servers that are failing at any time.
    pub failing_share: f64,
    /// Mean length of the failures of a server.
    pub failing_for: Duration,
    /// Time at which servers of each service are replaced by new ones, and their number.
    pub release: Option<(Duration, usize)>,
    pub length: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Health {
    fails: bool,
    next_change: Duration,
    /// End of the latest failure.
    failed_until: Duration,
}

#[derive(Debug)]
pub struct SimulatedServer {
    service: usize,
    /// The same in all domains, because they get the same changes in the same order.
    key: ServerKey,
    pub listed_at: Duration,
    removed_at: Duration,
    health: Health,
    /// Times at which the slots become free.
    slots: Vec<Duration>,
    /// Requests in flight as each domain knows it.
    known_in_flight: Vec<u32>,
    /// Times of requests, and intervals in which the server was healthy.
    pub used_at: Vec<Duration>,
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

pub struct Simulation {
    workload: Workload,
    random: Pcg64,
    domains: Vec<Domain>,
    service_names: Vec<String>,
    pub servers: Vec<SimulatedServer>,
    index_of: HashMap<ServerKey, usize>,
    events: BinaryHeap<Event>,
    requests: u32,
    failed: u32,
}

const DOMAIN_NAMES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];

impl Simulation {
    pub fn new(workload: Workload, seed: u64) -> Self {
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
            revision: 1,
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

    pub fn run(mut self) -> Self {
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
                    let removed = domain.servers.remove_entry(&id, 1, Duration::ZERO, now);
                    assert!(matches!(removed, Change::Removed(r) if r.key == key));
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

    pub fn failed_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.requests)
    }

    /// Describes each window in which too few of the healthy servers of a service got requests.
    pub fn violations(&self) -> Vec<String> {
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
