//! Check of the fleet's guarantees under scripted faults.
//!
//! Stand-ins for the outside systems, real daemons and the load generator run in one process.

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

/// Number of daemons, two in each failure domain.
const DAEMONS: usize = 8;
/// Duration of the load in milliseconds.
const LOAD_MS: u64 = 20_000;
/// Requests per second. The service whose backend server fails receives 12 of 26 requests, which
/// is half the capacity of its slots, as in the experiment.
const RATE_PER_S: f64 = 800.0;
/// Route weight of the service whose backend server fails; the read routes of the others have 4.
const FAILING_SERVICE_WEIGHT: u32 = 12;
/// Service with the failing backend server.
const FAILING_SERVICE: &str = "stock";
/// Maximum time until a list change is in force on all daemons.
const CONFIG_BOUND: Duration = Duration::from_secs(6);
/// Maximum time for which a draining backend server receives new requests.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Maximum time for which a backend server that fails every request receives new requests.
const DETECTION_BOUND: Duration = Duration::from_secs(1);
/// Minimum share of requests that must be answered during the faults, in percent. One backend
/// server of 35 fails and one leaves; the retries of callers cover both.
const ANSWERED_PERCENT: u64 = 99;
/// Failure in the load report that counts the attempts whose connection broke.
const BROKEN_CONNECTION: &str = "broken off";
/// Time without requests after which a backend server is considered to receive no more.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Maximum time for which a failing backend server is observed.
const OBSERVATION_LIMIT: Duration = Duration::from_secs(5);
/// Time until the homes of a new fleet can use their permits.
const PERMIT_DELAY: Duration = Duration::from_secs(6);
/// Interval at which the state of all daemons is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Why the guarantees could not be checked.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The fleet failed to start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The load generator failed.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The daemons did not become ready in time, or the task that injects the faults panicked.
    #[error("the daemons were not ready in time")]
    NotReady,
}

/// Check of one guarantee.
#[derive(Debug, Serialize)]
pub struct GuaranteeCheck {
    /// Name of the guarantee.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Number of violations observed.
    pub violations: u64,
    /// Bound that the guarantee sets, as text.
    pub bound: String,
    /// Measured value, as text.
    #[serde(rename = "figure")]
    pub measured: String,
}

/// Results of all guarantee checks and of the load.
#[derive(Debug, Serialize)]
pub struct DemoReport {
    /// One entry per guarantee.
    #[serde(rename = "promises")]
    pub guarantees: Vec<GuaranteeCheck>,
    /// Report of the load generator.
    pub load: LoadReport,
}

impl DemoReport {
    /// Whether no guarantee was violated.
    pub fn passed(&self) -> bool {
        self.guarantees.iter().all(|check| check.violations == 0)
    }
}

/// Checks the guarantees and prints the results; returns whether no guarantee was violated.
pub async fn run(json: bool) -> Result<bool, DemoError> {
    let report = run_checks().await?;
    if json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
        return Ok(report.passed());
    }
    println!("{}", report.load.table());
    for check in &report.guarantees {
        let result = if check.violations == 0 {
            "ok  "
        } else {
            "FAIL"
        };
        println!(
            "{result} {}: {} violations; {} (bound: {})",
            check.guarantee, check.violations, check.measured, check.bound
        );
    }
    Ok(report.passed())
}

/// Collects the executions of all backend servers of a fleet for the reconciliation of the load.
struct FleetExecutions(Arc<Mutex<Fleet>>);

impl corianderworks_load::reconcile::Reconcile for FleetExecutions {
    async fn executions(&self) -> io::Result<Option<Executions>> {
        let fleet = self.0.lock().await;
        let mut executions = Executions::default();
        for backend in &fleet.backends {
            executions.merge(&backend.stand_in.executions());
        }
        Ok(Some(executions))
    }
}

/// Counters over samples of the state of all daemons, taken while the load runs.
#[derive(Default)]
struct Samples {
    floor_violations: AtomicU64,
    max_ejected: AtomicU64,
    version_reverts: AtomicU64,
    count: AtomicU64,
    stop: AtomicBool,
}

/// Observation of a failing backend server; times count from the start of the failure.
struct Detection {
    last_request_after: Duration,
    requests: u64,
    ejected_everywhere_after: Option<Duration>,
}

/// Measurements taken while the faults were injected.
struct FaultMeasurements {
    config_delays: Vec<Duration>,
    detection: Option<Detection>,
    last_request_after_drain: Option<Duration>,
    in_flight_at_exit: usize,
}

