//! Seeded simulation of the request scheduler under scripted faults, compared with a baseline.
//!
//! In the baseline each daemon balances and ejects on its own.

mod measure;
mod report;
mod scenario;
mod servers;
mod simulation;
mod traffic;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use corianderworks_decision::ids::ServiceKey;
use measure::Measurements;
use scenario::{Deployment, SCENARIOS, SERVICES, Scenario, Service};
use simulation::{Simulation, System};

/// Options of the `experiment` command.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Seed of the first run of each scenario and service; each further run adds 1.
    pub seed: u64,
    /// Number of runs of each scenario and service; the noise scenario always runs once.
    pub runs: u32,
    /// Simulated duration of the noise scenario, in hours.
    pub noise_hours: u32,
    /// Mean share of slots that are busy, in percent.
    pub load_percent: u32,
    /// Mean share of slots that are busy in the noise scenario, in percent; this scenario takes the
    /// longest to simulate.
    pub noise_load_percent: u32,
    /// Name of the only scenario to run, as printed in the table; `None` runs all.
    pub scenario: Option<String>,
    /// Number of worker threads; 0 counts as 1.
    pub threads: usize,
    /// Print JSON instead of a table.
    pub json: bool,
}

impl Default for ExperimentOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            runs: 20,
            noise_hours: 24,
            load_percent: 50,
            noise_load_percent: 10,
            scenario: None,
            threads: 4,
            json: false,
        }
    }
}

/// Why the experiment could not run or print its result.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// No scenario has this name.
    #[error("no scenario is named `{0}`")]
    UnknownScenario(String),
    /// The result could not be serialised as JSON.
    #[error("cannot serialise the result as JSON")]
    Json(#[from] serde_json::Error),
}

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
struct Job {
    scenario: Scenario,
    system: System,
    service: Service,
    seed: u64,
}

/// Measurements by scenario, deployment and whether the system is the baseline.
type Results = BTreeMap<(Scenario, Deployment, bool), Measurements>;

/// Runs the selected scenarios and prints a table or JSON.
pub fn run(options: ExperimentOptions) -> Result<(), ExperimentError> {
    let scenarios = select_scenarios(&options)?;
    let results = run_jobs(&create_jobs(&scenarios, &options), &options);
    let rows = report::rows(&results);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        println!("{}", report::table(&rows));
    }
    Ok(())
}

fn select_scenarios(options: &ExperimentOptions) -> Result<Vec<Scenario>, ExperimentError> {
    let Some(name) = &options.scenario else {
        return Ok(SCENARIOS.to_vec());
    };
    let found = SCENARIOS
        .iter()
        .find(|s| report::serialized_name(s) == *name);
    let scenario = found.ok_or_else(|| ExperimentError::UnknownScenario(name.clone()))?;
    Ok(vec![*scenario])
}

fn create_jobs(scenarios: &[Scenario], options: &ExperimentOptions) -> Vec<Job> {
    let mut jobs = Vec::new();
    // The noise scenario takes longest and is started first, so that the threads finish together.
    for scenario in scenarios.iter().rev() {
        let runs = if *scenario == Scenario::Noise {
            1
        } else {
            options.runs
        };
        for service in SERVICES {
            for system in [System::Fleet, System::Baseline] {
                let job = |run| Job {
                    scenario: *scenario,
                    system,
                    service,
                    seed: options.seed + u64::from(run),
                };
                jobs.extend((0..runs).map(job));
            }
        }
    }
    jobs
}

fn run_jobs(jobs: &[Job], options: &ExperimentOptions) -> Results {
    let next_job = AtomicUsize::new(0);
    let results = Mutex::new(Results::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next_job.fetch_add(1, Ordering::Relaxed)) {
                    let measurements = run_job(job, options);
                    let key = (
                        job.scenario,
                        job.service.deployment,
                        job.system == System::Baseline,
                    );
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.entry(key).or_default().merge(&measurements);
                }
            });
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn run_job(job: &Job, options: &ExperimentOptions) -> Measurements {
    let noise_duration = Duration::from_secs(3600) * options.noise_hours;
    let load_percent = match job.scenario {
        Scenario::Noise => options.noise_load_percent,
        _ => options.load_percent,
    };
    // Without the service in the seed, services of the same size would repeat the same runs.
    let seed = job.seed ^ ServiceKey::of(job.service.name).0;
    Simulation::new(
        job.system,
        job.scenario,
        job.service,
        seed,
        load_percent,
        noise_duration,
    )
    .run()
}
