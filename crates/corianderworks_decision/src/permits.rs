//! The platform object that records which daemon run holds which ejection permit.
//!
//! The functions have no side effects: those that change the table return the one to write by
//! conditional update.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::dispatch_types::PermitNumber;
use crate::ids::{DaemonKey, DaemonRun};

/// Largest number of homes that the permits of a service are divided among.
const HOLDERS_PER_SERVICE: usize = 2;

/// Number of permits of a service: its configured upstreams less the floor.
pub fn permit_count(upstreams: u32, floor_percent: u32) -> u32 {
    upstreams - floor(upstreams, floor_percent)
}

/// Number of configured upstreams that ejection must leave, from a share in percent; rounded up.
pub fn floor(upstreams: u32, floor_percent: u32) -> u32 {
    (upstreams * floor_percent.min(100)).div_ceil(100)
}

/// Returns whether a permit may be used while `unavailable` upstreams are removed, leaving or cold.
///
/// The permits with the highest numbers become unusable first, at every home that sees these
/// upstreams as unavailable.
pub fn usable(permit: PermitNumber, upstreams: u32, unavailable: u32, floor: u32) -> bool {
    u64::from(upstreams) >= u64::from(unavailable) + u64::from(permit.0) + 1 + u64::from(floor)
}

/// Whether the VM list still has the VM of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmPresence {
    /// The VM is listed, or was never seen in the list.
    Present,
    /// The VM was listed before and no longer is.
    Removed,
}

/// Contents of the platform object of one service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PermitTable {
    /// Holder of each permit; a free permit has no entry.
    pub holders: BTreeMap<PermitNumber, DaemonRun>,
}

impl PermitTable {
    /// Permits that a run holds according to the table, in ascending order.
    pub fn held_by(&self, run: DaemonRun) -> Vec<PermitNumber> {
        let held = self.holders.iter().filter(|(_, holder)| **holder == run);
        held.map(|(permit, _)| *permit).collect()
    }
}

/// Returns the home that may claim a permit; `None` without homes.
///
/// The numbers alternate between the first two homes, which placement puts into different failure
/// domains where there are two.
pub fn designated_holder(permit: PermitNumber, homes: &[DaemonKey]) -> Option<DaemonKey> {
    let holders = homes.len().min(HOLDERS_PER_SERVICE);
    homes
        .get((permit.0 as usize).checked_rem(holders)?)
        .copied()
}

/// Claims the free permits that `own_run` is the designated holder of, and releases those of
/// holders that no longer run.
///
/// Returns the table to write, or `None` when nothing changes. A permit is also free when its
/// holder's VM was removed from the VM list or when the holder is an earlier run of `own_run`.
pub fn claim<F>(
    table: &PermitTable,
    own_run: DaemonRun,
    homes: &[DaemonKey],
    permits: u32,
    vm: F,
) -> Option<PermitTable>
where
    F: Fn(DaemonKey) -> VmPresence,
{
    let mut updated = table.clone();
    updated.holders.retain(|_, holder| {
        let earlier_run =
            holder.daemon == own_run.daemon && holder.incarnation < own_run.incarnation;
        !earlier_run && vm(holder.daemon) == VmPresence::Present
    });
    for permit in (0..permits).map(PermitNumber) {
        if designated_holder(permit, homes) == Some(own_run.daemon) {
            updated.holders.entry(permit).or_insert(own_run);
        }
    }
    (updated != *table).then_some(updated)
}

/// Removes permits of `own_run` from the table; the caller must have stopped using them.
///
/// Returns the table to write, or `None` when nothing changes.
pub fn release(
    table: &PermitTable,
    own_run: DaemonRun,
    returned: &[PermitNumber],
) -> Option<PermitTable> {
    let mut updated = table.clone();
    updated
        .holders
        .retain(|permit, holder| *holder != own_run || !returned.contains(permit));
    (updated != *table).then_some(updated)
}

/// Permits that `own_run` holds but should return, because it is no longer their designated holder
/// or the service has fewer permits than before.
pub fn surplus(
    table: &PermitTable,
    own_run: DaemonRun,
    homes: &[DaemonKey],
    permits: u32,
) -> Vec<PermitNumber> {
    let mut held = table.held_by(own_run);
    held.retain(|p| p.0 >= permits || designated_holder(*p, homes) != Some(own_run.daemon));
    held
}

/// A daemon's record of the permits it may use, valid also after writes whose response was lost.
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
    pub fn record_confirmed(
        &mut self,
        version: u64,
        table: &PermitTable,
        own_run: DaemonRun,
    ) -> &[PermitNumber] {
        if version >= self.version {
            self.version = version;
            // A return written against a version may still take effect until a later version is
            // read, so the permit stays unused until then.
            self.returning
                .retain(|(_, base_version)| *base_version >= version);
            self.held = table.held_by(own_run);
            let returning = &self.returning;
            self.held.retain(|p| returning.iter().all(|(r, _)| r != p));
        }
        &self.held
    }

    /// Records that permits are about to be returned by a write on the condition that the object
    /// still has the version `base_version`. They may not be used from now on.
    pub fn returning(&mut self, permits: &[PermitNumber], base_version: u64) {
        self.returning
            .extend(permits.iter().map(|p| (*p, base_version)));
        self.held.retain(|p| !permits.contains(p));
    }

    /// Permits that may be used, as of the last confirmed table.
    pub fn held(&self) -> &[PermitNumber] {
        &self.held
    }
}
