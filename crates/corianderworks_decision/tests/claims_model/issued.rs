//! Two entry daemons and the issuing daemon, whose table holds one key in the search. One caller
//! repeats its request.

use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::{Model, Observed, search};

const DEADLINE: Duration = Duration::from_secs(10);
const WALK_KEYS: usize = 3;

fn run(incarnation: u64) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(1),
        incarnation: Incarnation(incarnation),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// This entry relays the key's request; the message stays in flight.
    Send(u8),
    /// A message of this entry arrives; `true` means that it stays in flight and arrives again.
    Arrive(u8, bool),
    RecordDispatch,
    Refuse,
    /// The task of the request is cancelled, which drops its permission.
    Cancel,
    /// The backend server states that it did not run the request, and the permission is reissued.
    Shed,
    Finish(Outcome),
    QueryState,
    /// Another caller's key takes an entry of the table and is refused.
    OtherKey,
    Evict,
    Pause(u64),
    Restart,
}

const EVENTS: [Event; 18] = [
    Event::Send(0),
    Event::Send(1),
    Event::Arrive(0, false),
    Event::Arrive(1, false),
    Event::Arrive(0, true),
    Event::RecordDispatch,
    Event::Refuse,
    Event::Cancel,
    Event::Shed,
    Event::Finish(Outcome::Done(200)),
    Event::Finish(Outcome::Unknown),
    Event::Finish(Outcome::NotRun),
    Event::QueryState,
    Event::OtherKey,
    Event::Evict,
    Event::Pause(10),
    Event::Pause(300),
    Event::Restart,
];

struct KeyTableModel {
    table: KeyTable,
    now: Duration,
    incarnation: u64,
    keys: Vec<IssuedKey>,
    in_flight: [u8; 2],
    event_counts: [u8; 12],
    permissions: Vec<(usize, DispatchPermission<Issued>)>,
    dispatched: Vec<(usize, Dispatched<Issued>)>,
    observed: Vec<Observed>,
}

impl KeyTableModel {
    fn with_keys(keys: usize, capacity: usize) -> Self {
        let mut table = KeyTable::new(run(1), capacity);
        let now = Duration::from_secs(1);
        let keys: Vec<IssuedKey> = (0..keys)
            .map(|_| (table.issue(now) + "k").parse().unwrap())
            .collect();
        Self {
            table,
            now,
            incarnation: 1,
            in_flight: [0; 2],
            event_counts: [0; 12],
            permissions: Vec::new(),
            dispatched: Vec::new(),
            observed: vec![Observed::default(); keys.len()],
            keys,
        }
    }

    fn arrive(&mut self, key: usize) {
        let begin = self
            .table
            .begin(self.now, &self.keys[key], 1, self.now + DEADLINE);
        match begin {
            BeginResult::Dispatch(permission) => self.permissions.push((key, permission)),
            BeginResult::Done(_) => {
                self.observed[key].done_without_run |= self.observed[key].runs == 0
            }
            BeginResult::NotRun(_) | BeginResult::TableFull => self.observe_not_run(key),
            BeginResult::InProgress | BeginResult::Unknown => {}
            BeginResult::NotRunConflict => panic!("the request is always the same"),
        }
    }

    /// Records an answer "not run", which holds for every later arrival of the key as well.
    fn observe_not_run(&mut self, key: usize) {
        let observed = &mut self.observed[key];
        observed.run_after_not_run |= observed.runs > 0;
        observed.not_run.push(u32::MAX);
        observed.not_run.truncate(1);
    }

    fn dispatch(&mut self, index: usize) {
        let (key, permission) = self.permissions.remove(index);
        match self.table.record_dispatch(self.now, permission) {
            DispatchCheck::Proceed(dispatch_proof) => {
                self.observed[key].record_dispatch(1);
                self.dispatched.push((key, dispatch_proof));
            }
            DispatchCheck::NotRun(_) => self.observe_not_run(key),
        }
    }

    fn refuse(&mut self, index: usize) {
        let (key, permission) = self.permissions.remove(index);
        self.table
            .refuse(self.now, permission, NotRunReason::Refused);
        self.observe_not_run(key);
    }

