//! Chooses the backend server of an attempt.
//!
//! Designed for many daemons that each receive a few requests per second, in front of servers
//! with few slots, some of which fail or stall although their health check passes. A single
//! daemon sees too few requests to detect a failing server, so load and failures reported by
//! other daemons are weighted like its own.
//!
//! Each server is modelled as healthy or failing and stays in that state for seconds. The
//! daemon keeps the probability that a server is failing: each observation updates it with
//! Bayes' rule, and without observations it decays to a base rate. The server with the lowest
//! expected cost is chosen: its observed service time, its queueing time, and the cost of a
//! failure times the probability of one. Servers that have just responded are therefore
//! preferred to servers without recent observations, and a failing server is used only when
//! all others are full.
//!
//! By cost alone, many healthy servers would get nothing for seconds. A server that had no
//! request for some time is therefore due for one, and a server that is suspected to fail is due
//! for a retry after a longer time. The daemons see the same reports, so each request draws the
//! time at which it considers a server due at random.
//!
//! A failure costs most if the request can't be retried. Such a request avoids doubtful servers
//! while a better one has room, unless too few servers of the service would be in use, or unless
//! the doubts are old and one request has to find out whether the server is healthy again. See
//! `docs/design/suspected-servers.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use super::decay::{DecayedCount, decay_factor};
use super::domains::{Destination, DomainLoad};
use super::routes::Route;
use super::servers::{Server, ServerKey, Servers};

