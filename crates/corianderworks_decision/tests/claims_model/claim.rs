//! Two entry daemons that claim the same caller-generated key in the platform.

use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};

use super::{Model, Observed, search};

const DEADLINE: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The caller sends its request to this entry; `true` means with an exhausted budget.
    Send(usize, bool),
    /// The platform executes the pending call of this entry.
    Execute(usize),
    /// The platform executes the pending write, but the response is lost.
    LoseResponse(usize),
    /// The response to the pending create is lost, and the create takes effect later.
    DelayWrite(usize),
    /// The pending call fails without effect.
    FailCall(usize),
    /// The oldest delayed create takes effect.
    ApplyDelayed,
    RecordDispatch(usize),
    Refuse(usize),
    Finish(usize, Outcome),
    /// This entry crashes and restarts with a new incarnation.
    Crash(usize),
    /// Time advances past the deadline of every request.
    PassDeadline,
}

#[derive(Debug, Clone, Copy)]
enum Call {
    Create(ClaimRecord),
    Read,
    Record(ClaimRecord, u64),
}

#[derive(Debug)]
struct Entry {
    machine: ClaimMachine,
    /// Number of this arrival, counted by the caller over both entries.
    arrival: u32,
    call: Option<Call>,
    permission: Option<DispatchPermission<Claimed>>,
    dispatched: Option<Dispatched<Claimed>>,
}

#[derive(Debug)]
struct ClaimModel {
    entries: [Option<Entry>; 2],
    record: Option<(ClaimRecord, u64)>,
    delayed_creates: Vec<ClaimRecord>,
    sent: u32,
    crashes: u64,
    faults: u32,
    now: Duration,
    observed: Observed,
}

impl ClaimModel {
    fn create(&mut self, record: ClaimRecord) -> WriteResult {
        if self.record.is_some() {
            return WriteResult::Conflict;
        }
        self.record = Some((record, 1));
        WriteResult::Written(1)
    }

    fn execute(&mut self, call: Call) -> WriteResult {
        match (call, self.record) {
            (Call::Create(record), _) => self.create(record),
            (Call::Record(record, version), Some((_, current_version)))
                if version == current_version =>
            {
                self.record = Some((record, version + 1));
                WriteResult::Written(version + 1)
            }
            _ => WriteResult::Conflict,
        }
    }

    fn apply_action(&mut self, index: usize, action: ClaimAction) {
        let sent = self.sent;
        let entry = self.entries[index].as_mut().unwrap();
        entry.call = match action {
            ClaimAction::Create(record) => Some(Call::Create(record)),
            ClaimAction::Read => Some(Call::Read),
            ClaimAction::UpdateRecord(record, version) => Some(Call::Record(record, version)),
            _ => None,
        };
        match action {
            ClaimAction::Dispatch(permission) => {
                assert!(entry.permission.replace(permission).is_none());
            }
            ClaimAction::Answer(ClaimAnswer::NotRun(_)) if entry.arrival == sent => {
                self.observe_not_run()
            }
            ClaimAction::Answer(ClaimAnswer::Done(_)) => {
                self.observed.done_without_run |= self.observed.runs == 0;
            }
            _ => {}
        }
    }

    /// Records an answer "not run". The caller waits for its last arrival only, so the answer
    /// holds for every arrival sent before it.
    fn observe_not_run(&mut self) {
        self.observed.run_after_not_run |= self.observed.runs > 0;
        self.observed.not_run.push(self.sent);
    }

    fn deliver_write_result(&mut self, index: usize, result: WriteResult) {
        let entry = self.entries[index].as_mut().unwrap();
        let action = entry.machine.handle_write_result(result);
        self.apply_action(index, action);
    }

    fn complete_call(&mut self, index: usize, event: Event) {
        let call = self.entries[index].as_mut().unwrap().call.take().unwrap();
        let result = match (call, event) {
            (Call::Read, _) => {
                let found = match (self.record, event) {
                    (_, Event::FailCall(_)) => ReadResult::Unavailable,
                    (Some((record, version)), _) => ReadResult::Found(record, version),
                    (None, _) => ReadResult::Absent,
                };
                let entry = self.entries[index].as_mut().unwrap();
                let action = entry.machine.handle_read_result(self.now, found);
                return self.apply_action(index, action);
            }
            (_, Event::Execute(_)) => self.execute(call),
            (_, Event::LoseResponse(_)) => {
                self.execute(call);
                WriteResult::Unknown
            }
            (Call::Create(record), Event::DelayWrite(_)) => {
                self.delayed_creates.push(record);
                WriteResult::Unknown
            }
            (_, Event::FailCall(_)) => WriteResult::Unavailable,
            _ => WriteResult::Unknown,
        };
        self.deliver_write_result(index, result);
    }

