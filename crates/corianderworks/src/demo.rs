//! Demonstration of the promises under faults: stand-ins, real daemons and load in one process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use corianderworks_load::outcome::Outcome;
use corianderworks_load::report::LoadReport;
use corianderworks_load::settings::{HttpMethod, KeyKind, LoadSettings, Phase, RouteMix, Weighted};
use corianderworks_load::{LoadError, run as run_load};
use corianderworks_standin::backend::{BackendSettings, Executions, Mode, ServiceTime};
use corianderworks_standin::platform::PlatformFault;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::Mutex;

use crate::fleet::{FLOOR_PERCENT, Fleet, FleetError, ee_north};
use crate::view::upstream_key;

/// Daemons of the demonstration, two in each failure domain.
const DAEMONS: usize = 8;
/// Length of the load.
const LOAD_MS: u64 = 20_000;
/// Requests per second. The service whose backend server fails gets 12 of 26, which is half of
/// what its slots carry, as in the experiment.
const RATE_PER_S: f64 = 800.0;
/// Share of the requests to the service whose backend server fails; the others have 4 each.
const FAILING_SERVICE_WEIGHT: u32 = 12;
/// Service whose backend server fails.
const FAILING_SERVICE: &str = "stock";
/// Bound for a list change to be in force everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(6);
/// Bound for new work on a backend server that leaves.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Bound for the detection of a backend server that fails hard.
const DETECTION_BOUND: Duration = Duration::from_secs(1);
/// Share of the requests that must be answered while the faults are played. One backend server
/// of 35 fails and one leaves, and the retries of callers cover both.
const ANSWERED_PERCENT: u64 = 99;
/// Name of a try whose connection broke in the report of the load.
const BROKEN_OFF: &str = "broken off";
/// Time without a request after which a backend server counts as out of work.
const NO_WORK: Duration = Duration::from_secs(1);
/// Longest watch of a failing backend server.
const DETECTION_WATCH: Duration = Duration::from_secs(5);
/// Time after which the homes of a new fleet can use their permits.
const PERMIT_WAIT: Duration = Duration::from_secs(6);
/// Time between two looks at the state of all daemons.
const SAMPLE: Duration = Duration::from_millis(20);

/// Why the demonstration could not be run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The fleet failed to start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The load failed.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The daemons did not become ready.
    #[error("the daemons were not ready in time")]
    NotReady,
}

/// Result for one promise.
#[derive(Debug, Serialize)]
pub struct Promise {
    /// What is promised.
    pub promise: &'static str,
    /// Violations seen.
    pub violations: u64,
    /// Bound.
    pub bound: String,
    /// Figure measured.
    pub figure: String,
}

/// What the demonstration found.
#[derive(Debug, Serialize)]
pub struct DemoReport {
    /// One entry per promise.
    pub promises: Vec<Promise>,
    /// Figures of the load.
    pub load: LoadReport,
}

impl DemoReport {
    /// Whether every promise was kept.
    pub fn kept(&self) -> bool {
        self.promises.iter().all(|promise| promise.violations == 0)
    }
}

/// Runs the demonstration and prints what it found; returns whether every promise was kept.
pub async fn run(json: bool) -> Result<bool, DemoError> {
    let report = play().await?;
    if json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
        return Ok(report.kept());
    }
    println!("{}", report.load.table());
    for promise in &report.promises {
        let verdict = if promise.violations == 0 {
            "ok  "
        } else {
            "FAIL"
        };
        println!(
            "{verdict} {}: {} violations; {} (bound: {})",
            promise.promise, promise.violations, promise.figure, promise.bound
        );
    }
    Ok(report.kept())
}

/// Reads the executions of all backend servers of a fleet.
struct FleetExecutions(Arc<Mutex<Fleet>>);

impl corianderworks_load::reconcile::Reconcile for FleetExecutions {
    async fn executions(&self) -> io::Result<Option<Executions>> {
        let fleet = self.0.lock().await;
        let mut all = Executions::default();
        for backend in &fleet.backends {
            all.merge(&backend.stand_in.executions());
        }
        Ok(Some(all))
    }
}

/// State of all daemons, sampled while the load runs.
#[derive(Default)]
struct Samples {
    below_floor: AtomicU64,
    most_ejected: AtomicU64,
    reverts: AtomicU64,
    count: AtomicU64,
    stop: AtomicBool,
}