/// Probability that a server is failing after a long time without observations.
const FAILING_PROBABILITY_BASE: f64 = 0.2;
/// Probability that a newly added server is failing.
const FAILING_PROBABILITY_NEW: f64 = 0.02;
/// Time constant of the decay of evidence (63% of its weight is lost in this time). Gray
/// failures last several seconds.
const EVIDENCE_DECAY: Duration = Duration::from_millis(3_000);
/// Share of requests that a failing and a healthy server fail.
const FAILURE_RATE_FAILING: f64 = 0.7;
const FAILURE_RATE_HEALTHY: f64 = 0.02;
/// Share of requests that become overdue at a failing and at a healthy server.
const OVERDUE_RATE_FAILING: f64 = 0.3;
const OVERDUE_RATE_HEALTHY: f64 = 0.02;
/// Probability that a server is failing when connections to it fail or another run of a
/// server answers at its address.
const FAILING_PROBABILITY_UNREACHABLE: f64 = 0.97;
/// Cost of a failure in typical service times, if the request can't be retried and if it can.
const FAILURE_COST_FINAL: f64 = 10.0;
const FAILURE_COST_RETRIED: f64 = 4.0;
/// Weight of a new sample in the moving averages of a server's relative latency and of a
/// route's latency.
const SERVER_LATENCY_GAIN: f64 = 0.2;
const ROUTE_LATENCY_GAIN: f64 = 0.1;
/// Weight, in samples, of the prior that a server has the typical latency.
const SERVER_PRIOR_SAMPLES: f64 = 4.0;
/// Largest weight, in samples, of a server's measured latency against that prior.
const SERVER_SAMPLES_MAX: f64 = 20.0;
/// Prior for a route's latency, as a share of its latency objective.
const DEFAULT_SHARE_OF_OBJECTIVE: f64 = 0.33;
/// Weight, in samples, of that prior.
const ROUTE_PRIOR_SAMPLES: f64 = 3.0;
/// Cost of full occupancy in typical service times, scaled by the share of busy slots: servers
/// slow down when nearly full.
const BUSY_SLOT_COST: f64 = 0.4;
/// Time without a request after which a server is due for one. All daemons may stop without
/// warning, and of the healthy servers most must have been in use in the 2 s before, including the
/// time until other daemons learn of a request.
const DUE_INTERVAL: Duration = Duration::from_millis(1_100);
/// Range of the random delay before a daemon sends a request to a server that is due. Without it,
/// all daemons would choose the server at the same time, before any of them learns of the others'
/// requests. Daemons of other domains wait for the whole range first.
const DUE_SPREAD: Duration = Duration::from_millis(350);
/// Cost reduction of a server that is due, in typical service times.
const DUE_COST_REDUCTION: f64 = 20.0;
/// Time constant of the decay of the number of recent requests of a service. Must not be longer
/// than the time within which the servers have to be used.
const REQUEST_COUNT_DECAY: Duration = Duration::from_millis(2_000);
/// Failing probability from which on a server is suspected: it is due only when its retry time has
/// come.
const SUSPECTED_PROBABILITY: f64 = 0.4;
/// Range of the random delay before a suspected server is retried. Longer than [`DUE_SPREAD`],
/// because each further request to it probably fails.
const RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Bounds of the time until a suspected server is retried.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(3_000);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(4_500);
/// Factor by which each failed retry extends the time until the next one.
const RETRY_DELAY_FACTOR: f64 = 1.5;
/// Failing probability from which on a server is doubtful: a request that can't be retried goes to
/// another one that has room.
const DOUBTFUL_PROBABILITY: f64 = 0.1;
/// Additional cost of a doubtful server for such a request, in typical service times.
const DOUBTFUL_COST: f64 = 20.0;
/// Share of the healthy servers of a service that have to be in use.
const FLOOR_SHARE: f64 = 0.7;
/// Share of failed attempts of a service from which on the floor may apply to it. A tenth of the
/// requests must fail for that; late reports hide some of them. The floor counts only servers whose
/// VMs and links are undisturbed, and a daemon doesn't know which these are. So all servers that are
/// due are used then, also by requests that can't be retried.
const FLOOR_FAILED_SHARE: f64 = 0.12;
/// Margin above that share within which requests that can't be retried use doubtful servers, as a
/// share of the healthy servers and at least a number of servers. The number of healthy servers is
/// an estimate, and in a small service one server is a large share.
const FLOOR_MARGIN_SHARE: f64 = 0.05;
const FLOOR_MARGIN_SERVERS_MIN: f64 = 0.75;
/// Time after which a server that stopped failing counts as healthy.
const RECOVERY_TIME: Duration = Duration::from_millis(2_000);
/// Failing probability at which a request that can't be retried may probe a server that failed. A
/// success then brings it below [`DOUBTFUL_PROBABILITY`].
const PROBE_PROBABILITY: f64 = 0.25;
/// Shortest time between a failure and such a probe.
const PROBE_DELAY_MIN: Duration = Duration::from_millis(3_000);
/// Failing probability from which on a server that failed stays due for probes after a success.
/// Below, it gets its next request as a healthy server before it becomes doubtful by age.
const PROBED_PROBABILITY: f64 = 0.04;
/// Mean time until some daemon sends the probe. Several times the delay of reports, so that there
/// is seldom a second one before all daemons learn of the first.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a server that should have been probed is due like any other.
const PROBE_OVERDUE: Duration = Duration::from_millis(2_000);
/// Cost of a server in another failure domain, in typical service times.
const OTHER_DOMAIN_COST: f64 = 0.8;
/// Cost of a server outside the domain that a request should go to, in typical service times. Some
/// more than the fixed cost: requests still leave if the wait at all servers of the domain is long.
const WRONG_DOMAIN_COST: f64 = 1.0;
/// Cost of the own domain for a request that should leave it: less, so that the request takes a slot
/// that has just become free.
const LEFT_DOMAIN_COST: f64 = 0.4;
/// Service time factor during a server's cold start.
const COLD_FACTOR: f64 = 2.0;
/// Range of the random cost that distributes requests over equal servers, in typical service
/// times.
const JITTER_COST_MAX: f64 = 0.1;

/// Observation about a backend server from an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// A complete, successful response.
    Success(RelativeLatency),
    /// A failure response, or a malformed or missing response.
    Failure,
    /// The server refused the request because it is at capacity.
    Shed,
    /// The attempt has run far longer than typical for its route.
    Overdue,
    /// The connection could not be opened.
    Unreachable,
    /// Another run of a server answered at the address.
    Misdirected,
}

impl Evidence {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Success(_) => "success",
            Self::Failure => "failure",
            Self::Shed => "shed",
            Self::Overdue => "overdue",
            Self::Unreachable => "unreachable",
            Self::Misdirected => "misdirected",
        }
    }

    /// Whether the observation indicates a problem with the server.
    pub fn is_negative(&self) -> bool {
        !matches!(self, Self::Success(_))
    }
}

/// Latency of a response in percent of the typical latency of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelativeLatency(pub u16);

impl RelativeLatency {
    /// Returns `took` relative to `typical_latency`, capped at [`u16::MAX`] percent.
    pub fn of(took: Duration, typical_latency: Duration) -> Self {
        let ratio = took.as_secs_f64() / typical_latency.as_secs_f64().max(0.001);
        Self((ratio * 100.0).min(f64::from(u16::MAX)) as u16)
    }
}

