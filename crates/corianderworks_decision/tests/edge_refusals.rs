//! Retries of requests that servers refuse, played by a fleet of daemons whose reports are 30 to 200
//! ms old.
//!
//! Guards against a retry budget that is spent while a service refuses most attempts, after which
//! callers that would have waited are refused.

#[path = "support/servers.rs"]
mod servers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::acceptance::Acceptance;
use corianderworks_decision::edge::attempts::{
    AttemptEnd, AttemptState, NextStep, RefusedRequest, RefusedStep, delay_after_refusal,
    may_retry_refused, next_step,
};
use corianderworks_decision::edge::budget::{
    ReportedCounts, RetryBudget, RetryBudgetBounds, ServiceTag,
};
use corianderworks_decision::edge::fleet::RunKey;
use corianderworks_decision::edge::load_balancer::{Evidence, RelativeLatency};
use corianderworks_decision::edge::routes::Idempotency;
use corianderworks_decision::edge::servers::{ServerKey, Servers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use servers::{add_server, server_entry};

const SERVICE: &str = "booking";
const DAEMONS: usize = 101;
const BOUNDS: RetryBudgetBounds = RetryBudgetBounds {
    ratio: 0.2,
    extra: 176.0,
    window: Duration::from_secs(10),
};
const HEARTBEAT: Duration = Duration::from_millis(500);
const REFUSED_AFTER: Duration = Duration::from_millis(3);
/// Retry delay and number of refusals before the retries were rationed.
const FIXED_DELAY: Duration = Duration::from_millis(20);
const FIXED_REFUSALS_MAX: u32 = 6;
/// Time at which the callers begin to send. The daemons have been running for longer than a window
/// of the budget.
const START: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Retries after a fixed delay, as before.
    Fixed,
    Rationed,
}

#[derive(Debug, Clone, Copy)]
struct Workload {
    servers: usize,
    /// Number of servers that refuse requests.
    refusing_servers: usize,
    refused_share: f64,
    refusing_from: Duration,
    refusing_for: Duration,
    requests_per_s: f64,
    service_time: Duration,
    latency_objective: Duration,
    timeout: Duration,
    length: Duration,
}

/// The load of the deployment whose requests were refused, with an assumed service time and
/// objective.
const BOOKING: Workload = Workload {
    servers: 118,
    refusing_servers: 118,
    refused_share: 0.55,
    refusing_from: Duration::from_secs(4),
    refusing_for: Duration::from_millis(8_500),
    requests_per_s: 411.0,
    service_time: Duration::from_millis(400),
    latency_objective: Duration::from_millis(1_200),
    timeout: Duration::from_secs(15),
    length: Duration::from_secs(32),
};

#[derive(Debug, Clone, Copy, Default)]
struct Results {
    requests: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    timed_out: u32,
    /// Sum over the refused requests of the time until the refusal, in seconds.
    refused_after_s: f64,
    /// Largest excess of the retries in a window over the bound of the budget.
    budget_excess: f64,
    retries: u32,
    /// Largest number of retries in 100 ms.
    retries_peak: usize,
}

/// Share of the budget that the daemons use; the rest covers what they learn late.
const USABLE_SHARE: f64 = 0.72;
/// Least share of the usable budget that must be used before a caller is refused for lack of it.
const BUDGET_USE_MIN: f64 = 0.9;

impl Results {
    fn value(&self) -> f64 {
        (f64::from(self.in_time) + 0.3 * f64::from(self.late)) / f64::from(self.requests)
    }

    fn refused_share(&self) -> f64 {
        f64::from(self.refused + self.timed_out) / f64::from(self.requests)
    }
}

struct Request {
    daemon: usize,
    at: Duration,
    sent: u32,
    refusals: u32,
    delays: u32,
    tried: Vec<usize>,
    refused_by: Vec<ServerKey>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Ended {
        request: usize,
        server: usize,
        is_refused: bool,
    },
    Wake {
        request: usize,
    },
    Evidence {
        daemon: usize,
        server: usize,
        is_refused: bool,
    },
    Counts {
        origin: usize,
        daemon: usize,
        index: usize,
    },
    Heartbeat {
        daemon: usize,
    },
}

struct Daemon {
    budget: RetryBudget,
    acceptance: Acceptance,
}

