//! Requests with a caller-generated key that arrive alternately at two entry daemons, which share
//! the store.

use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};

use crate::keys::InvariantChecker;
use crate::{Cell, Effect, Fault, Link};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Create,
    ReadBack,
    HandOver,
    Record,
}

pub fn create(faults: &[Fault]) -> Cell {
    drive(faults, Step::Create, Link::Platform)
}

pub fn read_back(faults: &[Fault]) -> Cell {
    drive(faults, Step::ReadBack, Link::Platform)
}

pub fn hand_over(faults: &[Fault]) -> Cell {
    drive(faults, Step::HandOver, Link::Backend)
}

pub fn record(faults: &[Fault]) -> Cell {
    drive(faults, Step::Record, Link::Platform)
}

#[derive(Debug, Default)]
struct Store {
    record: Option<(ClaimRecord, u64)>,
    delayed_writes: Vec<(ClaimRecord, u64)>,
}

impl Store {
    /// Writes the record if the stored one has `version`; 0 means that none must exist.
    fn write(&mut self, record: ClaimRecord, version: u64, effect: Effect) -> WriteResult {
        match effect {
            Effect::Unavailable => return WriteResult::Unavailable,
            Effect::RequestLost => return WriteResult::Unknown,
            Effect::Late => {
                self.delayed_writes.push((record, version));
                return WriteResult::Unknown;
            }
            _ => {}
        }
        let matches = self.record.map_or(0, |(_, known)| known) == version;
        if matches {
            self.record = Some((record, version + 1));
        }
        match (effect, matches) {
            (Effect::ReplyLost, _) => WriteResult::Unknown,
            (_, true) => WriteResult::Written(version + 1),
            (_, false) => WriteResult::Conflict,
        }
    }

    fn read(&self, effect: Effect) -> ReadResult {
        match (effect, self.record) {
            (Effect::None | Effect::Repeated | Effect::Pause, Some((record, version))) => {
                ReadResult::Found(record, version)
            }
            (Effect::None | Effect::Repeated | Effect::Pause, None) => ReadResult::Absent,
            _ => ReadResult::Unavailable,
        }
    }
}

/// Injects the faults from the first arrival on, and separately from the repeat of a request that
/// ran but whose caller got no answer. The cell shows the result of the former unless the latter
/// is a violation.
fn drive(faults: &[Fault], step: Step, link: Link) -> Cell {
    match drive_from(faults, step, link, true) {
        violation @ Cell::Violation(_) => violation,
        _ => drive_from(faults, step, link, false),
    }
}

/// Runs one sequence of arrivals in which the n-th fault affects the n-th arrival, not counting
/// the initial request if `repeat` is set.
fn drive_from(faults: &[Fault], step: Step, link: Link, repeat: bool) -> Cell {
    let mut effects = Vec::new();
    for fault in faults {
        match fault.effect(link) {
            Ok(effect) => effects.push(effect),
            Err(reason) => return Cell::NotApplicable(reason),
        }
    }
    effects.resize(4, Effect::None);
    let (mut store, mut checker) = (Store::default(), InvariantChecker::default());
    if repeat {
        send(&mut store, &mut checker, 0, step, Effect::None);
        checker.done = false;
    }
    for (index, effect) in effects.into_iter().enumerate() {
        let index = index as u64 + u64::from(repeat);
        if send(&mut store, &mut checker, index, step, effect) {
            break;
        }
        for (record, version) in std::mem::take(&mut store.delayed_writes) {
            store.write(record, version, Effect::None);
        }
    }
    checker.cell()
}

/// Sends the request once and returns whether the caller got a definite answer.
fn send(
    store: &mut Store,
    checker: &mut InvariantChecker,
    index: u64,
    step: Step,
    effect: Effect,
) -> bool {
    let effect_at = |at_step| {
        if at_step == step {
            effect
        } else {
            Effect::None
        }
    };
    let mut now = Duration::from_secs(index * 20);
    let deadline = now + Duration::from_secs(10);
    let holder = DaemonRun {
        daemon: DaemonKey(index % 2),
        incarnation: Incarnation(1),
    };
    let attempt = if index == 0 {
        Attempt::First
    } else {
        Attempt::Repeated
    };
    let mut machine = ClaimMachine::new(holder, index, 1, attempt, deadline);
    let mut action = machine.start(now, &mut WriteBudget::new(now, 100, 1));
    loop {
        checker.step_reached |= match action {
            ClaimAction::Create(_) => step == Step::Create,
            ClaimAction::Read => step == Step::ReadBack,
            ClaimAction::Dispatch(_) => step == Step::HandOver,
            ClaimAction::UpdateRecord(..) => step == Step::Record,
            _ => false,
        };
        action = match action {
            ClaimAction::Create(record) => {
                // The machine reads back only after a create whose response was lost.
                let response_lost = step == Step::ReadBack && index == 0;
                let create = if response_lost {
                    Effect::ReplyLost
                } else {
                    effect_at(Step::Create)
                };
                let result = store.write(record, 0, create);
                if create == Effect::Repeated {
                    store.write(record, 0, Effect::None);
                }
                match create {
                    Effect::ProcessLost => return false,
                    Effect::Pause => now = deadline,
                    _ => {}
                }
                machine.handle_write_result(result)
            }
            ClaimAction::Read => {
                match effect_at(Step::ReadBack) {
                    Effect::ProcessLost => return false,
                    Effect::Pause => now = deadline,
                    _ => {}
                }
                machine.handle_read_result(now, store.read(effect_at(Step::ReadBack)))
            }
            ClaimAction::Dispatch(permission) => {
                match effect_at(Step::HandOver) {
                    Effect::ProcessLost => return false,
                    Effect::Pause => now = deadline,
                    _ => {}
                }
                match machine.record_dispatch(now, permission) {
                    DispatchCheck::NotRun(_) => checker.not_run = true,
                    DispatchCheck::Proceed(dispatched) => {
                        run(&mut machine, dispatched, checker, effect_at(Step::HandOver))
                    }
                }
                machine.pending_record()
            }
            ClaimAction::UpdateRecord(record, version) => match effect_at(Step::Record) {
                // The holder is lost before it records the outcome; the caller has its answer.
                Effect::ProcessLost => return checker.done || checker.not_run,
                effect => machine.handle_write_result(store.write(record, version, effect)),
            },
            ClaimAction::Answer(answer) => {
                match answer {
                    ClaimAnswer::Done(_) => checker.done = true,
                    ClaimAnswer::NotRun(_) => checker.not_run = true,
                    ClaimAnswer::Held(_) | ClaimAnswer::Unknown => {}
                }
                ClaimAction::Nothing
            }
            ClaimAction::Nothing => return checker.done || checker.not_run,
        };
    }
}

fn run(
    machine: &mut ClaimMachine,
    dispatched: Dispatched<Claimed>,
    checker: &mut InvariantChecker,
    effect: Effect,
) {
    let outcome = match effect {
        Effect::Shed => Outcome::NotRun,
        Effect::RequestLost | Effect::ReplyLost | Effect::Late => Outcome::Unknown,
        Effect::Error => Outcome::Done(500),
        _ => Outcome::Done(200),
    };
    checker.executions += u32::from(!matches!(effect, Effect::Shed | Effect::RequestLost));
    checker.done |= matches!(outcome, Outcome::Done(_));
    checker.not_run |= outcome == Outcome::NotRun;
    machine.finish(dispatched, outcome);
}
