//! Fleet-wide retry budget without a central counter.
//!
//! Designed for a service of which many servers fail at once. Retrying every request would
//! double the load, while never retrying would fail requests that another server could run.
//! Each daemon reports the requests and retries that it counted, so that all daemons know the
//! fleet's totals. A daemon that doesn't receive reports from some of the others reduces the
//! budget in proportion to the daemons whose reports it receives. A daemon that has just started
//! doesn't know which retries happened before; if the entire fleet restarted, they may have used
//! up the budget. In its first window it therefore uses only a part that running daemons always
//! leave unused. A daemon whose process was paused doesn't know either; until reports have arrived
//! again, it uses its own share of that part.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fleet::{DOWN_AFTER_OTHER_DOMAIN, RunKey};
use super::report_coverage::ReportCoverage;

/// Bounds on retries, per service and over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetBounds {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Allowed retries per window in addition to `ratio`, for the whole fleet.
    pub extra: f64,
    /// Length of the sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Share of the bounds that daemons use. The rest covers retries that daemons start
/// concurrently, before they receive each other's reports.
const USABLE_SHARE: f64 = 0.72;
/// Same in the first window after a daemon's start. The sum of both shares must stay below 1,
/// since a fleet that restarts as a whole loses its counts.
const USABLE_SHARE_AFTER_START: f64 = 0.22;
/// Resolution of the sliding window: counts within this time are summed in one bucket.
const BUCKET_WIDTH: Duration = Duration::from_millis(250);

/// Hash that identifies a service in reports; the same on all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Computes the tag from the name of a service.
    pub fn of(service: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(service.as_bytes()) as u32)
    }
}

/// Requests and retries of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests, not counting retries.
    pub requests: u32,
    /// Attempts beyond the first of a request.
    #[serde(rename = "repeats")]
    pub retries: u32,
}

/// Counts of a service in a daemon's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCounts {
    /// Counts since the start of the daemon, which wrap around.
    pub total: Counts,
    /// Counts within the current window, used by daemons that have no earlier report to compare
    /// `total` with.
    pub recent: Counts,
}

#[derive(Debug, Default)]
struct Window {
    own: Counts,
    /// Own counts by start time of the bucket, oldest first.
    own_buckets: VecDeque<(Duration, Counts)>,
    /// Value of `own` at the last report.
    reported: Counts,
    /// Own and reported counts by start time of the bucket in which they were counted or
    /// received, oldest first.
    buckets: VecDeque<(Duration, Counts)>,
}

fn add(buckets: &mut VecDeque<(Duration, Counts)>, counts: Counts, now: Duration) {
    match buckets.back_mut() {
        Some((start, bucket)) if now < *start + BUCKET_WIDTH => {
            bucket.requests += counts.requests;
            bucket.retries += counts.retries;
        }
        _ => buckets.push_back((now, counts)),
    }
}

fn sum(buckets: &mut VecDeque<(Duration, Counts)>, window: Duration, now: Duration) -> Counts {
    // A bucket counts until its end has left the window.
    let oldest = now.saturating_sub(window + BUCKET_WIDTH);
    while buckets.front().is_some_and(|(start, _)| *start < oldest) {
        buckets.pop_front();
    }
    let mut sum = Counts::default();
    for (_, bucket) in buckets {
        sum.requests += bucket.requests;
        sum.retries += bucket.retries;
    }
    sum
}

impl Window {
    fn record_own(&mut self, counts: Counts, now: Duration) {
        self.own.requests = self.own.requests.wrapping_add(counts.requests);
        self.own.retries = self.own.retries.wrapping_add(counts.retries);
        add(&mut self.own_buckets, counts, now);
        add(&mut self.buckets, counts, now);
    }
}

/// A daemon's view of the fleet-wide retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBudgetBounds,
    started_at: Duration,
    coverage: ReportCoverage,
    windows: HashMap<ServiceTag, Window>,
    peer_counts: HashMap<(RunKey, ServiceTag), Counts>,
}