async fn run_checks() -> Result<DemoReport, DemoError> {
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
    let sampler = tokio::spawn(sample_state(fleet.clone(), samples.clone()));
    let faults = tokio::spawn(inject_faults(fleet.clone()));
    let load = run_load(settings, &FleetExecutions(fleet.clone())).await?;
    let faults = faults.await.map_err(|_| DemoError::NotReady)?;
    samples.stop.store(true, Ordering::Relaxed);
    let _ = sampler.await;
    Ok(DemoReport {
        guarantees: check_guarantees(&load, &faults, &samples),
        load,
    })
}

/// Waits until all daemons are ready, know each other and can use their permits; fails after 20 s.
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
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        // A permit may be used 5 s after it was acquired, and homes acquire theirs within 1 s.
        tokio::time::sleep(PERMIT_DELAY).await;
    };
    let timeout = Duration::from_secs(20);
    tokio::time::timeout(timeout, ready)
        .await
        .map_err(|_| DemoError::NotReady)
}

/// Settings of a load with reads of all services and with orders, which aren't idempotent.
pub fn load_settings(fleet: &Fleet) -> LoadSettings {
    let weighted_verb = |value, weight| Weighted { value, weight };
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
            methods: vec![weighted_verb(HttpMethod::Get, 1)],
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
        if spec.has_order_route {
            routes.push(RouteMix {
                service: spec.name.to_owned(),
                path: format!("/{}/orders", spec.name),
                weight: 2,
                methods: vec![weighted_verb(HttpMethod::Post, 1)],
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

/// Injects the faults on a fixed schedule while the load runs.
async fn inject_faults(fleet: Arc<Mutex<Fleet>>) -> FaultMeasurements {
    let start = tokio::time::Instant::now();
    let sleep_until = |ms| tokio::time::sleep_until(start + Duration::from_millis(ms));
    sleep_until(2_000).await;
    let detection = measure_hard_failure(&fleet, FAILING_SERVICE, "stock-1").await;
    sleep_until(5_000).await;
    let first_change = measure_list_change(&fleet, 2).await;
    sleep_until(6_000).await;
    {
        let mut fleet = fleet.lock().await;
        if let Some(backend) = fleet.backend("refill-points-2") {
            backend.stand_in.start_drain();
        }
        fleet.mark_leaving("refill-points-2");
    }
    sleep_until(10_000).await;
    let last_request_after_drain = {
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
    sleep_until(13_000).await;
    fleet.lock().await.platform.set_faults(Vec::new());
    let second_change = measure_list_change(&fleet, 3).await;
    sleep_until(14_500).await;
    let (vm, daemon) = fleet.lock().await.daemons.remove(DAEMONS - 1);
    tracing::info!("demo: stopping {}", vm.name);
    let entry = daemon.entry();
    daemon.stop().await;
    let in_flight_at_exit = entry.in_flight();
    FaultMeasurements {
        config_delays: [first_change, second_change]
            .into_iter()
            .flatten()
            .collect(),
        detection,
        last_request_after_drain,
        in_flight_at_exit,
    }
}

/// Makes a backend server fail every request and measures for how long it receives requests.
///
/// It is considered to receive no more once a second passes without a request; before the failure
/// it received about 46 requests/s, and trial requests come later. Returns the time of its last
/// request, and the time until all homes had ejected it, which needs a permit and the evidence of
/// both owners.
async fn measure_hard_failure(
    fleet: &Mutex<Fleet>,
    service: &str,
    name: &str,
) -> Option<Detection> {
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
    let mut last_request = Duration::ZERO;
    let mut ejected_everywhere_after = None;
    while start.elapsed() < OBSERVATION_LIMIT {
        let fleet = fleet.lock().await;
        let stats = fleet.backend(name)?.stand_in.stats();
        if stats.requests_since_mode > requests {
            requests = stats.requests_since_mode;
            last_request = stats.last_request_since_mode.unwrap_or_default();
        }
        let mut homes = fleet
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.is_home(service));
        if ejected_everywhere_after.is_none()
            && homes.all(|(_, daemon)| daemon.ejected(service).contains(&upstream))
        {
            ejected_everywhere_after = Some(start.elapsed());
        }
        if start.elapsed() > last_request + IDLE_TIME {
            break;
        }
        drop(fleet);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    Some(Detection {
        last_request_after: last_request,
        requests,
        ejected_everywhere_after,
    })
}

/// Publishes changed lists and returns the time until the version was in force on all daemons;
/// `None` when that took longer than [`CONFIG_BOUND`].
async fn measure_list_change(fleet: &Mutex<Fleet>, version: u64) -> Option<Duration> {
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
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    None
}

/// Samples the ejected backend servers and the configuration versions until `samples.stop` is set.
async fn sample_state(fleet: Arc<Mutex<Fleet>>, samples: Arc<Samples>) {
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
                    .max_ejected
                    .fetch_max(ejected.len() as u64, Ordering::Relaxed);
                if ejected.len() > spec.upstreams - floor {
                    samples.floor_violations.fetch_add(1, Ordering::Relaxed);
                }
            }
            for (vm, daemon) in &fleet.daemons {
                let version = daemon.version();
                if versions
                    .insert(vm.name.clone(), version)
                    .is_some_and(|old| old > version)
                {
                    samples.version_reverts.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        samples.count.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

fn check_guarantees(
    load: &LoadReport,
    faults: &FaultMeasurements,
    samples: &Samples,
) -> Vec<GuaranteeCheck> {
    let violations_of = |guarantee: &str| -> u64 {
        let violations = load
            .violations
            .iter()
            .filter(|(kind, _)| kind.guarantee() == guarantee);
        violations.map(|(_, v)| v.count).sum()
    };
    let answered_min = load.requests * ANSWERED_PERCENT / 100;
    let slowest = |times: &[Duration]| times.iter().max().copied().unwrap_or_default();
    let count = samples.count.load(Ordering::Relaxed);
    let version_reverts = samples.version_reverts.load(Ordering::Relaxed);
    let late_changes = 2 - faults.config_delays.len() as u64;
    let interrupted = load.failures.get(BROKEN_CONNECTION).copied().unwrap_or(0);
    let exceeds = |time: Option<Duration>, bound| u64::from(time.is_none_or(|time| time > bound));
    let format_ms = |time: Option<Duration>| {
        time.map_or("not seen".to_owned(), |time| {
            format!("{} ms", time.as_millis())
        })
    };
    vec![
        GuaranteeCheck {
            guarantee: "P1 floor",
            violations: samples.floor_violations.load(Ordering::Relaxed),
            bound: format!("at least {FLOOR_PERCENT}% of each service in service"),
            measured: format!(
                "at most {} ejected at once in {count} samples",
                samples.max_ejected.load(Ordering::Relaxed)
            ),
        },
        GuaranteeCheck {
            guarantee: "P2 complete responses",
            violations: violations_of("P2"),
            bound: "0 wrong or partial responses".to_owned(),
            measured: format!("{} requests checked", load.requests),
        },
        GuaranteeCheck {
            guarantee: "P3 not run",
            violations: violations_of("P3"),
            bound: "0 refused as not run and yet executed".to_owned(),
            measured: format!("{} non-idempotent requests reconciled", load.non_idempotent),
        },
        GuaranteeCheck {
            guarantee: "P4 at most once",
            violations: violations_of("P4"),
            bound: "0 executed twice".to_owned(),
            measured: format!("{} ended unknown", load.non_idempotent_unknown),
        },
        GuaranteeCheck {
            guarantee: "no accepted request dropped",
            violations: violations_of("no accepted request dropped"),
            bound: "0 answered with success and never executed".to_owned(),
            measured: format!("{:.0} answers/s", load.goodput_per_s),
        },
        GuaranteeCheck {
            guarantee: "P5 drain",
            violations: exceeds(faults.last_request_after_drain, DRAIN_BOUND),
            bound: format!("no new work after {} ms", DRAIN_BOUND.as_millis()),
            measured: format!(
                "last new request after {}",
                format_ms(faults.last_request_after_drain)
            ),
        },
        GuaranteeCheck {
            guarantee: "P6 graceful shutdown",
            violations: interrupted + faults.in_flight_at_exit as u64,
            bound: "0 requests cut off".to_owned(),
            measured: format!("{} in flight at exit", faults.in_flight_at_exit),
        },
        GuaranteeCheck {
            guarantee: "P7 configuration",
            violations: late_changes + version_reverts,
            bound: format!("in force everywhere within {} ms", CONFIG_BOUND.as_millis()),
            measured: format!("slowest change {} ms", slowest(&faults.config_delays).as_millis()),
        },
        GuaranteeCheck {
            guarantee: "callers reach a working backend server",
            violations: answered_min.saturating_sub(load.count(Outcome::Answered)),
            bound: format!("{ANSWERED_PERCENT}% of the requests answered"),
            measured: format!(
                "{} of {} answered",
                load.count(Outcome::Answered),
                load.requests
            ),
        },
        GuaranteeCheck {
            guarantee: "detection of a hard failure",
            violations: exceeds(
                faults.detection.as_ref().map(|d| d.last_request_after),
                DETECTION_BOUND,
            ),
            bound: format!("no new work after {} ms", DETECTION_BOUND.as_millis()),
            measured: faults.detection.as_ref().map_or("not seen".to_owned(), |d| {
                format!(
                    "last new request after {}, {} failed requests, ejected everywhere after {}",
                    format_ms(Some(d.last_request_after)),
                    d.requests,
                    format_ms(d.ejected_everywhere_after)
                )
            }),
        },
    ]
}
