//! Slots of one upstream at one owner: the share, the slow start and the adaptive limit.

use std::time::Duration;

use crate::dispatch_types::Outcome;

/// Limit with which an upstream of unknown size starts.
const LIMIT_START: f64 = 4.0;
/// Largest adaptive limit; an upstream accepts about 360 connections from two owners.
const LIMIT_MAX: f64 = 160.0;
/// Factor on the limit after a sign of overload.
const LIMIT_DECREASE: f64 = 0.8;
/// Latency over the unloaded_latency latency that counts as a sign of overload.
const OVERLOAD_RATIO: f64 = 3.0;
/// Share with which a cold server starts.
const RAMP_START: f64 = 0.1;
/// Age at which the unloaded_latency latency is measured anew, because servers change.
const UNLOADED_LATENCY_TTL: Duration = Duration::from_secs(30);

/// Concurrency limit of an upstream whose number of slots is unknown.
///
/// Additive increase while the limit is in use, multiplicative decrease on overload.
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
            limit: LIMIT_START,
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
        // Requests sent before the last decrease still report the old overload.
        if now.saturating_sub(latency) >= self.decreased_at {
            self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
            self.decreased_at = now;
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Ramp {
    from: Duration,
    span: Duration,
}

/// Slots of one upstream that this owner may use.
#[derive(Debug, Clone, Default)]
pub struct UpstreamSlots {
    share: u32,
    adaptive: Option<AdaptiveLimit>,
    in_flight: u32,
    ramp: Option<Ramp>,
    last_start: Option<Duration>,
}

impl UpstreamSlots {
    /// Sets this owner's share; a total of 0 slots means that the size is unknown.
    pub fn set_share(&mut self, now: Duration, share: Option<u32>, total: u32) {
        self.share = share.unwrap_or(0);
        if total > 0 || share.is_none() {
            self.adaptive = None;
        } else if self.adaptive.is_none() {
            self.adaptive = Some(AdaptiveLimit::new(now));
        }
    }

    /// Starts a ramp from a small share to the full one.
    pub fn slow_start(&mut self, now: Duration, span: Duration) {
        self.ramp = Some(Ramp { from: now, span });
    }

    /// Requests that this owner may have in flight.
    pub fn limit(&self) -> u32 {
        match &self.adaptive {
            Some(adaptive) => adaptive.limit as u32,
            None => self.share,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots not in use.
    pub fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Time of the last start.
    pub fn last_start(&self) -> Option<Duration> {
        self.last_start
    }

    /// True when a request may start now; `median_latency` is the service's median latency.
    pub fn may_start(&self, now: Duration, median_latency: Duration) -> bool {
        if self.free() == 0 {
            return false;
        }
        let (Some(ramp), Some(last)) = (self.ramp, self.last_start) else {
            return true;
        };
        let progress = now.saturating_sub(ramp.from).as_secs_f64() / ramp.span.as_secs_f64();
        if progress >= 1.0 {
            return true;
        }
        // A share of `s` is reached by leaving (1/s - 1) median_latency latencies between starts.
        let gap = median_latency.mul_f64(1.0 / progress.max(RAMP_START) - 1.0) / self.limit();
        now >= last + gap
    }

    /// Load of this owner's share in thousandths, to compare upstreams.
    pub fn load_milli(&self) -> u32 {
        self.in_flight * 1000 / self.limit().max(1)
    }

    /// Occupies a slot.
    pub fn take(&mut self, now: Duration) {
        self.in_flight += 1;
        self.last_start = Some(now);
    }

    /// Gives back a slot.
    pub fn release(&mut self, now: Duration, outcome: Outcome) {
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.record(now, self.in_flight, outcome);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
