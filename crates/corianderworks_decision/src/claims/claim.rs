//! Claim of a caller-generated key by conditional create in the platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::permission::{Claimed, HandOver, HandedOver, NotRunReason, Permission};
use super::table::Outcome;
use crate::ids::DaemonRun;

/// What the caller states about the arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The key was never sent before.
    First,
    /// The key may have been sent before.
    Repeated,
}

/// Claim as stored in the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The daemon run that holds the claim; it never changes.
    pub holder: DaemonRun,
    /// Number of the claim at its holder.
    pub number: u64,
    /// Identity of the request.
    pub fingerprint: u64,
    /// How far the request got.
    pub state: ClaimState,
}

/// How far a claimed request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The holder may hand the request over, or has done so.
    Held,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request was not run and never will be.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateResult {
    /// The write took effect and produced this version.
    Written(u64),
    /// Another write was first.
    Conflict,
    /// The response was lost; the write may have taken effect or may still do so.
    Unknown,
    /// The write was not sent or was refused.
    Unavailable,
}

/// Result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// The record and its version.
    Found(ClaimRecord, u64),
    /// No record exists.
    Absent,
    /// The platform did not answer.
    Unavailable,
}

/// What the daemon does next.
#[derive(Debug)]
pub enum ClaimAction {
    /// Create the record under the condition that none exists.
    Create(ClaimRecord),
    /// Read the record.
    Read,
    /// Write the record under the condition that it still has this version.
    Record(ClaimRecord, u64),
    /// The request may be dispatched once.
    Dispatch(Permission<Claimed>),
    /// Answer the caller without a dispatch.
    Answer(ClaimAnswer),
    /// Nothing is left to do.
    Nothing,
}

/// Answer to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request was provably not run.
    NotRun(NotRunReason),
    /// Another daemon run holds the claim; the outcome is unknown unless it tells more.
    Held(DaemonRun),
    /// The request may have run.
    Unknown,
}

/// Share of the platform's writes that one daemon may use for claims.
#[derive(Debug)]
pub struct WriteBudget {}

impl WriteBudget {
    /// Divides the fleet's writes per second among the live members.
    pub fn new(now: Duration, fleet_writes_per_s: u32, members: usize) -> Self {
        let _ = (now, fleet_writes_per_s, members);
        Self {}
    }

    /// Changes the number of live members.
    pub fn set_members(&mut self, now: Duration, members: usize) {
        let _ = (now, members);
    }

    /// Takes the writes of one claim, or returns `false` when the share is used up.
    pub fn take(&mut self, now: Duration) -> bool {
        let _ = now;
        false
    }
}

/// One request with a caller-generated key at one daemon.
#[derive(Debug)]
pub struct ClaimMachine {}

impl ClaimMachine {
    /// Starts a claim with a number that is unique in this daemon run.
    pub fn new(
        holder: DaemonRun,
        number: u64,
        fingerprint: u64,
        attempt: Attempt,
        deadline: Duration,
    ) -> Self {
        let _ = (holder, number, fingerprint, attempt, deadline);
        Self {}
    }

    /// Decides whether the claim may be written.
    pub fn start(&mut self, now: Duration, budget: &mut WriteBudget) -> ClaimAction {
        let _ = (now, budget);
        todo!()
    }

    /// Takes the result of `Create` or `Record`.
    pub fn written(&mut self, now: Duration, result: CreateResult) -> ClaimAction {
        let _ = (now, result);
        todo!()
    }

    /// Takes the result of `Read`.
    pub fn read(&mut self, now: Duration, result: ReadResult) -> ClaimAction {
        let _ = (now, result);
        todo!()
    }

    /// Checks the deadline at the moment of the hand-over.
    pub fn handed_over(
        &mut self,
        now: Duration,
        permission: Permission<Claimed>,
    ) -> HandOver<Claimed> {
        permission.check(now)
    }

    /// Gives the permission back without a hand-over; the outcome is then recorded.
    pub fn refuse(&mut self, permission: Permission<Claimed>, reason: NotRunReason) -> ClaimAction {
        let _ = (permission, reason);
        todo!()
    }

    /// Reports how a request that was handed over ended; the outcome is then recorded.
    pub fn finish(&mut self, handed: HandedOver<Claimed>, outcome: Outcome) -> ClaimAction {
        let _ = (handed, outcome);
        todo!()
    }
}
