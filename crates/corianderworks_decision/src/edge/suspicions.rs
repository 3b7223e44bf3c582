//! Record of which backend servers this daemon suspects, since when and on what evidence.
//!
//! Engineers on call ask why a server got no requests, or why it got one that failed. The load
//! balancer decides by probabilities that change with each observation and with time; what is
//! recorded here are the moments at which a server came under suspicion and ceased to be.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::load_balancer::{Evidence, LoadBalancer};
use super::servers::ServerKey;

/// Daemon that made an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observer {
    /// This daemon.
    Own,
    /// Another daemon, in a report.
    Peer,
}

/// Observation that changed what this daemon believes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cause {
    /// What was observed.
    pub evidence: Evidence,
    /// Who observed it.
    pub observer: Observer,
}

/// Change of what this daemon believes of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BeliefChange {
    /// The server is suspected from now on.
    Suspected {
        /// Observation that raised the suspicion.
        cause: Cause,
        /// Probability that the server is failing.
        failing_probability: f64,
    },
    /// The server is no longer suspected.
    Cleared {
        /// Observation that ended the suspicion; `None` if the evidence had become too old.
        cause: Option<Cause>,
        /// Time for which the server was suspected.
        suspected_for: Duration,
        /// Number of negative observations by all daemons in that time, with the first one.
        negative_count: u32,
    },
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Duration,
    negative_count: u32,
}

impl Suspicion {
    fn cleared(&self, cause: Option<Cause>, now: Duration) -> BeliefChange {
        BeliefChange::Cleared {
            cause,
            suspected_for: now.saturating_sub(self.since),
            negative_count: self.negative_count,
        }
    }
}

/// Suspected servers of a daemon.
#[derive(Debug, Default)]
pub struct Suspicions {
    by_server: SecondaryMap<ServerKey, Suspicion>,
}

impl Suspicions {
    /// Records an observation that the load balancer has just applied, and returns how it changed
    /// what this daemon believes of the server.
    pub fn record(
        &mut self,
        load_balancer: &LoadBalancer,
        key: ServerKey,
        cause: Cause,
        now: Duration,
    ) -> Option<BeliefChange> {
        let is_negative = cause.evidence.is_negative();
        let is_suspected = load_balancer.is_suspected(key, now);
        match self.by_server.get_mut(key) {
            Some(suspicion) if is_suspected => {
                suspicion.negative_count += u32::from(is_negative);
                None
            }
            Some(suspicion) => {
                suspicion.negative_count += u32::from(is_negative);
                let change = suspicion.cleared(Some(cause), now);
                self.by_server.remove(key);
                Some(change)
            }
            None if is_suspected => {
                let suspicion = Suspicion {
                    since: now,
                    negative_count: u32::from(is_negative),
                };
                self.by_server.insert(key, suspicion);
                Some(BeliefChange::Suspected {
                    cause,
                    failing_probability: load_balancer.failing_probability(key, now),
                })
            }
            None => None,
        }
    }

    /// Ends the suspicions whose evidence has become too old, and returns them. Called
    /// periodically.
    pub fn clear_aged(
        &mut self,
        load_balancer: &LoadBalancer,
        now: Duration,
    ) -> Vec<(ServerKey, BeliefChange)> {
        let mut changes = Vec::new();
        self.by_server.retain(|key, suspicion| {
            let is_suspected = load_balancer.is_suspected(key, now);
            if !is_suspected {
                changes.push((key, suspicion.cleared(None, now)));
            }
            is_suspected
        });
        changes
    }

    /// Discards the suspicion of a server that left the list.
    pub fn remove_server(&mut self, key: ServerKey) {
        self.by_server.remove(key);
    }
}
