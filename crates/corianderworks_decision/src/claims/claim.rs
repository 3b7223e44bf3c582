//! Claims a caller-generated key by a conditional create in the platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::permission::{Claimed, DispatchCheck, DispatchPermission, Dispatched, NotRunReason};
use super::table::Outcome;
use crate::ids::DaemonRun;

/// Whether the caller states that it sent the key before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The caller never sent the key before.
    First,
    /// The caller may have sent the key before.
    Repeated,
}

/// Claim as stored in the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Daemon run whose create took effect. It never changes.
    pub holder: DaemonRun,
    /// Number of the claim, unique in the holder's run.
    pub number: u64,
    /// Hash that identifies the request, so that a key is not reused for another one.
    pub fingerprint: u64,
    /// Progress of the request, written by the holder only.
    pub state: ClaimState,
}

/// Progress of a claimed request, as stored in the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The holder may dispatch the request or has dispatched it.
    Held,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request was not run and never will be.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Result of a conditional create or update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and produced this object version.
    Written(u64),
    /// The condition failed because another write took effect first.
    Conflict,
    /// The response was lost; the write may have taken effect or may still do so.
    Unknown,
    /// The write was not sent or was refused, so it has no effect.
    Unavailable,
}

/// Result of reading the claim record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// The record and its object version.
    Found(ClaimRecord, u64),
    /// No record exists.
    Absent,
    /// The platform did not respond.
    Unavailable,
}

/// Next action for the daemon.
#[derive(Debug)]
pub enum ClaimAction {
    /// Create the record if none exists.
    Create(ClaimRecord),
    /// Read the record and pass the result to `handle_read_result`.
    Read,
    /// Update the record if it still has this version.
    UpdateRecord(ClaimRecord, u64),
    /// The request may be dispatched once.
    Dispatch(DispatchPermission<Claimed>),
    /// Answer the caller without dispatching the request.
    Answer(ClaimAnswer),
    /// No action is left.
    Nothing,
}

/// Answer to the caller of a request that is not dispatched here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request was provably not run.
    NotRun(NotRunReason),
    /// Another daemon run holds the claim. The outcome is unknown unless that run reports it.
    Held(DaemonRun),
    /// The request may have run.
    Unknown,
}

/// Writes per claim: the create and the outcome.
const WRITES_PER_CLAIM: u64 = 2;
/// Maximum number of reads of a claim before the request is answered without the record.
const MAX_READ_TRIES: u32 = 3;
/// Maximum number of writes of an outcome before it stays unrecorded.
const MAX_RECORD_TRIES: u32 = 3;
/// Millionths in a whole: the budget counts in millionths of a write, and the refill divides by
/// the microseconds in a second.
const MICROS_PER_UNIT: u64 = 1_000_000;

/// Share of the platform's writes that one daemon may use for claims.
///
/// A token bucket that starts with the writes of one claim and holds at most one second of
/// writes or one claim, whichever is more. The members together therefore exceed the fleet's
/// rate by at most one claim each.
#[derive(Debug)]
pub struct WriteBudget {
    fleet_writes_per_s: u64,
    members: u64,
    tokens_micro: u64,
    updated: Duration,
}

impl WriteBudget {
    /// Creates a budget of the fleet's writes per second divided by the number of live members.
    pub fn new(now: Duration, fleet_writes_per_s: u32, members: usize) -> Self {
        Self {
            fleet_writes_per_s: fleet_writes_per_s.into(),
            members: (members as u64).max(1),
            tokens_micro: WRITES_PER_CLAIM * MICROS_PER_UNIT,
            updated: now,
        }
    }

    /// Changes the number of live members among which the rate is divided, from `now` on.
    pub fn set_members(&mut self, now: Duration, members: usize) {
        self.refill(now);
        self.members = (members as u64).max(1);
    }