    fn finish(&mut self, index: usize, outcome: Outcome) {
        let (key, dispatch_proof) = self.dispatched.remove(index);
        self.table.finish(self.now, dispatch_proof, outcome);
        if outcome == Outcome::NotRun {
            self.observed[key].runs -= 1;
            self.observe_not_run(key);
        }
    }

    fn query_state(&mut self, key: usize) {
        match self.table.state(self.now, &self.keys[key]) {
            KeyState::NotRun => self.observe_not_run(key),
            KeyState::Done(_) => {
                self.observed[key].done_without_run |= self.observed[key].runs == 0
            }
            KeyState::Running | KeyState::Unknown => {}
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.table = KeyTable::new(run(self.incarnation), 1);
        self.now = Duration::from_secs(1);
        self.table.issue(self.now);
        self.permissions.clear();
        self.dispatched.clear();
    }

    /// Returns the index of an event in `event_counts` and its maximum count, which bound the
    /// search.
    fn event_limit(event: Event) -> Option<(usize, u8)> {
        Some(match event {
            Event::Send(entry) => (usize::from(entry), 1),
            Event::Arrive(_, true) => (2, 1),
            Event::QueryState => (3, 2),
            Event::OtherKey => (4, 1),
            Event::Evict => (5, 2),
            Event::Pause(10) => (6, 2),
            Event::Pause(_) => (7, 2),
            Event::Restart => (8, 1),
            Event::Shed => (9, 1),
            _ => return None,
        })
    }
}

impl Model for KeyTableModel {
    type Event = Event;

    fn new() -> Self {
        Self::with_keys(1, 1)
    }

    fn events(&self) -> Vec<Event> {
        let possible = |event: &Event| match *event {
            Event::Arrive(entry, _) => self.in_flight[usize::from(entry)] > 0,
            Event::RecordDispatch | Event::Refuse | Event::Cancel => !self.permissions.is_empty(),
            Event::Shed | Event::Finish(_) => !self.dispatched.is_empty(),
            _ => true,
        };
        let within_limit = |event: &Event| {
            Self::event_limit(*event).is_none_or(|(i, max)| self.event_counts[i] < max)
        };
        let all = EVENTS.into_iter();
        all.filter(|event| possible(event) && within_limit(event))
            .collect()
    }

    fn apply(&mut self, event: Event) {
        if let Some((index, _)) = Self::event_limit(event) {
            self.event_counts[index] += 1;
        }
        match event {
            Event::Send(entry) => self.in_flight[usize::from(entry)] += 1,
            Event::Arrive(entry, repeated) => {
                self.in_flight[usize::from(entry)] -= u8::from(!repeated);
                self.arrive(0);
            }
            Event::RecordDispatch => self.dispatch(0),
            Event::Refuse => self.refuse(0),
            Event::Cancel => drop(self.permissions.remove(0)),
            Event::Shed => {
                let (key, dispatch_proof) = self.dispatched.remove(0);
                self.observed[key].runs -= 1;
                self.permissions
                    .push((key, self.table.reissue_permission(dispatch_proof)));
            }
            Event::Finish(outcome) => self.finish(0, outcome),
            Event::QueryState => self.query_state(0),
            Event::OtherKey => {
                let other: IssuedKey = (self.table.issue(self.now) + "o").parse().unwrap();
                let begin =
                    self.table
                        .begin(self.now, &other, 2, self.now + Duration::from_secs(1));
                if let BeginResult::Dispatch(permission) = begin {
                    self.table
                        .refuse(self.now, permission, NotRunReason::Refused);
                }
            }
            Event::Evict => {
                self.table.evict(self.now);
            }
            Event::Pause(seconds) => {
                self.now += Duration::from_secs(seconds);
                self.table.expire(self.now);
            }
            Event::Restart => self.restart(),
        }
    }

    fn state_text(&self) -> String {
        let (table, now, event_counts) = (&self.table, self.now, self.event_counts);
        let (permitted, dispatched) = (&self.permissions, &self.dispatched);
        let (in_flight, observed) = (self.in_flight, &self.observed);
        format!(
            "{table:?}{now:?}{event_counts:?}{permitted:?}{dispatched:?}{in_flight:?}{observed:?}"
        )
    }

