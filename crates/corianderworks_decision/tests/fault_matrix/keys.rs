//! An issued key: a caller repeats its request until it gets an answer, then asks the state.

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

/// Counts runs and answers of one request, and judges them.
#[derive(Debug, Default)]
pub struct Judge {
    pub runs: u32,
    pub done: bool,
    pub not_run: bool,
    /// Whether the step under the fault was reached at all.
    pub reached: bool,
}

impl Judge {
    pub fn cell(&self) -> Cell {
        if !self.reached {
            Cell::Empty
        } else if self.runs > 1 {
            Cell::Violation(format!("P4: run {} times", self.runs))
        } else if self.not_run && self.runs > 0 {
            Cell::Violation("P3: \"not run\" of a request that ran".into())
        } else if self.done && self.runs == 0 {
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
    late_arrivals: u32,
    judge: Judge,
}

fn run(incarnation: u64) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(1),
        incarnation: Incarnation(incarnation),
    }
}

/// Drives the faults from the first arrival on, and from the repeat of one that ran without
/// an answer to its caller; the cell shows the first unless the second is a violation.
fn drive(faults: &[Fault], step: Step, link: Link) -> Cell {
    match drive_from(faults, step, link, true) {
        violation @ Cell::Violation(_) => violation,
        repeated if step == Step::Repeat => repeated,
        _ => drive_from(faults, step, link, false),
    }
}

/// The n-th fault meets the n-th arrival.
fn drive_from(faults: &[Fault], step: Step, link: Link, repeat: bool) -> Cell {
    let mut table = KeyTable::new(run(1), 10);
    let now = Duration::from_secs(1);
    let key = (table.issue(now) + "k").parse().unwrap();
    let mut caller = Caller {
        table,
        now,
        key,
        late_arrivals: 0,
        judge: Judge::default(),
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
    caller.ask();
    for _ in 0..caller.late_arrivals {
        caller.process(Step::Arrive, Effect::None);
    }
    caller.ask();
    caller.judge.cell()
}

impl Caller {
    /// Sends the request once; returns whether the caller got a definite answer.
    fn send(&mut self, step: Step, effect: Effect) -> bool {
        let message = matches!(step, Step::Arrive | Step::Repeat);
        self.judge.reached |= message;
        if message && matches!(effect, Effect::RequestLost | Effect::Late) {
            self.late_arrivals += 1;
            return false;
        }
        if message && effect == Effect::Gone {
            self.restart();
        }
        if message && effect == Effect::Repeated {
            self.process(step, effect);
        }
        let before = (self.judge.done, self.judge.not_run);
        self.process(step, effect);
        if message && effect == Effect::ReplyLost {
            // The caller did not see this answer.
            (self.judge.done, self.judge.not_run) = before;
        }
        self.judge.done || self.judge.not_run
    }

    fn process(&mut self, step: Step, effect: Effect) {
        let deadline = self.now + Duration::from_secs(10);
        match self.table.begin(self.now, &self.key, 1, deadline) {
            BeginResult::Dispatch(permission) => self.dispatch(permission, step, effect),
            BeginResult::Done(_) => self.judge.done = true,
            BeginResult::NotRun(_) | BeginResult::TableFull => self.judge.not_run = true,
            BeginResult::InProgress | BeginResult::Unknown | BeginResult::NotRunConflict => {}
        }
    }

    fn dispatch(&mut self, permission: Permission<Issued>, step: Step, effect: Effect) {
        self.judge.reached |= step == Step::HandOver;
        if effect == Effect::Pause && step != Step::Respond {
            self.now += Duration::from_secs(10);
        }
        if effect == Effect::Gone && step == Step::HandOver {
            return self.restart();
        }
        let handed = match self.table.record_dispatch(self.now, permission) {
            DispatchCheck::Proceed(handed) => handed,
            DispatchCheck::NotRun(_) => {
                self.judge.not_run = true;
                return;
            }
        };
        self.judge.reached |= step == Step::Respond;
        if !matches!(step, Step::HandOver | Step::Respond) {
            return self.finish(handed, Outcome::Done(200));
        }
        match effect {
            Effect::Shed => {
                let permission = self.table.reissue_permission(handed);
                return self.dispatch(permission, step, Effect::None);
            }
            Effect::RequestLost if step == Step::HandOver => {
                return self.table.finish(self.now, handed, Outcome::Unknown);
            }
            _ => self.judge.runs += 1,
        }
        match effect {
            Effect::Gone => self.restart(),
            Effect::RequestLost | Effect::ReplyLost => {
                self.table.finish(self.now, handed, Outcome::Unknown);
            }
            // The answer comes after the caller stopped waiting.
            Effect::Late => {
                self.now += Duration::from_secs(20);
                self.table.finish(self.now, handed, Outcome::Done(200));
            }
            Effect::Error => self.answered(handed, 500),
            _ => self.answered(handed, 200),
        }
    }

    fn finish(&mut self, handed: Dispatched<Issued>, outcome: Outcome) {
        self.judge.runs += 1;
        self.judge.done = true;
        self.table.finish(self.now, handed, outcome);
    }

    fn answered(&mut self, handed: Dispatched<Issued>, status: u16) {
        self.judge.done = true;
        self.table.finish(self.now, handed, Outcome::Done(status));
    }

    fn ask(&mut self) {
        match self.table.state(self.now, &self.key) {
            KeyState::Done(_) => self.judge.done = true,
            KeyState::NotRun => self.judge.not_run = true,
            KeyState::Running | KeyState::Unknown => {}
        }
    }

    fn restart(&mut self) {
        self.table = KeyTable::new(run(self.key.run.incarnation.0 + 1), 10);
        // The new run issues prefixes too, so the old key is not refused as never issued.
        self.table.issue(self.now);
    }
}
