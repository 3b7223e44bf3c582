//! Assessment of an upstream from both owners' evidence and that of its siblings.

use std::time::Duration;

use crate::dispatch_types::Evidence;
use crate::health::{ELEVATED_SHARE, EjectionPolicy, UpstreamHealth};

/// Multiple of the threshold that applies to an upstream that was ejected recently.
const RECENT_EJECTION_FACTOR: f64 = 0.7;
/// Multiple of the threshold that applies while the other owner's evidence is unknown.
const NO_REPORT_FACTOR: f64 = 1.5;
/// An owner whose last success is later than the other owner's first failure still counts as
/// failing if its evidence reaches this share of the threshold. Less evidence isn't enough, because
/// some requests fail without a fault.
const FAILING_SHARE: f64 = 0.75;
/// Number of failed requests that such an owner must also have to count as failing. A single late
/// request could otherwise suffice, because it adds evidence at each overdue level that it reaches;
/// each level is twice as late as the one before.
const FAILING_MIN_FAILURES: u32 = 2;
/// Number of stuck requests that suffice in place of the required number of failures.
const STUCK_MIN: u32 = 2;
/// Minimum time from the first failure to the arrival of the other owner's report. A report that
/// arrives sooner may have been sent before the failure.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Siblings that must have responded before slowness can be attributed to one upstream.
const MIN_RESPONDING_SIBLINGS: u32 = 4;
/// Maximum age at which another home's report on an upstream is used.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Evidence on an upstream that another home reported, with times converted to this home's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerEvidence {
    /// Time at which the report arrived.
    pub received_at: Duration,
    /// Sum of log-likelihood ratios, as [`UpstreamHealth::score`].
    pub score: f64,
    /// Evidence not in the score because one silent connection could explain it.
    pub held_back: f64,
    /// Failed requests since that home last dropped its evidence.
    pub failures: u32,
    /// Requests that became stuck since that home last dropped its evidence.
    pub stuck: u32,
    /// Time of the first failure of the evidence; `None` without evidence.
    pub first_failure: Option<Duration>,
    /// Time of the last complete response within half of [`UpstreamHealth::slow_threshold`].
    pub last_success: Option<Duration>,
    /// Time of the last response that took more than half of [`UpstreamHealth::slow_threshold`],
    /// or of the last stall.
    pub last_slow: Option<Duration>,
}

/// Counts of the siblings of an upstream by their responses since its first failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Siblings {
    /// Other upstreams of the service that receive requests.
    pub total: u32,
    /// Siblings with any success, slow response or stall since then.
    pub responding: u32,
    /// Siblings with a success since then and no later slow response or stall, as defined by
    /// [`PeerEvidence::last_success`] and [`PeerEvidence::last_slow`].
    pub good: u32,
    /// Siblings whose evidence has recently reached [`ELEVATED_SHARE`] of the threshold, see
    /// [`UpstreamHealth::elevated`].
    pub elevated: u32,
    /// Siblings that have responded to this home since then.
    pub measured: u32,
    /// Those of them whose last few responses were much slower than usual, see
    /// [`UpstreamHealth::is_slowed`].
    pub slowed: u32,
}

impl Siblings {
    /// True when the whole service is slow, or was until a few responses ago. The first fast
    /// responses of the siblings prove nothing against an upstream that has not responded since.
    fn are_slowed(self) -> bool {
        self.slowed > 0 && self.slowed * 2 >= self.measured
    }

    /// True when a fault of this one upstream explains the evidence.
    ///
    /// Many affected siblings mean overload or a shared dependency. Slowness also needs proof
    /// that others are fast, because it is relative.
    fn isolates_fault(self, evidence: Evidence) -> bool {
        match evidence {
            Evidence::Slowness | Evidence::Stalls => {
                let responding = self.responding >= self.total.min(MIN_RESPONDING_SIBLINGS);
                self.elevated * 3 <= self.total
                    && responding
                    && self.good * 3 >= self.responding * 2
            }
            _ => self.elevated * 2 <= self.total && self.good >= self.total.min(1),
        }
    }
}