    /// Takes the writes of one claim, or returns `false` if fewer tokens are left.
    pub fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        let remaining = self
            .tokens_micro
            .checked_sub(WRITES_PER_CLAIM * MICROS_PER_UNIT);
        self.tokens_micro = remaining.unwrap_or(self.tokens_micro);
        remaining.is_some()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        let rate_micro = self.fleet_writes_per_s * MICROS_PER_UNIT / self.members;
        let gained_micro =
            u128::from(rate_micro) * elapsed.as_micros() / u128::from(MICROS_PER_UNIT);
        if gained_micro == 0 {
            // `updated` stays, because frequent calls would otherwise each lose the fraction of
            // a token.
            return;
        }
        let capacity_micro = rate_micro.max(WRITES_PER_CLAIM * MICROS_PER_UNIT);
        let refilled_micro = u128::from(self.tokens_micro) + gained_micro;
        self.tokens_micro = u64::try_from(refilled_micro)
            .unwrap_or(u64::MAX)
            .min(capacity_micro);
        self.updated = now;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No write was sent.
    New,
    /// The create is in flight.
    Creating,
    /// The response to the create was lost; the record is being read back.
    ReadingBack { tries: u32 },
    /// The create found another record, which is being read.
    ReadingOther { tries: u32 },
    /// The claim is held in this version and a permission is issued.
    Held { version: u64 },
    /// The request was dispatched.
    Dispatched { version: u64 },
    /// The outcome is being recorded.
    Recording { version: u64, tries: u32 },
    /// No action is left.
    Ended,
}

/// One request with a caller-generated key at one daemon.
///
/// A claim never changes its holder: only the daemon run whose create took effect issues a
/// [`DispatchPermission`], the right to dispatch the request once, and it issues only one. "Not
/// run" is answered only if it is certain for the key: the holder never dispatched the request,
/// the record says so, the key belongs to a different request, or the caller states that it never
/// sent the key before. A repeated key that is refused in an outage or over budget is answered
/// with `Unknown`, because an earlier request with the same key may have run.
#[derive(Debug)]
pub struct ClaimMachine {
    record: ClaimRecord,
    attempt: Attempt,
    deadline: Duration,
    stage: Stage,
}

impl ClaimMachine {
    /// Creates a claim that is not yet started; `number` must be unique in this daemon run.
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

    /// Starts the claim, or refuses it past the deadline or over budget.
    pub fn start(&mut self, now: Duration, budget: &mut WriteBudget) -> ClaimAction {
        if self.stage != Stage::New {
            return ClaimAction::Nothing;
        }
        if now >= self.deadline {
            return self.answer_unclaimed(NotRunReason::DeadlinePassed);
        }
        if !budget.take(now) {
            return self.answer_unclaimed(NotRunReason::OverBudget);
        }
        self.stage = Stage::Creating;
        ClaimAction::Create(self.record)
    }

    /// Handles the result of `Create` or `UpdateRecord`.
    pub fn handle_write_result(&mut self, result: WriteResult) -> ClaimAction {
        match (self.stage, result) {
            (Stage::Creating, WriteResult::Written(version)) => self.hold(version),
            (Stage::Creating, WriteResult::Conflict) => {
                self.stage = Stage::ReadingOther { tries: 1 };
                ClaimAction::Read
            }
            (Stage::Creating, WriteResult::Unknown) => {
                self.stage = Stage::ReadingBack { tries: 1 };
                ClaimAction::Read
            }
            (Stage::Creating, WriteResult::Unavailable) => {
                self.answer_unclaimed(NotRunReason::Outage)
            }
            // Only the holder writes the record, so a conflict means that an earlier write
            // of the outcome took effect although its response was lost.
            (Stage::Recording { .. }, WriteResult::Written(_) | WriteResult::Conflict) => {
                self.stage = Stage::Ended;
                ClaimAction::Nothing
            }
            (Stage::Recording { version, tries }, _) if tries < MAX_RECORD_TRIES => {
                self.stage = Stage::Recording {
                    version,
                    tries: tries + 1,
                };
                ClaimAction::UpdateRecord(self.record, version)
            }
            (Stage::Recording { .. }, _) => {
                self.stage = Stage::Ended;
                ClaimAction::Nothing
            }
            _ => ClaimAction::Nothing,
        }
    }