/// How a failing backend server was detected.
struct Detection {
    last_request: Duration,
    requests: u64,
    ejected: Option<Duration>,
}

/// Times measured by the script of faults.
struct Script {
    in_force: Vec<Duration>,
    detection: Option<Detection>,
    drained: Option<Duration>,
    stopped_in_flight: usize,
}

async fn play() -> Result<DemoReport, DemoError> {
    let backend = BackendSettings {
        service_time: ServiceTime {
            median_ms: 20.0,
            sigma: 0.3,
            max_ms: 200.0,
        },
        ..BackendSettings::default()
    };
    let mut fleet = Fleet::start(ee_north(), backend, 40).await?;
    fleet.add_daemons(DAEMONS).await?;
    wait_ready(&fleet).await?;
    let settings = load_settings(&fleet);
    let fleet = Arc::new(Mutex::new(fleet));
    let samples = Arc::new(Samples::default());
    let sampler = tokio::spawn(sample(fleet.clone(), samples.clone()));
    let script = tokio::spawn(play_faults(fleet.clone()));
    let load = run_load(settings, &FleetExecutions(fleet.clone())).await?;
    let script = script.await.map_err(|_| DemoError::NotReady)?;
    samples.stop.store(true, Ordering::Relaxed);
    let _ = sampler.await;
    Ok(DemoReport {
        promises: judge(&load, &script, &samples),
        load,
    })
}

/// Waits until all daemons serve, know each other and hold their permits.
pub async fn wait_ready(fleet: &Fleet) -> Result<(), DemoError> {
    let ready = async {
        for (_, daemon) in &fleet.daemons {
            daemon.ready().await;
        }
        while fleet
            .daemons
            .iter()
            .any(|(_, daemon)| daemon.member_count() < fleet.daemons.len())
        {
            tokio::time::sleep(SAMPLE).await;
        }
        // A permit may be used 5 s after it was acquired, and homes acquire theirs within 1 s.
        tokio::time::sleep(PERMIT_WAIT).await;
    };
    let limit = Duration::from_secs(20);
    tokio::time::timeout(limit, ready)
        .await
        .map_err(|_| DemoError::NotReady)
}

/// Load of the demonstration: reads of all services, and orders.
pub fn load_settings(fleet: &Fleet) -> LoadSettings {
    let verb = |value, weight| Weighted { value, weight };
    let mut routes = Vec::new();
    for spec in fleet.deployment.services {
        routes.push(RouteMix {
            service: spec.name.to_owned(),
            path: format!("/{}", spec.name),
            weight: if spec.name == FAILING_SERVICE {
                FAILING_SERVICE_WEIGHT
            } else {
                4
            },
            methods: vec![verb(HttpMethod::Get, 1)],
            sizes: vec![
                Weighted {
                    value: 500,
                    weight: 8,
                },
                Weighted {
                    value: 40_000,
                    weight: 1,
                },
            ],
            request_sizes: Vec::new(),
        });
        if spec.has_orders {
            routes.push(RouteMix {
                service: spec.name.to_owned(),
                path: format!("/{}/orders", spec.name),
                weight: 2,
                methods: vec![verb(HttpMethod::Post, 1)],
                sizes: vec![Weighted {
                    value: 200,
                    weight: 1,
                }],
                request_sizes: vec![Weighted {
                    value: 300,
                    weight: 1,
                }],
            });
        }
    }
    LoadSettings {
        daemons: fleet
            .daemons
            .iter()
            .map(|(_, daemon)| daemon.http_address)
            .collect(),
        callers: 24,
        domains: fleet
            .deployment
            .domains
            .iter()
            .map(|domain| (*domain).to_owned())
            .collect(),
        customers: fleet.customer_names(),
        routes,
        keys: vec![
            Weighted {
                value: KeyKind::Issued,
                weight: 8,
            },
            Weighted {
                value: KeyKind::Own,
                weight: 1,
            },
            Weighted {
                value: KeyKind::None,
                weight: 1,
            },
        ],
        phases: vec![Phase {
            for_ms: LOAD_MS,
            rate_per_s: RATE_PER_S,
        }],
        ..LoadSettings::default()
    }
}

