//! The platform's VM list as input.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Membership;
use super::message::{Action, ListedVm};
use super::record::MemberState;
use crate::ids::DaemonKey;

impl Membership {
    /// Takes the daemon VMs of the platform's VM list. An empty list is ignored, because it
    /// would have to show at least this daemon's own VM.
    pub fn vm_list(&mut self, now: Duration, list: &[ListedVm]) -> Vec<Action> {
        let mut out = Vec::new();
        if list.is_empty() {
            return out;
        }
        let next: BTreeMap<DaemonKey, ListedVm> = list
            .iter()
            .take(super::MEMBERS_MAX)
            .map(|vm| (DaemonKey::of(&vm.name), vm.clone()))
            .collect();
        let before = std::mem::replace(&mut self.listed, next);
        let vanished = before.keys().filter(|d| !self.listed.contains_key(d));
        for daemon in vanished.copied().collect::<Vec<_>>() {
            self.vanish(now, daemon, &mut out);
        }
        let listed: Vec<(DaemonKey, bool)> =
            self.listed.iter().map(|(d, vm)| (*d, vm.leaving)).collect();
        for (daemon, leaving) in listed {
            if daemon == self.me.daemon() {
                if leaving {
                    self.told_to_leave(&mut out);
                }
                continue;
            }
            if let Some(member) = self.table.get_mut(&daemon) {
                member.unlisted = false;
                if leaving && member.state.is_live() {
                    self.set_state(now, daemon, MemberState::Leaving, &mut out);
                }
            }
        }
        out
    }

    /// A VM disappeared from the list: its daemon is dead, whatever gossip says.
    fn vanish(&mut self, now: Duration, daemon: DaemonKey, out: &mut Vec<Action>) {
        let Some(member) = self.table.get_mut(&daemon) else {
            return;
        };
        member.unlisted = true;
        let run = member.record.run;
        if !member.state.is_gone() {
            self.set_state(now, daemon, MemberState::Dead, out);
        }
        out.push(Action::Released(run));
    }

    /// The platform removes this VM; reported once.
    pub(super) fn told_to_leave(&mut self, out: &mut Vec<Action>) {
        if !self.told_to_leave && self.my_state == MemberState::Alive {
            self.told_to_leave = true;
            out.push(Action::ListedLeaving);
        }
    }
}