    /// Handles the result of `Read`.
    pub fn handle_read_result(&mut self, now: Duration, result: ReadResult) -> ClaimAction {
        let (tries, response_lost) = match self.stage {
            Stage::ReadingBack { tries } => (tries, true),
            Stage::ReadingOther { tries } => (tries, false),
            _ => return ClaimAction::Nothing,
        };
        match result {
            ReadResult::Found(found, version) if self.is_own_claim(&found) => self.hold(version),
            ReadResult::Found(found, _) => self.answer(self.answer_from_record(&found)),
            ReadResult::Unavailable if tries < MAX_READ_TRIES && now < self.deadline => {
                let tries = tries + 1;
                self.stage = if response_lost {
                    Stage::ReadingBack { tries }
                } else {
                    Stage::ReadingOther { tries }
                };
                ClaimAction::Read
            }
            // The create may still take effect, but then no daemon dispatches the request.
            _ if response_lost => self.answer_unclaimed(NotRunReason::Outage),
            _ => self.answer(ClaimAnswer::Unknown),
        }
    }

    /// Checks the deadline and records the dispatch, immediately before the first byte is
    /// written.
    pub fn record_dispatch(
        &mut self,
        now: Duration,
        permission: DispatchPermission<Claimed>,
    ) -> DispatchCheck<Claimed> {
        let Stage::Held { version } = self.stage else {
            return DispatchCheck::NotRun(NotRunReason::Abandoned);
        };
        let decision = permission.check(now);
        match decision {
            DispatchCheck::Proceed(_) => self.stage = Stage::Dispatched { version },
            DispatchCheck::NotRun(_) => self.set_outcome(version, ClaimState::NotRun),
        }
        decision
    }

    /// Takes back the unused permission and sets the outcome "not run", which is then to be
    /// recorded.
    pub fn refuse(&mut self, permission: DispatchPermission<Claimed>) {
        drop(permission);
        if let Stage::Held { version } = self.stage {
            self.set_outcome(version, ClaimState::NotRun);
        }
    }

    /// Issues the permission again after the backend server stated that it did not run the
    /// request.
    pub fn reissue_permission(
        &mut self,
        dispatched: Dispatched<Claimed>,
    ) -> DispatchPermission<Claimed> {
        if let Stage::Dispatched { version } = self.stage {
            self.stage = Stage::Held { version };
        }
        DispatchPermission::new(dispatched.raw_id, self.deadline)
    }

    /// Sets the outcome of a dispatched request, which is then to be recorded.
    pub fn finish(&mut self, dispatched: Dispatched<Claimed>, outcome: Outcome) {
        drop(dispatched);
        if let Stage::Dispatched { version } = self.stage {
            let state = match outcome {
                Outcome::Done(status) => ClaimState::Done(status),
                Outcome::NotRun => ClaimState::NotRun,
                Outcome::Unknown => ClaimState::Unknown,
            };
            self.set_outcome(version, state);
        }
    }

    /// Returns the write that records the outcome after `finish`, `refuse` or a
    /// `record_dispatch` past the deadline.
    ///
    /// The answer to the caller does not wait for it.
    pub fn pending_record(&self) -> ClaimAction {
        match self.stage {
            Stage::Recording { version, .. } => ClaimAction::UpdateRecord(self.record, version),
            _ => ClaimAction::Nothing,
        }
    }

    fn is_own_claim(&self, found: &ClaimRecord) -> bool {
        (found.holder, found.number) == (self.record.holder, self.record.number)
    }

    fn hold(&mut self, version: u64) -> ClaimAction {
        self.stage = Stage::Held { version };
        ClaimAction::Dispatch(DispatchPermission::new(self.record.number, self.deadline))
    }

    fn set_outcome(&mut self, version: u64, state: ClaimState) {
        self.record.state = state;
        self.stage = Stage::Recording { version, tries: 1 };
    }

    fn answer_from_record(&self, found: &ClaimRecord) -> ClaimAnswer {
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

    fn answer_unclaimed(&mut self, reason: NotRunReason) -> ClaimAction {
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