impl RetryBudget {
    /// Creates the budget of a daemon that starts at `started_at` and knows no other daemon.
    pub fn new(bounds: RetryBudgetBounds, started_at: Duration) -> Self {
        Self {
            bounds,
            started_at,
            coverage: ReportCoverage::new(DOWN_AFTER_OTHER_DOMAIN),
            windows: HashMap::new(),
            peer_counts: HashMap::new(),
        }
    }

    /// Sets how many of the known daemons this daemon receives reports from. Both numbers
    /// include the daemon itself. Must be called once per heartbeat interval; a much longer time
    /// between two calls counts as a pause of the process.
    pub fn set_reporting_daemons(&mut self, reporting: usize, known: usize, now: Duration) {
        self.coverage.update(reporting, known, now);
    }

    /// Counts a request to a service, which raises the number of allowed retries.
    pub fn record_request(&mut self, service: &str, now: Duration) {
        let window = self.windows.entry(ServiceTag::of(service)).or_default();
        let counts = Counts {
            requests: 1,
            retries: 0,
        };
        window.record_own(counts, now);
    }

    /// Whether the budget allows a retry now.
    pub fn allows(&mut self, service: &str, now: Duration) -> bool {
        let (retries, usable) = self.usage(service, now);
        retries + 1.0 <= usable
    }

    /// Returns the unused share of the budget of a service, in 0..=1.
    pub fn unused_share(&mut self, service: &str, now: Duration) -> f64 {
        let (retries, usable) = self.usage(service, now);
        ((usable - retries) / usable.max(1.0)).clamp(0.0, 1.0)
    }

    /// Returns the number of retries in the window, and of those that this daemon may use.
    fn usage(&mut self, service: &str, now: Duration) -> (f64, f64) {
        let (bounds, misses_reports) = (self.bounds, self.coverage.misses_reports(now));
        let window = self.windows.entry(ServiceTag::of(service)).or_default();
        let (buckets, fleet_share) = match misses_reports {
            true => (&mut window.own_buckets, self.coverage.own_share()),
            false => (&mut window.buckets, self.coverage.share()),
        };
        let sum = sum(buckets, bounds.window, now);
        let allowed = bounds.ratio * f64::from(sum.requests) + bounds.extra * fleet_share;
        let has_just_started = now.saturating_sub(self.started_at) < bounds.window;
        let usable_share = if has_just_started || misses_reports {
            USABLE_SHARE_AFTER_START
        } else {
            USABLE_SHARE
        };
        (f64::from(sum.retries), usable_share * allowed)
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
    pub fn try_acquire(&mut self, service: &str, now: Duration) -> bool {
        if !self.allows(service, now) {
            return false;
        }
        let window = self.windows.entry(ServiceTag::of(service)).or_default();
        let counts = Counts {
            requests: 0,
            retries: 1,
        };
        window.record_own(counts, now);
        true
    }

    /// Returns the own counts of the services with retries since their last report, or of all
    /// services if `all` is set.
    pub fn take_counts(&mut self, all: bool, now: Duration) -> Vec<(ServiceTag, ReportedCounts)> {
        let window_length = self.bounds.window;
        let changed = |w: &Window| all || w.own.retries != w.reported.retries;
        let windows = self.windows.iter_mut().filter(|(_, w)| changed(w));
        let counts = windows.map(|(tag, window)| {
            window.reported = window.own;
            let reported = ReportedCounts {
                total: window.own,
                recent: sum(&mut window.own_buckets, window_length, now),
            };
            (*tag, reported)
        });
        counts.collect()
    }

    /// Adds the counts reported by another daemon to the totals of the fleet.
    pub fn apply_counts(
        &mut self,
        origin: RunKey,
        tag: ServiceTag,
        reported: ReportedCounts,
        now: Duration,
    ) {
        let ReportedCounts { total, recent } = reported;
        let added = match self.peer_counts.insert((origin, tag), total) {
            None => recent,
            Some(previous) => Counts {
                requests: total.requests.wrapping_sub(previous.requests),
                retries: total.retries.wrapping_sub(previous.retries),
            },
        };
        add(
            &mut self.windows.entry(tag).or_default().buckets,
            added,
            now,
        );
    }
}
