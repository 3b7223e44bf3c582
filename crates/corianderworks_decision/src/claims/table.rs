//! Table of the keys under the prefixes that this daemon run issued.

use std::time::Duration;

use super::key::IssuedKey;
use super::permission::{HandOver, HandedOver, Issued, NotRunReason, Permission};
use crate::ids::DaemonRun;

/// Time for which an outcome is kept after the request ended.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);
/// Time after the issue of a prefix in which a key under it may be used first.
///
/// It is half of [`KEY_LIFETIME`], the age from which finished outcomes may be evicted under
/// memory pressure: when an outcome goes, its prefix is closed already.
pub const PREFIX_USE: Duration = Duration::from_secs(300);
/// Keys that a table holds at most.
pub const KEY_TABLE_MAX: usize = 50_000;

/// Answer to the arrival of a request with a key.
#[derive(Debug)]
pub enum Begin {
    /// The request may be dispatched once.
    Dispatch(Permission<Issued>),
    /// Another arrival of the same request is being processed; wait for its outcome.
    InProgress,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request may have run.
    Unknown,
    /// The key was not run and never will be.
    NotRun(NotRunReason),
    /// The key belongs to a different request; this one was not run.
    NotRunConflict,
    /// The table is full; the key was not run and never will be.
    Full,
}

/// How a request that was handed over ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered completely with this status.
    Done(u16),
    /// The backend server stated that it did not run the request.
    NotRun,
    /// The answer was lost or incomplete.
    Unknown,
}

/// State of a key as told to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// The request was not handed to a backend server and never will be.
    NotRun,
    /// The request is being processed.
    Running,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request may have run.
    Unknown,
}

/// Keys and outcomes of one daemon run.
#[derive(Debug)]
pub struct KeyTable {
    run: DaemonRun,
}

impl KeyTable {
    /// Creates the table of a daemon run; a restart has a new incarnation and an empty table.
    pub fn new(run: DaemonRun, capacity: usize) -> Self {
        let _ = capacity;
        Self { run }
    }

    /// The daemon run that the table belongs to.
    pub fn run(&self) -> DaemonRun {
        self.run
    }

    /// Issues a prefix under which keys may be used first within [`PREFIX_USE`].
    pub fn issue(&mut self, now: Duration) -> String {
        let _ = now;
        todo!()
    }

    /// Decides on the arrival of a request with a key.
    ///
    /// `fingerprint` identifies the request, so that a key is not reused for another one.
    pub fn begin(
        &mut self,
        now: Duration,
        key: &IssuedKey,
        fingerprint: u64,
        deadline: Duration,
    ) -> Begin {
        let _ = (now, key, fingerprint, deadline);
        todo!()
    }

    /// Records the hand-over to a backend server, immediately before the first byte is written.
    pub fn handed_over(
        &mut self,
        now: Duration,
        permission: Permission<Issued>,
    ) -> HandOver<Issued> {
        let _ = now;
        permission.check(now)
    }

    /// Gives a permission back without a hand-over and seals the key.
    pub fn refuse(&mut self, now: Duration, permission: Permission<Issued>, reason: NotRunReason) {
        let _ = (now, permission, reason);
    }

    /// Records how a request that was handed over ended.
    pub fn finish(&mut self, now: Duration, handed: HandedOver<Issued>, outcome: Outcome) {
        let _ = (now, handed.ticket, outcome);
    }

    /// Tells the state of a key; an unused key is sealed, so that "not run" stays true.
    pub fn state(&mut self, now: Duration, key: &IssuedKey) -> KeyState {
        let _ = (now, key);
        todo!()
    }

    /// Removes outcomes past their lifetime.
    pub fn expire(&mut self, now: Duration) {
        let _ = now;
    }

    /// Evicts finished outcomes past half their lifetime, under memory pressure.
    pub fn evict(&mut self, now: Duration) -> usize {
        let _ = now;
        0
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        0
    }

    /// Tells whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
