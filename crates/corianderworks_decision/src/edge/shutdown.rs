//! Phases of a graceful shutdown.
//!
//! Callers keep using an address for a while after the daemon is no longer returned to them, so
//! a stopping daemon keeps serving at first. It stops accepting requests early enough for those
//! in flight to finish.

use std::time::Duration;

/// Share of the grace period during which new connections are accepted.
const ACCEPT_SHARE: f64 = 0.4;
/// Share of the grace period after which the daemon exits even with requests in flight. The
/// rest is a margin for slow VMs.
const EXIT_SHARE: f64 = 0.9;

/// Phase of a stopping daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts connections and requests, and closes each connection after its next response.
    Accepting,
    /// Finishes the requests in flight without accepting new ones.
    Finishing,
    /// Exits without waiting any longer.
    Exit,
}

/// Returns the phase of a daemon that received the stop signal `since_signal` ago. `grace` is
/// the length of the grace period, which starts with the signal.
pub fn phase(since_signal: Duration, grace: Duration, in_flight: usize) -> Phase {
    if since_signal < grace.mul_f64(ACCEPT_SHARE) {
        return Phase::Accepting;
    }
    if in_flight == 0 || since_signal >= grace.mul_f64(EXIT_SHARE) {
        return Phase::Exit;
    }
    Phase::Finishing
}
