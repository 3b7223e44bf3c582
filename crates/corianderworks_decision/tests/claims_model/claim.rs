//! Two entries that claim the same caller-generated key in the platform's store.

use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};

use super::{Model, Seen, search};

const DEADLINE: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The caller sends its request to this entry, with the budget used up or not.
    Send(usize, bool),
    /// The store executes the pending call of this entry.
    Store(usize),
    /// The store executes the pending write, but the response is lost.
    Lost(usize),
    /// The pending write reports a lost response and takes effect later.
    Delayed(usize),
    /// The pending call fails without an effect.
    Down(usize),
    /// A delayed write takes effect.
    Late,
    Hand(usize),
    Refuse(usize),
    Finish(usize, Outcome),
    /// This entry crashes; its daemon restarts.
    Crash(usize),
    /// Every deadline passes.
    Pause,
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
    /// Number of the arrival at the fleet, counted by the caller.
    arrival: u32,
    call: Option<Call>,
    permission: Option<Permission<Claimed>>,
    handed: Option<Dispatched<Claimed>>,
}

#[derive(Debug)]
struct Claims {
    entries: [Option<Entry>; 2],
    record: Option<(ClaimRecord, u64)>,
    delayed: Vec<ClaimRecord>,
    sent: u32,
    crashes: u64,
    faults: u32,
    now: Duration,
    seen: Seen,
}

impl Claims {
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
            (Call::Record(record, version), Some((_, known))) if version == known => {
                self.record = Some((record, version + 1));
                WriteResult::Written(version + 1)
            }
            _ => WriteResult::Conflict,
        }
    }

    fn act(&mut self, index: usize, action: ClaimAction) {
        let sent = self.sent;
        let entry = self.entries[index].as_mut().unwrap();
        entry.call = match action {
            ClaimAction::Create(record) => Some(Call::Create(record)),
            ClaimAction::Read => Some(Call::Read),
            ClaimAction::Record(record, version) => Some(Call::Record(record, version)),
            _ => None,
        };
        match action {
            ClaimAction::Dispatch(permission) => {
                assert!(entry.permission.replace(permission).is_none());
            }
            ClaimAction::Answer(ClaimAnswer::NotRun(_)) if entry.arrival == sent => self.not_run(),
            ClaimAction::Answer(ClaimAnswer::Done(_)) => {
                self.seen.done_without_run |= self.seen.runs == 0;
            }
            _ => {}
        }
    }

    /// The caller waits for the answer to its last arrival only; "not run" holds for every
    /// arrival up to then.
    fn not_run(&mut self) {
        self.seen.run_after_not_run |= self.seen.runs > 0;
        self.seen.not_run.push(self.sent);
    }

    fn write_result(&mut self, index: usize, result: WriteResult) {
        let entry = self.entries[index].as_mut().unwrap();
        let action = entry.machine.handle_write_result(result);
        self.act(index, action);
    }

    fn reply(&mut self, index: usize, event: Event) {
        let call = self.entries[index].as_mut().unwrap().call.take().unwrap();
        let result = match (call, event) {
            (Call::Read, _) => {
                let found = match (self.record, event) {
                    (_, Event::Down(_)) => ReadResult::Unavailable,
                    (Some((record, version)), _) => ReadResult::Found(record, version),
                    (None, _) => ReadResult::Absent,
                };
                let entry = self.entries[index].as_mut().unwrap();
                let action = entry.machine.handle_read_result(self.now, found);
                return self.act(index, action);
            }
            (_, Event::Store(_)) => self.execute(call),
            (_, Event::Lost(_)) => {
                self.execute(call);
                WriteResult::Unknown
            }
            (Call::Create(record), Event::Delayed(_)) => {
                self.delayed.push(record);
                WriteResult::Unknown
            }
            (_, Event::Down(_)) => WriteResult::Unavailable,
            _ => WriteResult::Unknown,
        };
        self.write_result(index, result);
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
            handed: None,
        });
        self.act(index, action);
    }

    fn hand(&mut self, index: usize) {
        let entry = self.entries[index].as_mut().unwrap();
        let permission = entry.permission.take().unwrap();
        match entry.machine.record_dispatch(self.now, permission) {
            DispatchCheck::Proceed(proof) => {
                entry.handed = Some(proof);
                self.seen.record_dispatch(entry.arrival);
            }
            DispatchCheck::NotRun(_) if entry.arrival == self.sent => self.not_run(),
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
        self.act(index, action);
    }
}

impl Model for Claims {
    type Event = Event;

    fn new() -> Self {
        Self {
            entries: [None, None],
            record: None,
            delayed: Vec::new(),
            sent: 0,
            crashes: 0,
            faults: 0,
            now: Duration::from_secs(1),
            seen: Seen::default(),
        }
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let faulty = self.faults < 3;
        for (index, entry) in self.entries.iter().enumerate() {
            let Some(entry) = entry else {
                if self.sent < 3 {
                    events.extend([Event::Send(index, false), Event::Send(index, true)]);
                }
                continue;
            };
            if let Some(call) = entry.call {
                events.push(Event::Store(index));
                if faulty {
                    events.extend([Event::Down(index), Event::Lost(index)]);
                }
                if faulty && matches!(call, Call::Create(_)) {
                    events.push(Event::Delayed(index));
                }
            }
            if entry.permission.is_some() {
                events.extend([Event::Hand(index), Event::Refuse(index)]);
            }
            if entry.handed.is_some() {
                let outcomes = [Outcome::Done(200), Outcome::Unknown, Outcome::NotRun];
                events.extend(outcomes.map(|outcome| Event::Finish(index, outcome)));
            }
            if self.crashes < 2 {
                events.push(Event::Crash(index));
            }
        }
        if !self.delayed.is_empty() {
            events.push(Event::Late);
        }
        if self.now < DEADLINE {
            events.push(Event::Pause);
        }
        events
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Send(index, over_budget) => self.send(index, over_budget),
            Event::Store(index) => self.reply(index, event),
            Event::Lost(index) | Event::Delayed(index) | Event::Down(index) => {
                self.faults += 1;
                self.reply(index, event);
            }
            Event::Late => {
                let record = self.delayed.remove(0);
                self.create(record);
            }
            Event::Hand(index) => self.hand(index),
            Event::Refuse(index) => {
                let entry = self.entries[index].as_mut().unwrap();
                let permission = entry.permission.take().unwrap();
                entry.machine.refuse(permission);
                if entry.arrival == self.sent {
                    self.not_run();
                }
                self.record_outcome(index);
            }
            Event::Finish(index, outcome) => {
                let entry = self.entries[index].as_mut().unwrap();
                let proof = entry.handed.take().unwrap();
                entry.machine.finish(proof, outcome);
                if outcome == Outcome::NotRun {
                    self.seen.runs -= 1;
                }
                self.record_outcome(index);
            }
            Event::Crash(index) => {
                self.crashes += 1;
                self.entries[index] = None;
            }
            Event::Pause => self.now += DEADLINE,
        }
    }

    fn digest(&self) -> String {
        format!("{self:?}")
    }

    fn violation(&self) -> Option<String> {
        self.seen.violation()
    }
}

/// Guards against an interleaving in which two entries run the same caller-generated key, or
/// one says "not run" of a request that runs.
#[test]
fn every_interleaving_of_a_claim() {
    let states = search::<Claims>(9);
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were reached");
}