struct Simulation {
    workload: Workload,
    policy: Policy,
    random: Pcg64,
    service: Arc<str>,
    daemons: Vec<Daemon>,
    keys: Vec<ServerKey>,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    event_count: usize,
    requests: Vec<Request>,
    reported: Vec<(ServiceTag, ReportedCounts)>,
    arrivals: Vec<Duration>,
    retries: Vec<Duration>,
    results: Results,
}

impl Simulation {
    fn new(workload: Workload, policy: Policy, seed: u64) -> Self {
        let daemon = || Daemon {
            budget: RetryBudget::new(BOUNDS, Duration::ZERO),
            acceptance: Acceptance::default(),
        };
        let mut servers = Servers::new();
        Self {
            workload,
            policy,
            random: Pcg64::seed_from_u64(seed),
            service: SERVICE.into(),
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            keys: (0..workload.servers)
                .map(|i| add_server(&mut servers, server_entry(i, SERVICE, "a", 4)))
                .collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            requests: Vec::new(),
            reported: Vec::new(),
            arrivals: Vec::new(),
            retries: Vec::new(),
            results: Results::default(),
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn run(mut self) -> Results {
        for daemon in 0..DAEMONS {
            let offset = HEARTBEAT.mul_f64(daemon as f64 / DAEMONS as f64);
            self.push(offset, Event::Heartbeat { daemon });
        }
        self.push(START, Event::Arrival);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            let is_over = now > START + self.workload.length + self.workload.timeout;
            match event {
                Event::Arrival => self.arrive(now),
                Event::Ended {
                    request,
                    server,
                    is_refused,
                } => self.ended(request, server, is_refused, now),
                Event::Wake { request } => self.wake(request, now),
                Event::Evidence {
                    daemon,
                    server,
                    is_refused,
                } => self.observe(daemon, server, is_refused, now),
                Event::Counts {
                    origin,
                    daemon,
                    index,
                } => {
                    let (tag, counts) = self.reported[index];
                    let run = RunKey(origin as u32);
                    let budget = &mut self.daemons[daemon].budget;
                    budget.apply_counts(run, tag, counts, now);
                }
                Event::Heartbeat { daemon } if !is_over => {
                    let budget = &mut self.daemons[daemon].budget;
                    budget.set_reporting_daemons(DAEMONS, DAEMONS, now);
                    self.report_counts(daemon, true, now);
                    self.push(now + HEARTBEAT, Event::Heartbeat { daemon });
                }
                Event::Heartbeat { .. } => {}
            }
        }
        self.results.budget_excess = self.budget_excess();
        self.results.retries = self.retries.len() as u32;
        let in_100_ms = |at: &Duration| {
            let from = self.retries.partition_point(|r| r < at);
            let to = self
                .retries
                .partition_point(|r| *r < *at + Duration::from_millis(100));
            to - from
        };
        self.results.retries_peak = self.retries.iter().map(in_100_ms).max().unwrap_or(0);
        self.results
    }

    fn arrive(&mut self, now: Duration) {
        if now > START + self.workload.length {
            return;
        }
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / self.workload.requests_per_s;
        self.push(now + Duration::from_secs_f64(gap_s), Event::Arrival);
        let daemon = self.random.random_range(0..DAEMONS);
        self.daemons[daemon].budget.record_request(SERVICE, now);
        self.arrivals.push(now);
        self.results.requests += 1;
        self.requests.push(Request {
            daemon,
            at: now,
            sent: 0,
            refusals: 0,
            delays: 0,
            tried: Vec::new(),
            refused_by: Vec::new(),
        });
        self.send(self.requests.len() - 1, now);
    }

    /// Sends a request to a server that hasn't got it yet, or to one that refused it if it may not
    /// be sent to others.
    fn send(&mut self, index: usize, now: Duration) {
        let workload = self.workload;
        let request = &mut self.requests[index];
        let server = if request.sent < ATTEMPTS_MAX {
            request.sent += 1;
            let count = workload.servers;
            std::iter::repeat_with(|| self.random.random_range(0..count))
                .find(|s| !request.tried.contains(s))
                .expect("a server")
        } else {
            request.tried[self.random.random_range(0..request.tried.len())]
        };
        if !request.tried.contains(&server) {
            request.tried.push(server);
        }
        let since_start = now - START;
        let is_refusing = since_start >= workload.refusing_from
            && since_start < workload.refusing_from + workload.refusing_for
            && server < workload.refusing_servers;
        let is_refused = is_refusing && self.random.random::<f64>() < workload.refused_share;
        let took = match is_refused {
            true => REFUSED_AFTER,
            false => workload
                .service_time
                .mul_f64(0.5 + self.random.random::<f64>()),
        };
        let event = Event::Ended {
            request: index,
            server,
            is_refused,
        };
        self.push(now + took, event);
    }

    fn observe(&mut self, daemon: usize, server: usize, is_refused: bool, now: Duration) {
        let evidence = match is_refused {
            true => Evidence::Shed,
            false => Evidence::Success(RelativeLatency(100)),
        };
        let (service, key) = (&self.service, self.keys[server]);
        self.daemons[daemon]
            .acceptance
            .observe(service, key, evidence, now);
    }

    fn ended(&mut self, index: usize, server: usize, is_refused: bool, now: Duration) {
        let origin = self.requests[index].daemon;
        self.observe(origin, server, is_refused, now);
        if self.policy == Policy::Rationed {
            for daemon in (0..DAEMONS).filter(|d| *d != origin) {
                let at = now + report_delay(origin, daemon);
                let event = Event::Evidence {
                    daemon,
                    server,
                    is_refused,
                };
                self.push(at, event);
            }
        }
        let elapsed = now - self.requests[index].at;
        if !is_refused {
            match elapsed {
                e if e <= self.workload.latency_objective => self.results.in_time += 1,
                e if e <= self.workload.timeout => self.results.late += 1,
                _ => self.results.timed_out += 1,
            }
            return;
        }
        let key = self.keys[server];
        let request = &mut self.requests[index];
        request.refusals += 1;
        request.refused_by.push(key);
        let request = &self.requests[index];
        let acceptance = &self.daemons[origin].acceptance;
        let state = AttemptState {
            idempotency: Idempotency::Idempotent,
            sent: request.sent,
            attempts_max: ATTEMPTS_MAX,
            // Before, each of the servers that the request might be sent to was tried at once.
            refusals: match self.policy {
                Policy::Fixed => 0,
                Policy::Rationed => request.refusals,
            },
            siblings_accepted_share: match self.policy {
                Policy::Fixed => 1.0,
                Policy::Rationed => acceptance.share_without(SERVICE, &request.refused_by, now),
            },
            failed_connects: 0,
            time_left: self.workload.timeout.saturating_sub(elapsed),
        };
        match next_step(AttemptEnd::NotRun, state) {
            NextStep::TryAnotherServer if self.try_acquire(origin, now) => self.send(index, now),
            NextStep::TryAnotherServer | NextStep::RetryRefused => self.wait(index, now),
            _ => self.refuse(index, now),
        }
    }

    fn wait(&mut self, index: usize, now: Duration) {
        if self.policy == Policy::Fixed {
            match self.requests[index].refusals < FIXED_REFUSALS_MAX {
                true => self.push(now + FIXED_DELAY, Event::Wake { request: index }),
                false => self.refuse(index, now),
            }
            return;
        }
        let jitter = self.random.random();
        match delay_after_refusal(self.refused_request(index, now), jitter) {
            RefusedStep::Wait(delay) => {
                self.requests[index].delays += 1;
                self.push(now + delay, Event::Wake { request: index });
            }
            RefusedStep::Refuse => self.refuse(index, now),
        }
    }

    fn wake(&mut self, index: usize, now: Duration) {
        let origin = self.requests[index].daemon;
        if self.policy == Policy::Fixed {
            match self.try_acquire(origin, now) {
                true => self.send(index, now),
                false => self.refuse(index, now),
            }
            return;
        }
        let request = self.refused_request(index, now);
        let budget_left = self.daemons[origin].budget.unused_share(SERVICE, now);
        let jitter = self.random.random();
        match may_retry_refused(request, budget_left, jitter) && self.try_acquire(origin, now) {
            true => self.send(index, now),
            false => self.wait(index, now),
        }
    }

    fn refused_request(&self, index: usize, now: Duration) -> RefusedRequest {
        let request = &self.requests[index];
        let elapsed = now - request.at;
        let acceptance = &self.daemons[request.daemon].acceptance;
        RefusedRequest {
            delays: request.delays,
            accepted_share: acceptance.share(SERVICE, now),
            service_idle_for: acceptance.idle_for(SERVICE, now),
            elapsed,
            time_left: self.workload.timeout.saturating_sub(elapsed),
            latency_objective: self.workload.latency_objective,
            typical_latency: self.workload.service_time,
        }
    }

    fn refuse(&mut self, index: usize, now: Duration) {
        self.results.refused += 1;
        self.results.refused_after_s += (now - self.requests[index].at).as_secs_f64();
    }

    fn try_acquire(&mut self, daemon: usize, now: Duration) -> bool {
        let is_acquired = self.daemons[daemon].budget.try_acquire(SERVICE, now);
        if is_acquired {
            self.retries.push(now);
            self.report_counts(daemon, false, now);
        }
        is_acquired
    }

    fn report_counts(&mut self, origin: usize, all: bool, now: Duration) {
        for reported in self.daemons[origin].budget.take_counts(all, now) {
            self.reported.push(reported);
            let index = self.reported.len() - 1;
            for daemon in (0..DAEMONS).filter(|d| *d != origin) {
                let at = now + report_delay(origin, daemon);
                let event = Event::Counts {
                    origin,
                    daemon,
                    index,
                };
                self.push(at, event);
            }
        }
    }

    /// Returns the largest excess of the retries in a window over those that the bounds allow.
    fn budget_excess(&self) -> f64 {
        let count = |times: &[Duration], from, to| {
            times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from)
        };
        let ends = self.retries.iter().map(|to| {
            let from = to.saturating_sub(BOUNDS.window);
            let retries = count(&self.retries, from, *to) as f64;
            let requests = count(&self.arrivals, from, *to) as f64;
            retries - BOUNDS.ratio * requests - BOUNDS.extra
        });
        ends.fold(f64::MIN, f64::max)
    }
}

