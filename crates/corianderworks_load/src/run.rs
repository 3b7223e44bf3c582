//! Open-loop execution of a request mix.

use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::caller::Caller;
use crate::mix::{PlannedRequest, RequestMix};
use crate::outcome::Outcome;
use crate::reconcile::Reconcile;
use crate::recorder::Recorder;
use crate::report::LoadReport;
use crate::settings::{LoadSettings, SettingsError};

/// Error that prevents a run or its report.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The settings are invalid; nothing was sent.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The scheduling thread could not be started; nothing was sent.
    #[error("load: cannot start the scheduling thread: {0}")]
    Thread(io::Error),
    /// The executions could not be read after the load, so the run has no report.
    #[error("load: cannot read the executions of the backend servers: {0}")]
    Executions(io::Error),
}

/// Sends the request mix, waits for all requests to end and reconciles their outcomes with the
/// executions.
pub async fn run<R>(settings: LoadSettings, reconcile: &R) -> Result<LoadReport, LoadError>
where
    R: Reconcile + Sync,
{
    settings.check()?;
    let settings = Arc::new(settings);
    let callers: Vec<_> = (0..settings.callers)
        .map(|index| Arc::new(Caller::new(settings.clone(), index)))
        .collect();
    let started = Instant::now();
    let recorder = Recorder::new(Duration::from_millis(settings.interval_ms));
    let recorder = Arc::new(Mutex::new(recorder));
    {
        let in_flight = Arc::new(Semaphore::new(settings.in_flight));
        let mut due_requests = schedule(&settings, started)?;
        let progress = tokio::spawn(report_progress(
            settings.progress_ms,
            started,
            recorder.clone(),
        ));
        let _progress = AbortOnDrop(progress);
        while let Some(planned) = due_requests.recv().await {
            // Never fails, because the semaphore is never closed.
            let Ok(permit) = in_flight.clone().acquire_owned().await else {
                break;
            };
            let caller = callers[planned.caller].clone();
            let recorder = recorder.clone();
            let intended = started + planned.at;
            tokio::spawn(async move {
                let finished = caller.send(planned, intended).await;
                recorder.lock().record(started.elapsed(), finished);
                drop(permit);
            });
        }
        // All permits are available again once every request has ended.
        let _ = in_flight.acquire_many(settings.in_flight as u32).await;
    }
    sleep(Duration::from_millis(settings.settle_ms)).await;
    let executions = reconcile
        .executions()
        .await
        .map_err(LoadError::Executions)?;
    let address_failures = callers.iter().map(|c| c.address_failures()).sum();
    let mut recorder = recorder.lock();
    let report = LoadReport::new(
        &settings,
        &mut recorder,
        executions.as_ref(),
        address_failures,
    );
    tracing::info!(
        "load: run finished with {} violations",
        report.violation_count()
    );
    Ok(report)
}

/// Starts a thread that sends each request over the returned channel at its intended send time. A
/// dedicated thread is used because tokio timers round up to a millisecond.
fn schedule(
    settings: &Arc<LoadSettings>,
    started: Instant,
) -> Result<mpsc::UnboundedReceiver<PlannedRequest>, LoadError> {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let run = epoch.unwrap_or_default().as_micros() as u64;
    let mix = RequestMix::new(settings, run);
    let (sender, due_requests) = mpsc::unbounded_channel();
    std::thread::Builder::new()
        .name("load-schedule".to_owned())
        .spawn(move || {
            for planned in mix {
                std::thread::sleep(planned.at.saturating_sub(started.elapsed()));
                if sender.send(planned).is_err() {
                    break;
                }
            }
        })
        .map_err(LoadError::Thread)?;
    Ok(due_requests)
}

/// Aborts a task that never returns by itself.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn report_progress(progress_ms: u64, started: Instant, recorder: Arc<Mutex<Recorder>>) {
    if progress_ms == 0 {
        return;
    }
    let mut ticks = interval(Duration::from_millis(progress_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let recorder = recorder.lock();
        let count = |outcome| recorder.outcomes.get(&outcome).copied().unwrap_or(0);
        tracing::info!(
            "load: {} s, {} answered, {} not run, {} unknown, {} error status, {} unsent, \
             {} wrong, p99 {} us",
            started.elapsed().as_secs(),
            count(Outcome::Answered),
            count(Outcome::NotRun),
            count(Outcome::Unknown),
            count(Outcome::ErrorStatus),
            count(Outcome::Unsent),
            count(Outcome::Wrong),
            recorder.latency.latency().p99_us,
        );
    }
}
