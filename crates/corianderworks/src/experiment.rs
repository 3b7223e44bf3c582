//! Scripted scenarios against the decision machines, side by side with the baseline.

mod fleet;
mod measure;
mod report;
mod scenario;
mod servers;
mod traffic;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use corianderworks_decision::ids::ServiceKey;
use fleet::{Run, System};
use measure::Measures;
use scenario::{Deployment, SCENARIOS, SERVICES, Scenario, Service};

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// First seed.
    pub seed: u64,
    /// Runs of each scenario and service.
    pub runs: u32,
    /// Length of the noise scenario in hours.
    pub noise_hours: u32,
    /// Share of all slots that is busy on average, in percent.
    pub load_percent: u32,
    /// The same during the noise scenario, whose length makes it the longest.
    pub noise_load_percent: u32,
    /// Only this scenario, by the name that the table shows.
    pub scenario: Option<String>,
    /// Worker threads.
    pub threads: usize,
    /// Prints JSON instead of a table.
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

/// Error of the experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// No scenario has this name.
    #[error("no scenario is named `{0}`")]
    UnknownScenario(String),
    /// The result could not be written as JSON.
    #[error("cannot write the result as JSON")]
    Json(#[from] serde_json::Error),
}

/// One run to do.
#[derive(Debug, Clone, Copy)]
struct Job {
    scenario: Scenario,
    system: System,
    service: Service,
    seed: u64,
}

/// Figures by scenario, deployment and system.
type Results = BTreeMap<(Scenario, Deployment, bool), Measures>;

/// Runs the scenarios and prints the result.
pub fn run(options: ExperimentOptions) -> Result<(), ExperimentError> {
    let selected = select(&options)?;
    let results = run_jobs(&jobs(&selected, &options), &options);
    let rows = report::rows(&results);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        println!("{}", report::table(&rows));
    }
    Ok(())
}

fn select(options: &ExperimentOptions) -> Result<Vec<Scenario>, ExperimentError> {
    let Some(name) = &options.scenario else {
        return Ok(SCENARIOS.to_vec());
    };
    let found = SCENARIOS.iter().find(|s| report::name(s) == *name);
    let scenario = found.ok_or_else(|| ExperimentError::UnknownScenario(name.clone()))?;
    Ok(vec![*scenario])
}

fn jobs(selected: &[Scenario], options: &ExperimentOptions) -> Vec<Job> {
    let mut jobs = Vec::new();
    // The longest scenario comes first, so that the threads finish together.
    for scenario in selected.iter().rev() {
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
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Results::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let measures = run_job(job, options);
                    let key = (
                        job.scenario,
                        job.service.deployment,
                        job.system == System::Baseline,
                    );
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.entry(key).or_default().add(&measures);
                }
            });
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn run_job(job: &Job, options: &ExperimentOptions) -> Measures {
    let noise = Duration::from_secs(3600) * options.noise_hours;
    let load = match job.scenario {
        Scenario::Noise => options.noise_load_percent,
        _ => options.load_percent,
    };
    // Services of the same size would otherwise repeat the same runs.
    let seed = job.seed ^ ServiceKey::of(job.service.name).0;
    Run::new(job.system, job.scenario, job.service, seed, load, noise).run()
}
