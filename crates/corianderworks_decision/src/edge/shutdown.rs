//! Phases of a graceful stop.
//!
//! Callers keep the address answer for a while after the daemon left it, so the daemon
//! serves on at first. It stops reading requests while those in flight can still finish.

use std::time::Duration;

/// Part of the grace period for which new connections are accepted.
const ACCEPT_PART: f64 = 0.4;
/// Part of the grace period after which requests still in flight are given up; the rest is
/// for a VM that runs slowly.
const GIVE_UP_PART: f64 = 0.9;

/// What a stopping daemon does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts connections and requests; each response closes its connection.
    Accepting,
    /// Finishes requests in flight, accepts nothing.
    Finishing,
    /// Ends the process.
    Exit,
}

/// Returns the phase `since_signal` after the signal.
pub fn phase(since_signal: Duration, grace: Duration, in_flight: usize) -> Phase {
    if since_signal < grace.mul_f64(ACCEPT_PART) {
        return Phase::Accepting;
    }
    if in_flight == 0 || since_signal >= grace.mul_f64(GIVE_UP_PART) {
        return Phase::Exit;
    }
    Phase::Finishing
}
