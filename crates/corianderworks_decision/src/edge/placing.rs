//! Chooses the backend server of an attempt.
//!
//! Load answered: a few requests a second at each of many daemons, before servers with few
//! slots, some of which fail or stall although their health check passes. A daemon alone
//! sees too few requests to judge a server, so load and failures reported by the other
//! daemons count like its own.
//!
//! Each server is in one of two states, sound or failing, that it keeps for seconds. The
//! daemon holds the probability that it is failing: evidence changes it, and without
//! evidence it returns to a base rate. The choice takes the least expected cost: the
//! service time that the server has shown, the time in its queue, and the cost of a failure
//! times its probability. So servers that have just answered are preferred to those of
//! which nothing is known, and a failing server is used only when all others are full.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use super::routes::Route;
use super::servers::{Server, ServerKey, Servers};

/// Probability that a server fails of which nothing has been heard for long.
const FAILING_BASE_RATE: f64 = 0.2;
/// Probability that a server fails that has just joined.
const FAILING_WHEN_NEW: f64 = 0.02;
/// Time in which evidence loses 63% of its weight; gray failures last several seconds.
const EVIDENCE_DECAY: Duration = Duration::from_millis(3_000);
/// Share of requests that a failing server fails, and that a sound one fails.
const FAILING_FAILS: f64 = 0.7;
const SOUND_FAILS: f64 = 0.02;
/// Share of requests that take far longer than usual at a failing and at a sound server.
const FAILING_OVERDUE: f64 = 0.3;
const SOUND_OVERDUE: f64 = 0.02;
/// Probability that a server fails that can't be connected, or is another one by now.
const FAILING_WHEN_UNREACHABLE: f64 = 0.97;
/// Cost of a failure in service times, if the request is lost, and if it runs again.
const FAILURE_COST_LOST: f64 = 10.0;
const FAILURE_COST_REPEATED: f64 = 4.0;
/// Weight of a new sample in the pace of a server, and in the usual time of a route.
const PACE_GAIN: f64 = 0.2;
const ROUTE_GAIN: f64 = 0.1;
/// Samples of a server that count as much as the assumption that it has the usual pace.
const PACE_PRIOR_SAMPLES: f64 = 4.0;
/// Most samples that count against that assumption.
const PACE_SAMPLES_MAX: f64 = 20.0;
/// Part of a route's latency objective that a response takes, before any is known.
const USUAL_PART_OF_OBJECTIVE: f64 = 0.33;
/// Samples of a route that count as much as that assumption.
const ROUTE_PRIOR_SAMPLES: f64 = 3.0;
/// Cost of a busy slot, in service times: servers slow down when nearly full.
const BUSY_SLOT_COST: f64 = 0.4;
/// Shares of failed attempts at which a service begins to bring idle servers into use, and
/// at which it uses all that may be sound. More than a tenth of the requests may fail within
/// 2 s only while 70% of the sound servers are in use in these 2 s, so the use has to grow
/// while the share is still rising; each try of an idle server may fail itself.
const SPREAD_BEGINS: f64 = 0.04;
const SPREAD_COMPLETE: f64 = 0.06;
/// Share of the servers that may be sound which is in use when the spreading begins.
const SPREAD_USE_AT_FIRST: f64 = 0.5;
/// Time in which an outcome loses 63% of its weight in that share.
const SPREAD_DECAY: Duration = Duration::from_millis(2_000);
/// Time without a request after which a server is tried again then. All have to be used
/// within 2 s.
const SPREAD_IDLE: Duration = Duration::from_millis(1_500);
/// Probability of failing above which a server is not tried again for that reason: tries
/// that fail would raise the share that causes them.
const SPREAD_FAILING_MAX: f64 = 0.4;
/// Advantage of a server that is tried again, in service times.
const SPREAD_ADVANTAGE: f64 = 20.0;
/// Cost of a server in another failure domain, in service times.
const OTHER_DOMAIN_COST: f64 = 0.8;
/// Cost factor of a server that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Range of the random part of the cost, in service times; spreads equal choices.
const JITTER_SERVICE_TIMES: f64 = 0.1;

/// How an attempt ended, as far as it says something about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// Complete response that is no failure.
    Success(Pace),
    /// Failure response, broken or missing response.
    Failure,
    /// The server refused the request as full.
    Shed,
    /// The attempt takes far longer than usual and is still open.
    Overdue,
    /// No connection could be opened.
    Unreachable,
    /// Another server run answered at the address.
    Misdirected,
}

