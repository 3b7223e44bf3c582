//! Scheduling and timeouts of probes, and of probes on behalf of other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

use crate::ids::{DaemonKey, DaemonRun};

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a direct answer, longer than the round trip between two regions. After it the
/// probe is retried indirectly.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a direct or indirect answer, after which the probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent probes on behalf of other members.
const RELAYS_MAX: usize = 256;

/// Probe in flight to a member of the probe set.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub(super) target: DaemonRun,
    pub(super) sequence: u64,
    sent_at: Duration,
    retried: bool,
}

/// Probe in flight on behalf of another member, which gets the ack forwarded to `to`.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub(super) to: SocketAddr,
    pub(super) sequence: u64,
    target: DaemonKey,
    expires_at: Duration,
}

/// Result of matching an ack with the probes in flight.
#[derive(Debug)]
pub(super) enum AckMatch {
    /// The ack answers this daemon's own probe.
    Own,
    /// The ack answers a probe on behalf of another member and is forwarded to it.
    Forward(Relay),
    /// The ack is late or matches no probe.
    Unknown,
}

/// Timeout reached by the probe in flight.
#[derive(Debug)]
pub(super) enum ProbeTimeout {
    /// No probe is in flight, or none of its timeouts has newly expired.
    Nothing,
    /// The target did not answer within [`DIRECT_TIMEOUT`].
    Retry(Probe),
    /// The target did not answer within [`PROBE_TIMEOUT`], neither directly nor indirectly.
    Failed(DaemonRun),
}

#[derive(Debug, Default)]
pub(super) struct Prober {
    sequence: u64,
    remaining: Vec<DaemonKey>,
    current: Option<Probe>,
    next_at: Duration,
    relays: BTreeMap<u64, Relay>,
}

impl Prober {
    /// Discards all probes in flight after a pause, because their answers may be lost.
    pub(super) fn clear_in_flight(&mut self) {
        self.current = None;
        self.relays.clear();
    }

    /// Checks the timeouts of the probe in flight and drops expired probes on behalf of others.
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

    /// Returns the next member to probe if a probe is due. All members of the probe set are probed
    /// in random order before the next round starts.
    pub(super) fn next_target(
        &mut self,
        now: Duration,
        probe_set: &[DaemonKey],
        rng: &mut Pcg64,
    ) -> Option<DaemonKey> {
        if now < self.next_at || self.current.is_some() || probe_set.is_empty() {
            return None;
        }
        self.next_at = if now > self.next_at + PROBE_INTERVAL {
            now + PROBE_INTERVAL
        } else {
            self.next_at + PROBE_INTERVAL
        };
        self.remaining.retain(|daemon| probe_set.contains(daemon));
        if self.remaining.is_empty() {
            self.remaining = probe_set.to_vec();
            self.remaining.shuffle(rng);
        }
        self.remaining.pop()
    }

    /// Starts a probe and returns its sequence number.
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

    /// Starts a probe on behalf of another member and returns its sequence number, or `None` if
    /// [`RELAYS_MAX`] of them are in flight.
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

    /// Matches an ack with the probe in flight or one on behalf of another member, and ends it.
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
