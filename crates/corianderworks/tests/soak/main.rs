//! Randomized run of real edge daemons with faults from outside.
//!
//! Daemons are separate processes before a stand-in of the store and recording backend
//! servers. Signals, harmed connections, configurations and drains come in overlapping
//! series, chosen by a seed. Promises are checked from what callers and servers see.
//!
//! `SOAK_SEEDS=1-50` and `SOAK_S=20` choose the seeds and the seconds of faults of a run by
//! hand, `SOAK_VMS=24` the number of daemons.

mod backend;
mod callers;
mod fleet;
mod ledger;
mod proxy;
#[path = "../../../corianderworks_edge/tests/support/store.rs"]
#[allow(dead_code, reason = "shared with the tests of the edge daemon")]
mod store;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use backend::{Backend, Mood, configuration};
use callers::Caller;
use fleet::{DOMAINS, Vm};
use ledger::Ledger;
use proxy::Mode;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;
use store::Store;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Seeds that failed before; they are played again.
///
/// 102, 124: a process that had started a few milliseconds before was ended by SIGTERM, as
/// its handlers were not installed yet. They are the first thing that it installs now.
const FAILED_BEFORE: [u64; 2] = [102, 124];
/// Seeds of the run in CI.
const SHORT_SEEDS: [u64; 2] = [1, 2];
const SHORT_S: u64 = 8;
const VMS: usize = 9;
const CALLERS: usize = 24;
/// Series of faults that overlap.
const SERIES: usize = 3;
/// Time for the fleet to form before the faults.
const FORM: Duration = Duration::from_millis(3_000);
/// Time after the last fault until requests must be served again: the platform's bound is
/// 15 s; daemons need 2 s for entries and 3 s for connections that went silent.
const RECOVERED_AFTER: Duration = Duration::from_millis(6_000);
/// Time in which the recovered fleet is measured.
const MEASURED: Duration = Duration::from_millis(2_000);
/// Share of the requests that a recovered fleet without faults serves at least.
const RECOVERED_SHARE: f64 = 0.99;
const PREFIXES: [&str; 4] = ["/read/", "/write/", "/read/more/", "/write/more/"];
const SERVICES: [&str; 2] = ["ledger", "archive"];
const SERVERS_PER_SERVICE: usize = 6;

#[derive(Clone)]
struct World {
    ledger: Arc<Ledger>,
    store: Store,
    backends: Arc<Vec<Backend>>,
    vms: Arc<Vec<Mutex<Vm>>>,
    version: Arc<Mutex<u64>>,
    log: Arc<parking_lot::Mutex<Vec<String>>>,
    began: Instant,
}

impl World {
    async fn new(vms: usize, network: u8, directory: &std::path::Path) -> Self {
        let ledger = Arc::new(Ledger::default());
        let store = Store::start().await;
        let mut backends = Vec::new();
        for service in SERVICES {
            for number in 0..SERVERS_PER_SERVICE {
                let domain = DOMAINS[number % DOMAINS.len()];
                let backend = Backend::start(&ledger, service, number, domain).await;
                backend.register(&store, "ready");
                backends.push(backend);
            }
        }
        let mut fleet = Vec::new();
        for number in 0..vms {
            let vm = Vm::new(number, network, store.address, directory).await;
            fleet.push(Mutex::new(vm));
        }
        Self {
            ledger,
            store,
            backends: Arc::new(backends),
            vms: Arc::new(fleet),
            version: Arc::default(),
            log: Arc::default(),
            began: Instant::now(),
        }
    }

    fn note(&self, text: String) {
        let at_ms = self.began.elapsed().as_millis();
        self.log.lock().push(format!("{at_ms} ms {text}"));
    }

    /// Puts a configuration in which each prefix goes to a service chosen at random.
    async fn configure(&self, random: &mut Pcg64) {
        let mut version = self.version.lock().await;
        *version += random.random_range(1..5);
        let routes: Vec<_> = PREFIXES
            .iter()
            .map(|p| {
                let service = SERVICES.choose(random).expect("services");
                ((*p).to_owned(), (*service).to_owned())
            })
            .collect();
        for (prefix, service) in &routes {
            let mut allowed = self.ledger.allowed.lock();
            let services = allowed.entry(prefix.clone()).or_default();
            services.insert(service.clone());
        }
        let next = configuration(*version, &routes);
        self.store.put("config", "main", next, Value::Null);
        self.note(format!("configuration {version}"));
    }

    fn strike(&self, vm: usize) {
        self.ledger.struck.lock().push((vm, Instant::now()));
    }