/// Plays the faults beside the load.
async fn play_faults(fleet: Arc<Mutex<Fleet>>) -> Script {
    let start = tokio::time::Instant::now();
    let at = |ms| tokio::time::sleep_until(start + Duration::from_millis(ms));
    at(2_000).await;
    let detection = fail_hard(&fleet, FAILING_SERVICE, "stock-1").await;
    at(5_000).await;
    let first = change_lists(&fleet, 2).await;
    at(6_000).await;
    {
        let mut fleet = fleet.lock().await;
        if let Some(backend) = fleet.backend("refill-points-2") {
            backend.stand_in.start_drain();
        }
        fleet.mark_leaving("refill-points-2");
    }
    at(10_000).await;
    let drained = {
        let fleet = fleet.lock().await;
        let stats = fleet
            .backend("refill-points-2")
            .map(|backend| backend.stand_in.stats());
        stats.map(|stats| stats.last_request_since_drain.unwrap_or_default())
    };
    let outage = PlatformFault {
        outage: true,
        ..PlatformFault::default()
    };
    fleet.lock().await.platform.set_fault(outage);
    at(13_000).await;
    fleet.lock().await.platform.set_faults(Vec::new());
    let second = change_lists(&fleet, 3).await;
    at(14_500).await;
    let (vm, daemon) = fleet.lock().await.daemons.remove(DAEMONS - 1);
    tracing::info!("demo: {} stops", vm.name);
    let entry = daemon.entry();
    daemon.stop().await;
    let stopped_in_flight = entry.in_flight();
    Script {
        in_force: [first, second].into_iter().flatten().collect(),
        detection,
        drained,
        stopped_in_flight,
    }
}

/// Lets a backend server fail every request and measures for how long it gets work.
///
/// It gets no more work once a second passes without a request; before the failure it got
/// about 46 requests/s, and trials come later. Returns the time of its last request, and the
/// time until all homes had ejected it, which needs a permit and the word of both owners.
async fn fail_hard(fleet: &Mutex<Fleet>, service: &str, name: &str) -> Option<Detection> {
    let start = Instant::now();
    let upstream = {
        let fleet = fleet.lock().await;
        let backend = fleet.backend(name)?;
        let mode = Mode::Errors {
            share: 1.0,
            status: 500,
            run_share: 0.0,
        };
        backend.stand_in.set_mode(mode);
        upstream_key(service, name, backend.vm.address)
    };
    let mut requests = 0;
    let mut last = Duration::ZERO;
    let mut ejected = None;
    while start.elapsed() < DETECTION_WATCH {
        let fleet = fleet.lock().await;
        let stats = fleet.backend(name)?.stand_in.stats();
        if stats.requests_since_mode > requests {
            requests = stats.requests_since_mode;
            last = stats.last_request_since_mode.unwrap_or_default();
        }
        let mut homes = fleet
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.is_home(service));
        if ejected.is_none() && homes.all(|(_, daemon)| daemon.ejected(service).contains(&upstream))
        {
            ejected = Some(start.elapsed());
        }
        if start.elapsed() > last + NO_WORK {
            break;
        }
        drop(fleet);
        tokio::time::sleep(SAMPLE).await;
    }
    Some(Detection {
        last_request: last,
        requests,
        ejected,
    })
}

/// Changes the lists and waits until the version is in force on all daemons.
async fn change_lists(fleet: &Mutex<Fleet>, version: u64) -> Option<Duration> {
    let start = Instant::now();
    {
        let mut fleet = fleet.lock().await;
        fleet.raise_rates(1);
        fleet.write_lists(version);
    }
    while start.elapsed() < CONFIG_BOUND {
        let fleet = fleet.lock().await;
        if fleet
            .daemons
            .iter()
            .all(|(_, daemon)| daemon.version() >= version)
        {
            return Some(start.elapsed());
        }
        drop(fleet);
        tokio::time::sleep(SAMPLE).await;
    }
    None
}