    fn send(&mut self, index: usize, over_budget: bool) {
        self.sent += 1;
        let holder = DaemonRun {
            daemon: DaemonKey(index as u64),
            incarnation: Incarnation(self.crashes),
        };
        let attempt = if self.sent == 1 {
            Attempt::First
        } else {
            Attempt::Repeated
        };
        let number = self.sent.into();
        let mut budget = WriteBudget::new(self.now, 1, 1);
        if over_budget {
            budget.take(self.now);
        }
        let deadline = self.now + DEADLINE;
        let mut machine = ClaimMachine::new(holder, number, 1, attempt, deadline);
        let action = machine.start(self.now, &mut budget);
        self.entries[index] = Some(Entry {
            machine,
            arrival: self.sent,
            call: None,
            permission: None,
            dispatched: None,
        });
        self.apply_action(index, action);
    }

    fn dispatch(&mut self, index: usize) {
        let entry = self.entries[index].as_mut().unwrap();
        let permission = entry.permission.take().unwrap();
        match entry.machine.record_dispatch(self.now, permission) {
            DispatchCheck::Proceed(dispatch_proof) => {
                entry.dispatched = Some(dispatch_proof);
                self.observed.record_dispatch(entry.arrival);
            }
            DispatchCheck::NotRun(_) if entry.arrival == self.sent => self.observe_not_run(),
            DispatchCheck::NotRun(_) => {}
        }
        self.record_outcome(index);
    }

    fn record_outcome(&mut self, index: usize) {
        let action = self.entries[index]
            .as_ref()
            .unwrap()
            .machine
            .pending_record();
        self.apply_action(index, action);
    }
}

impl Model for ClaimModel {
    type Event = Event;

    fn new() -> Self {
        Self {
            entries: [None, None],
            record: None,
            delayed_creates: Vec::new(),
            sent: 0,
            crashes: 0,
            faults: 0,
            now: Duration::from_secs(1),
            observed: Observed::default(),
        }
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let may_fail = self.faults < 3;
        for (index, entry) in self.entries.iter().enumerate() {
            let Some(entry) = entry else {
                if self.sent < 3 {
                    events.extend([Event::Send(index, false), Event::Send(index, true)]);
                }
                continue;
            };
            if let Some(call) = entry.call {
                events.push(Event::Execute(index));
                if may_fail {
                    events.extend([Event::FailCall(index), Event::LoseResponse(index)]);
                }
                if may_fail && matches!(call, Call::Create(_)) {
                    events.push(Event::DelayWrite(index));
                }
            }
            if entry.permission.is_some() {
                events.extend([Event::RecordDispatch(index), Event::Refuse(index)]);
            }
            if entry.dispatched.is_some() {
                let outcomes = [Outcome::Done(200), Outcome::Unknown, Outcome::NotRun];
                events.extend(outcomes.map(|outcome| Event::Finish(index, outcome)));
            }
            if self.crashes < 2 {
                events.push(Event::Crash(index));
            }
        }
        if !self.delayed_creates.is_empty() {
            events.push(Event::ApplyDelayed);
        }
        if self.now < DEADLINE {
            events.push(Event::PassDeadline);
        }
        events
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Send(index, over_budget) => self.send(index, over_budget),
            Event::Execute(index) => self.complete_call(index, event),
            Event::LoseResponse(index) | Event::DelayWrite(index) | Event::FailCall(index) => {
                self.faults += 1;
                self.complete_call(index, event);
            }
            Event::ApplyDelayed => {
                let record = self.delayed_creates.remove(0);
                self.create(record);
            }
            Event::RecordDispatch(index) => self.dispatch(index),
            Event::Refuse(index) => {
                let entry = self.entries[index].as_mut().unwrap();
                let permission = entry.permission.take().unwrap();
                entry.machine.refuse(permission);
                if entry.arrival == self.sent {
                    self.observe_not_run();
                }
                self.record_outcome(index);
            }
            Event::Finish(index, outcome) => {
                let entry = self.entries[index].as_mut().unwrap();
                let dispatch_proof = entry.dispatched.take().unwrap();
                entry.machine.finish(dispatch_proof, outcome);
                if outcome == Outcome::NotRun {
                    self.observed.runs -= 1;
                }
                self.record_outcome(index);
            }
            Event::Crash(index) => {
                self.crashes += 1;
                self.entries[index] = None;
            }
            Event::PassDeadline => self.now += DEADLINE,
        }
    }

    fn state_text(&self) -> String {
        format!("{self:?}")
    }

    fn violation(&self) -> Option<String> {
        self.observed.violation()
    }
}

/// Guards against an interleaving in which two entries run the same caller-generated key, or
/// one answers "not run" for a request that runs.
#[test]
fn every_interleaving_of_a_claim() {
    let states = search::<ClaimModel>(9);
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were reached");
}
