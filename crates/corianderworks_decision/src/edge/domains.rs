//! Decides which requests leave a daemon's failure domain, and where they go.
//!
//! For each service, every daemon of a domain derives the share of its requests that leaves from
//! the same reports, and draws for each request. The share follows the waiting time that leaving
//! saves: it grows in small steps while the wait here exceeds the wait there and the time to get
//! there, and falls in smaller steps once the own domain has room. Between the two it is held, so
//! that domains neither oscillate nor flood each other. See `docs/design/leaving-the-domain.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::routes::pick_weighted;

/// Interval between two adjustments of the share. Longer than it takes until the daemons of other
/// domains learn of a request (about 100 ms), so that each step is seen before the next.
const UPDATE_INTERVAL: Duration = Duration::from_millis(150);
/// Requests in flight per slot from which on requests wait. Less than 1, because the slots aren't
/// filled evenly.
const BUSY_LOAD: f64 = 0.85;
/// Load of the own domain below which the share falls. Well below [`BUSY_LOAD`], so that the
/// requests that come back don't drive it up again.
const RETURN_LOAD: f64 = 0.75;
/// Load below which another domain takes requests, and from which on it takes none.
const OPEN_LOAD: f64 = 0.7;
const CLOSE_LOAD: f64 = 0.9;
/// Saved waiting time from which on the share grows, in service times.
const GAIN_MIN: f64 = 0.05;
/// Load that the growth of the share aims at.
const TARGET_LOAD: f64 = 0.9;
/// Part of the missing share that one adjustment adds, because the loads are of before the last
/// adjustment, and its upper bound.
const GROWTH_GAIN: f64 = 0.4;
const GROWTH_MAX: f64 = 0.2;
/// Weight of a new value in the smoothed loads, and in the time to another domain. The load of a few
/// slots varies too much to act on a single value.
const LOAD_GAIN: f64 = 0.25;
const CROSSING_GAIN: f64 = 0.1;
/// Bound of the loads that are smoothed, so that a long queue isn't remembered for long.
const LOAD_MAX: f64 = 1.2;
/// Part of the free slots of other domains that one adjustment may fill: other domains may send
/// requests there at the same time.
const FILL_SHARE: f64 = 0.5;
/// Load below which the share falls faster, and the additional decrease per adjustment and load.
const CALM_LOAD: f64 = 0.65;
const DECREASE_PER_LOAD: f64 = 0.05;
/// Smallest decrease of the share per adjustment.
const DECREASE_MIN: f64 = 0.002;
/// Share below which no request leaves.
const SHARE_MIN: f64 = 0.01;
/// Decrease of the share per adjustment if no other domain takes requests.
const DECREASE_FULL: f64 = 0.1;
/// Waits in service times up to which the time to another domain can be told from the latencies.
const CROSSING_WAIT_MAX: f64 = 0.25;
/// Slots of healthy servers below which a domain has none.
const SLOTS_MIN: f64 = 0.5;
/// Cost of a request's bytes from which on it stays, in service times.
const STAY_BYTE_COST: f64 = 0.5;
/// Factor by which urgent requests are more likely to leave.
const URGENT_FACTOR: f64 = 2.0;

/// Servers of a service in one domain.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainLoad {
    /// Name of the domain.
    pub domain: Arc<str>,
    /// Slots of servers that accept requests, each weighted by the probability that it is healthy.
    pub slots: f64,
    /// Requests in flight at these servers from all daemons, weighted in the same way.
    pub in_flight: f64,
    /// Mean latency of the responses as seen from this daemon's domain, in typical latencies.
    pub relative_latency: f64,
}

impl DomainLoad {
    /// Returns the requests in flight per slot; infinite without a healthy server.
    pub fn load(&self) -> f64 {
        match self.slots < SLOTS_MIN {
            true => f64::INFINITY,
            false => self.in_flight / self.slots,
        }
    }

    /// Returns the expected wait in service times.
    fn wait(&self) -> f64 {
        (self.load() - BUSY_LOAD).max(0.0)
    }

    /// Returns the number of requests that can be added until the domain takes no more.
    fn room(&self) -> f64 {
        (self.slots * CLOSE_LOAD - self.in_flight).max(0.0)
    }
}

/// What is known of a service when its share is adjusted.
#[derive(Debug, Clone, Copy)]
pub struct ServiceView<'a> {
    /// Domain of this daemon.
    pub own_domain: &'a str,
    /// Domains with servers of the service.
    pub loads: &'a [DomainLoad],
    /// Whether reports of other daemons arrive. Without, the requests in flight are unknown.
    pub has_reports: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestNeeds {
    /// Expected bytes of the request and its response.
    pub bytes: u64,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Typical latency of its route.
    pub service_time: Duration,
}

/// Where a request should go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// Any domain, with a fixed cost for other domains.
    FixedCost,
    /// The own domain.
    Own,
    /// This other domain.
    Other(Arc<str>),
}