    /// Runs one fault to its end.
    async fn fault(&self, random: &mut Pcg64) {
        let for_ms = random.random_range(200..3_000);
        let time = Duration::from_millis(for_ms);
        let vm = random.random_range(0..self.vms.len());
        let backend = &self.backends[random.random_range(0..self.backends.len())];
        let started = Instant::now();
        match random.random_range(0..13) {
            0 => self.restart_after_kill(vm, time).await,
            1 => self.restart_after_stop(vm).await,
            2 => self.freeze(vm, time).await,
            3 => {
                self.note(format!("SIGHUP to vm {vm}"));
                let process = self.vms[vm].lock().await;
                process.begun().await;
                process.signal("HUP");
            }
            4 | 5 => self.harm_store(vm, time, random).await,
            6 => self.harm_backend(backend, time, random).await,
            7..=10 => self.spoil(time, random).await,
            11 => self.replace(backend, random).await,
            _ => self.configure(random).await,
        }
        self.ledger.disturbed.lock().push((started, Instant::now()));
    }

    async fn restart_after_kill(&self, vm: usize, down: Duration) {
        self.note(format!("kill vm {vm} for {down:?}"));
        let mut process = self.vms[vm].lock().await;
        self.strike(vm);
        process.kill();
        sleep(down).await;
        process.start(false);
    }

    async fn restart_after_stop(&self, vm: usize) {
        self.note(format!("SIGTERM to vm {vm}"));
        let mut process = self.vms[vm].lock().await;
        if !process.is_running() {
            return;
        }
        process.begun().await;
        process.signal("TERM");
        match process.ended().await {
            Some(status) if status.success() => {}
            other => {
                self.strike(vm);
                let text = format!("STOP vm {vm}: {other:?} within the grace period");
                self.ledger.violation(text);
            }
        }
        process.start(false);
    }

    async fn freeze(&self, vm: usize, time: Duration) {
        self.note(format!("freeze vm {vm} for {time:?}"));
        let process = self.vms[vm].lock().await;
        self.strike(vm);
        process.signal("STOP");
        sleep(time).await;
        process.signal("CONT");
        self.strike(vm);
    }

    async fn harm_store(&self, first: usize, time: Duration, random: &mut Pcg64) {
        let modes = [
            Mode::Reset,
            Mode::Silent,
            Mode::OneWay,
            Mode::Delay(Duration::from_millis(300)),
        ];
        let mode = *modes.choose(random).expect("modes");
        let count = match random.random_bool(0.3) {
            true => self.vms.len(),
            false => random.random_range(1..=self.vms.len() / 2),
        };
        self.note(format!("store {mode:?} for {count} from {first}, {time:?}"));
        let mut harmed = Vec::new();
        for offset in 0..count {
            let vm = &self.vms[(first + offset) % self.vms.len()];
            harmed.push(vm.lock().await.store.clone());
        }
        harmed.iter().for_each(|p| p.set(mode));
        sleep(time).await;
        harmed.iter().for_each(|p| p.set(Mode::Pass));
    }

    async fn harm_backend(&self, backend: &Backend, time: Duration, random: &mut Pcg64) {
        let modes = [
            Mode::Reset,
            Mode::Silent,
            Mode::OneWay,
            Mode::Delay(Duration::from_millis(200)),
        ];
        let mode = *modes.choose(random).expect("modes");
        self.note(format!("connections of {} {mode:?}", backend.address()));
        backend.proxy.set(mode);
        sleep(time).await;
        backend.proxy.set(Mode::Pass);
    }

    /// Lets some servers spoil a part of their requests.
    async fn spoil(&self, time: Duration, random: &mut Pcg64) {
        let moods = [Mood::Fails, Mood::Refuses, Mood::Hangs, Mood::BreaksOff];
        let mood = *moods.choose(random).expect("moods");
        // Daemons soon avoid a server that spoils much, so all of them spoil a little as well.
        let (count, share) = match random.random_bool(0.5) {
            true => (self.backends.len(), random.random_range(0.02..0.25)),
            false => {
                let count = random.random_range(1..=self.backends.len() / 3);
                (count, random.random_range(0.1..1.0))
            }
        };
        let spoiled: Vec<_> = self.backends.choose_multiple(random, count).collect();
        self.note(format!("{count} servers {mood:?} {share:.2} for {time:?}"));
        for backend in &spoiled {
            *backend.mood.lock() = (mood, share);
        }
        sleep(time).await;
        for backend in &spoiled {
            *backend.mood.lock() = (Mood::Sound, 0.0);
        }
    }

