//! Assessment of an upstream from both owners' evidence and that of its siblings.

use std::time::Duration;

use crate::dispatch_types::Evidence;
use crate::health::{ELEVATED_SHARE, EjectionPolicy, UpstreamHealth};

/// Multiple of the threshold that applies to an upstream that was ejected recently.
const RECENT_EJECTION_FACTOR: f64 = 0.7;
/// Multiple of the threshold that applies while the other owner's evidence is unknown.
const NO_REPORT_FACTOR: f64 = 1.5;
/// Share of the threshold that the evidence of an owner with later successes must reach to count
/// as failing, because some requests fail without a fault.
const FAILING_SHARE: f64 = 0.75;
/// Failed requests that such an owner needs as well, because one late request adds evidence at
/// several overdue levels.
const FAILING_MIN_FAILURES: u32 = 2;
/// Least age of the first failure when the other owner's report arrives; an earlier report may
/// not cover it.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Siblings that must have responded before slowness can be attributed to one upstream.
const MIN_RESPONDING_SIBLINGS: u32 = 4;
/// Age up to which a peer's report on an upstream is used.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Another home's evidence on an upstream, with times converted to this home's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerEvidence {
    /// Time at which the report arrived.
    pub received_at: Duration,
    /// Sum of log-likelihood ratios, as [`UpstreamHealth::score`].
    pub score: f64,
    /// Evidence not in the score because one silent connection could explain it.
    pub held_back: f64,
    /// Failed requests since the peer last dropped its evidence.
    pub failures: u32,
    /// Requests that became stuck since the peer last dropped its evidence.
    pub stuck: u32,
    /// Time of the first failure of the evidence; `None` without evidence.
    pub first_failure: Option<Duration>,
    /// Time of the last complete and clearly fast response.
    pub last_success: Option<Duration>,
    /// Time of the last slow or nearly slow response, or of the last stall.
    pub last_slow: Option<Duration>,
}

/// Counts of the siblings of an upstream by their responses since its first failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Siblings {
    /// Other upstreams of the service that receive requests.
    pub total: u32,
    /// Siblings with any response since then.
    pub responding: u32,
    /// Siblings whose last response since then was good.
    pub good: u32,
    /// Siblings with elevated evidence of failure.
    pub elevated: u32,
}

impl Siblings {
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
    let Some(failing_since) = own.first_failure() else {
        return Assessment::Inconclusive;
    };
    let mut threshold = policy.threshold;
    if own.recent_ejections(now) > 0 {
        threshold *= RECENT_EJECTION_FACTOR;
    }
    let recent_report =
        co_owner.filter(|peer| now.saturating_sub(peer.received_at) <= MAX_REPORT_AGE);
    if recent_report.is_some_and(|peer| peer.received_at < failing_since + MIN_REPORT_DELAY) {
        // The other owner's report is older than the failure, so it cannot confirm or contradict.
        return Assessment::Inconclusive;
    }
    let (mut score, mut failures, mut stuck) = (own.score(), own.failures(), own.stuck());
    let failing_threshold = FAILING_SHARE * policy.threshold;
    let peer_succeeds = recent_report.is_some_and(|peer| {
        let failing = peer.score >= failing_threshold && peer.failures >= FAILING_MIN_FAILURES;
        !failing && peer.last_success > Some(failing_since)
    });
    let own_succeeds = recent_report.is_some_and(|peer| {
        let failing = own.score() >= failing_threshold && own.failures() >= FAILING_MIN_FAILURES;
        !failing
            && peer
                .first_failure
                .is_some_and(|at| own.last_success() > Some(at))
    });
    let mut own_score = own.score();
    match recent_report {
        Some(peer) if !peer_succeeds && !own_succeeds && peer.first_failure.is_some() => {
            own_score += own.held_back();
            score = own_score + peer.score + peer.held_back;
            failures += peer.failures;
            stuck += peer.stuck;
        }
        Some(_) => {}
        None => threshold *= NO_REPORT_FACTOR,
    }
    let evidence = own.main_evidence();
    let min_duration = match evidence {
        Evidence::Slowness | Evidence::Stalls => policy.slow_span,
        _ => policy.error_span,
    };
    let enough_requests = failures >= policy.failures || stuck >= 2;
    let own_evidence_elevated = own_score >= ELEVATED_SHARE * threshold;
    // Successes after the last failure end a short disturbance, however strong its evidence was.
    let recovered = own.last_success() > Some(own.last_failure());
    let duration = match evidence {
        // A stuck request goes on failing until it ends; an error is over at once.
        Evidence::Slowness | Evidence::Stalls if !recovered => now - failing_since,
        _ => own.last_failure() - failing_since,
    };
    if score < threshold || !enough_requests || !own_evidence_elevated || duration < min_duration {
        return Assessment::Inconclusive;
    }
    if peer_succeeds {
        Assessment::PathFault(evidence)
    } else if siblings.isolates_fault(evidence) {
        Assessment::Unhealthy(evidence)
    } else if siblings.responding < siblings.total.min(MIN_RESPONDING_SIBLINGS) {
        Assessment::Inconclusive
    } else {
        Assessment::SharedFault
    }
}
