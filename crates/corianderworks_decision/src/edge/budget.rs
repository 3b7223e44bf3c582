//! Budget of attempts beyond the first, shared by all daemons without a shared counter.
//!
//! Load answered: an upstream service that fails as a whole, where every daemon would send
//! each request again and double the load. The bound holds for the sum over all daemons in
//! a window, so each daemon spends a part of its own requests and an equal share of the
//! fixed allowance. A share that a daemon does not use is not available to the others.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Bounds on the attempts beyond the first, per service and over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    /// Attempts beyond the first per request.
    pub ratio: f64,
    /// Further attempts per window, for the whole fleet.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Part of the bounds that is spent. The rest covers requests that are counted in another
/// window than their repeats, and daemons that disagree about the size of the fleet.
const SPENT_PART: f64 = 0.7;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// Budget of one daemon.
#[derive(Debug)]
pub struct Budget {
    bounds: BudgetBounds,
    daemons: usize,
    windows: HashMap<Arc<str>, Window>,
}

impl Budget {
    /// Creates the budget of a daemon in a fleet of `daemons`.
    pub fn new(bounds: BudgetBounds, daemons: usize) -> Self {
        Self {
            bounds,
            daemons: daemons.max(1),
            windows: HashMap::new(),
        }
    }

    /// Sets the number of daemons that share the fixed allowance.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Counts a request for a service.
    pub fn request(&mut self, service: &Arc<str>, now: Duration) {
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now);
        forget_before(&mut window.requests, now, self.bounds.window);
    }

    /// Takes one attempt beyond the first. Returns whether the budget allows it.
    pub fn take(&mut self, service: &Arc<str>, now: Duration) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        forget_before(&mut window.requests, now, self.bounds.window);
        forget_before(&mut window.repeats, now, self.bounds.window);
        let by_requests = self.bounds.ratio * window.requests.len() as f64;
        let share = self.bounds.extra / self.daemons as f64;
        let allowed = SPENT_PART * (by_requests + share);
        // A share below one would never allow a repeat at a daemon with little traffic.
        if window.repeats.len() as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

fn forget_before(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    let oldest = now.saturating_sub(window);
    while times.front().is_some_and(|t| *t < oldest) {
        times.pop_front();
    }
}
