//! Failure detection by probes and suspicion, and detection of pauses of this daemon itself.

use std::net::SocketAddr;
use std::time::Duration;

use super::message::{Action, MemberMessage, Ping, PingReq};
use super::probe::{Probe, ProbeTimeout};
use super::record::MemberState;
use super::{Membership, REMOVAL_TIMEOUT, SUSPICION_TIMEOUT};
use crate::ids::{DaemonKey, DaemonRun};

/// Minimum gap since the last tick that counts as a pause of this daemon. Answers to its probes
/// may have expired or been dropped meanwhile, so a missing answer is no evidence of a failure.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Maximum number of members asked to probe a target indirectly.
const INTERMEDIARIES: usize = 3;

impl Membership {
    /// Discards probes in flight and restarts suspicion timeouts if this daemon was paused, since
    /// evidence collected across a pause is not valid.
    pub(super) fn detect_pause(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(last) = self.last_tick else {
            return;
        };
        let gap = now.saturating_sub(last);
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.last_tick = Some(now);
        self.prober.clear_in_flight();
        for member in self.table.values_mut() {
            if member.state == MemberState::Suspect {
                member.since = now;
            }
        }
        // Updates that arrived during the pause may have been dropped.
        self.next_sync = now;
        out.push(Action::Resumed { gap });
    }

    /// Declares members dead whose suspicion or leave timed out, and removes members that have
    /// been dead or left for [`REMOVAL_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        let due: Vec<DaemonKey> = self
            .table
            .values()
            .filter(|m| match m.state {
                MemberState::Suspect => now >= m.since + SUSPICION_TIMEOUT,
                MemberState::Leaving => now >= m.since + REMOVAL_TIMEOUT,
                _ => false,
            })
            .map(|m| m.record.daemon())
            .collect();
        for daemon in due {
            self.set_state(now, daemon, MemberState::Dead, out);
        }
        let (listed, queue) = (&self.listed, &mut self.queue);
        self.table.retain(|daemon, m| {
            // The record is kept while the VM is listed, because its run is reported as ended
            // when the VM is removed from the list.
            let keep = !m.state.is_dead_or_left()
                || now < m.since + REMOVAL_TIMEOUT
                || listed.contains_key(daemon);
            if !keep {
                queue.remove(*daemon);
            }
            keep
        });
    }

    pub(super) fn probe(&mut self, now: Duration, out: &mut Vec<Action>) {
        match self.prober.due(now) {
            ProbeTimeout::Nothing => {}
            ProbeTimeout::Retry(probe) => self.probe_indirectly(&probe, out),
            ProbeTimeout::Failed(target) => self.suspect(now, target, out),
        }
        let next = self.prober.next_target(now, &self.probe_set, &mut self.rng);
        if let Some(member) = next.and_then(|daemon| self.table.get(&daemon)) {
            let (run, to) = (member.record.run, member.record.peer_address);
            let sequence = self.prober.start(now, run);
            self.send_ping(run.daemon, to, sequence, out);
        }
    }

    fn send_ping(
        &mut self,
        target: DaemonKey,
        to: SocketAddr,
        sequence: u64,
        out: &mut Vec<Action>,
    ) {
        let suspicion = self.suspicion_update(target);
        let header = self.filled_header(Some(target), suspicion);
        let message = MemberMessage::Ping(Ping { sequence, header });
        out.push(Action::Send { to, message });
    }

    /// Retries a probe through other members, and directly in case only a datagram was lost.
    fn probe_indirectly(&mut self, probe: &Probe, out: &mut Vec<Action>) {
        let target = probe.target;
        let Some(member) = self.table.get(&target.daemon) else {
            return;
        };
        let target_address = member.record.peer_address;
        self.send_ping(target.daemon, target_address, probe.sequence, out);
        let mut intermediaries = self.neighbours();
        intermediaries.retain(|(daemon, _)| *daemon != target.daemon);
        for (intermediary, to) in intermediaries.into_iter().take(INTERMEDIARIES) {
            let header = self.filled_header(Some(intermediary), None);
            let message = MemberMessage::PingReq(PingReq {
                sequence: probe.sequence,
                target,
                target_address,
                header,
            });
            out.push(Action::Send { to, message });
        }
    }

    fn suspect(&mut self, now: Duration, target: DaemonRun, out: &mut Vec<Action>) {
        let Some(member) = self.table.get(&target.daemon) else {
            return;
        };
        if member.state != MemberState::Alive || member.record.run != target {
            return;
        }
        let to = member.record.peer_address;
        self.set_state(now, target.daemon, MemberState::Suspect, out);
        if let Some(update) = self.suspicion_update(target.daemon) {
            self.send_gossip(to, vec![update], out);
        }
    }
}
