//! The platform object that records which daemon run holds which ejection permit.
//!
//! All functions are pure: they return the table to write by conditional update.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::dispatch_types::PermitNumber;
use crate::ids::{DaemonKey, DaemonRun};

/// Holders that the permits of a service are divided among.
const HOLDERS: usize = 2;

/// Number of permits of a service, from its configured upstreams and the floor in percent.
pub fn permit_count(upstreams: u32, floor_percent: u32) -> u32 {
    upstreams - floor(upstreams, floor_percent)
}

/// Upstreams that ejection must leave.
pub fn floor(upstreams: u32, floor_percent: u32) -> u32 {
    (upstreams * floor_percent.min(100)).div_ceil(100)
}

/// Whether a permit may be used while `unavailable` upstreams are gone, leaving or cold.
///
/// The highest numbers become unusable first, in every view that sees the servers leave.
pub fn usable(permit: PermitNumber, upstreams: u32, unavailable: u32, floor: u32) -> bool {
    u64::from(upstreams) >= u64::from(unavailable) + u64::from(permit.0) + 1 + u64::from(floor)
}

/// What the VM list says about a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmEvidence {
    /// Listed, or never seen in the list.
    Present,
    /// Seen in the list before and no longer listed.
    Gone,
}

/// The platform object of one service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PermitTable {
    /// Holder of each permit; a free permit has no entry.
    pub holders: BTreeMap<PermitNumber, DaemonRun>,
}

impl PermitTable {
    /// Permits that a run holds.
    pub fn held_by(&self, run: DaemonRun) -> Vec<PermitNumber> {
        let held = self.holders.iter().filter(|(_, holder)| **holder == run);
        held.map(|(permit, _)| *permit).collect()
    }
}

/// The home that may take a permit: the first two homes, which placement puts into different
/// domains where there are two, share the numbers alternately.
pub fn designated(permit: PermitNumber, homes: &[DaemonKey]) -> Option<DaemonKey> {
    let holders = homes.len().min(HOLDERS);
    homes
        .get((permit.0 as usize).checked_rem(holders)?)
        .copied()
}

/// Takes the free permits that `me` is designated for, and frees those of vanished holders.
///
/// Returns the table to write, or `None` when nothing changes. A permit is free when its holder's
/// VM is gone from the VM list or when the holder is an earlier run of `me`.
pub fn claim<F>(
    table: &PermitTable,
    me: DaemonRun,
    homes: &[DaemonKey],
    permits: u32,
    vm: F,
) -> Option<PermitTable>
where
    F: Fn(DaemonKey) -> VmEvidence,
{
    let mut next = table.clone();
    next.holders.retain(|_, holder| {
        let earlier_run = holder.daemon == me.daemon && holder.incarnation < me.incarnation;
        !earlier_run && vm(holder.daemon) == VmEvidence::Present
    });
    for permit in (0..permits).map(PermitNumber) {
        if designated(permit, homes) == Some(me.daemon) {
            next.holders.entry(permit).or_insert(me);
        }
    }
    (next != *table).then_some(next)
}

/// Returns permits of `me`; the caller must have stopped using them.
pub fn release(
    table: &PermitTable,
    me: DaemonRun,
    returned: &[PermitNumber],
) -> Option<PermitTable> {
    let mut next = table.clone();
    next.holders
        .retain(|permit, holder| *holder != me || !returned.contains(permit));
    (next != *table).then_some(next)
}

/// Permits that `me` holds but should return: not designated for it any more, or too many exist.
pub fn surplus(
    table: &PermitTable,
    me: DaemonRun,
    homes: &[DaemonKey],
    permits: u32,
) -> Vec<PermitNumber> {
    let mut held = table.held_by(me);
    held.retain(|p| p.0 >= permits || designated(*p, homes) != Some(me.daemon));
    held
}

/// What a daemon knows of the platform object, across writes whose response was lost.
#[derive(Debug, Clone, Default)]
pub struct PermitLedger {
    version: u64,
    held: Vec<PermitNumber>,
    returning: Vec<(PermitNumber, u64)>,
}

impl PermitLedger {
    /// Records a table that was read or written, and returns the permits that may be used.
    ///
    /// Only a confirmed table grants a permit: a claim whose response was lost does not.
    pub fn confirmed(
        &mut self,
        version: u64,
        table: &PermitTable,
        me: DaemonRun,
    ) -> &[PermitNumber] {
        if version >= self.version {
            self.version = version;
            // A return written against version V may still take effect until a later version is
            // seen, so the permit stays unused until then.
            self.returning.retain(|(_, against)| *against >= version);
            self.held = table.held_by(me);
            let returning = &self.returning;
            self.held.retain(|p| returning.iter().all(|(r, _)| r != p));
        }
        &self.held
    }

    /// Records that permits are about to be returned by a write against a version.
    pub fn returning(&mut self, permits: &[PermitNumber], against: u64) {
        self.returning.extend(permits.iter().map(|p| (*p, against)));
        self.held.retain(|p| !permits.contains(p));
    }

    /// Permits that may be used.
    pub fn held(&self) -> &[PermitNumber] {
        &self.held
    }
}
