//! Reasons for which a daemon has lately refused requests, by service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::Clock;
use parking_lot::Mutex;

use crate::reasons::Reason;

/// Time after a refusal for which operators are alerted to it.
const SHOWN: Duration = Duration::from_secs(10);

/// Time of the last refusal for each reason that operators are alerted to.
#[derive(Debug, Default)]
pub struct RecentRefusals {
    last: Mutex<HashMap<(Reason, Arc<str>), Duration>>,
}

impl RecentRefusals {
    /// Records a refusal of a request to a service.
    pub fn record<C>(&self, reason: Reason, service: &Arc<str>, clock: &C)
    where
        C: Clock,
    {
        if matches!(
            reason,
            Reason::QueueFull | Reason::Shed | Reason::ClaimBudget
        ) {
            let now = clock.now();
            self.last.lock().insert((reason, service.clone()), now);
        }
    }

    /// Returns the recent refusals, sorted by service and name of the reason.
    pub fn recent<C>(&self, clock: &C) -> Vec<(Arc<str>, Reason)>
    where
        C: Clock,
    {
        let now = clock.now();
        let mut last = self.last.lock();
        last.retain(|_, at| now.saturating_sub(*at) < SHOWN);
        let mut recent: Vec<_> = last.keys().map(|(r, s)| (s.clone(), *r)).collect();
        drop(last);
        recent.sort_by(|a, b| (&a.0, a.1.name()).cmp(&(&b.0, b.1.name())));
        recent
    }
}
