//! Commands that run until a signal arrives: the daemons and the stand-ins, which simulate the
//! platform and backend servers.

use std::io;
use std::path::Path;

use corianderworks_lists::settings::LogFormat;
use corianderworks_standin::backend::BackendStandIn;
use corianderworks_standin::platform::PlatformStandIn;
use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli;
use crate::commands::{CommandError, read_file};
use crate::daemon::Daemon;
use crate::lists_commands::read_settings;
use crate::telemetry::start_logs;

/// Runs an edge daemon until it is stopped. Its settings come from the users' platform.
pub async fn edge() -> Result<(), CommandError> {
    use corianderworks_edge::daemon::{DaemonError, run};
    run().await.map_err(|error| match error {
        DaemonError::Settings(error) => CommandError::Usage(error.to_string()),
        error => failed(error),
    })
}

/// Runs a daemon. The first signal starts a graceful shutdown; the second ends the process
/// immediately.
pub async fn daemon(flags: &cli::Daemon) -> Result<(), CommandError> {
    let settings = read_settings(&flags.settings)?;
    start_logs(settings.log).map_err(failed)?;
    let mut signals = Signals::new().map_err(failed)?;
    let daemon = Daemon::start(settings).await.map_err(failed)?;
    let stop_handle = daemon.stop_handle();
    let running = daemon.run_until_stopped();
    tokio::pin!(running);
    tokio::select! {
        () = &mut running => return Ok(()),
        () = signals.next() => {}
    }
    tracing::info!("daemon: received a signal, starting a graceful shutdown");
    stop_handle.stop().await;
    tokio::select! {
        () = running => Ok(()),
        () = signals.next() => {
            let message = "ended by a second signal before the graceful shutdown was complete";
            Err(CommandError::Failed(message.to_owned()))
        }
    }
}

/// Runs the simulator of the platform until a signal arrives.
pub async fn platform(flags: &cli::Platform) -> Result<(), CommandError> {
    let settings = settings_or_default(flags.settings.as_deref())?;
    start_logs(LogFormat::Text).map_err(failed)?;
    let mut signals = Signals::new().map_err(failed)?;
    let stand_in = PlatformStandIn::start(flags.listen, settings)
        .await
        .map_err(failed)?;
    tracing::info!("stand-in: platform on {}", stand_in.address());
    signals.next().await;
    stand_in.stop().await;
    Ok(())
}

/// Runs the simulator of a backend server until a signal arrives.
pub async fn backend(flags: &cli::Backend) -> Result<(), CommandError> {
    let settings = settings_or_default(flags.settings.as_deref())?;
    start_logs(LogFormat::Text).map_err(failed)?;
    let mut signals = Signals::new().map_err(failed)?;
    let stand_in = BackendStandIn::start(flags.listen, settings)
        .await
        .map_err(failed)?;
    tracing::info!("stand-in: backend server on {}", stand_in.address());
    signals.next().await;
    stand_in.stop().await;
    Ok(())
}

/// Streams of SIGTERM and SIGINT, which both ask for a shutdown.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for either signal.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reads a settings file that contains JSON with comments.
pub(crate) fn json_settings<T>(file: &Path) -> Result<T, CommandError>
where
    T: DeserializeOwned,
{
    let text = read_file(file)?;
    let invalid = |error: String| CommandError::Usage(format!("{}: {error}", file.display()));
    let value = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| invalid(error.to_string()))?;
    let value = value.ok_or_else(|| invalid("the file is empty".to_owned()))?;
    serde_json::from_value(value).map_err(|error| invalid(error.to_string()))
}

fn settings_or_default<T>(file: Option<&Path>) -> Result<T, CommandError>
where
    T: DeserializeOwned + Default,
{
    file.map_or_else(|| Ok(T::default()), json_settings)
}

fn failed(error: impl std::fmt::Display) -> CommandError {
    CommandError::Failed(error.to_string())
}
