//! Queue of the requests of lower priority that wait at a daemon while a service is nearly full.
//!
//! Designed for services whose slots are shared by urgent requests and long ones that can wait. A
//! request that is sent waits in the queue of a backend server, which knows no priorities. While
//! nearly all slots of a service are taken, daemons therefore send only the requests of the highest
//! priority at once, and the others when slots become free, in the order of priority and then of
//! the time left.
//!
//! There is no message for this: each daemon knows from the reports how many requests are in flight
//! and how many are completed, and starts its share of the requests that fill the slots which become
//! free. The shares of all daemons together are as many as the slots, so that they don't all send
//! at once. The daemon's own urgent requests count towards its share.
//!
//! A small part of the slots goes to the request that has waited longest, whatever its priority, so
//! that no priority and no organisation starves.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::admission::retry_after;
use super::decay::DecayedCount;

/// Share of the slots of a service that are taken from which on requests of lower priority wait.
const FULL_SHARE: f64 = 0.9;
/// Share of the slots that the waiting requests fill. The rest is for urgent requests that start
/// before the reports of others arrive.
const TARGET_SHARE: f64 = 0.9;
/// Time in which the difference from the target is made up. More than twice the age of reports, so
/// that the daemons don't overshoot.
const CORRECTION_TIME: Duration = Duration::from_millis(300);
/// Share of the completions that is reserved for the requests that have waited longest.
const RESERVED_SHARE: f64 = 0.05;
/// Time constant of the rate of completions.
const COMPLETION_DECAY: Duration = Duration::from_millis(1_000);
/// Share of the expected completions below which the reported ones are not relied on.
const REPORTED_SHARE_MIN: f64 = 0.5;
/// Weight of a new sample in the moving average of the typical latency of sent requests.
const LATENCY_GAIN: f64 = 0.1;
/// Time constant of the daemon's own shares of urgent and waiting requests, which are few.
const OWN_DECAY: Duration = Duration::from_millis(5_000);
/// Bounds of the share that a daemon has saved up or overdrawn, in requests. A daemon that was
/// suspended must not send many at once, because it doesn't know what the others have sent.
const CREDIT_MAX: f64 = 1.5;
const CREDIT_MIN: f64 = -2.0;
/// Time for which a daemon with a large share may save it up. Several times the interval at which
/// requests are released.
const CREDIT_TIME: Duration = Duration::from_millis(100);
/// Share of the forecast wait that a request must have time for. The forecast is uncertain, because
/// a daemon sends few requests.
const FORECAST_SHARE_MIN: f64 = 0.5;
/// Divisor of the length and memory of the queue for the part that one organisation may take.
const ORGANISATION_DIVISOR: usize = 2;

/// Requests in flight at a service and its capacity, as the fleet sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Requests of all daemons at the servers that accept requests.
    pub in_flight: u32,
    /// Slots of these servers.
    pub slots: u32,
    /// Daemons that are up, including this one.
    pub daemons: usize,
}

impl ServiceLoad {
    fn is_nearly_full(&self) -> bool {
        self.slots > 0 && f64::from(self.in_flight) >= FULL_SHARE * f64::from(self.slots)
    }
}

/// Bounds of the queue of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Maximum number of waiting requests.
    pub length: usize,
    /// Maximum sum of their sizes, in bytes.
    pub bytes: usize,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Send the request now.
    Send,
    /// Keep the request in the queue, at most until this time.
    WaitUntil(Duration),
    /// Refuse the request, which has not run.
    Refuse {
        /// Why it is refused.
        cause: RefusalCause,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Why a request is refused instead of waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its turn is not expected to come in its time, or didn't come.
    NoTime,
    /// The queue is full, or holds too many requests of the same organisation.
    QueueFull,
}

/// Request that may have to wait.
#[derive(Debug, Clone)]
pub struct WaitRequest {
    /// Service that it goes to.
    pub service: Arc<str>,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Highest priority of any request of the service.
    pub highest_priority: u32,
    /// Organisation that it comes from, if it is known.
    pub organisation: Option<Arc<str>>,
    /// Time by which a response meets the latency objective of its route.
    pub objective: Duration,
    /// Time by which it must have its response.
    pub deadline: Duration,
    /// Typical latency of its route.
    pub typical_latency: Duration,
    /// Memory that it holds while it waits, in bytes.
    pub bytes: usize,
}