impl Evidence {
    /// Whether it speaks against the server.
    pub fn is_bad(&self) -> bool {
        !matches!(self, Self::Success(_))
    }
}

/// Time of a response in hundredths of the usual time of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace(pub u16);

impl Pace {
    /// Returns the pace of a response that took `took` in place of `usual`.
    pub fn of(took: Duration, usual: Duration) -> Self {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(0.001);
        Self((ratio * 100.0).min(f64::from(u16::MAX)) as u16)
    }
}

#[derive(Debug, Clone)]
struct State {
    own_in_flight: u32,
    peer_in_flight: u32,
    /// Probability that the server fails, at the time of the last evidence.
    failing: f64,
    evidence_at: Duration,
    /// When any daemon last sent a request there.
    used_at: Duration,
    /// Mean pace, 1.0 is usual.
    pace: f64,
    samples: f64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            own_in_flight: 0,
            peer_in_flight: 0,
            failing: FAILING_WHEN_NEW,
            evidence_at: Duration::ZERO,
            used_at: Duration::ZERO,
            pace: 1.0,
            samples: 0.0,
        }
    }
}

impl State {
    /// Probability that the server fails now.
    fn failing_at(&self, now: Duration) -> f64 {
        if self.evidence_at.is_zero() {
            return self.failing;
        }
        let age = now.saturating_sub(self.evidence_at);
        let kept = fade(age, EVIDENCE_DECAY);
        FAILING_BASE_RATE + (self.failing - FAILING_BASE_RATE) * kept
    }

    fn use_at(&self, now: Duration) -> Usage {
        let may_be_sound = self.failing_at(now) < SPREAD_FAILING_MAX;
        let is_idle = now.saturating_sub(self.used_at) >= SPREAD_IDLE;
        match (may_be_sound, is_idle) {
            (true, true) => Usage::Idle,
            (true, false) => Usage::InUse,
            (false, _) => Usage::Avoided,
        }
    }

    /// Takes an observation with these probabilities at a failing and at a sound server.
    fn update(&mut self, if_failing: f64, if_sound: f64, now: Duration) {
        let prior = self.failing_at(now);
        let failing = prior * if_failing;
        self.failing = failing / (failing + (1.0 - prior) * if_sound);
        self.evidence_at = now;
    }
}

/// How a server takes part in the load of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Usage {
    /// It probably works and gets requests.
    InUse,
    /// It may work and got no request lately.
    Idle,
    /// It failed just now.
    Avoided,
}

/// Load and evidence per server, and the choice that follows from them.
#[derive(Debug, Default)]
pub struct Placing {
    states: SecondaryMap<ServerKey, State>,
    services: HashMap<Arc<str>, ServiceState>,
    routes: HashMap<Arc<str>, RouteTime>,
}

/// Times of responses of a route.
#[derive(Debug, Default)]
struct RouteTime {
    mean_s: f64,
    samples: f64,
}

/// What is known of a service as a whole.
#[derive(Debug, Default)]
struct ServiceState {
    /// Outcomes and failures, both fading.
    outcomes: f64,
    failures: f64,
    at: Duration,
}

impl ServiceState {
    fn count(&mut self, failed: bool, now: Duration) {
        let kept = fade(now.saturating_sub(self.at), SPREAD_DECAY);
        self.outcomes = self.outcomes * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(failed));
        self.at = now;
    }

    fn failed_share(&self) -> f64 {
        self.failures / self.outcomes.max(1.0)
    }
}

/// Share of the servers that may be sound which a service with this share of failed attempts
/// has to use.
fn spread_use_share(failed_share: f64) -> f64 {
    if failed_share <= SPREAD_BEGINS {
        return 0.0;
    }
    let grown = (failed_share - SPREAD_BEGINS) / (SPREAD_COMPLETE - SPREAD_BEGINS);
    (SPREAD_USE_AT_FIRST + (1.0 - SPREAD_USE_AT_FIRST) * grown).min(1.0)
}

/// Weight that remains after `age`.
fn fade(age: Duration, decay: Duration) -> f64 {
    (-age.as_secs_f64() / decay.as_secs_f64()).exp()
}

