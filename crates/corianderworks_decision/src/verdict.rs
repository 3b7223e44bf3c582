//! The verdict on an upstream from both owners' evidence and that of its siblings.

use std::time::Duration;

use crate::dispatch_types::Evidence;
use crate::health::{ELEVATED_SHARE, EjectionPolicy, UpstreamHealth};

/// Factor on the threshold for an upstream that was ejected recently.
const OFFENDER_FACTOR: f64 = 0.7;
/// Factor on the threshold while the other owner's evidence is unknown.
const ALONE_FACTOR: f64 = 1.5;
/// Share of the threshold that an owner with later successes needs to count as failing: some of
/// its requests fail without a fault.
const CONFIRMED: f64 = 0.75;
/// Failed requests that it needs as well, because one late request has several levels.
const CONFIRMED_FAILURES: u32 = 2;
/// Time after the first failure from which the other owner's report can cover it.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Siblings that must have responded before slowness counts as one upstream's own.
const SIBLINGS_KNOWN: u32 = 4;
/// Age up to which a peer's report on an upstream counts.
pub const REPORT_AGE: Duration = Duration::from_millis(1500);

/// Another home's report on an upstream, in this home's time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerView {
    /// When it arrived.
    pub heard: Duration,
    /// Sum of the evidence.
    pub score: f64,
    /// Further evidence that one silent connection could explain.
    pub held_back: f64,
    /// Failed requests.
    pub failures: u32,
    /// Requests that are stuck for long.
    pub stuck: u32,
    /// First failure of the evidence.
    pub first_failure: Option<Duration>,
    /// Last success.
    pub last_success: Option<Duration>,
    /// Last response or sign that was not clearly fast.
    pub last_slow: Option<Duration>,
}

/// What the siblings of an upstream show since its first failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Siblings {
    /// Other upstreams in use.
    pub total: u32,
    /// Those with any response since then.
    pub known: u32,
    /// Those whose last response since then was good.
    pub good: u32,
    /// Those with evidence of failure of their own.
    pub elevated: u32,
}

impl Siblings {
    /// True when a fault of this one upstream explains the evidence.
    ///
    /// Many affected siblings mean overload or a shared dependency. Slowness also needs proof
    /// that others are fast, because it is relative.
    fn single_out(self, evidence: Evidence) -> bool {
        match evidence {
            Evidence::Slowness | Evidence::Stalls => {
                let known = self.known >= self.total.min(SIBLINGS_KNOWN);
                self.elevated * 3 <= self.total && known && self.good * 3 >= self.known * 2
            }
            _ => self.elevated * 2 <= self.total && self.good >= self.total.min(1),
        }
    }
}

/// Result of weighing the evidence on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough evidence.
    Fine,
    /// The other owner has success: only the path from here fails.
    PathFault(Evidence),
    /// The siblings fail as well: overload or a shared dependency.
    Shared,
    /// The server fails.
    Unhealthy(Evidence),
}

/// Weighs one owner's evidence with the other owner's and the siblings'.
pub fn verdict(
    now: Duration,
    policy: &EjectionPolicy,
    own: &UpstreamHealth,
    co_owner: Option<PeerView>,
    siblings: Siblings,
) -> Verdict {
    let Some(since) = own.first_failure() else {
        return Verdict::Fine;
    };
    let mut threshold = policy.threshold;
    if own.recent_ejections(now) > 0 {
        threshold *= OFFENDER_FACTOR;
    }
    let fresh = co_owner.filter(|peer| now.saturating_sub(peer.heard) <= REPORT_AGE);
    if fresh.is_some_and(|peer| peer.heard < since + REPORT_DELAY) {
        // The other owner's report is older than the failure, so it cannot confirm or contradict.
        return Verdict::Fine;
    }
    let (mut score, mut failures, mut stuck) = (own.score(), own.failures(), own.stuck());
    let confirmed = CONFIRMED * policy.threshold;
    let works_there = fresh.is_some_and(|peer| {
        let failing = peer.score >= confirmed && peer.failures >= CONFIRMED_FAILURES;
        !failing && peer.last_success > Some(since)
    });
    let works_here = fresh.is_some_and(|peer| {
        let failing = own.score() >= confirmed && own.failures() >= CONFIRMED_FAILURES;
        !failing
            && peer
                .first_failure
                .is_some_and(|at| own.last_success() > Some(at))
    });
    let mut own_score = own.score();
    match fresh {
        Some(peer) if !works_there && !works_here && peer.first_failure.is_some() => {
            own_score += own.held_back();
            score = own_score + peer.score + peer.held_back;
            failures += peer.failures;
            stuck += peer.stuck;
        }
        Some(_) => {}
        None => threshold *= ALONE_FACTOR,
    }
    let evidence = own.main_evidence();
    let span = match evidence {
        Evidence::Slowness | Evidence::Stalls => policy.slow_span,
        _ => policy.error_span,
    };
    let enough = failures >= policy.failures || stuck >= 2;
    let own_share = own_score >= ELEVATED_SHARE * threshold;
    // Successes after the last failure end a hiccup, however strong its evidence was.
    let ended = own.last_success() > Some(own.last_failure());
    let lasted = match evidence {
        // A stuck request goes on failing until it ends; an error is over at once.
        Evidence::Slowness | Evidence::Stalls if !ended => now - since,
        _ => own.last_failure() - since,
    };
    if score < threshold || !enough || !own_share || lasted < span {
        return Verdict::Fine;
    }
    if works_there {
        Verdict::PathFault(evidence)
    } else if siblings.single_out(evidence) {
        Verdict::Unhealthy(evidence)
    } else if siblings.known < siblings.total.min(SIBLINGS_KNOWN) {
        Verdict::Fine
    } else {
        Verdict::Shared
    }
}
