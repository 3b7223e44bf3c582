//! Subcommands that generate load or run measurements.

use corianderworks_lists::settings::LogFormat;
use corianderworks_load::reconcile::{ControlAddresses, NotReconciled};
use corianderworks_load::{LoadError, LoadReport, LoadSettings, plot};

use crate::cli;
use crate::commands::{CommandError, measurement_result, write_file};
use crate::experiment::{self, ExperimentOptions};
use crate::latency;
use crate::run_commands::json_settings;
use crate::telemetry::start_logs;

/// Default number of requests on each path.
const DEFAULT_LATENCY_REQUESTS: u32 = 5_000;

/// Runs the load generator, prints its report and fails when a guarantee was violated.
///
/// With control addresses of backend stand-ins, the responses are compared with the executions
/// there.
pub async fn load(flags: &cli::Load) -> Result<(), CommandError> {
    let settings: LoadSettings = json_settings(&flags.settings)?;
    start_logs(LogFormat::Text).map_err(|e| CommandError::Failed(e.to_string()))?;
    let report = if flags.control.is_empty() {
        corianderworks_load::run(settings, &NotReconciled).await
    } else {
        let control_addresses = ControlAddresses(flags.control.clone());
        corianderworks_load::run(settings, &control_addresses).await
    };
    let report = report.map_err(|error| match error {
        LoadError::Settings(error) => CommandError::Usage(error.to_string()),
        error => CommandError::Failed(error.to_string()),
    })?;
    if let Some(file) = &flags.plot {
        let svg = plot::svg(&report).map_err(|e| CommandError::Failed(e.to_string()))?;
        write_file(file, &svg)?;
    }
    print_report(&report, flags.json)?;
    match report.violation_count() {
        0 => Ok(()),
        count => Err(CommandError::Failed(format!("{count} violations"))),
    }
}

fn print_report(report: &LoadReport, json: bool) -> Result<(), CommandError> {
    if !json {
        println!("{}", report.table());
        return Ok(());
    }
    let text = report
        .to_json()
        .map_err(|e| CommandError::Failed(format!("cannot serialise the report as JSON: {e}")))?;
    println!("{text}");
    Ok(())
}

/// Runs the scripted scenarios of the experiment on a blocking thread.
pub async fn experiment(flags: &cli::Experiment) -> Result<(), CommandError> {
    let default = ExperimentOptions::default();
    let options = ExperimentOptions {
        seed: flags.seed.unwrap_or(default.seed),
        runs: flags.runs.unwrap_or(default.runs),
        noise_hours: flags.noise_hours.unwrap_or(default.noise_hours),
        scenario: flags.scenario.clone(),
        json: flags.json,
        ..default
    };
    let result = tokio::task::spawn_blocking(move || experiment::run(options)).await;
    match result.map_err(|e| CommandError::Failed(e.to_string()))? {
        Ok(()) => Ok(()),
        Err(error @ experiment::ExperimentError::UnknownScenario(_)) => {
            Err(CommandError::Usage(error.to_string()))
        }
        Err(error) => Err(CommandError::Failed(error.to_string())),
    }
}

/// Measures the latency that daemons add to a request; fails when the target is missed.
pub async fn latency(flags: &cli::Latency) -> Result<(), CommandError> {
    let requests = flags.requests.unwrap_or(DEFAULT_LATENCY_REQUESTS);
    measurement_result(latency::run(requests, flags.json).await)
}
