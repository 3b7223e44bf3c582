//! Share of its attempts that a service accepts at the moment, as the fleet sees it.
//!
//! Designed for services whose servers all refuse a part of their requests for some seconds. Each
//! daemon counts the attempts that were accepted and refused, its own and those that the other
//! daemons report. Counts decay, so that the share follows the service within about a second and
//! returns to 1 without attempts, after which the next attempt tells.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::load_balancer::Evidence;
use super::servers::ServerKey;

/// Time constant of the decay of the counts. Refusals of a whole service last some seconds.
const DECAY: Duration = Duration::from_millis(1_500);
/// Number of attempts after which the counts of a service have decayed as after [`DECAY`]. With many
/// attempts the share follows the service faster, so that few retries are wasted on its refusals.
const DECAY_ATTEMPTS: f64 = 64.0;
/// Weight, in attempts, of the prior that a service accepts all attempts.
const PRIOR_ATTEMPTS: f64 = 1.0;

/// Attempts by how they ended, exponentially decayed as of an amount of decay of their service.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    accepted: f64,
    refused: f64,
    /// In time constants.
    decay: f64,
}

impl Counts {
    fn at_decay(&self, decay: f64) -> Self {
        let weight = (self.decay - decay).exp();
        Self {
            accepted: self.accepted * weight,
            refused: self.refused * weight,
            decay,
        }
    }

    fn record(&mut self, is_accepted: bool, decay: f64) {
        *self = self.at_decay(decay);
        match is_accepted {
            true => self.accepted += 1.0,
            false => self.refused += 1.0,
        }
    }

    fn share(&self) -> f64 {
        let accepted = self.accepted.max(0.0) + PRIOR_ATTEMPTS;
        accepted / (accepted + self.refused.max(0.0))
    }
}

#[derive(Debug, Default)]
struct ServiceCounts {
    counts: Counts,
    /// Time of the last attempt.
    at: Duration,
}

impl ServiceCounts {
    /// Returns the decay, in time constants, since the first attempt.
    fn decay_at(&self, now: Duration) -> f64 {
        self.counts.decay + now.saturating_sub(self.at).as_secs_f64() / DECAY.as_secs_f64()
    }
}

/// Accepted and refused attempts per service and per backend server.
#[derive(Debug, Default)]
pub struct Acceptance {
    services: HashMap<Arc<str>, ServiceCounts>,
    servers: SecondaryMap<ServerKey, Counts>,
}

impl Acceptance {
    /// Records an observation of this daemon or of another one about a server of a service. Only
    /// successes and refusals count.
    pub fn observe(
        &mut self,
        service: &Arc<str>,
        server: ServerKey,
        evidence: Evidence,
        now: Duration,
    ) {
        let is_accepted = match evidence {
            Evidence::Success(_) => true,
            Evidence::Shed => false,
            _ => return,
        };
        let service = self.services.entry(service.clone()).or_default();
        let decay = service.decay_at(now) + 1.0 / DECAY_ATTEMPTS;
        service.counts.record(is_accepted, decay);
        service.at = service.at.max(now);
        if let Some(entry) = self.servers.entry(server) {
            entry.or_default().record(is_accepted, decay);
        }
    }

    /// Discards the counts of a server that left the list.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.servers.remove(server);
    }

    /// Returns the share, in 0..=1, of its attempts that a service accepts.
    pub fn share(&self, service: &str, now: Duration) -> f64 {
        self.share_without(service, &[], now)
    }

    /// Returns the share, in 0..=1, of their attempts that the servers of a service other than
    /// `excluded` accept. It stays high if a single server refuses requests.
    pub fn share_without(&self, service: &str, excluded: &[ServerKey], now: Duration) -> f64 {
        let Some(service) = self.services.get(service) else {
            return 1.0;
        };
        let decay = service.decay_at(now);
        let mut counts = service.counts.at_decay(decay);
        for server in excluded.iter().filter_map(|key| self.servers.get(*key)) {
            let server = server.at_decay(decay);
            counts.accepted -= server.accepted;
            counts.refused -= server.refused;
        }
        counts.share()
    }

    /// Returns the time since the last accepted or refused attempt at a service, or
    /// [`Duration::MAX`] if there was none.
    pub fn idle_for(&self, service: &str, now: Duration) -> Duration {
        let service = self.services.get(service);
        service.map_or(Duration::MAX, |s| now.saturating_sub(s.at))
    }
}
