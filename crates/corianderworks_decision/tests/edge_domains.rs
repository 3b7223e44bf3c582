//! Requests that leave the failure domain of their daemon.
//!
//! Simulates the callers and servers of a service in several domains, whose daemons learn of
//! requests with a delay. Each test compares the share by waiting times with the fixed cost of a
//! server in another domain, and with filling free slots.

#[path = "support/servers.rs"]
mod servers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::domains::{
    Destination, DomainLoad, Domains, RequestNeeds, ServiceView,
};
use corianderworks_decision::edge::load_balancer::{
    Candidates, Evidence, LoadBalancer, Query, RelativeLatency,
};
use corianderworks_decision::edge::servers::{ServerKey, Servers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use servers::{add_server, server_entry};

const SERVICE: &str = "ledger";
const NAMES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u32 = 4;
/// Servers of a domain.
const SERVERS: usize = 12;
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Requests per second that keep all slots of a domain busy.
const CAPACITY_PER_S: f64 = SERVERS as f64 * SLOTS as f64 / 0.2;
/// Time until daemons of the own domain and of others learn of the start or end of a request.
const OWN_DOMAIN_DELAY: Duration = Duration::from_millis(25);
const OTHER_DOMAIN_DELAY: Duration = Duration::from_millis(100);
/// Additional round-trip time of a request to another domain.
const NEAR_LINK: Duration = Duration::from_millis(4);
const SLOW_LINK: Duration = Duration::from_millis(260);
/// Sizes of responses, and the share of the large ones.
const SMALL_BYTES: u64 = 8_000;
const LARGE_BYTES: u64 = 1_500_000;
const LARGE_SHARE: f64 = 0.1;
const DEADLINE: Duration = Duration::from_secs(2);
const COST_NS_PER_BYTE: f64 = Domains::COST_DEFAULT_NS_PER_BYTE;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
const LENGTH: Duration = Duration::from_secs(40);
/// Time after the start that isn't counted.
const WARM_UP: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    FixedCost,
    /// A request leaves if the own domain has no free slot and another one has.
    FreeSlots,
    WaitingTimes,
}

const POLICIES: [Policy; 3] = [Policy::FixedCost, Policy::FreeSlots, Policy::WaitingTimes];

#[derive(Clone, Copy)]
struct Scenario {
    domains: usize,
    link: Duration,
    /// Demand of a domain at a time, as a share of the capacity of a domain.
    demand: fn(usize, Duration) -> f64,
    /// Time at which domain `a` loses two thirds of its servers.
    loss_at: Option<Duration>,
}

/// A finished request.
#[derive(Debug, Clone, Copy)]
struct Finished {
    at: Duration,
    from: usize,
    latency: Duration,
    bytes: u64,
    has_crossed: bool,
}

