//! Decides after each attempt whether a request is retried.

use std::time::Duration;

use super::routes::Idempotency;

/// How an attempt at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete, successful response.
    Served,
    /// A complete response that indicates a failure; the request was run.
    Failed,
    /// The server refused the request without running it.
    NotRun,
    /// The attempt failed before any byte of the request was sent.
    NotSent,
    /// The response is missing, malformed or belongs to another request.
    Unknown,
}

/// State of a request that determines whether another attempt is made.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Number of backend servers that the request was sent to.
    pub sent: u32,
    /// Maximum number of backend servers that the request may be sent to.
    pub attempts_max: u32,
    /// Number of attempts that servers refused without running the request.
    pub refusals: u32,
    /// Share of the attempts that the servers which have not refused the request accept at the
    /// moment, in 0..=1; see [`Acceptance`](super::acceptance::Acceptance).
    pub siblings_accepted_share: f64,
    /// Number of attempts whose connection failed before anything was sent.
    pub failed_connects: u32,
    /// Time until the caller's deadline or the route's timeout.
    pub time_left: Duration,
}

/// Action after the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Forward the response to the caller.
    Deliver,
    /// Try another server, if one is available and the retry budget allows it.
    TryAnotherServer,
    /// Wait and retry, as [`delay_after_refusal`] and [`may_retry_refused`] say.
    RetryRefused,
    /// Tell the caller that the request was not run.
    RefuseNotRun,
    /// Tell the caller that the request may have been run.
    FailUnknown,
}

/// Minimum remaining time for another attempt; with less, it is not worth its load.
const TIME_LEFT_MIN: Duration = Duration::from_millis(50);
/// Share of attempts accepted by the other servers of a service from which on a request that one
/// server refused is sent to another one at once.
const SIBLINGS_SHARE_MIN: f64 = 0.6;
/// Mean delay before the first retry of a refused request, so that a slot may become free.
const REFUSED_DELAY_MIN: Duration = Duration::from_millis(40);
/// Factor by which each further delay is longer, up to the maximum. Few retries fall into the time
/// in which a service refuses, and the retries of many requests are spread over the time after it.
const REFUSED_DELAY_FACTOR: f64 = 3.0;
const REFUSED_DELAY_MAX: Duration = Duration::from_millis(1_500);
/// Range of a random delay, as a share of its mean.
const REFUSED_DELAY_SPREAD: f64 = 2.0 / 3.0;
/// Typical time for which a whole service refuses requests, which is used to forecast its end.
const REFUSING_TIME: Duration = Duration::from_millis(5_000);
/// Expected number of accepted attempts below which a refused request is given up.
const ACCEPTED_ATTEMPTS_MIN: f64 = 0.5;
/// Value of a response after the latency objective, relative to one within it. While a response
/// within the objective is possible, a retry at this share of accepted attempts is worth as much as
/// a certain late response.
const LATE_VALUE: f64 = 0.3;
/// Share of accepted attempts that a late retry needs while all of the caller's time is left, in
/// addition to [`LATE_VALUE`].
const LATE_SHARE_RANGE: f64 = 0.5;
/// Time without an attempt at a service after which a held request is sent to find out whether the
/// service accepts requests again. Longer than reports take to arrive.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Multiple of the typical latency that must be left to the caller after a retry. Latency varies, and
/// a request that times out after a long wait has also taken a slot.
const LATENCY_LEFT_FACTOR: f64 = 1.5;
/// Share of the time that a request may still wait after which it is looked at again at the latest,
/// so that the most urgent requests are looked at most often.
const USABLE_DELAY_SHARE: f64 = 0.2;
/// Unused share of the retry budget below which only some retries are made that may meet the
/// objective. The daemons learn of each other's retries late and must not overdraw it together.
const BUDGET_RESERVE: f64 = 0.5;
/// Maximum number of failed connections per request; bounds the time spent on servers of an
/// unreachable domain.
const FAILED_CONNECTS_MAX: u32 = 4;

/// Returns the action after an attempt with this end.
pub fn next_step(end: AttemptEnd, state: AttemptState) -> NextStep {
    let may_send = state.sent < state.attempts_max && state.time_left > TIME_LEFT_MIN;
    let idempotent = state.idempotency == Idempotency::Idempotent;
    match end {
        AttemptEnd::Served => NextStep::Deliver,
        AttemptEnd::Failed if idempotent && may_send => NextStep::TryAnotherServer,
        AttemptEnd::Failed => NextStep::Deliver,
        // A second refusal is unlikely unless many servers refuse.
        AttemptEnd::NotRun
            if may_send
                && state.refusals <= 1
                && state.siblings_accepted_share >= SIBLINGS_SHARE_MIN =>
        {
            NextStep::TryAnotherServer
        }
        // `attempts_max` limits the number of servers; servers that refused may be tried again
        // because they didn't run the request.
        AttemptEnd::NotRun if state.time_left > TIME_LEFT_MIN => NextStep::RetryRefused,
        AttemptEnd::NotRun => NextStep::RefuseNotRun,
        AttemptEnd::NotSent if may_send && state.failed_connects < FAILED_CONNECTS_MAX => {
            NextStep::TryAnotherServer
        }
        AttemptEnd::NotSent => NextStep::RefuseNotRun,
        AttemptEnd::Unknown if idempotent && may_send => NextStep::TryAnotherServer,
        AttemptEnd::Unknown => NextStep::FailUnknown,
    }
}

