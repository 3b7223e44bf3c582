//! How much of the fleet a daemon hears from, for decisions that count what all daemons do.

use std::time::Duration;

use super::fleet::DOWN_AFTER;

/// Number of daemons whose reports arrive, and pauses of this process in which reports were missed.
#[derive(Debug, Clone)]
pub struct ReportCoverage {
    /// Number of daemons, including this one, whose reports this daemon receives.
    reporting_daemons: usize,
    /// Number of known daemons, including this one.
    known_daemons: usize,
    /// Time after a pause until missed reports count as compensated.
    catch_up_time: Duration,
    /// Last call of [`update`](Self::update), `None` before the first.
    updated_at: Option<Duration>,
    /// End of the last pause of this process, `None` if there was none.
    resumed_at: Option<Duration>,
}

impl ReportCoverage {
    /// Creates the coverage of a daemon that knows no other daemon. `catch_up_time` is the time
    /// after a pause of the process until reports that were missed count as compensated.
    pub fn new(catch_up_time: Duration) -> Self {
        Self {
            reporting_daemons: 1,
            known_daemons: 1,
            catch_up_time,
            updated_at: None,
            resumed_at: None,
        }
    }

    /// Sets from how many of the known daemons reports arrive. Both numbers include this daemon. A
    /// long time between two calls counts as a pause of the process.
    pub fn update(&mut self, reporting: usize, known: usize, now: Duration) {
        self.note_pause(now);
        self.updated_at = Some(now);
        (self.reporting_daemons, self.known_daemons) = (reporting, known.max(1));
    }

    /// Records the end of a pause if the process was paused. Returns whether it was.
    pub fn note_pause(&mut self, now: Duration) -> bool {
        let was_paused = self.is_paused(now);
        if was_paused {
            self.resumed_at = Some(now);
            self.updated_at = Some(now);
        }
        was_paused
    }

    /// Whether this process was paused and hasn't noticed it yet.
    fn is_paused(&self, now: Duration) -> bool {
        let updated_at = self.updated_at.unwrap_or(now);
        now.saturating_sub(updated_at) >= DOWN_AFTER
    }

    /// Whether reports that were missed during a pause of this process may be missing still.
    pub fn misses_reports(&self, now: Duration) -> bool {
        let has_resumed = |at| now.saturating_sub(at) < self.catch_up_time;
        self.is_paused(now) || self.resumed_at.is_some_and(has_resumed)
    }

    /// Returns the share in 0..=1 of the known daemons, including this one, whose reports arrive.
    pub fn share(&self) -> f64 {
        self.reporting_daemons as f64 / self.known_daemons as f64
    }

    /// Returns the share of this daemon alone.
    pub fn own_share(&self) -> f64 {
        1.0 / self.known_daemons as f64
    }
}