/// Identifies a request in the queue of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitId(u64);

/// Key of a request in the queue. Its order is that in which requests are sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct WaitKey {
    service: Arc<str>,
    priority: u32,
    /// Whether it can't meet its latency objective any more. Others of its priority go first: if it
    /// took their time, they would be late as well.
    is_late: bool,
    /// Latest time at which it is sent in order to meet the objective, or the deadline if it is
    /// late.
    send_by: Duration,
    id: WaitId,
}

impl WaitKey {
    /// Returns the lowest possible key of a service.
    fn first_of(service: &Arc<str>) -> Self {
        Self {
            service: service.clone(),
            priority: 0,
            is_late: false,
            send_by: Duration::ZERO,
            id: WaitId(0),
        }
    }
}

#[derive(Debug)]
struct Waiting<H> {
    handle: H,
    /// Latest time at which it is sent.
    send_by: Duration,
    typical_latency: Duration,
    organisation: Option<Arc<str>>,
    bytes: usize,
}

#[derive(Debug, Default)]
struct ServiceShare {
    /// Completions of all daemons.
    completions: DecayedCount,
    /// Own requests of the highest priority that were sent, and others.
    urgent: DecayedCount,
    others: DecayedCount,
    /// Requests that this daemon may send, negative if it has sent more.
    credit: f64,
    /// Same for the requests that have waited longest.
    reserved_credit: f64,
    updated_at: Duration,
    /// Moving average of the typical latency of the requests that this daemon has sent.
    mean_latency_s: f64,
    /// Number of waiting requests.
    length: usize,
}

impl ServiceShare {
    /// Returns the number of requests per second that the service completes, as reported.
    fn reported_per_s(&self, now: Duration) -> f64 {
        let count = self.completions.at_time(COMPLETION_DECAY, now);
        count / COMPLETION_DECAY.as_secs_f64()
    }

    /// Returns the same for a forecast. If far fewer are reported than the busy slots must complete,
    /// the reports are missing for the moment.
    fn expected_per_s(&self, load: ServiceLoad, now: Duration) -> f64 {
        let busy_slots = f64::from(load.in_flight.min(load.slots));
        let expected_per_s = busy_slots / self.mean_latency_s.max(0.001);
        let reported_per_s = self.reported_per_s(now);
        match reported_per_s < REPORTED_SHARE_MIN * expected_per_s {
            true => expected_per_s,
            false => reported_per_s,
        }
    }

    /// Returns the number of requests per second by which this daemon fills the slots that become
    /// free, including its urgent requests.
    fn rate_per_s(&self, load: ServiceLoad, now: Duration) -> f64 {
        let missing = TARGET_SHARE * f64::from(load.slots) - f64::from(load.in_flight);
        let per_s = self.reported_per_s(now) + missing / CORRECTION_TIME.as_secs_f64();
        (per_s / load.daemons.max(1) as f64).max(0.0)
    }

    fn reserved_per_s(&self, load: ServiceLoad, now: Duration) -> f64 {
        let per_s = self.reported_per_s(now);
        RESERVED_SHARE * per_s / load.daemons.max(1) as f64
    }

    fn update(&mut self, load: ServiceLoad, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let rate_per_s = self.rate_per_s(load, now);
        let credit_max = CREDIT_MAX.max(rate_per_s * CREDIT_TIME.as_secs_f64());
        let credit = self.credit + elapsed_s * rate_per_s;
        self.credit = credit.clamp(CREDIT_MIN, credit_max);
        let reserved_credit = self.reserved_credit + elapsed_s * self.reserved_per_s(load, now);
        self.reserved_credit = reserved_credit.min(1.0);
    }

    fn record_sent(&mut self, is_urgent: bool, typical_latency: Duration, now: Duration) {
        match is_urgent {
            true => self.urgent.record(OWN_DECAY, now),
            false => self.others.record(OWN_DECAY, now),
        }
        let latency_s = typical_latency.as_secs_f64();
        match self.mean_latency_s > 0.0 {
            true => self.mean_latency_s += (latency_s - self.mean_latency_s) * LATENCY_GAIN,
            false => self.mean_latency_s = latency_s,
        }
    }

