//! Reconciliation of the member table with the platform's VM list.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Membership;
use super::message::{Action, ListedVm};
use super::record::MemberState;
use crate::ids::DaemonKey;

impl Membership {
    /// Applies a new list of daemon VMs from the platform. An empty list is ignored, because a
    /// correct one contains at least this daemon's own VM.
    pub fn update_vm_list(&mut self, now: Duration, list: &[ListedVm]) -> Vec<Action> {
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
        let delisted = before.keys().filter(|d| !self.listed.contains_key(d));
        for daemon in delisted.copied().collect::<Vec<_>>() {
            self.mark_unlisted(now, daemon, &mut out);
        }
        let listed: Vec<(DaemonKey, bool)> =
            self.listed.iter().map(|(d, vm)| (*d, vm.leaving)).collect();
        for (daemon, leaving) in listed {
            if daemon == self.local_record.daemon() {
                if leaving {
                    self.leave_requested(&mut out);
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

    /// Declares a daemon whose VM was removed from the list dead, regardless of gossip.
    fn mark_unlisted(&mut self, now: Duration, daemon: DaemonKey, out: &mut Vec<Action>) {
        let Some(member) = self.table.get_mut(&daemon) else {
            return;
        };
        member.unlisted = true;
        let run = member.record.run;
        if !member.state.is_dead_or_left() {
            self.set_state(now, daemon, MemberState::Dead, out);
        }
        out.push(Action::RunEnded(run));
    }

    /// Reports, only once, that the platform is about to remove this daemon's VM.
    pub(super) fn leave_requested(&mut self, out: &mut Vec<Action>) {
        if !self.leave_requested && self.local_state == MemberState::Alive {
            self.leave_requested = true;
            out.push(Action::ListedLeaving);
        }
    }
}