#[derive(Debug, Clone)]
struct ServerState {
    own_in_flight: u32,
    peer_in_flight: u32,
    /// Probability that the server is failing, as of `evidence_at`.
    failing_probability: f64,
    /// Zero if nothing was observed yet.
    evidence_at: Duration,
    /// Time at which any daemon last sent a request to the server, or at which it was listed.
    used_at: Duration,
    /// Earliest time of the next retry, if the server is suspected.
    retry_at: Duration,
    /// Time between the last failure and the next retry; zero if the server isn't suspected.
    retry_delay: Duration,
    /// Earliest time of a probe by a request that can't be retried; `None` if the server hasn't
    /// failed since it was last known to be healthy.
    probe_at: Option<Duration>,
    /// Moving average; 1.0 is the typical latency of the route.
    relative_latency: f64,
    samples: f64,
}

impl Default for ServerState {
    fn default() -> Self {
        Self {
            own_in_flight: 0,
            peer_in_flight: 0,
            failing_probability: FAILING_PROBABILITY_NEW,
            evidence_at: Duration::ZERO,
            used_at: Duration::ZERO,
            retry_at: Duration::ZERO,
            retry_delay: Duration::ZERO,
            probe_at: None,
            relative_latency: 1.0,
            samples: 0.0,
        }
    }
}

impl ServerState {
    /// Returns the number of requests that all daemons have in flight at the server.
    fn in_flight(&self) -> u32 {
        self.own_in_flight + self.peer_in_flight
    }

    /// Probability that the server is failing, decayed from the last observation to `now`.
    fn failing_probability_at(&self, now: Duration) -> f64 {
        if self.evidence_at.is_zero() {
            return self.failing_probability;
        }
        let age = now.saturating_sub(self.evidence_at);
        let weight = decay_factor(age, EVIDENCE_DECAY);
        FAILING_PROBABILITY_BASE + (self.failing_probability - FAILING_PROBABILITY_BASE) * weight
    }

    fn is_suspected_at(&self, now: Duration) -> bool {
        self.failing_probability_at(now) >= SUSPECTED_PROBABILITY
    }

    /// Returns the time from which on the server should get a request, and the range of the random
    /// delay until it does.
    fn due(&self) -> (Duration, Duration) {
        let idle_at = self.used_at + DUE_INTERVAL;
        match idle_at >= self.retry_at {
            true => (idle_at, DUE_SPREAD),
            false => (self.retry_at, RETRY_SPREAD),
        }
    }

    fn usage_at(&self, now: Duration) -> Usage {
        if self.is_suspected_at(now) {
            return Usage::Suspected;
        }
        match now < self.used_at + DUE_INTERVAL + DUE_SPREAD {
            true => Usage::InUse,
            false => Usage::Idle,
        }
    }

    /// Schedules the next retry if the server is suspected. Failures of requests that were sent
    /// before the last retry don't postpone it.
    fn schedule_retry(&mut self, now: Duration) {
        if !self.is_suspected_at(now) || now < self.retry_at {
            return;
        }
        let longer_delay = self.retry_delay.mul_f64(RETRY_DELAY_FACTOR);
        self.retry_delay = longer_delay.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        self.retry_at = now + self.retry_delay;
    }

    /// Schedules the probe after an observation.
    fn schedule_probe(&mut self, is_negative: bool, now: Duration) {
        let is_probed = is_negative || self.probe_at.is_some();
        if !is_probed || self.failing_probability < PROBED_PROBABILITY {
            self.probe_at = None;
            return;
        }
        let delay_min = match is_negative {
            true => PROBE_DELAY_MIN,
            false => DUE_INTERVAL,
        };
        let excess = (self.failing_probability - FAILING_PROBABILITY_BASE)
            / (PROBE_PROBABILITY - FAILING_PROBABILITY_BASE);
        let decay = EVIDENCE_DECAY.mul_f64(excess.max(1.0).ln());
        self.probe_at = Some(now + decay.max(delay_min));
    }

    /// Whether a request that can't be retried should find out whether the server is healthy
    /// again. `requests` is the decayed number of recent requests of the service, and `draw` is
    /// uniformly distributed in 0..1.
    fn is_probe_due(&self, requests: f64, now: Duration, draw: f64) -> bool {
        let Some(probe_at) = self.probe_at else {
            return false;
        };
        let probe_at = probe_at.max(self.used_at + DUE_INTERVAL);
        if now < probe_at {
            return false;
        }
        let requests_per_s = requests / REQUEST_COUNT_DECAY.as_secs_f64();
        let is_drawn = draw * requests_per_s * PROBE_INTERVAL.as_secs_f64() < 1.0;
        is_drawn || now >= probe_at + PROBE_OVERDUE + DUE_SPREAD.mul_f64(draw)
    }