impl Finished {
    /// Returns the latency with the cost of the bytes that crossed domains, in seconds.
    fn cost_s(&self) -> f64 {
        let byte_cost_s = self.bytes as f64 * COST_NS_PER_BYTE / 1e9;
        self.latency.as_secs_f64() + if self.has_crossed { byte_cost_s } else { 0.0 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Notice {
    Started,
    Ended,
    /// End of a request from this domain, with its latency in percent of the typical one.
    Responded(u16),
}

struct Domain {
    servers: Servers,
    load_balancer: LoadBalancer,
    domains: Domains,
    known_in_flight: Vec<u32>,
}

struct Simulation {
    policy: Policy,
    scenario: Scenario,
    random: Pcg64,
    day_random: Pcg64,
    domains: Vec<Domain>,
    keys: Vec<ServerKey>,
    slots: Vec<Vec<Duration>>,
    notices: BinaryHeap<Reverse<(Duration, usize, usize, Notice)>>,
    finished: Vec<Finished>,
    /// Share of domain `a` every 100 ms.
    shares: Vec<f64>,
}

impl Simulation {
    fn new(policy: Policy, scenario: Scenario, seed: u64) -> Self {
        let mut domains: Vec<_> = (0..scenario.domains)
            .map(|_| Domain {
                servers: Servers::new(),
                load_balancer: LoadBalancer::new(),
                domains: Domains::new(COST_NS_PER_BYTE),
                known_in_flight: vec![0; scenario.domains * SERVERS],
            })
            .collect();
        let mut keys = Vec::new();
        for index in 0..scenario.domains * SERVERS {
            let entry = server_entry(index, SERVICE, NAMES[index / SERVERS], SLOTS);
            for domain in &mut domains {
                let key = add_server(&mut domain.servers, entry.clone());
                domain.load_balancer.add_server(key, Duration::ZERO);
                if keys.len() == index {
                    keys.push(key);
                }
            }
        }
        Self {
            policy,
            scenario,
            random: Pcg64::seed_from_u64(seed),
            day_random: Pcg64::seed_from_u64(seed + 1_000),
            domains,
            slots: vec![vec![Duration::ZERO; SLOTS as usize]; keys.len()],
            keys,
            notices: BinaryHeap::new(),
            finished: Vec::new(),
            shares: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        let mut now = Duration::ZERO;
        let mut loss_at = self.scenario.loss_at;
        // Requests arrive at the highest rate of all, and are thinned to that of their domain.
        let rate = 2.0 * CAPACITY_PER_S * self.scenario.domains as f64;
        while now < LENGTH {
            let gap_s = -(1.0 - self.day_random.random::<f64>()).ln() / rate;
            now += Duration::from_secs_f64(gap_s);
            if loss_at.take_if(|at| *at <= now).is_some() {
                self.remove_servers(now);
            }
            self.deliver_notices(now);
            while self.shares.len() as u128 * 100 < now.as_millis() {
                self.shares.push(self.domains[0].domains.share(SERVICE));
            }
            let from = self.day_random.random_range(0..self.scenario.domains);
            let is_sent = self.day_random.random::<f64>() * 2.0;
            let is_large = self.day_random.random::<f64>() < LARGE_SHARE;
            let work = 0.5 + self.day_random.random::<f64>();
            if is_sent < (self.scenario.demand)(from, now) {
                self.send(from, is_large, SERVICE_TIME.mul_f64(work), now);
            }
        }
        self
    }

    fn remove_servers(&mut self, now: Duration) {
        for index in 0..SERVERS * 2 / 3 {
            for domain in &mut self.domains {
                let id = format!("s{index}");
                domain.servers.remove_entry(&id, 1, Duration::ZERO, now);
                domain.load_balancer.remove_server(self.keys[index]);
            }
        }
    }

    fn deliver_notices(&mut self, now: Duration) {
        while self.notices.peek().is_some_and(|n| n.0.0 <= now) {
            let Some(Reverse((at, domain, index, notice))) = self.notices.pop() else {
                return;
            };
            let (domain, key) = (&mut self.domains[domain], self.keys[index]);
            let Some(server) = domain.servers.get(key) else {
                continue;
            };
            match notice {
                Notice::Started => domain.known_in_flight[index] += 1,
                Notice::Ended => domain.known_in_flight[index] -= 1,
                Notice::Responded(percent) => {
                    let evidence = Evidence::Success(RelativeLatency(percent));
                    domain.load_balancer.observe((key, server), evidence, at);
                    continue;
                }
            }
            let in_flight = domain.known_in_flight[index];
            domain.load_balancer.set_peer_in_flight(key, in_flight, at);
        }
    }

    fn destination(&mut self, from: usize, bytes: u64, now: Duration) -> Destination {
        let domain = &mut self.domains[from];
        let loads = domain
            .load_balancer
            .domain_loads(&domain.servers, SERVICE, now);
        let needs = RequestNeeds {
            bytes,
            time_left: DEADLINE,
            service_time: SERVICE_TIME,
        };
        match self.policy {
            Policy::FixedCost => Destination::FixedCost,
            Policy::FreeSlots => {
                let free = |load: &&DomainLoad| load.slots - load.in_flight >= 1.0;
                let own = loads.iter().find(|l| &*l.domain == NAMES[from]);
                let other = loads.iter().filter(|l| &*l.domain != NAMES[from]);
                let best = other
                    .filter(free)
                    .min_by(|a, b| a.load().total_cmp(&b.load()));
                match (own.filter(free), best) {
                    (None, Some(load)) => Destination::Other(load.domain.clone()),
                    _ => Destination::Own,
                }
            }
            Policy::WaitingTimes => {
                let view = ServiceView {
                    own_domain: NAMES[from],
                    loads: &loads,
                    has_reports: true,
                };
                domain.domains.update(&Arc::from(SERVICE), &view, now);
                let random = &mut self.random;
                domain
                    .domains
                    .destination(SERVICE, needs, || random.random())
            }
        }
    }

    fn send(&mut self, from: usize, is_large: bool, work: Duration, now: Duration) {
        let bytes = if is_large { LARGE_BYTES } else { SMALL_BYTES };
        let destination = self.destination(from, bytes, now);
        let query = Query {
            service: SERVICE,
            typical_latency: SERVICE_TIME,
            domain: NAMES[from],
            may_retry: true,
            candidates: Candidates::Except(&[]),
        };
        let domain = &self.domains[from];
        let random = &mut self.random;
        let choice = domain
            .load_balancer
            .choose_in(&domain.servers, query, &destination, now, || {
                random.random()
            })
            .expect("a server");
        let index = self.keys.iter().position(|k| *k == choice.key);
        let index = index.expect("a known server");
        let has_crossed = index / SERVERS != from;
        let link = if has_crossed {
            self.scenario.link
        } else {
            Duration::ZERO
        };
        let arrived_at = now + link / 2;
        let slot = self.slots[index].iter_mut().min().expect("a slot");
        *slot = arrived_at.max(*slot) + work;
        let ended_at = *slot + link / 2;
        let latency = ended_at - now;
        for domain in 0..self.scenario.domains {
            let delay = match domain == from {
                true => OWN_DOMAIN_DELAY,
                false => OTHER_DOMAIN_DELAY,
            };
            let mut push = |at, notice| self.notices.push(Reverse((at, domain, index, notice)));
            push(now + delay, Notice::Started);
            push(ended_at + delay, Notice::Ended);
            if domain == from {
                let RelativeLatency(percent) = RelativeLatency::of(latency, SERVICE_TIME);
                push(ended_at + delay, Notice::Responded(percent));
            }
        }
        if now >= WARM_UP {
            self.finished.push(Finished {
                at: now,
                from,
                latency,
                bytes,
                has_crossed,
            });
        }
    }
}

/// Mean over the requests of some seeds.
#[derive(Debug, Clone, Copy, Default)]
#[expect(dead_code, reason = "some fields are only printed")]
struct Result {
    /// Mean latency with the cost of crossing bytes.
    cost_ms: f64,
    latency_ms: f64,
    crossed_percent: f64,
    /// Share of the large responses that crossed.
    large_crossed_percent: f64,
    /// Mean latency of the requests that arrive in the other domains than `a`.
    neighbours_ms: f64,
    /// Changes of the direction of the share of domain `a` by at least [`SWING_MIN`], per run.
    turns: f64,
}

fn mean<I: Iterator<Item = f64>>(values: I) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(s, n), v| (s + v, n + 1));
    if count == 0 {
        0.0
    } else {
        sum / f64::from(count)
    }
}

/// Change of the share that counts as a swing.
const SWING_MIN: f64 = 0.1;

fn turns(shares: &[f64]) -> f64 {
    let (mut turns, mut extreme, mut is_rising) = (0, 0.0, true);
    for share in shares {
        let progress = if is_rising {
            share - extreme
        } else {
            extreme - share
        };
        if progress > 0.0 {
            extreme = *share;
        } else if progress <= -SWING_MIN {
            turns += 1;
            extreme = *share;
            is_rising = !is_rising;
        }
    }
    f64::from(turns)
}

/// Plays a scenario and returns the results of a policy for the requests since `from`.
fn play_since(policy: Policy, scenario: Scenario, from: Duration) -> Result {
    let runs: Vec<_> = SEEDS
        .map(|seed| Simulation::new(policy, scenario, seed).run())
        .collect();
    let finished = || {
        let all = runs.iter().flat_map(|r| &r.finished);
        all.filter(|f| f.at >= from)
    };
    let percent = |is_true: bool| if is_true { 100.0 } else { 0.0 };
    let large = finished().filter(|f| f.bytes == LARGE_BYTES);
    let neighbours = finished().filter(|f| f.from != 0);
    let result = Result {
        cost_ms: mean(finished().map(|f| f.cost_s() * 1e3)),
        latency_ms: mean(finished().map(|f| f.latency.as_secs_f64() * 1e3)),
        crossed_percent: mean(finished().map(|f| percent(f.has_crossed))),
        large_crossed_percent: mean(large.map(|f| percent(f.has_crossed))),
        neighbours_ms: mean(neighbours.map(|f| f.latency.as_secs_f64() * 1e3)),
        turns: mean(runs.iter().map(|r| turns(&r.shares))),
    };
    println!("{policy:?}: {result:.1?}");
    result
}

/// Plays a scenario with all policies, and fails if the fixed cost does better.
fn assert_better_than_fixed_cost(name: &str, scenario: Scenario) -> [Result; 3] {
    println!("{name}");
    let results = POLICIES.map(|policy| play_since(policy, scenario, WARM_UP));
    let [fixed, _, waiting] = results;
    assert!(
        waiting.cost_ms < fixed.cost_ms,
        "{name}: {waiting:?} against {fixed:?}"
    );
    results
}

const CALM: Scenario = Scenario {
    domains: 3,
    link: NEAR_LINK,
    demand: |_, _| 0.5,
    loss_at: None,
};

/// Guards against requests that wait at the servers left while other domains have room.
#[test]
fn domain_that_loses_most_servers_sends_requests_away() {
    let scenario = Scenario {
        loss_at: Some(Duration::from_secs(10)),
        ..CALM
    };
    assert_better_than_fixed_cost("loss of two thirds", scenario);
}

/// Guards against a share that follows the callers too late, or stays where they were.
#[test]
fn share_follows_callers_who_move_to_another_domain() {
    let scenario = Scenario {
        demand: |domain, at| match (domain, at.as_secs()) {
            (0, ..16) | (1, 24..) => 1.2,
            (0 | 1, 16..24) => 0.75,
            _ => 0.3,
        },
        ..CALM
    };
    assert_better_than_fixed_cost("callers move", scenario);
}

/// Guards against flooding the neighbours, whose callers must not wait longer than with the fixed
/// cost.
#[test]
fn burst_in_one_domain_does_not_flood_the_others() {
    let scenario = Scenario {
        demand: |domain, at| match (domain, at.as_secs()) {
            (0, 10..18) => 1.5,
            (0, _) => 0.5,
            _ => 0.6,
        },
        ..CALM
    };
    let [fixed, _, waiting] = assert_better_than_fixed_cost("burst", scenario);
    assert!(
        waiting.neighbours_ms <= fixed.neighbours_ms * 1.02,
        "{waiting:?} against {fixed:?}"
    );
}

/// Guards against two busy domains that exchange their requests.
#[test]
fn busy_domains_do_not_exchange_requests() {
    let scenario = Scenario {
        domains: 2,
        demand: |_, _| 0.9,
        ..CALM
    };
    assert_better_than_fixed_cost("two domains at 90%", scenario);
}

/// Guards against a fixed cost that is far below the time that the link takes.
#[test]
fn slow_link_keeps_requests_that_would_arrive_later() {
    let scenario = Scenario {
        link: SLOW_LINK,
        demand: |domain, _| if domain == 0 { 0.97 } else { 0.4 },
        ..CALM
    };
    assert_better_than_fixed_cost("slow link", scenario);
}

/// Guards against a share that oscillates or remains after an overload.
#[test]
fn share_returns_to_zero_once() {
    let scenario = Scenario {
        demand: |domain, at| match (domain, at.as_secs()) {
            (0, ..14) => 1.3,
            _ => 0.5,
        },
        ..CALM
    };
    let [_, _, waiting] = assert_better_than_fixed_cost("return to calm", scenario);
    assert!(waiting.turns <= 4.0, "{waiting:?}");
    let calm = play_since(Policy::WaitingTimes, scenario, Duration::from_secs(30));
    let always_calm = play_since(Policy::FixedCost, CALM, Duration::from_secs(30));
    assert!(
        calm.crossed_percent <= always_calm.crossed_percent + 0.5,
        "{calm:?} against {always_calm:?}"
    );
}

/// Guards against a change of deployments whose domains have room.
#[test]
fn requests_are_served_as_before_while_their_domain_has_room() {
    let fixed = play_since(Policy::FixedCost, CALM, WARM_UP);
    let waiting = play_since(Policy::WaitingTimes, CALM, WARM_UP);
    assert!((waiting.cost_ms - fixed.cost_ms).abs() < 0.01 * fixed.cost_ms);
    assert!((waiting.crossed_percent - fixed.crossed_percent).abs() < 0.5);
}

fn load(domain: &str, slots: f64, in_flight: f64) -> DomainLoad {
    DomainLoad {
        domain: domain.into(),
        slots,
        in_flight,
        relative_latency: 1.0,
    }
}

const SMALL: RequestNeeds = RequestNeeds {
    bytes: SMALL_BYTES,
    time_left: DEADLINE,
    service_time: SERVICE_TIME,
};

/// Adjusts the share for 10 s with the same view, and returns the decisions.
fn decided(loads: &[DomainLoad], has_reports: bool) -> Domains {
    let mut domains = Domains::new(COST_NS_PER_BYTE);
    let view = ServiceView {
        own_domain: "a",
        loads,
        has_reports,
    };
    for i in 0..100 {
        domains.update(&Arc::from(SERVICE), &view, Duration::from_millis(i * 100));
    }
    domains
}

/// Guards against requests that fail because they stay without a healthy server.
#[test]
fn all_requests_leave_a_domain_without_healthy_servers() {
    let domains = decided(&[load("a", 0.2, 0.0), load("b", 40.0, 10.0)], true);
    let large = RequestNeeds {
        bytes: LARGE_BYTES,
        ..SMALL
    };
    for needs in [SMALL, large] {
        let destination = domains.destination(SERVICE, needs, || 0.999);
        assert_eq!(destination, Destination::Other("b".into()));
    }
}

/// Guards against requests that cross domains and wait there as long as here.
#[test]
fn no_request_leaves_if_all_domains_are_full() {
    let domains = decided(&[load("a", 40.0, 80.0), load("b", 40.0, 40.0)], true);
    assert_eq!(domains.share(SERVICE), 0.0);
    let destination = domains.destination(SERVICE, SMALL, || 0.0);
    assert_eq!(destination, Destination::Own);
}

/// Guards against decisions by loads that aren't known.
#[test]
fn the_fixed_cost_applies_without_reports() {
    let domains = decided(&[load("a", 40.0, 80.0), load("b", 40.0, 0.0)], false);
    let destination = domains.destination(SERVICE, SMALL, || 0.0);
    assert_eq!(destination, Destination::FixedCost);
}

/// Guards against large responses that cross domains while small ones stay, and against requests
/// that leave late although only another domain can serve them in time.
#[test]
fn small_and_urgent_requests_leave_first() {
    let mut domains = Domains::new(COST_NS_PER_BYTE);
    let loads = [load("a", 40.0, 60.0), load("b", 40.0, 4.0)];
    let view = ServiceView {
        own_domain: "a",
        loads: &loads,
        has_reports: true,
    };
    for i in 0..2 {
        domains.update(&Arc::from(SERVICE), &view, Duration::from_millis(i * 200));
    }
    let share = domains.share(SERVICE);
    assert!(share > 0.0 && share < 0.5, "{share}");
    let leaves = |needs: RequestNeeds| {
        let leaving = (0..1_000_u32).filter(|i| {
            let point = f64::from(*i) / 1_000.0;
            domains.destination(SERVICE, needs, || point) != Destination::Own
        });
        leaving.count()
    };
    let large = RequestNeeds {
        bytes: LARGE_BYTES,
        ..SMALL
    };
    let urgent = RequestNeeds {
        time_left: SERVICE_TIME.mul_f64(1.2),
        ..SMALL
    };
    assert_eq!(leaves(large), 0);
    assert!(leaves(SMALL) > 0);
    assert!(leaves(urgent) > leaves(SMALL) * 3 / 2);
}
