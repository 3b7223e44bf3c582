//! Guards the floor (P1): no interleaving of lost, late and repeated messages, pauses, restarts,
//! vanished VMs and platform writes without a response may let two homes use one permit for two
//! upstreams, or eject more than `n - floor` upstreams in the union of all views.

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

/// How a platform write ends for its writer.
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
    Land,
    Eject(usize, u64),
    End(usize),
    Stamp(usize, usize),
    Announce(usize),
    Deliver(usize, usize),
    /// A stamp, the announcements that are due, and their delivery without delay.
    Exchange(usize, usize),
    Restart(usize),
    Die(usize),
    ListGone(usize),
    SwapHomes,
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
struct World {
    now: Duration,
    homes: Vec<Home>,
    order: Vec<DaemonKey>,
    version: u64,
    table: PermitTable,
    delayed: Vec<(u64, PermitTable)>,
    sent: Vec<Announcement>,
}

impl World {
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
            false => VmPresence::Gone,
        };
        let permits = permit_count(UPSTREAMS, FLOOR_PERCENT);
        if let Some(table) = claim(&self.table, run, &self.order, permits, vm) {
            self.write(home, table, response);
        }
    }

    fn give_back(&mut self, home: usize, response: Response) {
        let entry = &mut self.homes[home];
        let now = self.now - entry.started;
        let permits = permit_count(UPSTREAMS, FLOOR_PERCENT);
        let mut returned = surplus(&self.table, entry.run, &self.order, permits);
        returned.retain(|p| !entry.held.used_or_blocked(now, *p));
        if let Some(table) = release(&self.table, entry.run, &returned) {
            entry.ledger.returning(&returned, self.version);
            let held = entry.ledger.held().to_vec();
            entry.held.set(now, &held);
            self.write(home, table, response);
        }
    }

    fn step(&mut self, step: Step) {
        let alive = |world: &Self, home: usize| world.homes[home].alive;
        let now = |world: &Self, home: usize| world.now - world.homes[home].started;
        match step {
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
            Step::Read(h) if alive(self, h) => self.confirm(h),
            Step::Claim(h, response) if alive(self, h) => self.claim(h, response),
            Step::Return(h, response) if alive(self, h) => self.give_back(h, response),
            Step::Land => {
                if let Some((against, table)) = self.delayed.pop()
                    && against == self.version
                {
                    self.version += 1;
                    self.table = table;
                }
            }
            Step::Eject(h, upstream) if alive(self, h) => {
                let at = now(self, h);
                self.homes[h]
                    .held
                    .apply(at, UpstreamKey(upstream), |_| true);
            }
            Step::End(h) if alive(self, h) => {
                let at = now(self, h);
                let used = self.homes[h].held.uses().next();
                if let Some((permit, _)) = used {
                    self.homes[h].held.end(at, permit);
                }
            }
            Step::Stamp(from, to) if alive(self, from) && alive(self, to) => {
                let (run, stamp) = (self.homes[from].run, now(self, from));
                self.homes[to].held.stamp(run, stamp);
            }
            Step::Announce(h) if alive(self, h) => {
                let (run, at) = (self.homes[h].run, now(self, h));
                let announcements_due = self.homes[h].held.announcements_due(at, run);
                self.sent.extend(announcements_due);
            }
            Step::Deliver(back, h) if alive(self, h) && back < self.sent.len() => {
                // Messages stay, so that any of them may arrive late and repeatedly.
                let message = self.sent[self.sent.len() - 1 - back].clone();
                let (run, at) = (self.homes[h].run, now(self, h));
                if message.holder != run {
                    self.homes[h].received.record(at, run, &message);
                }
            }
            Step::Exchange(h, to) => {
                let before = self.sent.len();
                self.step(Step::Stamp(to, h));
                self.step(Step::Announce(h));
                for back in 0..self.sent.len() - before {
                    self.step(Step::Deliver(back, to));
                }
            }
            Step::Restart(h) => {
                let incarnation = self.homes[h].run.incarnation.0 + 1;
                self.homes[h] = Home::new(h, incarnation, self.now);
            }
            Step::Die(h) => self.homes[h].alive = false,
            Step::ListGone(h) if !alive(self, h) => self.homes[h].listed = false,
            Step::SwapHomes => self.order.rotate_left(1),
            _ => {}
        }
    }

    fn check(&self) {
        let mut uses: BTreeMap<PermitNumber, BTreeSet<UpstreamKey>> = BTreeMap::new();
        let mut out = BTreeSet::new();
        for home in self.homes.iter().filter(|home| home.alive) {
            let own = home.held.uses().map(|(p, used)| (p, used.upstream));
            let at = self.now - home.started;
            let valid_ejections = home.received.valid_ejections(at);
            for (permit, upstream) in own.chain(valid_ejections.map(|(p, _, u)| (p, u.upstream))) {
                uses.entry(permit).or_default().insert(upstream);
                out.insert(upstream);
            }
        }
        for (permit, upstreams) in uses {
            assert!(upstreams.len() <= 1, "{permit:?} ejects {upstreams:?}");
        }
        assert!(out.len() as u32 <= permit_count(UPSTREAMS, FLOOR_PERCENT));
    }
}

struct Steps;

impl ReferenceStateMachine for Steps {
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
            1 => Just(Step::Land),
            6 => (home(), 0..u64::from(UPSTREAMS)).prop_map(|(h, u)| Step::Eject(h, u)),
            3 => home().prop_map(Step::End),
            2 => (home(), home()).prop_map(|(a, b)| Step::Stamp(a, b)),
            2 => home().prop_map(Step::Announce),
            6 => (home(), home()).prop_map(|(a, b)| Step::Exchange(a, b)),
            6 => (0..12_usize, home()).prop_map(|(m, h)| Step::Deliver(m, h)),
            1 => home().prop_map(Step::Restart),
            1 => home().prop_map(Step::Die),
            1 => home().prop_map(Step::ListGone),
            1 => Just(Step::SwapHomes),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct Permits;

impl StateMachineTest for Permits {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(_: &()) -> World {
        let mut world = World {
            now: Duration::ZERO,
            homes: (0..DAEMONS)
                .map(|h| Home::new(h, 1, Duration::ZERO))
                .collect(),
            order: (0..DAEMONS as u64).map(DaemonKey).collect(),
            version: 0,
            table: PermitTable::default(),
            delayed: Vec::new(),
            sent: Vec::new(),
        };
        (0..DAEMONS).for_each(|h| world.step(Step::Claim(h, Response::Received)));
        world.step(Step::Advance(5_000));
        world
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        world.step(step);
        world
    }

    fn check_invariants(world: &World, _: &()) {
        world.check();
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
    fn no_interleaving_ejects_more_than_the_floor_allows(sequential 40..160 => Permits);
}