    fn violation(&self) -> Option<String> {
        self.observed.iter().find_map(Observed::violation)
    }
}

/// Guards against an interleaving in which an issued key runs twice or runs although it was
/// answered with "not run".
#[test]
fn every_interleaving_of_an_issued_key() {
    let states = search::<KeyTableModel>(9);
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were reached");
}

/// Step of a random walk over several keys, by index of the key, permission or dispatch.
#[derive(Debug, Clone)]
enum WalkStep {
    Arrive(usize),
    RecordDispatch(usize),
    Refuse(usize),
    Finish(usize, u8),
    QueryState(usize),
    Issue(usize),
    AdvanceMs(u64),
    Evict,
    Restart,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    /// Number of restarts; the production table holds all other state.
    type State = u32;
    type Transition = WalkStep;

    fn init_state() -> BoxedStrategy<u32> {
        Just(0).boxed()
    }

    fn transitions(_: &u32) -> BoxedStrategy<WalkStep> {
        prop_oneof![
            8 => (0..WALK_KEYS).prop_map(WalkStep::Arrive),
            6 => (0..WALK_KEYS).prop_map(WalkStep::RecordDispatch),
            2 => (0..WALK_KEYS).prop_map(WalkStep::Refuse),
            5 => (0..WALK_KEYS, 0..3u8).prop_map(|(i, o)| WalkStep::Finish(i, o)),
            2 => (0..WALK_KEYS).prop_map(WalkStep::QueryState),
            3 => (0..WALK_KEYS).prop_map(WalkStep::Issue),
            5 => (1..400_000u64).prop_map(WalkStep::AdvanceMs),
            2 => Just(WalkStep::Evict),
            1 => Just(WalkStep::Restart),
        ]
        .boxed()
    }

    fn apply(restarts: u32, step: &WalkStep) -> u32 {
        restarts + u32::from(matches!(step, WalkStep::Restart))
    }
}

struct KeyTableWalk;

impl StateMachineTest for KeyTableWalk {
    type SystemUnderTest = KeyTableModel;
    type Reference = Reference;

    fn init_test(_: &u32) -> KeyTableModel {
        KeyTableModel::with_keys(WALK_KEYS, 2)
    }

    fn apply(mut model: KeyTableModel, _: &u32, step: WalkStep) -> KeyTableModel {
        match step {
            WalkStep::Arrive(key) => model.arrive(key),
            WalkStep::RecordDispatch(i) if i < model.permissions.len() => model.dispatch(i),
            WalkStep::Refuse(i) if i < model.permissions.len() => model.refuse(i),
            WalkStep::Finish(i, outcome) if i < model.dispatched.len() => {
                let outcomes = [Outcome::Done(200), Outcome::NotRun, Outcome::Unknown];
                model.finish(i, outcomes[usize::from(outcome)]);
            }
            WalkStep::QueryState(key) => model.query_state(key),
            WalkStep::Issue(key) => {
                let next = model.table.issue(model.now) + "k";
                model.keys[key] = next.parse().unwrap();
                model.observed[key] = Observed::default();
                model.permissions.retain(|(permitted, _)| *permitted != key);
                model.dispatched.retain(|(permitted, _)| *permitted != key);
            }
            WalkStep::AdvanceMs(ms) => {
                model.now += Duration::from_millis(ms);
                model.table.expire(model.now);
            }
            WalkStep::Evict => {
                model.table.evict(model.now);
            }
            WalkStep::Restart => model.restart(),
            _ => {}
        }
        model
    }

    fn check_invariants(model: &KeyTableModel, _: &u32) {
        assert_eq!(model.violation(), None);
        assert!(model.table.len() <= 2, "the table is over its capacity");
        let running = model.dispatched.len();
        assert!(model.table.len() >= running, "a running key was removed");
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x6b65_7973),
        failure_persistence: None,
        ..Config::default()
    })]
    /// Guards against sequences with several keys, longer than the search covers, that run a
    /// key twice, make "not run" false, exceed the capacity or remove a running key.
    #[test]
    fn random_walks_of_the_key_table(sequential 1..60 => KeyTableWalk);
}