/// Looks at floors and versions until told to stop.
async fn sample(fleet: Arc<Mutex<Fleet>>, samples: Arc<Samples>) {
    let mut versions = std::collections::HashMap::new();
    while !samples.stop.load(Ordering::Relaxed) {
        {
            let fleet = fleet.lock().await;
            for spec in fleet.deployment.services {
                let mut ejected: Vec<_> = fleet
                    .daemons
                    .iter()
                    .flat_map(|(_, d)| d.ejected(spec.name))
                    .collect();
                ejected.sort_unstable();
                ejected.dedup();
                let floor = (spec.upstreams * usize::from(FLOOR_PERCENT)).div_ceil(100);
                samples
                    .most_ejected
                    .fetch_max(ejected.len() as u64, Ordering::Relaxed);
                if ejected.len() > spec.upstreams - floor {
                    samples.below_floor.fetch_add(1, Ordering::Relaxed);
                }
            }
            for (vm, daemon) in &fleet.daemons {
                let version = daemon.version();
                if versions
                    .insert(vm.name.clone(), version)
                    .is_some_and(|old| old > version)
                {
                    samples.reverts.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        samples.count.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(SAMPLE).await;
    }
}

fn judge(load: &LoadReport, script: &Script, samples: &Samples) -> Vec<Promise> {
    let of = |guarantee: &str| -> u64 {
        let found = load
            .violations
            .iter()
            .filter(|(kind, _)| kind.guarantee() == guarantee);
        found.map(|(_, violations)| violations.count).sum()
    };
    let answered_bound = load.requests * ANSWERED_PERCENT / 100;
    let most = |times: &[Duration]| times.iter().max().copied().unwrap_or_default();
    let count = samples.count.load(Ordering::Relaxed);
    let reverts = samples.reverts.load(Ordering::Relaxed);
    let late_versions = 2 - script.in_force.len() as u64;
    let cut = load.failures.get(BROKEN_OFF).copied().unwrap_or(0);
    let late = |time: Option<Duration>, bound| u64::from(time.is_none_or(|time| time > bound));
    let ms = |time: Option<Duration>| {
        time.map_or("not seen".to_owned(), |time| {
            format!("{} ms", time.as_millis())
        })
    };
    vec![
        Promise {
            promise: "P1 floor",
            violations: samples.below_floor.load(Ordering::Relaxed),
            bound: format!("at least {FLOOR_PERCENT}% of each service in service"),
            figure: format!(
                "at most {} ejected at once in {count} samples",
                samples.most_ejected.load(Ordering::Relaxed)
            ),
        },
        Promise {
            promise: "P2 complete responses",
            violations: of("P2"),
            bound: "0 wrong or partial responses".to_owned(),
            figure: format!("{} requests checked", load.requests),
        },
        Promise {
            promise: "P3 not run",
            violations: of("P3"),
            bound: "0 refused as not run and yet executed".to_owned(),
            figure: format!("{} non-idempotent requests reconciled", load.non_idempotent),
        },
        Promise {
            promise: "P4 at most once",
            violations: of("P4"),
            bound: "0 executed twice".to_owned(),
            figure: format!("{} ended unknown", load.non_idempotent_unknown),
        },
        Promise {
            promise: "no accepted request dropped",
            violations: of("no accepted request dropped"),
            bound: "0 answered with success and never executed".to_owned(),
            figure: format!("{:.0} answers/s", load.goodput_per_s),
        },
        Promise {
            promise: "P5 drain",
            violations: late(script.drained, DRAIN_BOUND),
            bound: format!("no new work after {} ms", DRAIN_BOUND.as_millis()),
            figure: format!("last new request after {}", ms(script.drained)),
        },
        Promise {
            promise: "P6 graceful shutdown",
            violations: cut + script.stopped_in_flight as u64,
            bound: "0 requests cut off".to_owned(),
            figure: format!("{} in flight at exit", script.stopped_in_flight),
        },
        Promise {
            promise: "P7 configuration",
            violations: late_versions + reverts,
            bound: format!("in force everywhere within {} ms", CONFIG_BOUND.as_millis()),
            figure: format!("slowest change {} ms", most(&script.in_force).as_millis()),
        },
        Promise {
            promise: "callers reach a working backend server",
            violations: answered_bound.saturating_sub(load.count(Outcome::Answered)),
            bound: format!("{ANSWERED_PERCENT}% of the requests answered"),
            figure: format!(
                "{} of {} answered",
                load.count(Outcome::Answered),
                load.requests
            ),
        },
        Promise {
            promise: "detection of a hard failure",
            violations: late(script.detection.as_ref().map(|d| d.last_request), DETECTION_BOUND),
            bound: format!("no new work after {} ms", DETECTION_BOUND.as_millis()),
            figure: script.detection.as_ref().map_or("not seen".to_owned(), |d| {
                format!(
                    "last new request after {}, {} failed requests, ejected everywhere after {}",
                    ms(Some(d.last_request)),
                    d.requests,
                    ms(d.ejected)
                )
            }),
        },
    ]
}
