//! Dispatch of commands, their errors and exit codes.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use corianderworks_lists::parse::Problems;
use serde::Serialize;

use crate::cli::{Corianderworks, CorianderworksCmd, KeysCmd, StandInCmd};
use crate::list_store::StoreError;
use crate::platform::PlatformError;
use crate::{
    capacity, compare, demo, keys_commands, lists_commands, measure_commands, run_commands,
    status_commands, trace,
};

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A promise was missed, or an error without a class of its own.
    #[error("{0}")]
    Failed(String),
    /// The lists or settings are invalid.
    #[error("{0}")]
    Invalid(#[from] Problems),
    /// The arguments do not fit together.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read or written.
    #[error("cannot {action} {}: {error}", path.display())]
    File {
        /// `read` or `write`.
        action: &'static str,
        /// File concerned.
        path: PathBuf,
        /// Cause.
        error: std::io::Error,
    },
    /// Another change was committed first.
    #[error("{0}")]
    Outdated(String),
    /// The platform or the daemon cannot be reached.
    #[error("{0}")]
    Unavailable(String),
    /// The result of a change is not known.
    #[error("{0}")]
    Undetermined(String),
}

impl CommandError {
    /// Returns the documented exit code.
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

/// Runs a command.
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
        CorianderworksCmd::Edge(_) => run_commands::edge().await,
        CorianderworksCmd::Daemon(flags) => run_commands::daemon(&flags).await,
        CorianderworksCmd::StandIn(stand_in) => match stand_in.subcommand {
            StandInCmd::Platform(flags) => run_commands::platform(&flags).await,
            StandInCmd::Backend(flags) => run_commands::backend(&flags).await,
        },
        CorianderworksCmd::Load(flags) => measure_commands::load(&flags).await,
        CorianderworksCmd::Demo(flags) => kept(demo::run(flags.json).await),
        CorianderworksCmd::Experiment(flags) => measure_commands::experiment(&flags).await,
        CorianderworksCmd::Latency(flags) => measure_commands::latency(&flags).await,
        CorianderworksCmd::Compare(flags) => kept(compare::run(flags.json).await),
        CorianderworksCmd::Capacity(flags) => capacity::run(flags.json, flags.svg.as_deref())
            .map_err(|error| CommandError::Failed(error.to_string())),
    }
}

/// Turns the result of a measurement with a verdict into that of its command.
pub(crate) fn kept<E>(result: Result<bool, E>) -> Result<(), CommandError>
where
    E: Display,
{
    match result {
        Ok(true) => Ok(()),
        Ok(false) => Err(CommandError::Failed("a bound was missed".to_owned())),
        Err(error) => Err(CommandError::Failed(error.to_string())),
    }
}

/// Prints a result as JSON or as text for people.
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

/// Reads a text file.
pub fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::File {
        action: "read",
        path: path.to_owned(),
        error,
    })
}

/// Replaces a text file.
pub fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|error| CommandError::File {
        action: "write",
        path: path.to_owned(),
        error,
    })
}