/// What is known of the chosen server, for the decision log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Chosen server.
    pub key: ServerKey,
    /// Expected time until the response.
    pub expected: Duration,
    /// Requests of all daemons in flight at the server.
    pub in_flight: u32,
    /// Probability that the server fails.
    pub failing: f64,
}

impl Placing {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an attempt of this daemon that starts.
    pub fn started(&mut self, key: ServerKey, now: Duration) {
        if let Some(state) = self.state(key) {
            state.own_in_flight += 1;
            state.used_at = now;
        }
    }

    /// Counts an attempt of this daemon that ended.
    pub fn ended(&mut self, key: ServerKey) {
        if let Some(state) = self.states.get_mut(key) {
            state.own_in_flight = state.own_in_flight.saturating_sub(1);
        }
    }

    /// Sets the number of requests that the other daemons have in flight.
    pub fn set_peer_in_flight(&mut self, key: ServerKey, in_flight: u32, now: Duration) {
        if let Some(state) = self.state(key) {
            if in_flight > 0 {
                state.used_at = now;
            }
            state.peer_in_flight = in_flight;
        }
    }

    /// Forgets a server.
    pub fn forget(&mut self, key: ServerKey) {
        self.states.remove(key);
    }

    /// Takes evidence of this daemon or another one.
    pub fn observe(&mut self, server: (ServerKey, &Server), evidence: Evidence, now: Duration) {
        let (key, server) = server;
        let (service, slots) = (server.entry.service.clone(), server.entry.slots);
        let Some(entry) = self.states.entry(key) else {
            return;
        };
        let state = entry.or_default();
        // A failing server that is tried again and still fails calls for no further tries.
        if state.failing_at(now) < SPREAD_FAILING_MAX {
            let failed = !matches!(evidence, Evidence::Success(_) | Evidence::Overdue);
            self.services.entry(service).or_default().count(failed, now);
        }
        match evidence {
            Evidence::Success(pace) => {
                state.update(1.0 - FAILING_FAILS, 1.0 - SOUND_FAILS, now);
                let gain = PACE_GAIN.max(1.0 / (state.samples + 1.0));
                state.pace += (f64::from(pace.0) / 100.0 - state.pace) * gain;
                state.samples += 1.0;
            }
            Evidence::Failure => state.update(FAILING_FAILS, SOUND_FAILS, now),
            // A server that refuses although slots are free is failing.
            Evidence::Shed if state.own_in_flight + state.peer_in_flight < slots => {
                state.update(FAILING_FAILS, SOUND_FAILS, now);
            }
            Evidence::Shed => {}
            Evidence::Overdue => state.update(FAILING_OVERDUE, SOUND_OVERDUE, now),
            Evidence::Unreachable | Evidence::Misdirected => {
                state.failing = FAILING_WHEN_UNREACHABLE;
                state.evidence_at = now;
            }
        }
    }

    /// Learns how long a response of a route took and returns its pace.
    pub fn learn_time(&mut self, route: &Route, took: Duration) -> Pace {
        let pace = Pace::of(took, self.usual_time(route));
        let time = self.routes.entry(route.name.clone()).or_default();
        let gain = ROUTE_GAIN.max(1.0 / (time.samples + 1.0));
        time.mean_s += (took.as_secs_f64() - time.mean_s) * gain;
        time.samples += 1.0;
        pace
    }

    /// Returns the usual time of a response of a route.
    pub fn usual_time(&self, route: &Route) -> Duration {
        let assumed_s = route.latency_objective.as_secs_f64() * USUAL_PART_OF_OBJECTIVE;
        let known = self.routes.get(&route.name);
        let (mean_s, samples) = known.map_or((0.0, 0.0), |t| (t.mean_s, t.samples));
        let sum_s = assumed_s * ROUTE_PRIOR_SAMPLES + mean_s * samples;
        Duration::from_secs_f64(sum_s / (ROUTE_PRIOR_SAMPLES + samples))
    }

