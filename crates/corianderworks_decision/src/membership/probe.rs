//! Probes in flight, and probes made for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

use crate::ids::{DaemonKey, DaemonRun};

/// Time between two probes.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for a direct answer, above the round trip between two regions.
const DIRECT: Duration = Duration::from_millis(400);
/// Time for an answer by any path.
const DEADLINE: Duration = Duration::from_secs(1);
/// Probes for others that are remembered at once.
const RELAYS_MAX: usize = 256;

/// A probe in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub(super) target: DaemonRun,
    pub(super) sequence: u64,
    sent: Duration,
    retried: bool,
}

/// A probe made for another member.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub(super) to: SocketAddr,
    pub(super) sequence: u64,
    target: DaemonKey,
    until: Duration,
}

/// What an answer means.
#[derive(Debug)]
pub(super) enum Answered {
    /// It answers this daemon's own probe.
    Own,
    /// It is passed on.
    PassOn(Relay),
    /// It is late or unknown.
    Unknown,
}

/// What is due.
#[derive(Debug)]
pub(super) enum Due {
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
    order: Vec<DaemonKey>,
    current: Option<Probe>,
    next: Duration,
    relays: BTreeMap<u64, Relay>,
}

impl Prober {
    /// Drops the probe in flight after a pause, when its answer may be lost.
    pub(super) fn forget_current(&mut self) {
        self.current = None;
        self.relays.clear();
    }

    /// Checks the probe in flight.
    pub(super) fn due(&mut self, now: Duration) -> Due {
        self.relays.retain(|_, relay| relay.until > now);
        let Some(probe) = &mut self.current else {
            return Due::Nothing;
        };
        if now >= probe.sent + DEADLINE {
            let target = probe.target;
            self.current = None;
            Due::Failed(target)
        } else if !probe.retried && now >= probe.sent + DIRECT {
            probe.retried = true;
            Due::Retry(*probe)
        } else {
            Due::Nothing
        }
    }

    /// Next member to probe, if one is due.
    pub(super) fn next_target(
        &mut self,
        now: Duration,
        set: &[DaemonKey],
        rng: &mut Pcg64,
    ) -> Option<DaemonKey> {
        if now < self.next || self.current.is_some() || set.is_empty() {
            return None;
        }
        self.next = if now > self.next + PERIOD {
            now + PERIOD
        } else {
            self.next + PERIOD
        };
        self.order.retain(|daemon| set.contains(daemon));
        if self.order.is_empty() {
            self.order = set.to_vec();
            self.order.shuffle(rng);
        }
        self.order.pop()
    }

    /// Starts a probe and returns its number.
    pub(super) fn start(&mut self, now: Duration, target: DaemonRun) -> u64 {
        self.sequence += 1;
        self.current = Some(Probe {
            target,
            sequence: self.sequence,
            sent: now,
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
            until: now + DEADLINE,
        };
        self.relays.insert(self.sequence, relay);
        Some(self.sequence)
    }

    /// Matches an answer.
    pub(super) fn answer(&mut self, sequence: u64, subject: DaemonKey) -> Answered {
        if let Some(probe) = self.current
            && probe.sequence == sequence
            && probe.target.daemon == subject
        {
            self.current = None;
            return Answered::Own;
        }
        match self.relays.get(&sequence) {
            Some(relay) if relay.target == subject => {
                let relay = *relay;
                self.relays.remove(&sequence);
                Answered::PassOn(relay)
            }
            _ => Answered::Unknown,
        }
    }
}
