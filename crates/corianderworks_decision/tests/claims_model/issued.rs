//! Two entries, one issuing daemon with room for one key, one caller that repeats its request.

use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::{Model, Seen, search};

const DEADLINE: Duration = Duration::from_secs(10);
const KEYS: usize = 3;

fn run(incarnation: u64) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(1),
        incarnation: Incarnation(incarnation),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// An entry sends the key's request; the message stays in flight.
    Send(u8),
    /// A message of this entry arrives; a repeated message stays in flight.
    Arrive(u8, bool),
    Hand,
    Refuse,
    /// The task is cancelled and loses its permission.
    Cancel,
    /// The backend server states that it did not run the request, and another one is tried.
    Shed,
    Finish(Outcome),
    Ask,
    /// Another caller's key takes the place in the table and ends.
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
    Event::Hand,
    Event::Refuse,
    Event::Cancel,
    Event::Shed,
    Event::Finish(Outcome::Done(200)),
    Event::Finish(Outcome::Unknown),
    Event::Finish(Outcome::NotRun),
    Event::Ask,
    Event::OtherKey,
    Event::Evict,
    Event::Pause(10),
    Event::Pause(300),
    Event::Restart,
];

struct Issuer {
    table: KeyTable,
    now: Duration,
    incarnation: u64,
    keys: Vec<IssuedKey>,
    in_flight: [u8; 2],
    budget: [u8; 12],
    permissions: Vec<(usize, Permission<Issued>)>,
    handed: Vec<(usize, Dispatched<Issued>)>,
    seen: Vec<Seen>,
}