    /// Returns the expected time until the request behind `ahead` others is sent.
    fn expected_wait(&self, ahead: usize, load: ServiceLoad, now: Duration) -> Duration {
        let others = self.others.at_time(OWN_DECAY, now) + 1.0;
        let urgent = self.urgent.at_time(OWN_DECAY, now) + 1.0;
        let per_s = self.expected_per_s(load, now) / load.daemons.max(1) as f64;
        let usable_per_s = per_s * others / (others + urgent);
        let per_s = usable_per_s.max(self.reserved_per_s(load, now)).max(0.01);
        Duration::from_secs_f64((ahead + 1) as f64 / per_s)
    }
}

/// Queue of a daemon. `H` tells the owner of a waiting request of the decision.
#[derive(Debug)]
pub struct WaitQueue<H> {
    bounds: QueueBounds,
    waiting: BTreeMap<WaitKey, Waiting<H>>,
    keys: HashMap<WaitId, WaitKey>,
    shares: HashMap<Arc<str>, ServiceShare>,
    bytes: usize,
    next_number: u64,
}

impl<H> WaitQueue<H> {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            waiting: BTreeMap::new(),
            keys: HashMap::new(),
            shares: HashMap::new(),
            bytes: 0,
            next_number: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the priorities of the waiting requests and the number of each.
    pub fn lengths(&self) -> BTreeMap<u32, usize> {
        let mut lengths = BTreeMap::new();
        for key in self.waiting.keys() {
            *lengths.entry(key.priority).or_default() += 1;
        }
        lengths
    }

    /// Returns the services with waiting requests.
    pub fn services(&self) -> Vec<Arc<str>> {
        let shares = self.shares.iter().filter(|(_, s)| s.length > 0);
        shares.map(|(service, _)| service.clone()).collect()
    }

    /// Records that a request of any daemon to a service was completed.
    pub fn record_completion(&mut self, service: &Arc<str>, now: Duration) {
        let share = self.shares.entry(service.clone()).or_default();
        share.completions.record(COMPLETION_DECAY, now);
    }

    /// Decides on a request that has just arrived. `handle` returns its handle if it waits; `jitter`
    /// in 0..1 spreads the requests of several daemons.
    pub fn decide<F>(
        &mut self,
        request: WaitRequest,
        load: ServiceLoad,
        now: Duration,
        jitter: f64,
        handle: F,
    ) -> (WaitDecision, Option<WaitId>)
    where
        F: FnOnce() -> H,
    {
        let bounds = self.bounds;
        let share = self.shares.entry(request.service.clone()).or_default();
        if share.mean_latency_s == 0.0 {
            share.mean_latency_s = request.typical_latency.as_secs_f64();
        }
        share.update(load, now);
        let is_urgent = request.priority <= request.highest_priority;
        if is_urgent || (share.length == 0 && !load.is_nearly_full()) {
            share.record_sent(is_urgent, request.typical_latency, now);
            share.credit = (share.credit - 1.0).max(CREDIT_MIN);
            return (WaitDecision::Send, None);
        }
        let send_by = request.deadline.saturating_sub(request.typical_latency);
        let useful_by = request.objective.saturating_sub(request.typical_latency);
        let key = WaitKey {
            service: request.service.clone(),
            priority: request.priority,
            is_late: useful_by <= now,
            send_by: if useful_by <= now {
                send_by
            } else {
                useful_by.min(send_by)
            },
            id: WaitId(self.next_number),
        };
        let first = WaitKey::first_of(&request.service);
        let ahead = self.waiting.range(&first..&key).count();
        let expected_wait = share.expected_wait(ahead, load, now);
        let time = send_by.saturating_sub(now);
        let refuse = |cause| {
            let retry_after = retry_after(expected_wait.saturating_sub(time), jitter);
            (WaitDecision::Refuse { cause, retry_after }, None)
        };
        if expected_wait.mul_f64(FORECAST_SHARE_MIN) > time {
            return refuse(RefusalCause::NoTime);
        }
        let of_organisation = self
            .waiting
            .values()
            .filter(|w| w.organisation.is_some() && w.organisation == request.organisation);
        let (mut own_length, mut own_bytes) = (0, 0);
        for waiting in of_organisation {
            own_length += 1;
            own_bytes += waiting.bytes;
        }
        let is_full = self.waiting.len() >= bounds.length
            || self.bytes + request.bytes > bounds.bytes
            || own_length >= bounds.length / ORGANISATION_DIVISOR
            || own_bytes + request.bytes > bounds.bytes / ORGANISATION_DIVISOR;
        if is_full {
            return refuse(RefusalCause::QueueFull);
        }
        if share.length == 0 {
            share.credit = share.credit.min(jitter);
            share.reserved_credit = 0.0;
        }
        share.length += 1;
        self.bytes += request.bytes;
        self.next_number += 1;
        let waiting = Waiting {
            handle: handle(),
            send_by,
            typical_latency: request.typical_latency,
            organisation: request.organisation,
            bytes: request.bytes,
        };
        let id = key.id;
        self.keys.insert(id, key.clone());
        self.waiting.insert(key, waiting);
        (WaitDecision::WaitUntil(send_by), Some(id))
    }

