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

/// Writes that one claim takes: the create and the outcome.
const CLAIM_WRITES: u64 = 2;
/// Reads of a claim before the answer is given up.
const READ_TRIES: u32 = 3;
/// Writes of an outcome before it is left unrecorded.
const RECORD_TRIES: u32 = 3;
/// Fractions of a write that the budget counts in.
const MICRO: u64 = 1_000_000;

/// Share of the platform's writes that one daemon may use for claims.
///
/// It starts with one claim and saves up at most one second of writes or one claim, so the
/// members together exceed the fleet's rate by at most one claim each.
#[derive(Debug)]
pub struct WriteBudget {
    fleet_writes_per_s: u64,
    members: u64,
    tokens_micro: u64,
    updated: Duration,
}

impl WriteBudget {
    /// Divides the fleet's writes per second among the live members.
    pub fn new(now: Duration, fleet_writes_per_s: u32, members: usize) -> Self {
        Self {
            fleet_writes_per_s: fleet_writes_per_s.into(),
            members: (members as u64).max(1),
            tokens_micro: CLAIM_WRITES * MICRO,
            updated: now,
        }
    }

    /// Changes the number of live members.
    pub fn set_members(&mut self, now: Duration, members: usize) {
        self.refill(now);
        self.members = (members as u64).max(1);
    }

    /// Takes the writes of one claim, or returns `false` when the share is used up.
    pub fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        let left = self.tokens_micro.checked_sub(CLAIM_WRITES * MICRO);
        self.tokens_micro = left.unwrap_or(self.tokens_micro);
        left.is_some()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        let rate_micro = self.fleet_writes_per_s * MICRO / self.members;
        let gained = u128::from(rate_micro) * elapsed.as_micros() / u128::from(MICRO);
        if gained == 0 {
            // Frequent calls would otherwise lose the fraction each time.
            return;
        }
        let cap = rate_micro.max(CLAIM_WRITES * MICRO);
        let tokens = u128::from(self.tokens_micro) + gained;
        self.tokens_micro = u64::try_from(tokens).unwrap_or(u64::MAX).min(cap);
        self.updated = now;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing was sent.
    New,
    /// The create is in flight.
    Creating,
    /// The response to the create was lost.
    ReadingBack { tries: u32 },
    /// The create met another record.
    ReadingOther { tries: u32 },
    /// The claim is held in this version; a permission is given out.
    Held { version: u64 },
    /// The request was handed over.
    HandedOver { version: u64 },
    /// The outcome is to be recorded.
    Recording { version: u64, tries: u32 },
    /// Nothing is left to do.
    Ended,
}

/// One request with a caller-generated key at one daemon.
///
/// A claim is never taken over: only the machine whose create took effect gives out a
/// permission, and it gives out one. "Not run" is answered only when this is certain for the
/// key: the holder never handed it over, the record says so, the key belongs to a different
/// request, or the caller states that the key was never sent before. A refusal of a repeated
/// key in an outage or over budget is `Unknown`, because an earlier arrival may have run.
#[derive(Debug)]
pub struct ClaimMachine {
    record: ClaimRecord,
    attempt: Attempt,
    deadline: Duration,
    stage: Stage,
}

impl ClaimMachine {
    /// Starts a claim with a number that is unique in this daemon run.
    pub fn new(
        holder: DaemonRun,
        number: u64,
        fingerprint: u64,
        attempt: Attempt,
        deadline: Duration,
    ) -> Self {
        Self {
            record: ClaimRecord {
                holder,
                number,
                fingerprint,
                state: ClaimState::Held,
            },
            attempt,
            deadline,
            stage: Stage::New,
        }
    }

    /// Decides whether the claim may be written.
    pub fn start(&mut self, now: Duration, budget: &mut WriteBudget) -> ClaimAction {
        if self.stage != Stage::New {
            return ClaimAction::Nothing;
        }
        if now >= self.deadline {
            return self.not_claimed(NotRunReason::TooLate);
        }
        if !budget.take(now) {
            return self.not_claimed(NotRunReason::OverBudget);
        }
        self.stage = Stage::Creating;
        ClaimAction::Create(self.record)
    }

    /// Takes the result of `Create` or `Record`.
    pub fn written(&mut self, result: CreateResult) -> ClaimAction {
        match (self.stage, result) {
            (Stage::Creating, CreateResult::Written(version)) => self.hold(version),
            (Stage::Creating, CreateResult::Conflict) => {
                self.stage = Stage::ReadingOther { tries: 1 };
                ClaimAction::Read
            }
            (Stage::Creating, CreateResult::Unknown) => {
                self.stage = Stage::ReadingBack { tries: 1 };
                ClaimAction::Read
            }
            (Stage::Creating, CreateResult::Unavailable) => self.not_claimed(NotRunReason::Outage),
            // Only the holder writes the record, so a conflict means that an earlier write
            // of the outcome took effect.
            (Stage::Recording { .. }, CreateResult::Written(_) | CreateResult::Conflict) => {
                self.stage = Stage::Ended;
                ClaimAction::Nothing
            }
            (Stage::Recording { version, tries }, _) if tries < RECORD_TRIES => {
                self.stage = Stage::Recording {
                    version,
                    tries: tries + 1,
                };
                ClaimAction::Record(self.record, version)
            }
            (Stage::Recording { .. }, _) => {
                self.stage = Stage::Ended;
                ClaimAction::Nothing
            }
            _ => ClaimAction::Nothing,
        }
    }