    /// Drains a server and gives its address to one of any service.
    async fn replace(&self, backend: &Backend, random: &mut Pcg64) {
        let old = backend.identity.lock().clone();
        if !self.ledger.begin_drain(&old.id) {
            return;
        }
        backend.register(&self.store, "draining");
        self.note(format!("drain {}", old.id));
        sleep(Duration::from_millis(2_500)).await;
        self.store.remove("servers", &old.id);
        sleep(Duration::from_millis(500)).await;
        let service = SERVICES.choose(random).expect("services");
        *backend.identity.lock() = backend::Identity {
            id: format!("{service}-{}", random.random::<u32>()),
            service: (*service).to_owned(),
            born_ms: old.born_ms + 1,
        };
        backend.register(&self.store, "ready");
    }
}

/// Plays one seed and returns what went wrong.
async fn play(seed: u64, vms: usize, faults: Duration) -> Result<String, String> {
    let directory = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory for logs");
    let network = (seed % 250) as u8;
    let mut random = Pcg64::seed_from_u64(seed);
    let world = World::new(vms, network, &directory).await;
    world.configure(&mut random).await;
    for vm in world.vms.iter() {
        vm.lock().await.start(true);
    }
    sleep(FORM).await;
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    let mut directories = Vec::new();
    for vm in world.vms.iter() {
        directories.push(vm.lock().await.directory_address());
    }
    for number in 0..CALLERS {
        let caller = Caller {
            ledger: world.ledger.clone(),
            directories: directories.clone(),
            prefixes: PREFIXES.map(str::to_owned).to_vec(),
            stop: stopped.clone(),
            seed: seed * 1_000 + number as u64,
        };
        callers.spawn(caller.run());
    }
    let mut series = JoinSet::new();
    let ends = Instant::now() + faults;
    for number in 0..SERIES {
        let mut random = Pcg64::seed_from_u64(seed * 77 + number as u64);
        let world = world.clone();
        series.spawn(async move {
            while Instant::now() < ends {
                world.fault(&mut random).await;
                let pause_ms = random.random_range(50..800);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        });
    }
    while let Some(ended) = series.join_next().await {
        ended.expect("a series of faults");
    }
    sleep(RECOVERED_AFTER).await;
    let measured_from = Instant::now();
    sleep(MEASURED).await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let (requests, share) = world.ledger.served_share(measured_from);
    if share < RECOVERED_SHARE {
        let text = format!("RECOVER: {share:.3} of {requests} requests served after the faults");
        world.ledger.violation(text);
    }
    for vm in world.vms.iter() {
        let mut vm = vm.lock().await;
        vm.kill();
        let errors = vm.errors();
        if errors.contains("panicked") {
            world.ledger.violation(format!("PANIC: {errors}"));
        }
    }
    world.ledger.reconcile();
    report(&world, seed, directory, share)
}

fn report(world: &World, seed: u64, directory: PathBuf, share: f64) -> Result<String, String> {
    let violations = world.ledger.violations.lock();
    if violations.is_empty() {
        std::fs::remove_dir_all(&directory).expect("the directory of this run");
        return Ok(format!(
            "seed {seed}: {}; {share:.3} served at the end",
            world.ledger.ends()
        ));
    }
    let shown: Vec<_> = violations.iter().take(5).cloned().collect();
    Err(format!(
        "seed {seed}: {} violations, logs in {}\n{}\nfaults:\n{}",
        violations.len(),
        directory.display(),
        shown.join("\n"),
        world.log.lock().join("\n")
    ))
}

fn setting(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn seeds() -> Vec<u64> {
    let Some(range) = setting("SOAK_SEEDS") else {
        return SHORT_SEEDS.into_iter().chain(FAILED_BEFORE).collect();
    };
    let (from, to) = range.split_once('-').unwrap_or((&range, &range));
    let number = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS is N or N-M");
    (number(from)..=number(to)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_overlapping_faults() {
    let number = |name: &str| setting(name).map(|v| v.parse::<u64>().expect("a number"));
    let faults = Duration::from_secs(number("SOAK_S").unwrap_or(SHORT_S));
    let vms = number("SOAK_VMS").map_or(VMS, |n| n as usize);
    let mut broken = Vec::new();
    for seed in seeds() {
        match play(seed, vms, faults).await {
            Ok(line) => println!("{line}"),
            Err(text) => broken.push(text),
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n\n"));
}
