//! Probes in flight, and probes made for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

use crate::ids::{DaemonKey, DaemonRun};

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a direct answer, above the round trip between two regions.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for an answer by any path.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Probes for others that are remembered at once.
const RELAYS_MAX: usize = 256;

/// A probe in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub(super) target: DaemonRun,
    pub(super) sequence: u64,
    sent_at: Duration,
    retried: bool,
}

/// A probe made for another member.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub(super) to: SocketAddr,
    pub(super) sequence: u64,
    target: DaemonKey,
    expires_at: Duration,
}

/// What an answer means.
#[derive(Debug)]
pub(super) enum AckMatch {
    /// It answers this daemon's own probe.
    Own,
    /// It is passed on.
    Forward(Relay),
    /// It is late or unknown.
    Unknown,
}

/// What is due.
#[derive(Debug)]
pub(super) enum ProbeTimeout {
    /// Nothing.
    Nothing,
    /// The target did not answer directly in time.
    Retry(Probe),
    /// The target did not answer by any path.
    Failed(DaemonRun),
}

#[derive(Debug, Default)]
pub(super) struct Prober {
    sequence: u64,
    remaining: Vec<DaemonKey>,
    current: Option<Probe>,
    next: Duration,
    relays: BTreeMap<u64, Relay>,
}

impl Prober {
    /// Drops the probe in flight after a pause, when its answer may be lost.
    pub(super) fn clear_in_flight(&mut self) {
        self.current = None;
        self.relays.clear();
    }

    /// Checks the probe in flight.
    pub(super) fn due(&mut self, now: Duration) -> ProbeTimeout {
        self.relays.retain(|_, relay| relay.expires_at > now);
        let Some(probe) = &mut self.current else {
            return ProbeTimeout::Nothing;
        };
        if now >= probe.sent_at + PROBE_TIMEOUT {
            let target = probe.target;
            self.current = None;
            ProbeTimeout::Failed(target)
        } else if !probe.retried && now >= probe.sent_at + DIRECT_TIMEOUT {
            probe.retried = true;
            ProbeTimeout::Retry(*probe)
        } else {
            ProbeTimeout::Nothing
        }
    }

    /// Next member to probe, if one is due.
    pub(super) fn next_target(
        &mut self,
        now: Duration,
        probe_set: &[DaemonKey],
        rng: &mut Pcg64,
    ) -> Option<DaemonKey> {
        if now < self.next || self.current.is_some() || probe_set.is_empty() {
            return None;
        }
        self.next = if now > self.next + PROBE_INTERVAL {
            now + PROBE_INTERVAL
        } else {
            self.next + PROBE_INTERVAL
        };
        self.remaining.retain(|daemon| probe_set.contains(daemon));
        if self.remaining.is_empty() {
            self.remaining = probe_set.to_vec();
            self.remaining.shuffle(rng);
        }
        self.remaining.pop()
    }

    /// Starts a probe and returns its number.
    pub(super) fn start(&mut self, now: Duration, target: DaemonRun) -> u64 {
        self.sequence += 1;
        self.current = Some(Probe {
            target,
            sequence: self.sequence,
            sent_at: now,
            retried: false,
        });
        self.sequence
    }

    /// Starts a probe for another member and returns its number, `None` when too many run.
    pub(super) fn start_relay(
        &mut self,
        now: Duration,
        target: DaemonKey,
        to: SocketAddr,
        sequence: u64,
    ) -> Option<u64> {
        if self.relays.len() >= RELAYS_MAX {
            return None;
        }
        self.sequence += 1;
        let relay = Relay {
            to,
            sequence,
            target,
            expires_at: now + PROBE_TIMEOUT,
        };
        self.relays.insert(self.sequence, relay);
        Some(self.sequence)
    }

    /// Matches an answer.
    pub(super) fn match_ack(&mut self, sequence: u64, subject: DaemonKey) -> AckMatch {
        if let Some(probe) = self.current
            && probe.sequence == sequence
            && probe.target.daemon == subject
        {
            self.current = None;
            return AckMatch::Own;
        }
        match self.relays.get(&sequence) {
            Some(relay) if relay.target == subject => {
                let relay = *relay;
                self.relays.remove(&sequence);
                AckMatch::Forward(relay)
            }
            _ => AckMatch::Unknown,
        }
    }
}
