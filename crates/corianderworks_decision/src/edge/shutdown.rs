//! Phases of a graceful shutdown.
//!
//! Callers keep using an address for a while after the daemon is no longer returned to them, so
//! a stopping daemon keeps serving at first. It stops accepting requests early enough for those
//! in flight to finish.

use std::time::Duration;

/// Share of the grace period during which new connections are accepted.
const ACCEPT_SHARE: f64 = 0.4;
/// Share of the grace period in which a request is taken however long it may run. The exit is likely
/// to cut off a later one, and its caller can still send it to another daemon.
const ADMIT_ALL_SHARE: f64 = 0.5;
/// Longest time for which such requests are taken, if the grace period is long.
const ADMIT_ALL_MAX: Duration = Duration::from_millis(3_000);
/// Share of the grace period after which the daemon exits even with requests in flight. The
/// rest is a margin for slow VMs.
const EXIT_SHARE: f64 = 0.9;
/// Share of the grace period within which a daemon that exits writes its last responses.
const LAST_RESPONSES_SHARE: f64 = 0.05;

/// Phase of a stopping daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts connections and requests, and closes each connection after its next response.
    Accepting,
    /// Finishes the requests in flight without accepting new ones.
    Finishing,
    /// Ends the requests that are still in flight with a response, and exits when it is written.
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

/// Whether a request that a stopping daemon has read `since_signal` after the signal is forwarded.
/// `time_limit` is the time after which the request ends at the latest. A request that may outlast
/// the daemon is refused, so that its caller can send it to another one, whether or not it may run
/// twice.
pub fn admits(since_signal: Duration, grace: Duration, time_limit: Duration) -> bool {
    let admits_all_until = grace.mul_f64(ADMIT_ALL_SHARE).min(ADMIT_ALL_MAX);
    let exits_at = grace.mul_f64(EXIT_SHARE);
    since_signal < admits_all_until || since_signal + time_limit <= exits_at
}

/// Returns the longest time for which an exiting daemon writes the responses to the requests that
/// it has ended. A caller that doesn't read must not delay the exit beyond the grace period.
pub fn last_responses_timeout(grace: Duration) -> Duration {
    grace.mul_f64(LAST_RESPONSES_SHARE)
}