const ATTEMPTS_MAX: u32 = 3;

/// Age, in 30 to 200 ms, at which reports of one daemon reach another one.
fn report_delay(origin: usize, daemon: usize) -> Duration {
    Duration::from_millis(30 + (origin * 7_919 + daemon * 104_729) as u64 % 171)
}

fn play(name: &str, workload: Workload, policy: Policy, seed: u64) -> Results {
    let results = Simulation::new(workload, policy, seed).run();
    println!(
        "{name}, {policy:?}, seed {seed}: value {:.3}, {results:?}",
        results.value()
    );
    results
}

/// The budget is too small for all refused requests, so that callers are refused in any case, but
/// only after it has been used for as long as they wait.
fn assert_budget_is_used(workload: Workload, results: &Results) {
    let per_window = BOUNDS.ratio * workload.requests_per_s * BOUNDS.window.as_secs_f64();
    let usable = USABLE_SHARE * (per_window + BOUNDS.extra);
    let waiting_s = (workload.refusing_for + workload.timeout).as_secs_f64();
    let usable = usable * waiting_s / BOUNDS.window.as_secs_f64();
    assert!(
        f64::from(results.retries) >= BUDGET_USE_MIN * usable,
        "{usable} usable, {results:?}"
    );
}

/// A service that refuses about half of its attempts for some seconds must not cost the callers that
/// would wait their responses.
#[test]
fn callers_with_time_left_are_served_after_a_service_refused_half_of_its_attempts() {
    for seed in 1..=2 {
        let fixed = play("booking", BOOKING, Policy::Fixed, seed);
        let rationed = play("booking", BOOKING, Policy::Rationed, seed);
        assert!(
            rationed.refused_share() < 0.5 * fixed.refused_share(),
            "seed {seed}: {rationed:?}, before: {fixed:?}"
        );
        assert_budget_is_used(BOOKING, &rationed);
        assert!(
            rationed.value() > fixed.value(),
            "seed {seed}: {rationed:?}"
        );
        assert_eq!(rationed.timed_out, 0);
        assert!(rationed.budget_excess <= 0.0, "seed {seed}: {rationed:?}");
    }
}