/// State of a request that servers refused without running it.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest {
    /// Number of delays since the first refusal.
    pub delays: u32,
    /// Share of the attempts that the service accepts at the moment, in 0..=1.
    pub accepted_share: f64,
    /// Time since the fleet last saw the service accept or refuse an attempt.
    pub service_idle_for: Duration,
    /// Time since the request was received.
    pub elapsed: Duration,
    /// Time until the caller's deadline or the route's timeout.
    pub time_left: Duration,
    /// Latency objective of the route.
    pub latency_objective: Duration,
    /// Typical latency of the route.
    pub typical_latency: Duration,
}

impl RefusedRequest {
    /// Returns the time for which the request may wait and still finish.
    fn usable_time(&self) -> Duration {
        let needed = self.typical_latency.mul_f64(LATENCY_LEFT_FACTOR);
        self.time_left.saturating_sub(needed)
    }

    /// Returns the time that the request may still wait, in 0..=1 of all that it could.
    fn usable_share(&self) -> f64 {
        let usable_s = self.usable_time().as_secs_f64();
        usable_s / (usable_s + self.elapsed.as_secs_f64()).max(0.001)
    }

    fn may_meet_objective(&self) -> bool {
        self.elapsed + self.typical_latency <= self.latency_objective
    }

    fn mean_delay(&self) -> Duration {
        let exponent = i32::try_from(self.delays.min(16)).unwrap_or_default();
        let grown = REFUSED_DELAY_MIN.mul_f64(REFUSED_DELAY_FACTOR.powi(exponent));
        grown.min(REFUSED_DELAY_MAX)
    }

    /// Returns the number of attempts that the service is expected to accept in the time left, by
    /// the share that it accepts now and the time for which services refuse requests.
    fn expected_accepted_attempts(&self) -> f64 {
        let usable_s = self.usable_time().as_secs_f64();
        let attempts = (usable_s / self.mean_delay().as_secs_f64()).max(1.0);
        self.accepted_share * attempts + usable_s / REFUSING_TIME.as_secs_f64()
    }
}

/// What to do with a request that servers refused, until it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusedStep {
    /// Wait for this time, then ask [`may_retry_refused`].
    Wait(Duration),
    /// Tell the caller that the request was not run: it can't be expected to be served in its time.
    Refuse,
}

/// Returns the delay of a refused request, which grows and is random, or gives the request up.
/// `jitter` is uniformly distributed in 0..1.
pub fn delay_after_refusal(request: RefusedRequest, jitter: f64) -> RefusedStep {
    let usable_time = request.usable_time();
    if usable_time.is_zero() || request.expected_accepted_attempts() < ACCEPTED_ATTEMPTS_MIN {
        return RefusedStep::Refuse;
    }
    let spread = 1.0 + (jitter - 0.5) * REFUSED_DELAY_SPREAD;
    let delay_max = usable_time.mul_f64(USABLE_DELAY_SHARE);
    let mean_delay = request.mean_delay().min(delay_max.max(REFUSED_DELAY_MIN));
    RefusedStep::Wait(mean_delay.mul_f64(spread).min(usable_time))
}

/// Whether a request that was refused and has waited is retried now, if the retry budget allows it.
/// `budget_left` is the unused share of the budget, in 0..=1, and `jitter` is uniformly distributed
/// in 0..1.
///
/// A retry that may meet the latency objective is worth making while a fair share of the attempts
/// is accepted. Later ones wait until most are accepted, those with the least time left the
/// shortest. They also leave budget to more urgent ones, which spreads them over time when the
/// service accepts requests again.
pub fn may_retry_refused(request: RefusedRequest, budget_left: f64, jitter: f64) -> bool {
    if request.may_meet_objective() {
        return request.accepted_share >= LATE_VALUE && budget_left >= BUDGET_RESERVE * jitter;
    }
    let usable_share = request.usable_share();
    let share_min = LATE_VALUE + LATE_SHARE_RANGE * usable_share;
    let is_worth_trying =
        request.accepted_share >= share_min || request.service_idle_for >= PROBE_INTERVAL;
    is_worth_trying && budget_left >= usable_share * jitter
}
