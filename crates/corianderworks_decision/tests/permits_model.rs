//! Model test of ejection permits. No interleaving of lost, late and repeated messages, pauses,
//! restarts, removed VMs and platform writes without a response may let two homes use one permit
//! for two upstreams, or eject more than `n - floor` of `n` upstreams in the union of the views
//! of all homes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderworks_decision::dispatch_types::{Announcement, PermitNumber};
use corianderworks_decision::ejection::{AnnouncedEjections, HeldPermits};
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation, UpstreamKey};
use corianderworks_decision::permits::{
    PermitLedger, PermitTable, VmPresence, claim, permit_count, release, surplus,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const UPSTREAMS: u32 = 6;
const FLOOR_PERCENT: u32 = 60;
const DAEMONS: usize = 3;

/// What becomes of a platform write and its response.
#[derive(Debug, Clone, Copy)]
enum Response {
    Received,
    Lost,
    /// The write takes effect at a later step, if its condition still holds then.
    Delayed,
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Read(usize),
    Claim(usize, Response),
    Return(usize, Response),
    ApplyDelayed,
    Eject(usize, u64),
    End(usize),
    Stamp(usize, usize),
    Announce(usize),
    Deliver(usize, usize),
    /// Delivers a stamp and, without delay, the announcements that are due in return.
    Exchange(usize, usize),
    Restart(usize),
    Crash(usize),
    RemoveFromVmList(usize),
    RotateHomes,
}

#[derive(Debug)]
struct Home {
    run: DaemonRun,
    alive: bool,
    listed: bool,
    started: Duration,
    held: HeldPermits,
    received: AnnouncedEjections,
    ledger: PermitLedger,
}

impl Home {
    fn new(index: usize, incarnation: u64, started: Duration) -> Self {
        Self {
            run: DaemonRun {
                daemon: DaemonKey(index as u64),
                incarnation: Incarnation(incarnation),
            },
            alive: true,
            listed: true,
            started,
            held: HeldPermits::default(),
            received: AnnouncedEjections::default(),
            ledger: PermitLedger::default(),
        }
    }
}

#[derive(Debug)]
struct Model {
    now: Duration,
    homes: Vec<Home>,
    placement_order: Vec<DaemonKey>,
    version: u64,
    table: PermitTable,
    delayed: Vec<(u64, PermitTable)>,
    sent: Vec<Announcement>,
}

impl Model {
    fn write(&mut self, home: usize, table: PermitTable, response: Response) {
        if matches!(response, Response::Delayed) {
            self.delayed.push((self.version, table));
            return;
        }
        self.version += 1;
        self.table = table;
        if matches!(response, Response::Received) {
            self.confirm(home);
        }
    }

    fn confirm(&mut self, home: usize) {
        let entry = &mut self.homes[home];
        let held = entry
            .ledger
            .record_confirmed(self.version, &self.table, entry.run);
        entry.held.set(self.now - entry.started, held);
    }

    fn claim(&mut self, home: usize, response: Response) {
        let run = self.homes[home].run;
        let vm = |daemon: DaemonKey| match self.homes[daemon.0 as usize].listed {
            true => VmPresence::Present,
            false => VmPresence::Removed,
        };
        let permits = permit_count(UPSTREAMS, FLOOR_PERCENT);
        if let Some(table) = claim(&self.table, run, &self.placement_order, permits, vm) {
            self.write(home, table, response);
        }
    }

    fn return_permits(&mut self, home: usize, response: Response) {
        let entry = &mut self.homes[home];
        let now = self.now - entry.started;
        let permits = permit_count(UPSTREAMS, FLOOR_PERCENT);
        let mut returned = surplus(&self.table, entry.run, &self.placement_order, permits);
        returned.retain(|p| !entry.held.used_or_blocked(now, *p));
        if let Some(table) = release(&self.table, entry.run, &returned) {
            entry.ledger.returning(&returned, self.version);
            let held = entry.ledger.held().to_vec();
            entry.held.set(now, &held);
            self.write(home, table, response);
        }
    }

    fn step(&mut self, step: Step) {
        let alive = |model: &Self, home: usize| model.homes[home].alive;
        let now = |model: &Self, home: usize| model.now - model.homes[home].started;
        match step {
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
            Step::Read(h) if alive(self, h) => self.confirm(h),
            Step::Claim(h, response) if alive(self, h) => self.claim(h, response),
            Step::Return(h, response) if alive(self, h) => self.return_permits(h, response),
            Step::ApplyDelayed => {
                if let Some((base_version, table)) = self.delayed.pop()
                    && base_version == self.version
                {
                    self.version += 1;
                    self.table = table;
                }
            }
            Step::Eject(h, upstream) if alive(self, h) => {
                let local_time = now(self, h);
                self.homes[h]
                    .held
                    .apply(local_time, UpstreamKey(upstream), |_| true);
            }
            Step::End(h) if alive(self, h) => {
                let local_time = now(self, h);
                let permit_use = self.homes[h].held.uses().next();
                if let Some((permit, _)) = permit_use {
                    self.homes[h].held.end(local_time, permit);
                }
            }
            Step::Stamp(from, to) if alive(self, from) && alive(self, to) => {
                let (run, stamp) = (self.homes[from].run, now(self, from));
                self.homes[to].held.stamp(run, stamp);
            }
            Step::Announce(h) if alive(self, h) => {
                let (run, local_time) = (self.homes[h].run, now(self, h));
                let announcements_due = self.homes[h].held.announcements_due(local_time, run);
                self.sent.extend(announcements_due);
            }
            Step::Deliver(sent_before, h) if alive(self, h) && sent_before < self.sent.len() => {
                // Sent messages are kept, so that any of them may arrive late and repeatedly.
                let message = self.sent[self.sent.len() - 1 - sent_before].clone();
                let (run, local_time) = (self.homes[h].run, now(self, h));
                if message.holder != run {
                    self.homes[h].received.record(local_time, run, &message);
                }
            }
            Step::Exchange(h, to) => {
                let before = self.sent.len();
                self.step(Step::Stamp(to, h));
                self.step(Step::Announce(h));
                for sent_before in 0..self.sent.len() - before {
                    self.step(Step::Deliver(sent_before, to));
                }
            }
            Step::Restart(h) => {
                let incarnation = self.homes[h].run.incarnation.0 + 1;
                self.homes[h] = Home::new(h, incarnation, self.now);
            }
            Step::Crash(h) => self.homes[h].alive = false,
            Step::RemoveFromVmList(h) if !alive(self, h) => self.homes[h].listed = false,
            Step::RotateHomes => self.placement_order.rotate_left(1),
            _ => {}
        }
    }

    fn check(&self) {
        let mut uses: BTreeMap<PermitNumber, BTreeSet<UpstreamKey>> = BTreeMap::new();
        let mut ejected = BTreeSet::new();
        for home in self.homes.iter().filter(|home| home.alive) {
            let own = home
                .held
                .uses()
                .map(|(p, permit_use)| (p, permit_use.upstream));
            let local_time = self.now - home.started;
            let valid_ejections = home.received.valid_ejections(local_time);
            for (permit, upstream) in own.chain(valid_ejections.map(|(p, _, u)| (p, u.upstream))) {
                uses.entry(permit).or_default().insert(upstream);
                ejected.insert(upstream);
            }
        }
        for (permit, upstreams) in uses {
            assert!(upstreams.len() <= 1, "{permit:?} ejects {upstreams:?}");
        }
        assert!(ejected.len() as u32 <= permit_count(UPSTREAMS, FLOOR_PERCENT));
    }
}

struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let home = || 0..DAEMONS;
        let response = || {
            prop_oneof![
                4 => Just(Response::Received),
                1 => Just(Response::Lost),
                1 => Just(Response::Delayed),
            ]
        };
        prop_oneof![
            5 => prop_oneof![1..1_100_u64, 4_000..6_000_u64].prop_map(Step::Advance),
            1 => home().prop_map(Step::Read),
            3 => (home(), response()).prop_map(|(h, r)| Step::Claim(h, r)),
            1 => (home(), response()).prop_map(|(h, r)| Step::Return(h, r)),
            1 => Just(Step::ApplyDelayed),
            6 => (home(), 0..u64::from(UPSTREAMS)).prop_map(|(h, u)| Step::Eject(h, u)),
            3 => home().prop_map(Step::End),
            2 => (home(), home()).prop_map(|(a, b)| Step::Stamp(a, b)),
            2 => home().prop_map(Step::Announce),
            6 => (home(), home()).prop_map(|(a, b)| Step::Exchange(a, b)),
            6 => (0..12_usize, home()).prop_map(|(m, h)| Step::Deliver(m, h)),
            1 => home().prop_map(Step::Restart),
            1 => home().prop_map(Step::Crash),
            1 => home().prop_map(Step::RemoveFromVmList),
            1 => Just(Step::RotateHomes),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct PermitModelTest;

impl StateMachineTest for PermitModelTest {
    type SystemUnderTest = Model;
    type Reference = StepGenerator;

    fn init_test(_: &()) -> Model {
        let mut model = Model {
            now: Duration::ZERO,
            homes: (0..DAEMONS)
                .map(|h| Home::new(h, 1, Duration::ZERO))
                .collect(),
            placement_order: (0..DAEMONS as u64).map(DaemonKey).collect(),
            version: 0,
            table: PermitTable::default(),
            delayed: Vec::new(),
            sent: Vec::new(),
        };
        (0..DAEMONS).for_each(|h| model.step(Step::Claim(h, Response::Received)));
        model.step(Step::Advance(5_000));
        model
    }

    fn apply(mut model: Model, _: &(), step: Step) -> Model {
        model.step(step);
        model
    }

    fn check_invariants(model: &Model, _: &()) {
        model.check();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5EED),
        ..Config::default()
    })]

    #[test]
    fn no_interleaving_ejects_more_than_the_floor_allows(sequential 40..160 => PermitModelTest);
}
