//! Dispatch of commands, and their errors and exit codes.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use corianderworks_lists::parse::Diagnostics;
use serde::Serialize;

use crate::cli::{Corianderworks, CorianderworksCmd, KeysCmd, StandInCmd};
use crate::list_store::StoreError;
use crate::platform::PlatformError;
use crate::{
    capacity, check_commands, compare, completion, demo, keys_commands, lists_commands,
    measure_commands, run_commands, status_commands, trace,
};

/// Error of a command. Its variant determines the exit code.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A measured guarantee was violated, or the command failed for a reason without a variant.
    #[error("{0}")]
    Failed(String),
    /// The lists or the settings of a daemon are invalid.
    #[error("{0}")]
    Invalid(#[from] Diagnostics),
    /// The arguments or the files that they name are invalid.
    #[error("{0}")]
    Usage(String),
    /// A file or folder cannot be read or written.
    #[error("cannot {action} {}: {error}", path.display())]
    File {
        /// What was attempted: `read` or `write`.
        action: &'static str,
        /// Path of the file or folder.
        path: PathBuf,
        /// Error reported by the operating system.
        error: std::io::Error,
    },
    /// Another change of the lists was committed first; nothing was changed.
    #[error("{0}")]
    Outdated(String),
    /// The platform or the daemon cannot be reached; nothing was changed.
    #[error("{0}")]
    Unavailable(String),
    /// It is unknown whether the change took effect.
    #[error("{0}")]
    Undetermined(String),
}

impl CommandError {
    /// Returns the exit code of the variant, as documented in [`cli`](crate::cli).
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::Invalid(_) | Self::Usage(_) | Self::File { .. } => 2,
            Self::Outdated(_) => 3,
            Self::Unavailable(_) => 4,
            Self::Undetermined(_) => 5,
        })
    }
}

impl From<PlatformError> for CommandError {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Path(_) => Self::Usage(error.to_string()),
            error => Self::Unavailable(error.to_string()),
        }
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Platform(error) => error.into(),
            StoreError::NoVersion(_) | StoreError::Empty => Self::Usage(error.to_string()),
            StoreError::Manifest(_) | StoreError::Read(_) => Self::Failed(error.to_string()),
        }
    }
}

/// Runs the command that the arguments select.
pub async fn run(arguments: Corianderworks) -> Result<(), CommandError> {
    match arguments.subcommand {
        CorianderworksCmd::Lists(lists) => lists_commands::run(lists.subcommand).await,
        CorianderworksCmd::Audit(audit) => lists_commands::audit(&audit).await,
        CorianderworksCmd::Status(status) => status_commands::status(&status).await,
        CorianderworksCmd::Explain(explain) => status_commands::explain(&explain).await,
        CorianderworksCmd::Trace(flags) => trace::run(&flags),
        CorianderworksCmd::Keys(keys) => match keys.subcommand {
            KeysCmd::New(new) => keys_commands::new(&new),
        },
        CorianderworksCmd::CheckSettings(flags) => check_commands::check_settings(&flags),
        CorianderworksCmd::CheckDeploy(flags) => check_commands::check_deploy(&flags),
        CorianderworksCmd::Completion(flags) => completion::run(&flags),
        CorianderworksCmd::Edge(_) => run_commands::edge().await,
        CorianderworksCmd::Daemon(flags) => run_commands::daemon(&flags).await,
        CorianderworksCmd::StandIn(stand_in) => match stand_in.subcommand {
            StandInCmd::Platform(flags) => run_commands::platform(&flags).await,
            StandInCmd::Backend(flags) => run_commands::backend(&flags).await,
        },
        CorianderworksCmd::Load(flags) => measure_commands::load(&flags).await,
        CorianderworksCmd::Demo(flags) => measurement_result(demo::run(flags.json).await),
        CorianderworksCmd::Experiment(flags) => measure_commands::experiment(&flags).await,
        CorianderworksCmd::Latency(flags) => measure_commands::latency(&flags).await,
        CorianderworksCmd::Compare(flags) => measurement_result(compare::run(flags.json).await),
        CorianderworksCmd::Capacity(flags) => capacity::run(flags.json, flags.svg.as_deref())
            .map_err(|error| CommandError::Failed(error.to_string())),
    }
}

/// Converts the result of a measurement to that of its command; `Ok(false)` means that a
/// measured value violated its bound.
pub(crate) fn measurement_result<E>(result: Result<bool, E>) -> Result<(), CommandError>
where
    E: Display,
{
    match result {
        Ok(true) => Ok(()),
        Ok(false) => Err(CommandError::Failed(
            "a measured value violated its bound".to_owned(),
        )),
        Err(error) => Err(CommandError::Failed(error.to_string())),
    }
}

/// Prints a result to standard output, either `value` as JSON or `text`.
pub fn print<T, D>(json: bool, value: &T, text: D) -> Result<(), CommandError>
where
    T: Serialize,
    D: Display,
{
    if !json {
        println!("{text}");
        return Ok(());
    }
    let line = serde_json::to_string_pretty(value)
        .map_err(|e| CommandError::Failed(format!("cannot print JSON: {e}")))?;
    println!("{line}");
    Ok(())
}

/// Reads a UTF-8 text file.
pub fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::File {
        action: "read",
        path: path.to_owned(),
        error,
    })
}

/// Writes a text file, replacing an existing one.
pub fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|error| CommandError::File {
        action: "write",
        path: path.to_owned(),
        error,
    })
}