    /// Takes the requests of a service out of the queue that are sent or refused now. Must be called
    /// every few milliseconds while requests of the service wait.
    pub fn release(
        &mut self,
        service: &Arc<str>,
        load: ServiceLoad,
        now: Duration,
        jitter: f64,
    ) -> Vec<(H, WaitDecision)> {
        let mut released = Vec::new();
        for id in self.expired(service, now) {
            if let Some(handle) = self.leave(id) {
                let refusal = WaitDecision::Refuse {
                    cause: RefusalCause::NoTime,
                    retry_after: retry_after(Duration::ZERO, jitter),
                };
                released.push((handle, refusal));
            }
        }
        self.mark_late(service, now);
        let ids: Vec<_> = self.of_service(service).map(|(key, _)| key.id).collect();
        let mut ids = ids.into_iter();
        let share = self.shares.entry(service.clone()).or_default();
        share.update(load, now);
        // Without any slots a request gets the same answer whether or not it waits.
        let sends_all = load.slots == 0;
        let mut send = Vec::new();
        while sends_all || share.credit >= 1.0 {
            let Some(id) = ids.next() else { break };
            share.credit -= 1.0;
            send.push(id);
        }
        share.credit = share.credit.max(CREDIT_MIN);
        if share.reserved_credit >= 1.0
            && let Some(id) = ids.min()
        {
            share.reserved_credit = 0.0;
            send.push(id);
        }
        for id in send {
            if let Some(waiting) = self.remove(id) {
                let share = self.shares.entry(service.clone()).or_default();
                share.record_sent(false, waiting.typical_latency, now);
                released.push((waiting.handle, WaitDecision::Send));
            }
        }
        released
    }

    /// Removes a request, whose caller may have left. Returns its handle if it was waiting.
    pub fn leave(&mut self, id: WaitId) -> Option<H> {
        self.remove(id).map(|waiting| waiting.handle)
    }

    fn remove(&mut self, id: WaitId) -> Option<Waiting<H>> {
        let key = self.keys.remove(&id)?;
        let waiting = self.waiting.remove(&key)?;
        self.bytes -= waiting.bytes;
        if let Some(share) = self.shares.get_mut(&key.service) {
            share.length -= 1;
        }
        Some(waiting)
    }

    /// Returns the requests of a service that can't have a response by their deadline any more.
    fn expired(&self, service: &Arc<str>, now: Duration) -> Vec<WaitId> {
        let waiting = self.of_service(service);
        let expired = waiting.filter(|(_, w)| w.send_by <= now);
        expired.map(|(key, _)| key.id).collect()
    }

    /// Puts the requests that can't meet their latency objective any more behind the others.
    fn mark_late(&mut self, service: &Arc<str>, now: Duration) {
        let keys = self.of_service(service).map(|(key, _)| key);
        let late = keys.filter(|k| !k.is_late && k.send_by <= now);
        let late: Vec<_> = late.cloned().collect();
        for mut key in late {
            let Some(waiting) = self.waiting.remove(&key) else {
                continue;
            };
            key.is_late = true;
            key.send_by = waiting.send_by;
            self.keys.insert(key.id, key.clone());
            self.waiting.insert(key, waiting);
        }
    }

    fn of_service(&self, service: &Arc<str>) -> impl Iterator<Item = (&WaitKey, &Waiting<H>)> {
        let waiting = self.waiting.range(WaitKey::first_of(service)..);
        waiting.take_while(move |(key, _)| key.service == *service)
    }
}
