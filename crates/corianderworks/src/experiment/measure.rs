//! What a run measures.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Time after the end of a spike at which goodput must have recovered.
const RECOVERY: Duration = Duration::from_secs(5);
/// Window over which goodput is compared before and after a spike.
const GOODPUT_WINDOW: Duration = Duration::from_secs(5);

/// Figures of one run or of several.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Runs.
    pub runs: u32,
    /// Detection times in milliseconds.
    pub detection_ms: Histogram<u64>,
    /// Runs in which the faulty server was not taken out by the end.
    pub undetected: u32,
    /// Ejections of healthy servers.
    pub false_ejections: u32,
    /// Observed server time in days.
    pub server_days: f64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests with a complete response in time.
    pub succeeded: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Requests sent to a server with all slots in use.
    pub overruns: u64,
    /// Violations of the floor, of at most once and of the drain.
    pub violations: u64,
    /// Successes before a spike and after the recovery time.
    pub before_after: (u64, u64),
}

impl Default for Measures {
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
            before_after: (0, 0),
        }
    }
}

impl Measures {
    /// Records a success, and whether it lies before or after a spike.
    pub fn success(&mut self, now: Duration, spike: Option<(Duration, Duration)>) {
        self.succeeded += 1;
        let Some((from, until)) = spike else { return };
        let after = until + RECOVERY;
        if now < from && now + GOODPUT_WINDOW >= from {
            self.before_after.0 += 1;
        } else if now >= after && now < after + GOODPUT_WINDOW {
            self.before_after.1 += 1;
        }
    }

    /// Adds another run.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        // Both histograms have the same precision and resize themselves.
        let _ = self.detection_ms.add(&other.detection_ms);
        self.undetected += other.undetected;
        self.false_ejections += other.false_ejections;
        self.server_days += other.server_days;
        self.arrived += other.arrived;
        self.succeeded += other.succeeded;
        self.refused += other.refused;
        self.overruns += other.overruns;
        self.violations += other.violations;
        self.before_after.0 += other.before_after.0;
        self.before_after.1 += other.before_after.1;
    }

    /// Detection time at a quantile.
    pub fn detection(&self, quantile: f64) -> Duration {
        Duration::from_millis(self.detection_ms.value_at_quantile(quantile))
    }

    /// Ejections of healthy servers per server and day.
    pub fn false_rate(&self) -> f64 {
        f64::from(self.false_ejections) / self.server_days.max(f64::MIN_POSITIVE)
    }

    /// Share of requests that succeeded, in percent.
    pub fn goodput_percent(&self) -> f64 {
        self.succeeded as f64 * 100.0 / self.arrived.max(1) as f64
    }

    /// Goodput after a spike relative to before it, in percent.
    pub fn recovery_percent(&self) -> Option<f64> {
        let (before, after) = self.before_after;
        (before > 0).then(|| after as f64 * 100.0 / before as f64)
    }
}