/// How the requests of a service are distributed over the domains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Mode {
    /// The domain has room, or there are no reports.
    #[default]
    FixedCost,
    /// The share of requests leaves, the others stay.
    Shared,
    /// The domain has no healthy server.
    AllLeave,
}

#[derive(Debug, Default)]
struct ServiceState {
    mode: Mode,
    share: f64,
    /// Smoothed loads of all domains.
    loads: Vec<(Arc<str>, f64)>,
    /// Additional time to other domains, in service times, smoothed over the adjustments in which
    /// neither domain was busy.
    crossing_times: Vec<(Arc<str>, f64)>,
    updated_at: Option<Duration>,
    /// Other domains that take requests, with their room as weight.
    open: Vec<(Arc<str>, f64)>,
    /// Expected wait in the own domain and in the best open one, in service times, the latter with
    /// the time to get there.
    wait_here: f64,
    wait_there: f64,
}

impl ServiceState {
    fn update(&mut self, view: &ServiceView<'_>) {
        let (own, others): (Vec<_>, Vec<_>) = view
            .loads
            .iter()
            .partition(|l| &*l.domain == view.own_domain);
        if !view.has_reports {
            *self = Self {
                updated_at: self.updated_at,
                ..Self::default()
            };
            return;
        }
        let own = own.first().filter(|l| l.slots >= SLOTS_MIN);
        let Some(own) = own else {
            self.leave(&others);
            return;
        };
        if self.mode == Mode::AllLeave {
            // The share falls as after an overload, so that the first servers aren't flooded.
            self.mode = Mode::Shared;
        }
        self.update_crossing_times(own, &others);
        for load in view.loads {
            smooth(
                &mut self.loads,
                &load.domain,
                load.load().min(LOAD_MAX),
                LOAD_GAIN,
            );
        }
        let smoothed_load = value_of(&self.loads, &own.domain);
        self.update_open(&others);
        let there = |load: &DomainLoad| load.wait() + value_of(&self.crossing_times, &load.domain);
        let open = others
            .iter()
            .filter(|l| self.open.iter().any(|(d, _)| *d == l.domain));
        let wait_there = open.map(|l| there(l)).fold(f64::INFINITY, f64::min);
        self.wait_here = own.wait();
        self.wait_there = wait_there;
        let room = self.open.iter().map(|(_, room)| room).sum::<f64>();
        let gain = self.wait_here - self.wait_there;
        if self.open.is_empty() {
            self.share = (self.share - DECREASE_FULL).max(0.0);
        } else if gain > GAIN_MIN && smoothed_load > BUSY_LOAD {
            // The load would be `smoothed_load / (1 - share)` if no request left.
            let missing = (1.0 - self.share) * (1.0 - TARGET_LOAD / smoothed_load).max(0.0);
            let growth = (missing * GROWTH_GAIN).min(GROWTH_MAX);
            let growth = growth.min(FILL_SHARE * room / own.in_flight.max(1.0));
            self.share = (self.share + growth).min(1.0);
        } else if smoothed_load < RETURN_LOAD {
            let decrease = DECREASE_MIN + DECREASE_PER_LOAD * (CALM_LOAD - smoothed_load).max(0.0);
            self.share -= decrease;
            if self.share < SHARE_MIN {
                self.share = 0.0;
            }
        }
        let is_shared = self.share > 0.0
            || smoothed_load >= BUSY_LOAD
            || (self.mode == Mode::Shared && smoothed_load >= RETURN_LOAD);
        self.mode = match is_shared {
            true => Mode::Shared,
            false => Mode::FixedCost,
        };
    }

    fn update_crossing_times(&mut self, own: &DomainLoad, others: &[&DomainLoad]) {
        for other in others {
            // Waits in the own domain make this a lower bound.
            let time = (other.relative_latency - own.relative_latency).max(0.0);
            let is_clear = own.wait().max(other.wait()) <= CROSSING_WAIT_MAX;
            if !is_clear && time <= value_of(&self.crossing_times, &other.domain) {
                continue;
            }
            smooth(&mut self.crossing_times, &other.domain, time, CROSSING_GAIN);
        }
    }

    /// Sends all requests to other domains, to full ones only if there are no others.
    fn leave(&mut self, others: &[&DomainLoad]) {
        let healthy: Vec<_> = others.iter().filter(|l| l.slots >= SLOTS_MIN).collect();
        let has_room = healthy.iter().any(|l| l.room() > 0.0);
        let weight = |load: &DomainLoad| match has_room {
            true => load.room(),
            false => load.slots,
        };
        let weighted = healthy.iter().map(|l| (l.domain.clone(), weight(l)));
        self.open = weighted.filter(|(_, w)| *w > 0.0).collect();
        self.mode = match self.open.is_empty() {
            true => Mode::FixedCost,
            false => Mode::AllLeave,
        };
        self.share = if self.open.is_empty() { 0.0 } else { 1.0 };
    }