    /// Applies Bayes' rule to an observation with the given likelihoods at a failing and at a
    /// healthy server.
    fn update(&mut self, if_failing: f64, if_healthy: f64, now: Duration) {
        let prior = self.failing_probability_at(now);
        let failing_weight = prior * if_failing;
        self.failing_probability = failing_weight / (failing_weight + (1.0 - prior) * if_healthy);
        self.evidence_at = now;
    }
}

/// Number of a service's servers by their usage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerUse {
    /// Servers that may be healthy and have recent requests.
    pub in_use: u32,
    /// Servers that may be healthy and have no recent requests.
    pub idle: u32,
    /// Servers that are suspected to fail.
    pub suspected: u32,
}

/// Usage of a server, for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Usage {
    InUse,
    Idle,
    Suspected,
}

/// Tracks load and failures per backend server and chooses the server of each attempt.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    states: SecondaryMap<ServerKey, ServerState>,
    request_counts: HashMap<Arc<str>, DecayedCount>,
    /// Those of them that failed.
    failure_counts: HashMap<Arc<str>, DecayedCount>,
    routes: HashMap<Arc<str>, RouteLatency>,
}

/// Moving average of a route's response times.
#[derive(Debug, Default)]
struct RouteLatency {
    mean_s: f64,
    samples: f64,
    /// Moving average of the sizes of its responses; zero before the first one.
    mean_bytes: f64,
}

/// Returns the decayed number of a service's requests.
fn recent(counts: &HashMap<Arc<str>, DecayedCount>, service: &str, now: Duration) -> f64 {
    counts
        .get(service)
        .map_or(0.0, |count| count.at_time(REQUEST_COUNT_DECAY, now))
}

/// What a request that can't be retried has to know about the servers of its service.
#[derive(Debug, Clone, Copy)]
struct Caution {
    /// Decayed number of recent requests of the service.
    requests: f64,
    /// Whether the service has enough requests for each server to be used within the time in which
    /// it has to be. With fewer, requests that can't be retried go to the servers that responded
    /// last.
    has_requests_for_all: bool,
    /// Whether a candidate that isn't doubtful has a free slot.
    better_has_room: bool,
    /// Failing probability up to which idle servers are needed, so that enough of the healthy
    /// servers are in use.
    needed_up_to: f64,
}

/// How a request treats a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placement {
    /// The server should get a request now.
    Due,
    /// The server competes by its expected cost.
    ByCost,
    /// The server is used only if no other one is left.
    Avoid,
}

/// Chosen server and the estimates behind the choice, which are logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Key of the chosen server.
    pub key: ServerKey,
    /// Expected service and queueing time.
    pub expected_latency: Duration,
    /// Requests in flight at the server, from all daemons.
    pub in_flight: u32,
    /// Probability that the server is failing.
    pub failing_probability: f64,
    /// Time since any daemon last sent a request to the server, or since it was listed.
    pub idle_for: Duration,
}

impl LoadBalancer {
    /// Creates a load balancer without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of an attempt by this daemon.
    pub fn attempt_started(&mut self, key: ServerKey, now: Duration) {
        if let Some(state) = self.state(key) {
            state.own_in_flight += 1;
            state.used_at = now;
        }
    }

    /// Records the end of an attempt by this daemon.
    pub fn attempt_ended(&mut self, key: ServerKey) {
        if let Some(state) = self.states.get_mut(key) {
            state.own_in_flight = state.own_in_flight.saturating_sub(1);
        }
    }

    /// Sets the number of requests that all other daemons together have in flight at a server.
    pub fn set_peer_in_flight(&mut self, key: ServerKey, in_flight: u32, now: Duration) {
        if let Some(state) = self.state(key) {
            if in_flight > state.peer_in_flight {
                state.used_at = now;
            }
            state.peer_in_flight = in_flight;
        }
    }

    /// Adds a server to the list. It counts as used now: all daemons learn of it at the same time,
    /// and without the wait each of them would consider it due.
    pub fn add_server(&mut self, key: ServerKey, now: Duration) {
        if let Some(state) = self.state(key) {
            state.used_at = now;
        }
    }

    /// Discards the observations of a server that left the list. It may come back under its key, and
    /// the attempts that this daemon has in flight end then.
    pub fn remove_server(&mut self, key: ServerKey) {
        let own_in_flight = self.own_in_flight(key);
        self.states.remove(key);
        if own_in_flight > 0
            && let Some(state) = self.state(key)
        {
            state.own_in_flight = own_in_flight;
        }
    }

