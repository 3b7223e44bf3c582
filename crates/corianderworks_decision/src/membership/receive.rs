//! Incoming messages, and which news replaces which.

use std::net::SocketAddr;
use std::time::Duration;

use super::message::{Ack, Action, Gossip, Header, MemberMessage, Ping, PingReq};
use super::probe::Answered;
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
        if sender.daemon == self.me.daemon() {
            return;
        }
        self.take_header(now, from, message.header(), out);
        // Only probes and their answers get a reply here. They are limited in rate, while two
        // members that can't accept each other's records would answer gossip with gossip forever.
        let reply = !matches!(message, MemberMessage::Gossip(_));
        self.take_contact(now, from, message.header(), reply, out);
        match message {
            MemberMessage::Ping(ping) => self.acknowledge(from, sender, &ping, out),
            MemberMessage::Ack(ack) => self.acknowledged(&ack, out),
            MemberMessage::PingReq(ask) => self.probe_for(now, from, &ask, out),
            MemberMessage::Gossip(gossip) => {
                if let Some(sync) = &gossip.sync {
                    self.answer_digest(now, from, sync, out);
                }
            }
        }
    }

    fn take_header(
        &mut self,
        now: Duration,
        from: SocketAddr,
        header: &Header,
        out: &mut Vec<Action>,
    ) {
        let refuted = self.me.refutation;
        for update in &header.updates {
            self.apply(now, update, out);
            self.note_heard(update, header.sender.daemon);
        }
        if self.me.refutation != refuted {
            // The sender holds a wrong record of this daemon and may be the only one.
            let update = self.own_update();
            self.send_gossip(from, vec![update], out);
        }
    }

    /// What a message tells by having arrived from its sender.
    fn take_contact(
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
                let held = &mut member.record.config_version;
                *held = (*held).max(header.config_version);
                if reply && member.state == MemberState::Dead && !member.unlisted {
                    // A dead member that sends must learn of its record to refute it.
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
            // Its own record comes back with the answer to the digest.
            _ if reply && self.sync_budget.take(now) => self.send_digest(from, false, out),
            _ => {}
        }
        if header.config_version > self.me.config_version {
            out.push(Action::NewerVersion {
                version: header.config_version,
                holder: sender,
                address,
            });
        }
    }

    fn acknowledge(
        &mut self,
        to: SocketAddr,
        sender: DaemonRun,
        ping: &Ping,
        out: &mut Vec<Action>,
    ) {
        let about = self.suspicion_of(sender.daemon);
        let header = self.filled_header(Some(sender.daemon), about);
        let message = MemberMessage::Ack(Ack {
            sequence: ping.sequence,
            subject: self.me.run,
            header,
        });
        out.push(Action::Send { to, message });
    }

    fn acknowledged(&mut self, ack: &Ack, out: &mut Vec<Action>) {
        if let Answered::PassOn(relay) = self.prober.answer(ack.sequence, ack.subject.daemon) {
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

    fn probe_for(&mut self, now: Duration, from: SocketAddr, ask: &PingReq, out: &mut Vec<Action>) {
        let target = ask.target.daemon;
        if target == self.me.daemon() {
            return;
        }
        let started = self.prober.start_relay(now, target, from, ask.sequence);
        if let Some(sequence) = started {
            let to = match self.table.get(&target) {
                Some(member) if member.record.run >= ask.target => member.record.peer_address,
                _ => ask.target_address,
            };
            let about = self.suspicion_of(target);
            let header = self.filled_header(Some(target), about);
            let message = MemberMessage::Ping(Ping { sequence, header });
            out.push(Action::Send { to, message });
        }
    }

    /// Notes that a sender has the same news as this daemon and need not be sent it.
    fn note_heard(&mut self, update: &Update, sender: DaemonKey) {
        let daemon = update.record.daemon();
        let same = self.table.get(&daemon).is_some_and(|member| {
            member.state == update.state && update.record.age_cmp(&member.record).is_eq()
        });
        if same {
            self.queue.heard(daemon, sender);
        }
    }

    /// Applies news if it is newer than what is known.
    pub(super) fn apply(&mut self, now: Duration, update: &Update, out: &mut Vec<Action>) {
        if !update.record.is_valid() {
            return;
        }
        let daemon = update.record.daemon();
        if daemon == self.me.daemon() {
            self.hear_of_myself(update, out);
        } else if let Some(member) = self.table.get(&daemon) {
            if update.supersedes(&member.record, member.state) {
                self.replace(now, update, out);
            }
        } else if !update.state.is_gone() {
            // Ended members are not learnt from others, or they would never be forgotten.
            self.insert(now, update, out);
        }
    }

    fn insert(&mut self, now: Duration, update: &Update, out: &mut Vec<Action>) {
        if self.table.len() >= MEMBERS_MAX && !self.evict_ended() {
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
        self.changed(run.daemon);
        out.push(Action::Changed {
            run,
            from: None,
            to,
        });
    }

    /// Replaces a known record with a newer one.
    fn replace(&mut self, now: Duration, update: &Update, out: &mut Vec<Action>) {
        let daemon = update.record.daemon();
        let Some(member) = self.table.get_mut(&daemon) else {
            return;
        };
        let known = member.record.run;
        let (from, mut to) = (member.state, update.state);
        if update.record.run == known {
            // A run that left, or whose VM is gone, does not come back.
            if (from == MemberState::Left || member.unlisted) && !to.is_gone() {
                return;
            }
            // A leave is never undone, not even by the member's own refutation.
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
        if !from.is_gone() {
            out.push(Action::Changed {
                run: known,
                from: Some(from),
                to: MemberState::Dead,
            });
        }
        out.push(Action::Released(known));
        out.push(Action::Changed {
            run: update.record.run,
            from: None,
            to,
        });
        self.changed(daemon);
    }

    /// Refutes wrong news of this daemon's own run.
    fn hear_of_myself(&mut self, update: &Update, out: &mut Vec<Action>) {
        let theirs = update.record.run;
        if theirs > self.me.run {
            out.push(Action::Superseded(theirs));
            return;
        }
        if theirs < self.me.run || update.record.refutation < self.me.refutation {
            return;
        }
        match update.state {
            MemberState::Leaving => self.told_to_leave(out),
            state if state > self.my_state => {
                self.me.refutation = update.record.refutation + 1;
                self.enqueue(self.me.daemon());
            }
            _ => {}
        }
    }

    /// News that a suspected member should get first, so that it can refute it.
    pub(super) fn suspicion_of(&self, daemon: DaemonKey) -> Option<Update> {
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