impl Issuer {
    fn with(keys: usize, capacity: usize) -> Self {
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
            budget: [0; 12],
            permissions: Vec::new(),
            handed: Vec::new(),
            seen: vec![Seen::default(); keys.len()],
            keys,
        }
    }

    fn arrive(&mut self, key: usize) {
        let begin = self
            .table
            .begin(self.now, &self.keys[key], 1, self.now + DEADLINE);
        match begin {
            BeginResult::Dispatch(permission) => self.permissions.push((key, permission)),
            BeginResult::Done(_) => self.seen[key].done_without_run |= self.seen[key].runs == 0,
            BeginResult::NotRun(_) | BeginResult::TableFull => self.not_run(key),
            BeginResult::InProgress | BeginResult::Unknown => {}
            BeginResult::NotRunConflict => panic!("the request is always the same"),
        }
    }

    /// "Not run" holds for the key, whatever arrives later.
    fn not_run(&mut self, key: usize) {
        let seen = &mut self.seen[key];
        seen.run_after_not_run |= seen.runs > 0;
        seen.not_run.push(u32::MAX);
        seen.not_run.truncate(1);
    }

    fn hand(&mut self, index: usize) {
        let (key, permission) = self.permissions.remove(index);
        match self.table.record_dispatch(self.now, permission) {
            DispatchCheck::Proceed(proof) => {
                self.seen[key].record_dispatch(1);
                self.handed.push((key, proof));
            }
            DispatchCheck::NotRun(_) => self.not_run(key),
        }
    }

    fn refuse(&mut self, index: usize) {
        let (key, permission) = self.permissions.remove(index);
        self.table
            .refuse(self.now, permission, NotRunReason::Refused);
        self.not_run(key);
    }

    fn finish(&mut self, index: usize, outcome: Outcome) {
        let (key, proof) = self.handed.remove(index);
        self.table.finish(self.now, proof, outcome);
        if outcome == Outcome::NotRun {
            self.seen[key].runs -= 1;
            self.not_run(key);
        }
    }

    fn ask(&mut self, key: usize) {
        match self.table.state(self.now, &self.keys[key]) {
            KeyState::NotRun => self.not_run(key),
            KeyState::Done(_) => self.seen[key].done_without_run |= self.seen[key].runs == 0,
            KeyState::Running | KeyState::Unknown => {}
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.table = KeyTable::new(run(self.incarnation), 1);
        self.now = Duration::from_secs(1);
        self.table.issue(self.now);
        self.permissions.clear();
        self.handed.clear();
    }

    /// Place of an event in the budget and how often it may happen.
    fn limit(event: Event) -> Option<(usize, u8)> {
        Some(match event {
            Event::Send(entry) => (usize::from(entry), 1),
            Event::Arrive(_, true) => (2, 1),
            Event::Ask => (3, 2),
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

impl Model for Issuer {
    type Event = Event;

    fn new() -> Self {
        Self::with(1, 1)
    }

    fn events(&self) -> Vec<Event> {
        let possible = |event: &Event| match *event {
            Event::Arrive(entry, _) => self.in_flight[usize::from(entry)] > 0,
            Event::Hand | Event::Refuse | Event::Cancel => !self.permissions.is_empty(),
            Event::Shed | Event::Finish(_) => !self.handed.is_empty(),
            _ => true,
        };
        let left = |event: &Event| Self::limit(*event).is_none_or(|(i, max)| self.budget[i] < max);
        let all = EVENTS.into_iter();
        all.filter(|event| possible(event) && left(event)).collect()
    }

    fn apply(&mut self, event: Event) {
        if let Some((index, _)) = Self::limit(event) {
            self.budget[index] += 1;
        }
        match event {
            Event::Send(entry) => self.in_flight[usize::from(entry)] += 1,
            Event::Arrive(entry, repeated) => {
                self.in_flight[usize::from(entry)] -= u8::from(!repeated);
                self.arrive(0);
            }
            Event::Hand => self.hand(0),
            Event::Refuse => self.refuse(0),
            Event::Cancel => drop(self.permissions.remove(0)),
            Event::Shed => {
                let (key, proof) = self.handed.remove(0);
                self.seen[key].runs -= 1;
                self.permissions
                    .push((key, self.table.reissue_permission(proof)));
            }
            Event::Finish(outcome) => self.finish(0, outcome),
            Event::Ask => self.ask(0),
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

    fn digest(&self) -> String {
        let (table, now, budget) = (&self.table, self.now, self.budget);
        let (held, handed) = (&self.permissions, &self.handed);
        let (in_flight, seen) = (self.in_flight, &self.seen);
        format!("{table:?}{now:?}{budget:?}{held:?}{handed:?}{in_flight:?}{seen:?}")
    }

    fn violation(&self) -> Option<String> {
        self.seen.iter().find_map(Seen::violation)
    }
}

/// Guards against an interleaving in which a key runs twice or "not run" is false.
#[test]
fn every_interleaving_of_an_issued_key() {
    let states = search::<Issuer>(9);
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were reached");
}

/// Step of a random walk over several keys.
#[derive(Debug, Clone)]
enum Walk {
    Arrive(usize),
    Hand(usize),
    Refuse(usize),
    Finish(usize, u8),
    Ask(usize),
    Issue(usize),
    Pass(u64),
    Evict,
    Restart,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    /// The real table is its own state; the reference only counts restarts.
    type State = u32;
    type Transition = Walk;

    fn init_state() -> BoxedStrategy<u32> {
        Just(0).boxed()
    }

    fn transitions(_: &u32) -> BoxedStrategy<Walk> {
        prop_oneof![
            8 => (0..KEYS).prop_map(Walk::Arrive),
            6 => (0..KEYS).prop_map(Walk::Hand),
            2 => (0..KEYS).prop_map(Walk::Refuse),
            5 => (0..KEYS, 0..3u8).prop_map(|(i, o)| Walk::Finish(i, o)),
            2 => (0..KEYS).prop_map(Walk::Ask),
            3 => (0..KEYS).prop_map(Walk::Issue),
            5 => (1..400_000u64).prop_map(Walk::Pass),
            2 => Just(Walk::Evict),
            1 => Just(Walk::Restart),
        ]
        .boxed()
    }

    fn apply(restarts: u32, step: &Walk) -> u32 {
        restarts + u32::from(matches!(step, Walk::Restart))
    }
}

struct KeyWalk;

impl StateMachineTest for KeyWalk {
    type SystemUnderTest = Issuer;
    type Reference = Reference;

    fn init_test(_: &u32) -> Issuer {
        Issuer::with(KEYS, 2)
    }

    fn apply(mut issuer: Issuer, _: &u32, step: Walk) -> Issuer {
        match step {
            Walk::Arrive(key) => issuer.arrive(key),
            Walk::Hand(i) if i < issuer.permissions.len() => issuer.hand(i),
            Walk::Refuse(i) if i < issuer.permissions.len() => issuer.refuse(i),
            Walk::Finish(i, outcome) if i < issuer.handed.len() => {
                let outcomes = [Outcome::Done(200), Outcome::NotRun, Outcome::Unknown];
                issuer.finish(i, outcomes[usize::from(outcome)]);
            }
            Walk::Ask(key) => issuer.ask(key),
            Walk::Issue(key) => {
                let next = issuer.table.issue(issuer.now) + "k";
                issuer.keys[key] = next.parse().unwrap();
                issuer.seen[key] = Seen::default();
                issuer.permissions.retain(|(held, _)| *held != key);
                issuer.handed.retain(|(held, _)| *held != key);
            }
            Walk::Pass(ms) => {
                issuer.now += Duration::from_millis(ms);
                issuer.table.expire(issuer.now);
            }
            Walk::Evict => {
                issuer.table.evict(issuer.now);
            }
            Walk::Restart => issuer.restart(),
            _ => {}
        }
        issuer
    }

    fn check_invariants(issuer: &Issuer, _: &u32) {
        assert_eq!(issuer.violation(), None);
        assert!(issuer.table.len() <= 2, "the table is over its capacity");
        let running = issuer.handed.len();
        assert!(issuer.table.len() >= running, "a running key was removed");
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x6b65_7973),
        failure_persistence: None,
        ..Config::default()
    })]
    /// Guards against walks over several keys, longer than the search covers, that run a key
    /// twice, make "not run" false, exceed the capacity or remove a running key.
    #[test]
    fn random_walks_of_the_key_table(sequential 1..60 => KeyWalk);
}