    /// Applies an observation reported by another daemon, before the load of the same report.
    pub fn observe_reported(
        &mut self,
        server: (ServerKey, &Server),
        evidence: Evidence,
        now: Duration,
    ) {
        let has_reached_server = !matches!(evidence, Evidence::Overdue | Evidence::Unreachable);
        if let Some(state) = self.state(server.0) {
            // A request that started and ended between two reports was never in flight in one.
            if has_reached_server && state.in_flight() == 0 {
                state.used_at = now;
            }
        }
        self.observe(server, evidence, now);
    }

    /// Applies an observation made by this daemon.
    pub fn observe(&mut self, server: (ServerKey, &Server), evidence: Evidence, now: Duration) {
        let (key, server) = server;
        let (service, slots) = (server.entry.service.clone(), server.entry.slots);
        let Some(entry) = self.states.entry(key) else {
            return;
        };
        let state = entry.or_default();
        if matches!(evidence, Evidence::Failure | Evidence::Overdue) {
            let failures = self.failure_counts.entry(service.clone()).or_default();
            failures.record(REQUEST_COUNT_DECAY, now);
        }
        if evidence != Evidence::Overdue {
            let requests = self.request_counts.entry(service).or_default();
            requests.record(REQUEST_COUNT_DECAY, now);
        }
        match evidence {
            Evidence::Success(relative_latency) => {
                state.update(1.0 - FAILURE_RATE_FAILING, 1.0 - FAILURE_RATE_HEALTHY, now);
                let gain = SERVER_LATENCY_GAIN.max(1.0 / (state.samples + 1.0));
                state.relative_latency +=
                    (f64::from(relative_latency.0) / 100.0 - state.relative_latency) * gain;
                state.samples += 1.0;
                state.retry_at = Duration::ZERO;
                if !state.is_suspected_at(now) {
                    state.retry_delay = Duration::ZERO;
                }
            }
            Evidence::Failure => state.update(FAILURE_RATE_FAILING, FAILURE_RATE_HEALTHY, now),
            // A server that refuses requests while it has free slots is failing.
            Evidence::Shed if state.in_flight() < slots => {
                state.update(FAILURE_RATE_FAILING, FAILURE_RATE_HEALTHY, now);
            }
            Evidence::Shed => {}
            Evidence::Overdue => state.update(OVERDUE_RATE_FAILING, OVERDUE_RATE_HEALTHY, now),
            Evidence::Unreachable | Evidence::Misdirected => {
                state.failing_probability = FAILING_PROBABILITY_UNREACHABLE;
                state.evidence_at = now;
            }
        }
        if evidence.is_negative() {
            state.schedule_retry(now);
        }
        if evidence != Evidence::Shed || state.evidence_at == now {
            state.schedule_probe(evidence.is_negative(), now);
        }
    }

    /// Records the latency of a response and returns it relative to the route's typical latency
    /// before this sample.
    pub fn record_latency(&mut self, route: &Route, took: Duration) -> RelativeLatency {
        let relative_latency = RelativeLatency::of(took, self.typical_route_latency(route));
        let route_latency = self.routes.entry(route.name.clone()).or_default();
        let gain = ROUTE_LATENCY_GAIN.max(1.0 / (route_latency.samples + 1.0));
        route_latency.mean_s += (took.as_secs_f64() - route_latency.mean_s) * gain;
        route_latency.samples += 1.0;
        relative_latency
    }

    /// Returns the mean latency of a route, blended with a prior derived from its objective.
    pub fn typical_route_latency(&self, route: &Route) -> Duration {
        let prior_s = route.latency_objective.as_secs_f64() * DEFAULT_SHARE_OF_OBJECTIVE;
        let measured = self.routes.get(&route.name);
        let (mean_s, samples) = measured.map_or((0.0, 0.0), |t| (t.mean_s, t.samples));
        let sum_s = prior_s * ROUTE_PRIOR_SAMPLES + mean_s * samples;
        Duration::from_secs_f64(sum_s / (ROUTE_PRIOR_SAMPLES + samples))
    }

    /// Records the size of the body of a response.
    pub fn record_response_bytes(&mut self, route: &Route, bytes: u64) {
        let sizes = self.routes.entry(route.name.clone()).or_default();
        let gain = match sizes.mean_bytes > 0.0 {
            true => ROUTE_LATENCY_GAIN,
            false => 1.0,
        };
        sizes.mean_bytes += (bytes as f64 - sizes.mean_bytes) * gain;
    }