    /// Updates the domains that take requests.
    fn update_open(&mut self, others: &[&DomainLoad]) {
        let before = std::mem::take(&mut self.open);
        let is_open = |load: &DomainLoad| {
            let limit = match before.iter().any(|(d, _)| *d == load.domain) {
                true => CLOSE_LOAD,
                false => OPEN_LOAD,
            };
            value_of(&self.loads, &load.domain) < limit
        };
        let open = others.iter().filter(|l| is_open(l));
        self.open = open.map(|l| (l.domain.clone(), l.room())).collect();
    }

    /// Returns a domain that takes requests, with a probability proportional to its room.
    fn select(&self, point: f64) -> Option<&Arc<str>> {
        let picked = pick_weighted(&self.open, |(_, weight)| *weight, point);
        picked.map(|(domain, _)| domain)
    }
}

/// Adds a value to the moving average of a domain.
fn smooth(averages: &mut Vec<(Arc<str>, f64)>, domain: &Arc<str>, value: f64, gain: f64) {
    match averages.iter_mut().find(|(d, _)| d == domain) {
        Some((_, average)) => *average += (value - *average) * gain,
        None => averages.push((domain.clone(), value)),
    }
}

/// Returns the moving average of a domain, or 0 without one.
fn value_of(averages: &[(Arc<str>, f64)], domain: &str) -> f64 {
    let average = averages.iter().find(|(d, _)| &**d == domain);
    average.map_or(0.0, |(_, value)| *value)
}

/// Shares of the requests that leave this daemon's domain, by service.
#[derive(Debug)]
pub struct Domains {
    cost_ns_per_byte: f64,
    services: HashMap<Arc<str>, ServiceState>,
}

impl Domains {
    /// Waiting time that is accepted to keep a byte in its domain, in nanoseconds, if the settings
    /// don't say it: 0.1 ms for 1 KB, 100 ms for 1 MB.
    pub const COST_DEFAULT_NS_PER_BYTE: f64 = 100.0;

    /// Creates the state without shares. `cost_ns_per_byte` is the waiting time that is accepted to
    /// keep a byte in its domain, in nanoseconds.
    pub fn new(cost_ns_per_byte: f64) -> Self {
        Self {
            cost_ns_per_byte,
            services: HashMap::new(),
        }
    }

    /// Whether the share of a service should be adjusted now.
    pub fn is_update_due(&self, service: &str, now: Duration) -> bool {
        let updated_at = self.services.get(service).and_then(|s| s.updated_at);
        updated_at.is_none_or(|at| now >= at + UPDATE_INTERVAL)
    }

    /// Adjusts the share of a service. Has no effect more often than the update interval.
    pub fn update(&mut self, service: &Arc<str>, view: &ServiceView<'_>, now: Duration) {
        if !self.is_update_due(service, now) {
            return;
        }
        let state = self.services.entry(service.clone()).or_default();
        state.updated_at = Some(now);
        state.update(view);
    }

    /// Discards the services that are no longer configured.
    pub fn retain_services<F>(&mut self, is_configured: F)
    where
        F: Fn(&str) -> bool,
    {
        self.services.retain(|name, _| is_configured(name));
    }

    /// Returns the share of the requests of a service that leaves, in 0..=1.
    pub fn share(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |s| s.share)
    }

    /// Decides where a request goes. `jitter` returns numbers in 0..1.
    pub fn destination<F>(&self, service: &str, needs: RequestNeeds, mut jitter: F) -> Destination
    where
        F: FnMut() -> f64,
    {
        let Some(state) = self.services.get(service) else {
            return Destination::FixedCost;
        };
        let probability = match state.mode {
            Mode::FixedCost => return Destination::FixedCost,
            Mode::AllLeave => 1.0,
            Mode::Shared => state.share * self.preference(state, needs),
        };
        if jitter() >= probability {
            return Destination::Own;
        }
        match state.select(jitter()) {
            Some(domain) => Destination::Other(domain.clone()),
            None => Destination::Own,
        }
    }

    /// Returns the factor by which a request is more or less likely to leave than others.
    fn preference(&self, state: &ServiceState, needs: RequestNeeds) -> f64 {
        let service_s = needs.service_time.as_secs_f64().max(0.001);
        let byte_cost = needs.bytes as f64 * self.cost_ns_per_byte / 1e9 / service_s;
        let smallness = (1.0 - byte_cost / STAY_BYTE_COST).max(0.0);
        let time_left = needs.time_left.as_secs_f64() / service_s;
        let in_time_here = 1.0 + state.wait_here <= time_left;
        let in_time_there = 1.0 + state.wait_there <= time_left;
        match (in_time_here, in_time_there) {
            (false, true) => URGENT_FACTOR * smallness,
            // It would be too late there.
            (_, false) => 0.0,
            (true, true) => smallness,
        }
    }
}