    /// Forgets the routes that are no longer configured.
    pub fn keep_routes<F>(&mut self, is_configured: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|name, _| is_configured(name));
    }

    /// Returns the number of requests that this daemon has in flight, per server.
    pub fn own_in_flight(&self, key: ServerKey) -> u32 {
        self.states.get(key).map_or(0, |s| s.own_in_flight)
    }

    /// Chooses the server with the least expected cost, among those that the query names.
    ///
    /// `jitter` returns numbers in 0..1.
    pub fn choose<F>(
        &self,
        servers: &Servers,
        query: Query<'_>,
        now: Duration,
        mut jitter: F,
    ) -> Option<Choice>
    where
        F: FnMut() -> f64,
    {
        let mean_s = query.usual.as_secs_f64();
        let spreads = self.spreads(servers, query.service, now);
        let candidates = servers
            .of_service(query.service)
            .filter(|(k, s)| s.accepts(now) && query.among.contains(*k));
        let costs = candidates.map(|(key, server)| {
            let (cost_s, choice) = self.cost(key, server, &query, mean_s, now);
            let cost_s = match spreads && self.is_due(key, now) {
                true => cost_s - SPREAD_ADVANTAGE * mean_s,
                false => cost_s,
            };
            (cost_s + jitter() * JITTER_SERVICE_TIMES * mean_s, choice)
        });
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, choice)| choice)
    }

    /// Whether a service fails in part and uses too few of the servers that may be sound.
    fn spreads(&self, servers: &Servers, service: &str, now: Duration) -> bool {
        let failed_share = self.services.get(service).map(ServiceState::failed_share);
        let use_share = spread_use_share(failed_share.unwrap_or_default());
        if use_share == 0.0 {
            return false;
        }
        let (mut in_use, mut idle) = (0_u32, 0_u32);
        for (key, _) in servers.of_service(service).filter(|(_, s)| s.accepts(now)) {
            match self.states.get(key).map_or(Usage::Idle, |s| s.use_at(now)) {
                Usage::InUse => in_use += 1,
                Usage::Idle => idle += 1,
                Usage::Avoided => {}
            }
        }
        f64::from(in_use) < use_share * f64::from(in_use + idle)
    }

    /// Whether an idle server should be tried, in a service that spreads.
    fn is_due(&self, key: ServerKey, now: Duration) -> bool {
        let state = self.states.get(key);
        state.is_none_or(|s| s.use_at(now) == Usage::Idle)
    }

    fn cost(
        &self,
        key: ServerKey,
        server: &Server,
        query: &Query<'_>,
        mean_s: f64,
        now: Duration,
    ) -> (f64, Choice) {
        let fresh = State::default();
        let state = self.states.get(key).unwrap_or(&fresh);
        let in_flight = state.own_in_flight + state.peer_in_flight;
        let slots = f64::from(server.entry.slots.max(1));
        let samples = state.samples.min(PACE_SAMPLES_MAX);
        let pace = (state.pace * samples + PACE_PRIOR_SAMPLES) / (samples + PACE_PRIOR_SAMPLES);
        let mut service_s = pace * mean_s;
        if now < server.cold_until {
            service_s *= COLD_FACTOR;
        }
        let queued = (f64::from(in_flight) + 1.0 - slots).max(0.0);
        let wait_s = queued / slots * service_s;
        let failing = state.failing_at(now);
        let mut cost_s = service_s + wait_s;
        cost_s += BUSY_SLOT_COST * mean_s * f64::from(in_flight) / slots;
        let failure_cost = match query.may_repeat {
            true => FAILURE_COST_REPEATED,
            false => FAILURE_COST_LOST,
        };
        cost_s += failing * failure_cost * mean_s;
        if &*server.entry.domain != query.domain {
            cost_s += OTHER_DOMAIN_COST * mean_s;
        }
        let choice = Choice {
            key,
            expected: Duration::from_secs_f64(service_s + wait_s),
            in_flight,
            failing,
        };
        (cost_s, choice)
    }

    fn state(&mut self, key: ServerKey) -> Option<&mut State> {
        Some(self.states.entry(key)?.or_default())
    }
}

/// Servers that a choice is made among.
#[derive(Debug, Clone, Copy)]
pub enum Among<'a> {
    /// All of the service except these.
    AllBut(&'a [ServerKey]),
    /// Only these.
    Only(&'a [ServerKey]),
}

impl Among<'_> {
    fn contains(self, key: ServerKey) -> bool {
        match self {
            Self::AllBut(keys) => !keys.contains(&key),
            Self::Only(keys) => keys.contains(&key),
        }
    }
}

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Usual time of a response of the route.
    pub usual: Duration,
    /// Failure domain of this daemon.
    pub domain: &'a str,
    /// Whether the request may run again at another server if this one fails it.
    pub may_repeat: bool,
    /// Servers that the request may go to.
    pub among: Among<'a>,
}
