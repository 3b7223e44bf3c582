//! Counters and detection times that a run collects.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Time from the end of a spike until goodput must have recovered.
const RECOVERY: Duration = Duration::from_secs(5);
/// Length of the windows before a spike and after recovery in which goodput is compared.
const GOODPUT_WINDOW: Duration = Duration::from_secs(5);

/// Measurements of one run, or the sum over several.
#[derive(Debug, Clone)]
pub struct Measurements {
    /// Number of finished runs.
    pub runs: u32,
    /// Detection times in milliseconds; an undetected fault counts with the time to the end.
    pub detection_ms: Histogram<u64>,
    /// Number of runs in which not all owners ejected the faulty server by the end.
    pub undetected: u32,
    /// Number of ejections of healthy servers.
    pub false_ejections: u32,
    /// Simulated time summed over the servers, in days.
    pub server_days: f64,
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests with a complete response before their deadline.
    pub succeeded: u64,
    /// Number of requests refused without being run.
    pub refused: u64,
    /// Number of attempts sent to a server whose slots were all in use.
    pub overruns: u64,
    /// Number of violations of the floor, of at-most-once execution and of the drain bound.
    pub violations: u64,
    /// Successes in the windows before a spike and after the recovery time.
    pub goodput_before_after: (u64, u64),
}

impl Default for Measurements {
    fn default() -> Self {
        Self {
            runs: 0,
            detection_ms: Histogram::new(3).expect("three digits are within the library's range"),
            undetected: 0,
            false_ejections: 0,
            server_days: 0.0,
            arrived: 0,
            succeeded: 0,
            refused: 0,
            overruns: 0,
            violations: 0,
            goodput_before_after: (0, 0),
        }
    }
}

impl Measurements {
    /// Counts a success, also in the window before or after the spike that it falls into.
    pub fn record_success(&mut self, now: Duration, spike: Option<(Duration, Duration)>) {
        self.succeeded += 1;
        let Some((from, until)) = spike else { return };
        let recovered_from = until + RECOVERY;
        if now < from && now + GOODPUT_WINDOW >= from {
            self.goodput_before_after.0 += 1;
        } else if now >= recovered_from && now < recovered_from + GOODPUT_WINDOW {
            self.goodput_before_after.1 += 1;
        }
    }

    /// Adds the measurements of other runs.
    pub fn merge(&mut self, other: &Self) {
        self.runs += other.runs;
        // Can't fail: both histograms have the same precision and resize automatically.
        let _ = self.detection_ms.add(&other.detection_ms);
        self.undetected += other.undetected;
        self.false_ejections += other.false_ejections;
        self.server_days += other.server_days;
        self.arrived += other.arrived;
        self.succeeded += other.succeeded;
        self.refused += other.refused;
        self.overruns += other.overruns;
        self.violations += other.violations;
        self.goodput_before_after.0 += other.goodput_before_after.0;
        self.goodput_before_after.1 += other.goodput_before_after.1;
    }

    /// Returns the detection time at a quantile from 0 to 1, in whole milliseconds.
    pub fn detection_time(&self, quantile: f64) -> Duration {
        Duration::from_millis(self.detection_ms.value_at_quantile(quantile))
    }

    /// Returns the number of ejections of healthy servers per server and day.
    pub fn false_ejections_per_server_day(&self) -> f64 {
        f64::from(self.false_ejections) / self.server_days.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of requests that succeeded, in percent.
    pub fn goodput_percent(&self) -> f64 {
        self.succeeded as f64 * 100.0 / self.arrived.max(1) as f64
    }

    /// Returns the goodput after a spike relative to before it, in percent; `None` when no request
    /// succeeded before it.
    pub fn recovery_percent(&self) -> Option<f64> {
        let (before, after) = self.goodput_before_after;
        (before > 0).then(|| after as f64 * 100.0 / before as f64)
    }
}