    /// Returns the mean size of the bodies of a route's responses, or 0 if none is known.
    pub fn typical_response_bytes(&self, route: &Route) -> u64 {
        let measured = self.routes.get(&route.name);
        measured.map_or(0, |r| r.mean_bytes as u64)
    }

    /// Discards the latencies and sizes of routes that are no longer configured.
    pub fn retain_routes<F>(&mut self, is_configured: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|name, _| is_configured(name));
    }

    /// Returns the probability that a server is failing; that of a new one if it isn't listed.
    pub fn failing_probability(&self, key: ServerKey, now: Duration) -> f64 {
        let state = self.states.get(key);
        state.map_or(FAILING_PROBABILITY_NEW, |s| s.failing_probability_at(now))
    }

    /// Whether a server is suspected: it probably fails, and is seldom used until its evidence is
    /// too old or it has served requests.
    pub fn is_suspected(&self, key: ServerKey, now: Duration) -> bool {
        self.states.get(key).is_some_and(|s| s.is_suspected_at(now))
    }

    /// Returns the number of requests that this daemon has in flight at a server.
    pub fn own_in_flight(&self, key: ServerKey) -> u32 {
        self.states.get(key).map_or(0, |s| s.own_in_flight)
    }

    /// Chooses the candidate with the lowest expected cost, or `None` if no candidate accepts
    /// requests. Servers of other domains have a fixed additional cost. `jitter` returns numbers in
    /// 0..1.
    pub fn choose<F>(
        &self,
        servers: &Servers,
        query: Query<'_>,
        now: Duration,
        jitter: F,
    ) -> Option<Choice>
    where
        F: FnMut() -> f64,
    {
        self.choose_in(servers, query, &Destination::FixedCost, now, jitter)
    }

    /// Chooses like [`LoadBalancer::choose`], but prefers the servers of `destination`.
    pub fn choose_in<F>(
        &self,
        servers: &Servers,
        query: Query<'_>,
        destination: &Destination,
        now: Duration,
        mut jitter: F,
    ) -> Option<Choice>
    where
        F: FnMut() -> f64,
    {
        let mean_s = query.typical_latency.as_secs_f64();
        let caution = match query.may_retry {
            true => None,
            false => Some(self.caution(servers, &query, now)),
        };
        let available = servers
            .of_service(query.service)
            .filter(|(k, s)| s.accepts_requests(now) && query.candidates.contains(*k));
        let costs = available.map(|(key, server)| {
            let (mut cost_s, choice) = self.cost(key, server, &query, mean_s, now);
            cost_s += domain_cost(&server.entry.domain, query.domain, destination) * mean_s;
            let is_own_domain = &*server.entry.domain == query.domain;
            let spread = jitter();
            let is_due = self.is_due(key, is_own_domain, now, spread);
            let step = match &caution {
                None if is_due => Placement::Due,
                None => Placement::ByCost,
                Some(caution) => self.placement(caution, &choice, is_due, now, spread),
            };
            match step {
                Placement::Due => cost_s -= DUE_COST_REDUCTION * mean_s,
                Placement::ByCost => {}
                Placement::Avoid => cost_s += DOUBTFUL_COST * mean_s,
            }
            (cost_s + jitter() * JITTER_COST_MAX * mean_s, choice)
        });
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, choice)| choice)
    }

    /// Decides how a request that can't be retried treats a server. `is_due` tells whether the server
    /// has had no request for some time, and `draw` is uniformly distributed in 0..1.
    fn placement(
        &self,
        caution: &Caution,
        choice: &Choice,
        is_due: bool,
        now: Duration,
        draw: f64,
    ) -> Placement {
        let is_doubtful = choice.failing_probability >= DOUBTFUL_PROBABILITY;
        let state = self.states.get(choice.key);
        let has_failed = state.is_some_and(|s| s.probe_at.is_some());
        let is_needed =
            !(is_doubtful && has_failed) || choice.failing_probability <= caution.needed_up_to;
        if is_due && is_needed && caution.has_requests_for_all {
            return Placement::Due;
        }
        if state.is_some_and(|s| s.is_probe_due(caution.requests, now, draw)) {
            return Placement::Due;
        }
        match is_doubtful && caution.better_has_room {
            true => Placement::Avoid,
            false => Placement::ByCost,
        }
    }

    /// Assesses the servers of a service for a request that can't be retried.
    fn caution(&self, servers: &Servers, query: &Query<'_>, now: Duration) -> Caution {
        let default_state = ServerState::default();
        let (mut accepting, mut healthy, mut in_use) = (0_u32, 0.0, 0.0);
        let mut better_has_room = false;
        // Servers that may come into use: probabilities that they are failing now, and that they
        // have been healthy for long enough to count.
        let mut idle = Vec::new();
        let of_service = servers.of_service(query.service);
        for (key, server) in of_service.filter(|(_, s)| s.accepts_requests(now)) {
            let state = self.states.get(key).unwrap_or(&default_state);
            let failing_probability = state.failing_probability_at(now);
            let recovered_before = now.saturating_sub(RECOVERY_TIME);
            let is_healthy = 1.0 - state.failing_probability_at(recovered_before);
            accepting += 1;
            healthy += is_healthy;
            if now < state.used_at + DUE_INTERVAL {
                in_use += is_healthy;
            } else if now >= state.due().0 {
                idle.push((failing_probability, is_healthy));
            }
            better_has_room |= failing_probability < DOUBTFUL_PROBABILITY
                && state.in_flight() < server.entry.slots
                && query.candidates.contains(key);
        }
        idle.sort_by(|a: &(f64, f64), b| a.0.total_cmp(&b.0));
        let margin = (FLOOR_MARGIN_SHARE * healthy).max(FLOOR_MARGIN_SERVERS_MIN);
        let needed = FLOOR_SHARE * healthy + margin;
        let mut needed_up_to = 0.0;
        for (failing_probability, is_healthy) in idle {
            if in_use >= needed {
                break;
            }
            in_use += is_healthy;
            needed_up_to = failing_probability;
        }
        let requests = recent(&self.request_counts, query.service, now);
        let failures = recent(&self.failure_counts, query.service, now);
        if failures >= FLOOR_FAILED_SHARE * requests.max(1.0) {
            better_has_room = false;
            needed_up_to = 1.0;
        }
        Caution {
            requests,
            has_requests_for_all: requests >= f64::from(accepting),
            better_has_room,
            needed_up_to,
        }
    }

    /// Returns the number of requests that all daemons have in flight at the servers of a service
    /// that accept requests, and the number of slots of these servers.
    pub fn service_load(&self, servers: &Servers, service: &str, now: Duration) -> (u32, u32) {
        let accepting = servers
            .of_service(service)
            .filter(|(_, s)| s.accepts_requests(now));
        accepting.fold((0, 0), |(in_flight, slots), (key, server)| {
            let state = self.states.get(key);
            let at_server = state.map_or(0, ServerState::in_flight);
            (in_flight + at_server, slots + server.entry.slots)
        })
    }

    /// Returns the `count` servers at which all daemons have the most requests in flight, and their
    /// number, the highest first. Servers without requests are left out.
    pub fn busiest(&self, count: usize) -> Vec<(ServerKey, u32)> {
        let in_flight = self.states.iter().map(|(key, s)| (key, s.in_flight()));
        let mut busiest: Vec<_> = in_flight.filter(|(_, count)| *count > 0).collect();
        busiest.sort_by_key(|(key, in_flight)| (std::cmp::Reverse(*in_flight), *key));
        busiest.truncate(count);
        busiest
    }

    /// Returns the load of a service's servers by domain.
    pub fn domain_loads(&self, servers: &Servers, service: &str, now: Duration) -> Vec<DomainLoad> {
        let default_state = ServerState::default();
        let mut loads: Vec<(DomainLoad, f64)> = Vec::new();
        let of_service = servers.of_service(service);
        for (key, server) in of_service.filter(|(_, s)| s.accepts_requests(now)) {
            let state = self.states.get(key).unwrap_or(&default_state);
            let is_healthy = 1.0 - state.failing_probability_at(now);
            let domain = &server.entry.domain;
            let index = loads.iter().position(|(l, _)| l.domain == *domain);
            let index = index.unwrap_or_else(|| {
                let empty = DomainLoad {
                    domain: domain.clone(),
                    slots: 0.0,
                    in_flight: 0.0,
                    relative_latency: 0.0,
                };
                loads.push((empty, 0.0));
                loads.len() - 1
            });
            let (load, weights) = &mut loads[index];
            load.slots += is_healthy * f64::from(server.entry.slots);
            load.in_flight += is_healthy * f64::from(state.in_flight());
            let samples = state.samples.min(SERVER_SAMPLES_MAX);
            load.relative_latency += state.relative_latency * samples + SERVER_PRIOR_SAMPLES;
            *weights += samples + SERVER_PRIOR_SAMPLES;
        }
        for (load, weights) in &mut loads {
            load.relative_latency /= *weights;
        }
        loads.into_iter().map(|(load, _)| load).collect()
    }

    /// Counts the servers of a service that accept requests by their usage.
    pub fn server_use(&self, servers: &Servers, service: &str, now: Duration) -> ServerUse {
        let mut server_use = ServerUse::default();
        let accepting = servers
            .of_service(service)
            .filter(|(_, s)| s.accepts_requests(now));
        for (key, _) in accepting {
            let state = self.states.get(key);
            match state.map_or(Usage::Idle, |s| s.usage_at(now)) {
                Usage::InUse => server_use.in_use += 1,
                Usage::Idle => server_use.idle += 1,
                Usage::Suspected => server_use.suspected += 1,
            }
        }
        server_use
    }

    /// Whether a request should go to the server because it hasn't had one for some time. `spread`
    /// in 0..1 distributes the requests of several daemons over time.
    fn is_due(&self, key: ServerKey, is_own_domain: bool, now: Duration, spread: f64) -> bool {
        let waits = if is_own_domain { spread } else { 1.0 + spread };
        let state = self.states.get(key);
        let (due_at, range) = state.map_or((DUE_INTERVAL, DUE_SPREAD), ServerState::due);
        now >= due_at + range.mul_f64(waits)
    }

    fn cost(
        &self,
        key: ServerKey,
        server: &Server,
        query: &Query<'_>,
        mean_s: f64,
        now: Duration,
    ) -> (f64, Choice) {
        let default_state = ServerState::default();
        let state = self.states.get(key).unwrap_or(&default_state);
        let in_flight = state.in_flight();
        let slots = f64::from(server.entry.slots.max(1));
        let samples = state.samples.min(SERVER_SAMPLES_MAX);
        let relative_latency = (state.relative_latency * samples + SERVER_PRIOR_SAMPLES)
            / (samples + SERVER_PRIOR_SAMPLES);
        let mut service_s = relative_latency * mean_s;
        if now < server.cold_until {
            service_s *= COLD_FACTOR;
        }
        let queued = (f64::from(in_flight) + 1.0 - slots).max(0.0);
        let wait_s = queued / slots * service_s;
        let failing_probability = state.failing_probability_at(now);
        let mut cost_s = service_s + wait_s;
        cost_s += BUSY_SLOT_COST * mean_s * f64::from(in_flight) / slots;
        let failure_cost = match query.may_retry {
            true => FAILURE_COST_RETRIED,
            false => FAILURE_COST_FINAL,
        };
        cost_s += failing_probability * failure_cost * mean_s;
        let choice = Choice {
            key,
            expected_latency: Duration::from_secs_f64(service_s + wait_s),
            in_flight,
            failing_probability,
            idle_for: now.saturating_sub(state.used_at),
        };
        (cost_s, choice)
    }

    fn state(&mut self, key: ServerKey) -> Option<&mut ServerState> {
        Some(self.states.entry(key)?.or_default())
    }
}