/// Result of assessing an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assessment {
    /// The evidence does not suffice to act on.
    Inconclusive,
    /// The other owner's requests succeed: only the path from this home fails.
    PathFault(Evidence),
    /// The siblings fail as well, because of overload or a shared dependency.
    SharedFault,
    /// The server fails; the kind is that of this owner's main evidence.
    Unhealthy(Evidence),
}

/// Combines one owner's evidence with that of the other owner and of the siblings.
///
/// `co_owner` is the other owner's last report, `None` when there is none.
pub fn assessment(
    now: Duration,
    policy: &EjectionPolicy,
    own: &UpstreamHealth,
    co_owner: Option<PeerEvidence>,
    siblings: Siblings,
) -> Assessment {
    let (Some(first_failure), Some(failing_since)) = (own.first_failure(), own.failing_since())
    else {
        return Assessment::Inconclusive;
    };
    let mut threshold = policy.threshold;
    if own.recent_ejections(now) > 0 {
        threshold *= RECENT_EJECTION_FACTOR;
    }
    let recent_report =
        co_owner.filter(|report| now.saturating_sub(report.received_at) <= MAX_REPORT_AGE);
    if recent_report.is_some_and(|report| report.received_at < first_failure + MIN_REPORT_DELAY) {
        // The report may have been sent before the failure, so it can't confirm or contradict it.
        return Assessment::Inconclusive;
    }
    let (mut score, mut failures, mut stuck) = (own.score(), own.failures(), own.stuck());
    let failing_threshold = FAILING_SHARE * policy.threshold;
    let co_owner_succeeds = recent_report.is_some_and(|report| {
        let failing = report.score >= failing_threshold && report.failures >= FAILING_MIN_FAILURES;
        !failing && report.last_success > Some(first_failure)
    });
    let own_succeeds = recent_report.is_some_and(|report| {
        let failing = own.score() >= failing_threshold && own.failures() >= FAILING_MIN_FAILURES;
        !failing
            && report
                .first_failure
                .is_some_and(|at| own.last_success() > Some(at))
    });
    let mut own_score = own.score();
    match recent_report {
        Some(report) if !co_owner_succeeds && !own_succeeds && report.first_failure.is_some() => {
            own_score += own.held_back();
            score = own_score + report.score + report.held_back;
            failures += report.failures;
            stuck += report.stuck;
        }
        Some(_) => {}
        None => threshold *= NO_REPORT_FACTOR,
    }
    let evidence = own.main_evidence();
    let min_duration = match evidence {
        Evidence::Slowness | Evidence::Stalls => policy.min_slow_duration,
        _ => policy.min_error_duration,
    };
    let enough_requests = failures >= policy.min_failures || stuck >= STUCK_MIN;
    let own_evidence_elevated = own_score >= ELEVATED_SHARE * threshold;
    // After a success, the time since the last failure doesn't count towards the duration. A
    // disturbance shorter than `min_duration` therefore never makes an upstream unhealthy, whatever
    // its score.
    let recovered = own.last_success() > Some(own.last_failure());
    let duration = match evidence {
        // A stuck request keeps failing until it ends; an error is over at once.
        Evidence::Slowness | Evidence::Stalls if !recovered => now - failing_since,
        _ => own.last_failure() - failing_since,
    };
    if score < threshold || !enough_requests || !own_evidence_elevated || duration < min_duration {
        return Assessment::Inconclusive;
    }
    // Stuck requests are too late for a slowdown of the service to explain them.
    let slowdown_explains =
        matches!(evidence, Evidence::Slowness | Evidence::Stalls) && stuck < STUCK_MIN;
    if co_owner_succeeds {
        Assessment::PathFault(evidence)
    } else if slowdown_explains && siblings.are_slowed() {
        Assessment::SharedFault
    } else if siblings.isolates_fault(evidence) {
        Assessment::Unhealthy(evidence)
    } else if siblings.responding < siblings.total.min(MIN_RESPONDING_SIBLINGS) {
        Assessment::Inconclusive
    } else {
        Assessment::SharedFault
    }
}