    /// Takes the result of `Read`.
    pub fn read(&mut self, now: Duration, result: ReadResult) -> ClaimAction {
        let (tries, lost) = match self.stage {
            Stage::ReadingBack { tries } => (tries, true),
            Stage::ReadingOther { tries } => (tries, false),
            _ => return ClaimAction::Nothing,
        };
        match result {
            ReadResult::Found(found, version) if self.is_own(&found) => self.hold(version),
            ReadResult::Found(found, _) => self.answer(self.other(&found)),
            ReadResult::Unavailable if tries < READ_TRIES && now < self.deadline => {
                let tries = tries + 1;
                self.stage = if lost {
                    Stage::ReadingBack { tries }
                } else {
                    Stage::ReadingOther { tries }
                };
                ClaimAction::Read
            }
            // The create may still take effect, but then nobody hands the request over.
            _ if lost => self.not_claimed(NotRunReason::Outage),
            _ => self.answer(ClaimAnswer::Unknown),
        }
    }

    /// Checks the deadline at the moment of the hand-over.
    pub fn handed_over(
        &mut self,
        now: Duration,
        permission: Permission<Claimed>,
    ) -> HandOver<Claimed> {
        let Stage::Held { version } = self.stage else {
            return HandOver::NotRun(NotRunReason::Abandoned);
        };
        let checked = permission.check(now);
        match checked {
            HandOver::Go(_) => self.stage = Stage::HandedOver { version },
            HandOver::NotRun(_) => self.set_outcome(version, ClaimState::NotRun),
        }
        checked
    }

    /// Gives the permission back without a hand-over.
    pub fn refuse(&mut self, permission: Permission<Claimed>) {
        drop(permission);
        if let Stage::Held { version } = self.stage {
            self.set_outcome(version, ClaimState::NotRun);
        }
    }

    /// Takes the hand-over back after the backend server stated that it did not run the
    /// request.
    pub fn take_back(&mut self, handed: HandedOver<Claimed>) -> Permission<Claimed> {
        if let Stage::HandedOver { version } = self.stage {
            self.stage = Stage::Held { version };
        }
        Permission::new(handed.ticket, self.deadline)
    }

    /// Notes how a request that was handed over ended.
    pub fn finish(&mut self, handed: HandedOver<Claimed>, outcome: Outcome) {
        drop(handed);
        if let Stage::HandedOver { version } = self.stage {
            let state = match outcome {
                Outcome::Done(status) => ClaimState::Done(status),
                Outcome::NotRun => ClaimState::NotRun,
                Outcome::Unknown => ClaimState::Unknown,
            };
            self.set_outcome(version, state);
        }
    }

    /// Write that records the outcome after `finish`, `refuse` or a late `handed_over`.
    ///
    /// The answer to the caller does not wait for it.
    pub fn unrecorded(&self) -> ClaimAction {
        match self.stage {
            Stage::Recording { version, .. } => ClaimAction::Record(self.record, version),
            _ => ClaimAction::Nothing,
        }
    }

    fn is_own(&self, found: &ClaimRecord) -> bool {
        (found.holder, found.number) == (self.record.holder, self.record.number)
    }

    fn hold(&mut self, version: u64) -> ClaimAction {
        self.stage = Stage::Held { version };
        ClaimAction::Dispatch(Permission::new(self.record.number, self.deadline))
    }

    fn set_outcome(&mut self, version: u64, state: ClaimState) {
        self.record.state = state;
        self.stage = Stage::Recording { version, tries: 1 };
    }

    fn other(&self, found: &ClaimRecord) -> ClaimAnswer {
        if found.fingerprint != self.record.fingerprint {
            return ClaimAnswer::NotRun(NotRunReason::Conflict);
        }
        match found.state {
            ClaimState::Held => ClaimAnswer::Held(found.holder),
            ClaimState::Done(status) => ClaimAnswer::Done(status),
            ClaimState::NotRun => ClaimAnswer::NotRun(NotRunReason::Refused),
            ClaimState::Unknown => ClaimAnswer::Unknown,
        }
    }

    fn not_claimed(&mut self, reason: NotRunReason) -> ClaimAction {
        self.answer(match self.attempt {
            Attempt::First => ClaimAnswer::NotRun(reason),
            Attempt::Repeated => ClaimAnswer::Unknown,
        })
    }

    fn answer(&mut self, answer: ClaimAnswer) -> ClaimAction {
        self.stage = Stage::Ended;
        ClaimAction::Answer(answer)
    }
}