/// The budget must not be spent while nothing is accepted, and the retries must not all return at
/// once.
#[test]
fn callers_with_time_left_are_served_after_a_service_refused_everything() {
    let workload = Workload {
        refused_share: 1.0,
        refusing_for: Duration::from_secs(4),
        ..BOOKING
    };
    let fixed = play("all refused", workload, Policy::Fixed, 1);
    let rationed = play("all refused", workload, Policy::Rationed, 1);
    assert!(
        rationed.refused_share() < 0.5 * fixed.refused_share(),
        "{rationed:?}, before: {fixed:?}"
    );
    assert_budget_is_used(workload, &rationed);
    assert!(rationed.budget_excess <= 0.0, "{rationed:?}");
}

/// A caller without time to wait must learn at once that it is not served.
#[test]
fn callers_with_little_time_are_refused_at_once_while_everything_is_refused() {
    let workload = Workload {
        refused_share: 1.0,
        timeout: Duration::from_millis(1_500),
        length: Duration::from_secs(10),
        ..BOOKING
    };
    let results = play("little time", workload, Policy::Rationed, 1);
    let mean_s = results.refused_after_s / f64::from(results.refused);
    assert!(mean_s < 0.1, "{mean_s} s, {results:?}");
    assert_eq!(results.timed_out, 0, "{results:?}");
}