/// Returns the cost of a server in `domain` for a request of a daemon in `own_domain`, in typical
/// service times.
fn domain_cost(domain: &str, own_domain: &str, destination: &Destination) -> f64 {
    match destination {
        Destination::FixedCost if domain == own_domain => 0.0,
        Destination::FixedCost => OTHER_DOMAIN_COST,
        Destination::Own if domain == own_domain => 0.0,
        Destination::Other(destination) if domain == &**destination => 0.0,
        Destination::Other(_) if domain == own_domain => LEFT_DOMAIN_COST,
        Destination::Own | Destination::Other(_) => WRONG_DOMAIN_COST,
    }
}

/// Restricts the servers that may be chosen.
#[derive(Debug, Clone, Copy)]
pub enum Candidates<'a> {
    /// All servers of the service except these.
    Except(&'a [ServerKey]),
    /// Only these servers.
    Only(&'a [ServerKey]),
}

impl Candidates<'_> {
    fn contains(self, key: ServerKey) -> bool {
        match self {
            Self::Except(keys) => !keys.contains(&key),
            Self::Only(keys) => keys.contains(&key),
        }
    }
}

/// Request properties that determine the choice of a server.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Name of the service that the request goes to.
    pub service: &'a str,
    /// Typical latency of the request's route.
    pub typical_latency: Duration,
    /// Failure domain of this daemon.
    pub domain: &'a str,
    /// Whether the request may be retried at another server if the chosen one fails.
    pub may_retry: bool,
    /// Servers that may be chosen.
    pub candidates: Candidates<'a>,
}
