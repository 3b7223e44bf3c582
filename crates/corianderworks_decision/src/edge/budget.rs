//! Budget of attempts beyond the first, shared by all daemons without a shared counter.
//!
//! Load answered: a service of which many servers fail at once. Repeating each request
//! would double the load, and no repeat loses requests that another server could run. Each
//! daemon reports how many requests and repeats it has counted, so that all see the sum
//! over the fleet; a daemon that does not hear some of the others takes its share only.
//! A daemon that has just started does not know what was spent before, which may be all if
//! the whole fleet restarted, so it spends only what the others leave in any case.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fleet::RunKey;

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

/// Part of the bounds that is spent. The rest covers repeats that daemons start at the same
/// time, before they hear of each other's.
const SPENT_PART: f64 = 0.72;
/// The same in the first window after a start. The sum of both parts stays below 1, since a
/// fleet that restarts as a whole forgets what it has spent.
const SPENT_PART_WHEN_YOUNG: f64 = 0.22;
/// Length of a part of the window, in which counts are summed.
const PART: Duration = Duration::from_millis(250);

/// Short key of a service, equal on all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Returns the tag of a service.
    pub fn of(service: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(service.as_bytes()) as u32)
    }
}

/// Counts of one service at one daemon since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests.
    pub requests: u32,
    /// Attempts beyond the first.
    pub repeats: u32,
}

/// What a daemon reports of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reported {
    /// Counts since the start of the daemon.
    pub total: Counts,
    /// Counts within the window, for daemons that hear the first report.
    pub recent: Counts,
}

#[derive(Debug, Default)]
struct Window {
    own: Counts,
    /// Own counts by the time at which they were made, oldest first.
    own_parts: VecDeque<(Duration, Counts)>,
    /// Own counts at the last report.
    reported: Counts,
    /// Counts of the fleet by the time at which they were heard, oldest first.
    parts: VecDeque<(Duration, Counts)>,
}

fn add(parts: &mut VecDeque<(Duration, Counts)>, counts: Counts, now: Duration) {
    match parts.back_mut() {
        Some((begin, part)) if now < *begin + PART => {
            part.requests += counts.requests;
            part.repeats += counts.repeats;
        }
        _ => parts.push_back((now, counts)),
    }
}

fn sum(parts: &mut VecDeque<(Duration, Counts)>, window: Duration, now: Duration) -> Counts {
    // A part counts until its last moment has left the window.
    let oldest = now.saturating_sub(window + PART);
    while parts.front().is_some_and(|(begin, _)| *begin < oldest) {
        parts.pop_front();
    }
    let mut sum = Counts::default();
    for (_, part) in parts {
        sum.requests += part.requests;
        sum.repeats += part.repeats;
    }
    sum
}

impl Window {
    fn count_own(&mut self, counts: Counts, now: Duration) {
        self.own.requests = self.own.requests.wrapping_add(counts.requests);
        self.own.repeats = self.own.repeats.wrapping_add(counts.repeats);
        add(&mut self.own_parts, counts, now);
        add(&mut self.parts, counts, now);
    }
}

/// Budget as one daemon sees it.
#[derive(Debug)]
pub struct Budget {
    bounds: BudgetBounds,
    started_at: Duration,
    /// Part of the fleet that this daemon hears, itself included.
    heard_part: f64,
    windows: HashMap<ServiceTag, Window>,
    others: HashMap<(RunKey, ServiceTag), Counts>,
}

impl Budget {
    /// Creates the budget of a daemon that knows no other and starts at `started_at`.
    pub fn new(bounds: BudgetBounds, started_at: Duration) -> Self {
        Self {
            bounds,
            started_at,
            heard_part: 1.0,
            windows: HashMap::new(),
            others: HashMap::new(),
        }
    }

    /// Sets how many of the known daemons are heard.
    pub fn set_heard(&mut self, heard: usize, known: usize) {
        self.heard_part = heard as f64 / known.max(1) as f64;
    }

    /// Counts a request for a service.
    pub fn request(&mut self, service: &str, now: Duration) {
        let window = self.windows.entry(ServiceTag::of(service)).or_default();
        let counts = Counts {
            requests: 1,
            repeats: 0,
        };
        window.count_own(counts, now);
    }

    /// Whether the budget allows an attempt beyond the first.
    pub fn allows(&mut self, service: &str, now: Duration) -> bool {
        let (bounds, part) = (self.bounds, self.heard_part);
        let window = self.windows.entry(ServiceTag::of(service)).or_default();
        let sum = sum(&mut window.parts, bounds.window, now);
        let allowed = bounds.ratio * f64::from(sum.requests) + bounds.extra * part;
        let is_young = now.saturating_sub(self.started_at) < bounds.window;
        let spent_part = if is_young {
            SPENT_PART_WHEN_YOUNG
        } else {
            SPENT_PART
        };
        f64::from(sum.repeats) + 1.0 <= spent_part * allowed
    }

    /// Takes an attempt beyond the first. Returns whether the budget allows it.
    pub fn take(&mut self, service: &str, now: Duration) -> bool {
        if !self.allows(service, now) {
            return false;
        }
        let window = self.windows.entry(ServiceTag::of(service)).or_default();
        let counts = Counts {
            requests: 0,
            repeats: 1,
        };
        window.count_own(counts, now);
        true
    }

    /// Returns the own counts of services with repeats since the last call, or of all.
    pub fn take_changes(&mut self, all: bool, now: Duration) -> Vec<(ServiceTag, Reported)> {
        let length = self.bounds.window;
        let changed = |w: &Window| all || w.own.repeats != w.reported.repeats;
        let windows = self.windows.iter_mut().filter(|(_, w)| changed(w));
        let counts = windows.map(|(tag, window)| {
            window.reported = window.own;
            let reported = Reported {
                total: window.own,
                recent: sum(&mut window.own_parts, length, now),
            };
            (*tag, reported)
        });
        counts.collect()
    }

    /// Applies counts that another daemon reported.
    pub fn hear(&mut self, origin: RunKey, tag: ServiceTag, reported: Reported, now: Duration) {
        let Reported { total, recent } = reported;
        let added = match self.others.insert((origin, tag), total) {
            None => recent,
            Some(before) => Counts {
                requests: total.requests.wrapping_sub(before.requests),
                repeats: total.repeats.wrapping_sub(before.repeats),
            },
        };
        add(&mut self.windows.entry(tag).or_default().parts, added, now);
    }
}
