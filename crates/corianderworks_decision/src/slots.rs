//! Concurrency limit of one upstream at one owner: slot share, slow start and adaptive limit.

use std::time::Duration;

use crate::dispatch_types::Outcome;

/// Initial limit of an upstream whose number of slots is unknown.
const INITIAL_LIMIT: f64 = 4.0;
/// Maximum adaptive limit; an upstream accepts about 360 connections from two owners.
const LIMIT_MAX: f64 = 160.0;
/// Factor by which a sign of overload reduces the limit.
const LIMIT_DECREASE: f64 = 0.8;
/// Ratio of the latency to the unloaded latency above which a response is a sign of overload.
const OVERLOAD_RATIO: f64 = 3.0;
/// Fraction of its share that a cold server receives at first.
const INITIAL_SHARE: f64 = 0.1;
/// Age at which the unloaded latency is measured again, because it changes with the server.
const UNLOADED_LATENCY_TTL: Duration = Duration::from_secs(30);

/// Concurrency limit of an upstream whose number of slots is unknown.
///
/// Additive increase while at least half of the limit is in use, multiplicative decrease on
/// overload (AIMD).
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    unloaded_latency: Option<Duration>,
    measured_at: Duration,
    decreased_at: Duration,
}

impl AdaptiveLimit {
    fn new(now: Duration) -> Self {
        Self {
            limit: INITIAL_LIMIT,
            unloaded_latency: None,
            measured_at: now,
            decreased_at: now,
        }
    }

    fn record(&mut self, now: Duration, in_flight: u32, outcome: Outcome) {
        match outcome {
            Outcome::Success { latency } => {
                if now >= self.measured_at + UNLOADED_LATENCY_TTL {
                    self.unloaded_latency = None;
                    self.measured_at = now;
                }
                let unloaded_latency = *self.unloaded_latency.insert(match self.unloaded_latency {
                    Some(best) => best.min(latency),
                    None => latency,
                });
                if latency > unloaded_latency.mul_f64(OVERLOAD_RATIO) {
                    self.decrease(now, latency);
                } else if f64::from(in_flight) >= self.limit / 2.0 {
                    self.limit = (self.limit + 1.0 / self.limit).min(LIMIT_MAX);
                }
            }
            Outcome::NotRun { latency } | Outcome::Stalled { latency } => {
                self.decrease(now, latency);
            }
            _ => {}
        }
    }

    fn decrease(&mut self, now: Duration, latency: Duration) {
        // Requests sent before the last decrease still reflect the load before it.
        if now.saturating_sub(latency) >= self.decreased_at {
            self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
            self.decreased_at = now;
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct SlowStart {
    from: Duration,
    span: Duration,
}

/// Slots of one upstream that this owner may use; none until `set_share` is called.
#[derive(Debug, Clone, Default)]
pub struct UpstreamSlots {
    share: u32,
    adaptive: Option<AdaptiveLimit>,
    in_flight: u32,
    ramp_up: Option<SlowStart>,
    last_start: Option<Duration>,
}

impl UpstreamSlots {
    /// Sets this owner's share of `total` slots.
    ///
    /// A total of 0 means that the size is unknown, so that an owner uses an adaptive limit. A
    /// share of `None` means no owner and gives no slots.
    pub fn set_share(&mut self, now: Duration, share: Option<u32>, total: u32) {
        self.share = share.unwrap_or(0);
        if total > 0 || share.is_none() {
            self.adaptive = None;
        } else if self.adaptive.is_none() {
            self.adaptive = Some(AdaptiveLimit::new(now));
        }
    }

    /// Starts to raise the rate of new requests over `span` from a tenth of the share to all of it.
    pub fn slow_start(&mut self, now: Duration, span: Duration) {
        self.ramp_up = Some(SlowStart { from: now, span });
    }

    /// Maximum number of requests that this owner may have in flight.
    pub fn limit(&self) -> u32 {
        match &self.adaptive {
            Some(adaptive) => adaptive.limit as u32,
            None => self.share,
        }
    }

    /// Requests in flight from this owner; may exceed the limit after it was reduced.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots below the limit that are not in use, regardless of a slow start.
    pub fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Time at which the last request was started, `None` before the first.
    pub fn last_start(&self) -> Option<Duration> {
        self.last_start
    }

    /// True when a slot is free and a slow start permits another request now.
    ///
    /// `median_latency` is that of the service.
    pub fn may_start(&self, now: Duration, median_latency: Duration) -> bool {
        if self.free() == 0 {
            return false;
        }
        let (Some(ramp_up), Some(last)) = (self.ramp_up, self.last_start) else {
            return true;
        };
        let progress = now.saturating_sub(ramp_up.from).as_secs_f64() / ramp_up.span.as_secs_f64();
        if progress >= 1.0 {
            return true;
        }
        // A fraction `s` of the share is reached by waiting (1/s - 1) median latencies, divided by
        // the limit, between starts.
        let gap = median_latency.mul_f64(1.0 / progress.max(INITIAL_SHARE) - 1.0) / self.limit();
        now >= last + gap
    }

    /// Requests in flight in thousandths of the limit, to compare the load of upstreams.
    pub fn load_milli(&self) -> u32 {
        self.in_flight * 1000 / self.limit().max(1)
    }

    /// Acquires a slot; the caller checks `may_start` or `free` first.
    pub fn take(&mut self, now: Duration) {
        self.in_flight += 1;
        self.last_start = Some(now);
    }

    /// Releases a slot and adapts the limit to the outcome.
    pub fn release(&mut self, now: Duration, outcome: Outcome) {
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.record(now, self.in_flight, outcome);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
