//! Handling of incoming messages, and the rules by which an update replaces a known record.

use std::net::SocketAddr;
use std::time::Duration;

use super::message::{Ack, Action, Gossip, Header, MemberMessage, Ping, PingReq};
use super::probe::AckMatch;
use super::record::{MemberState, Update};
use super::{MEMBERS_MAX, Member, Membership};
use crate::ids::{DaemonKey, DaemonRun};

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: MemberMessage,
        out: &mut Vec<Action>,
    ) {
        let sender = message.header().sender;
        if sender.daemon == self.local_record.daemon() {
            return;
        }
        self.process_header(now, from, message.header(), out);
        // Only the messages of probes, which are limited in rate, get a reply here. Two members
        // that reject each other's records would otherwise answer gossip with gossip forever.
        let reply = !matches!(message, MemberMessage::Gossip(_));
        self.process_sender(now, from, message.header(), reply, out);
        match message {
            MemberMessage::Ping(ping) => self.handle_ping(from, sender, &ping, out),
            MemberMessage::Ack(ack) => self.handle_ack(&ack, out),
            MemberMessage::PingReq(request) => self.handle_ping_req(now, from, &request, out),
            MemberMessage::Gossip(gossip) => {
                if let Some(sync) = &gossip.sync {
                    self.answer_digest(now, from, sync, out);
                }
            }
        }
    }

    fn process_header(
        &mut self,
        now: Duration,
        from: SocketAddr,
        header: &Header,
        out: &mut Vec<Action>,
    ) {
        let refutation_before = self.local_record.refutation;
        for update in &header.updates {
            self.apply(now, update, out);
            self.mark_known_by_sender(update, header.sender.daemon);
        }
        if self.local_record.refutation != refutation_before {
            // The sender has a wrong state for this daemon and may be the only member that does.
            let update = self.local_update();
            self.send_gossip(from, vec![update], out);
        }
    }

    /// Updates the sender's configuration version, and corrects or requests records if the table
    /// doesn't have the sender's run as running.
    fn process_sender(
        &mut self,
        now: Duration,
        from: SocketAddr,
        header: &Header,
        reply: bool,
        out: &mut Vec<Action>,
    ) {
        let sender = header.sender;
        let mut address = from;
        match self.table.get_mut(&sender.daemon) {
            Some(member) if member.record.run == sender => {
                address = member.record.peer_address;
                let known_version = &mut member.record.config_version;
                *known_version = (*known_version).max(header.config_version);
                if reply && member.state == MemberState::Dead && !member.unlisted {
                    // A member that is considered dead but sends must get its record to refute it.
                    let update = member.update();
                    self.send_gossip(from, vec![update], out);
                }
            }
            Some(member) if member.record.run > sender => {
                if reply {
                    let update = member.update();
                    self.send_gossip(from, vec![update], out);
                }
                return;
            }
            // The sender, or this run of it, is unknown; its reply to the digest contains its
            // record.
            _ if reply && self.sync_tokens.take(now) => self.send_digest(from, false, out),
            _ => {}
        }
        if header.config_version > self.local_record.config_version {
            out.push(Action::NewerVersion {
                version: header.config_version,
                holder: sender,
                address,
            });
        }
    }

    fn handle_ping(
        &mut self,
        to: SocketAddr,
        sender: DaemonRun,
        ping: &Ping,
        out: &mut Vec<Action>,
    ) {
        let suspicion = self.suspicion_update(sender.daemon);
        let header = self.filled_header(Some(sender.daemon), suspicion);
        let message = MemberMessage::Ack(Ack {
            sequence: ping.sequence,
            subject: self.local_record.run,
            header,
        });
        out.push(Action::Send { to, message });
    }

    fn handle_ack(&mut self, ack: &Ack, out: &mut Vec<Action>) {
        if let AckMatch::Forward(relay) = self.prober.match_ack(ack.sequence, ack.subject.daemon) {
            let header = self.header(Vec::new());
            let message = MemberMessage::Ack(Ack {
                sequence: relay.sequence,
                subject: ack.subject,
                header,
            });
            let to = relay.to;
            out.push(Action::Send { to, message });
        }
    }

    fn handle_ping_req(
        &mut self,
        now: Duration,
        from: SocketAddr,
        request: &PingReq,
        out: &mut Vec<Action>,
    ) {
        let target = request.target.daemon;
        if target == self.local_record.daemon() {
            return;
        }
        let started = self.prober.start_relay(now, target, from, request.sequence);
        if let Some(sequence) = started {
            let to = match self.table.get(&target) {
                Some(member) if member.record.run >= request.target => member.record.peer_address,
                _ => request.target_address,
            };
            let suspicion = self.suspicion_update(target);
            let header = self.filled_header(Some(target), suspicion);
            let message = MemberMessage::Ping(Ping { sequence, header });
            out.push(Action::Send { to, message });
        }
    }

    /// Records that the sender has the same update as this daemon and doesn't need to receive it.
    fn mark_known_by_sender(&mut self, update: &Update, sender: DaemonKey) {
        let daemon = update.record.daemon();
        let same = self.table.get(&daemon).is_some_and(|member| {
            member.state == update.state && update.record.recency_cmp(&member.record).is_eq()
        });
        if same {
            self.queue.mark_received(daemon, sender);
        }
    }

    /// Applies an update if it is valid and newer than the known record.
    pub(super) fn apply(&mut self, now: Duration, update: &Update, out: &mut Vec<Action>) {
        if !update.record.is_valid() {
            return;
        }
        let daemon = update.record.daemon();
        if daemon == self.local_record.daemon() {
            self.apply_local(update, out);
        } else if let Some(member) = self.table.get(&daemon) {
            if update.supersedes(&member.record, member.state) {
                self.replace(now, update, out);
            }
        } else if !update.state.is_dead_or_left() {
            // Dead and left members are not added, because members would keep adding them to each
            // other's tables and never remove them everywhere.
            self.insert(now, update, out);
        }
    }

    fn insert(&mut self, now: Duration, update: &Update, out: &mut Vec<Action>) {
        if self.table.len() >= MEMBERS_MAX && !self.evict_oldest_ended() {
            return;
        }
        let run = update.record.run;
        let listed_leaving = self.listed.get(&run.daemon).is_some_and(|vm| vm.leaving);
        let to = if listed_leaving {
            update.state.max(MemberState::Leaving)
        } else {
            update.state
        };
        self.table
            .insert(run.daemon, Member::new(update.record.clone(), to, now));
        self.mark_changed(run.daemon);
        out.push(Action::Changed {
            run,
            from: None,
            to,
        });
    }

    /// Replaces a known record by a newer one of the same run or a newer run.
    fn replace(&mut self, now: Duration, update: &Update, out: &mut Vec<Action>) {
        let daemon = update.record.daemon();
        let Some(member) = self.table.get_mut(&daemon) else {
            return;
        };
        let known = member.record.run;
        let (from, mut to) = (member.state, update.state);
        if update.record.run == known {
            // A run that left, or whose VM was removed from the VM list, doesn't come back.
            if (from == MemberState::Left || member.unlisted) && !to.is_dead_or_left() {
                return;
            }
            // A leave is final; not even the member's own refutation reverts it.
            if from == MemberState::Leaving && to.is_live() {
                to = MemberState::Leaving;
            }
            member.record = update.record.clone();
            if from == to {
                self.enqueue(daemon);
            } else {
                self.set_state(now, daemon, to, out);
            }
            return;
        }
        *member = Member::new(update.record.clone(), to, now);
        if !from.is_dead_or_left() {
            out.push(Action::Changed {
                run: known,
                from: Some(from),
                to: MemberState::Dead,
            });
        }
        out.push(Action::RunEnded(known));
        out.push(Action::Changed {
            run: update.record.run,
            from: None,
            to,
        });
        self.mark_changed(daemon);
    }

    /// Processes an update about this daemon and refutes a wrong state of its own run.
    fn apply_local(&mut self, update: &Update, out: &mut Vec<Action>) {
        let reported_run = update.record.run;
        if reported_run > self.local_record.run {
            out.push(Action::Superseded(reported_run));
            return;
        }
        if reported_run < self.local_record.run
            || update.record.refutation < self.local_record.refutation
        {
            return;
        }
        match update.state {
            MemberState::Leaving => self.leave_requested(out),
            state if state > self.local_state => {
                self.local_record.refutation = update.record.refutation + 1;
                self.enqueue(self.local_record.daemon());
            }
            _ => {}
        }
    }

    /// Update about a suspected member, sent to it ahead of others so that it can refute it.
    pub(super) fn suspicion_update(&self, daemon: DaemonKey) -> Option<Update> {
        self.table
            .get(&daemon)
            .filter(|member| member.state == MemberState::Suspect)
            .map(Member::update)
    }

    pub(super) fn send_gossip(&self, to: SocketAddr, updates: Vec<Update>, out: &mut Vec<Action>) {
        let header = self.header(updates);
        let message = MemberMessage::Gossip(Gossip { sync: None, header });
        out.push(Action::Send { to, message });
    }
}