/// A single server that refuses must not hold up its requests while others have room.
#[test]
fn requests_refused_by_a_single_server_are_served_in_time_by_another_one() {
    let workload = Workload {
        servers: 12,
        refusing_servers: 1,
        refused_share: 1.0,
        requests_per_s: 100.0,
        length: Duration::from_secs(16),
        ..BOOKING
    };
    let results = play("single server", workload, Policy::Rationed, 1);
    assert_eq!(results.in_time, results.requests, "{results:?}");
}

fn refused_request() -> RefusedRequest {
    RefusedRequest {
        delays: 0,
        accepted_share: 0.45,
        service_idle_for: Duration::ZERO,
        elapsed: Duration::from_millis(3),
        time_left: Duration::from_secs(15),
        latency_objective: Duration::from_millis(1_200),
        typical_latency: Duration::from_millis(400),
    }
}

#[test]
fn delays_grow_and_are_spread() {
    let delay = |delays, jitter| {
        let request = RefusedRequest {
            delays,
            ..refused_request()
        };
        match delay_after_refusal(request, jitter) {
            RefusedStep::Wait(delay) => delay,
            RefusedStep::Refuse => panic!("{request:?}"),
        }
    };
    for delays in 0..3 {
        assert!(delay(delays, 1.0) > delay(delays, 0.0));
        assert!(delay(delays + 1, 0.0) > delay(delays, 1.0));
    }
    assert!(delay(20, 1.0) <= Duration::from_secs(2));
}

#[test]
fn a_late_retry_waits_for_better_times_and_the_most_urgent_one_the_shortest() {
    let late = |elapsed_s, left_s| RefusedRequest {
        elapsed: Duration::from_secs(elapsed_s),
        time_left: Duration::from_secs(left_s),
        accepted_share: 0.6,
        ..refused_request()
    };
    assert!(!may_retry_refused(late(2, 13), 1.0, 0.5));
    assert!(may_retry_refused(late(13, 2), 1.0, 0.5));
    let accepting = |elapsed_s, left_s| RefusedRequest {
        accepted_share: 1.0,
        ..late(elapsed_s, left_s)
    };
    // With little budget left, a request that has time leaves it to more urgent ones.
    assert!(!may_retry_refused(accepting(2, 13), 0.1, 0.5));
    assert!(may_retry_refused(accepting(14, 1), 0.1, 0.5));
}

/// Without other requests nobody would find out that a service accepts requests again.
#[test]
fn a_held_request_probes_an_idle_service() {
    let held = |idle_ms| RefusedRequest {
        elapsed: Duration::from_secs(2),
        time_left: Duration::from_secs(13),
        service_idle_for: Duration::from_millis(idle_ms),
        accepted_share: 0.1,
        ..refused_request()
    };
    assert!(!may_retry_refused(held(100), 1.0, 0.5));
    assert!(may_retry_refused(held(400), 1.0, 0.5));
}

#[test]
fn a_request_without_time_for_a_response_is_refused() {
    let request = RefusedRequest {
        time_left: Duration::from_millis(150),
        accepted_share: 1.0,
        ..refused_request()
    };
    assert_eq!(delay_after_refusal(request, 0.5), RefusedStep::Refuse);
}
