//! Requests with an issued key: a caller repeats its request until it gets an answer, then queries
//! the state of the key.

use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};

use crate::{Cell, Effect, Fault, Link};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Arrive,
    HandOver,
    Respond,
    Repeat,
}

pub fn arrive(faults: &[Fault]) -> Cell {
    drive(faults, Step::Arrive, Link::Daemons)
}

pub fn hand_over(faults: &[Fault]) -> Cell {
    drive(faults, Step::HandOver, Link::Backend)
}

pub fn respond(faults: &[Fault]) -> Cell {
    drive(faults, Step::Respond, Link::Backend)
}

pub fn repeat(faults: &[Fault]) -> Cell {
    drive(faults, Step::Repeat, Link::Caller)
}

/// Records executions and answers of one request and checks the invariants on them.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    pub executions: u32,
    pub done: bool,
    pub not_run: bool,
    /// Whether the step under test was reached, without which the cell proves nothing.
    pub step_reached: bool,
}

impl InvariantChecker {
    pub fn cell(&self) -> Cell {
        if !self.step_reached {
            Cell::NotReached
        } else if self.executions > 1 {
            Cell::Violation(format!("P4: run {} times", self.executions))
        } else if self.not_run && self.executions > 0 {
            Cell::Violation("P3: \"not run\" of a request that ran".into())
        } else if self.done && self.executions == 0 {
            Cell::Violation("P2: a response without a run".into())
        } else if self.done {
            Cell::Done
        } else if self.not_run {
            Cell::NotRun
        } else {
            Cell::Unknown
        }
    }
}

struct Caller {
    table: KeyTable,
    now: Duration,
    key: IssuedKey,
    delayed_requests: u32,
    checker: InvariantChecker,
}

fn run(incarnation: u64) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(1),
        incarnation: Incarnation(incarnation),
    }
}

/// Injects the faults from the first arrival on, and separately from the repeat of a request that
/// ran but whose caller got no answer. The cell shows the result of the former unless the latter
/// is a violation. The `Repeat` step has only the latter.
fn drive(faults: &[Fault], step: Step, link: Link) -> Cell {
    match drive_from(faults, step, link, true) {
        violation @ Cell::Violation(_) => violation,
        repeated if step == Step::Repeat => repeated,
        _ => drive_from(faults, step, link, false),
    }
}

/// Runs one sequence of arrivals in which the n-th fault affects the n-th arrival, not counting
/// the initial request if `repeat` is set.
fn drive_from(faults: &[Fault], step: Step, link: Link, repeat: bool) -> Cell {
    let mut table = KeyTable::new(run(1), 10);
    let now = Duration::from_secs(1);
    let key = (table.issue(now) + "k").parse().unwrap();
    let mut caller = Caller {
        table,
        now,
        key,
        delayed_requests: 0,
        checker: InvariantChecker::default(),
    };
    let mut effects = Vec::new();
    if repeat {
        effects.push((Step::Respond, Effect::Late));
    }
    for fault in faults {
        match fault.effect(link) {
            Ok(effect) => effects.push((step, effect)),
            Err(reason) => return Cell::NotApplicable(reason),
        }
    }
    effects.resize(4, (step, Effect::None));
    for (step, effect) in effects {
        if caller.send(step, effect) {
            break;
        }
    }
    caller.query_state();
    for _ in 0..caller.delayed_requests {
        caller.process(Step::Arrive, Effect::None);
    }
    caller.query_state();
    caller.checker.cell()
}

impl Caller {
    /// Sends the request once and returns whether the caller got a definite answer.
    fn send(&mut self, step: Step, effect: Effect) -> bool {
        let is_message_step = matches!(step, Step::Arrive | Step::Repeat);
        self.checker.step_reached |= is_message_step;
        if is_message_step && matches!(effect, Effect::RequestLost | Effect::Late) {
            self.delayed_requests += 1;
            return false;
        }
        if is_message_step && effect == Effect::ProcessLost {
            self.restart_daemon();
        }
        if is_message_step && effect == Effect::Repeated {
            self.process(step, effect);
        }
        let before = (self.checker.done, self.checker.not_run);
        self.process(step, effect);
        if is_message_step && effect == Effect::ReplyLost {
            // The answer was lost on the way to the caller.
            (self.checker.done, self.checker.not_run) = before;
        }
        self.checker.done || self.checker.not_run
    }

    fn process(&mut self, step: Step, effect: Effect) {
        let deadline = self.now + Duration::from_secs(10);
        match self.table.begin(self.now, &self.key, 1, deadline) {
            BeginResult::Dispatch(permission) => self.dispatch(permission, step, effect),
            BeginResult::Done(_) => self.checker.done = true,
            BeginResult::NotRun(_) | BeginResult::TableFull => self.checker.not_run = true,
            BeginResult::InProgress | BeginResult::Unknown | BeginResult::NotRunConflict => {}
        }
    }

    fn dispatch(&mut self, permission: DispatchPermission<Issued>, step: Step, effect: Effect) {
        self.checker.step_reached |= step == Step::HandOver;
        if effect == Effect::Pause && step != Step::Respond {
            self.now += Duration::from_secs(10);
        }
        if effect == Effect::ProcessLost && step == Step::HandOver {
            return self.restart_daemon();
        }
        let dispatched = match self.table.record_dispatch(self.now, permission) {
            DispatchCheck::Proceed(dispatched) => dispatched,
            DispatchCheck::NotRun(_) => {
                self.checker.not_run = true;
                return;
            }
        };
        self.checker.step_reached |= step == Step::Respond;
        if !matches!(step, Step::HandOver | Step::Respond) {
            return self.finish(dispatched, Outcome::Done(200));
        }
        match effect {
            Effect::Shed => {
                let permission = self.table.reissue_permission(dispatched);
                return self.dispatch(permission, step, Effect::None);
            }
            Effect::RequestLost if step == Step::HandOver => {
                return self.table.finish(self.now, dispatched, Outcome::Unknown);
            }
            _ => self.checker.executions += 1,
        }
        match effect {
            Effect::ProcessLost => self.restart_daemon(),
            Effect::RequestLost | Effect::ReplyLost => {
                self.table.finish(self.now, dispatched, Outcome::Unknown);
            }
            // The response arrives after the caller stopped waiting.
            Effect::Late => {
                self.now += Duration::from_secs(20);
                self.table.finish(self.now, dispatched, Outcome::Done(200));
            }
            Effect::Error => self.complete_with_response(dispatched, 500),
            _ => self.complete_with_response(dispatched, 200),
        }
    }

    fn finish(&mut self, dispatched: Dispatched<Issued>, outcome: Outcome) {
        self.checker.executions += 1;
        self.checker.done = true;
        self.table.finish(self.now, dispatched, outcome);
    }

    fn complete_with_response(&mut self, dispatched: Dispatched<Issued>, status: u16) {
        self.checker.done = true;
        self.table
            .finish(self.now, dispatched, Outcome::Done(status));
    }

    fn query_state(&mut self) {
        match self.table.state(self.now, &self.key) {
            KeyState::Done(_) => self.checker.done = true,
            KeyState::NotRun => self.checker.not_run = true,
            KeyState::Running | KeyState::Unknown => {}
        }
    }

    fn restart_daemon(&mut self) {
        self.table = KeyTable::new(run(self.key.run.incarnation.0 + 1), 10);
        // The new run issues a prefix too, so that the old key isn't rejected as never issued.
        self.table.issue(self.now);
    }
}
