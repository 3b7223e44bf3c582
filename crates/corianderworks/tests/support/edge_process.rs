//! Edge daemon as a process.

use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Starts an edge daemon with a settings file.
pub fn start<O, E>(settings: &Path, stdout: O, stderr: E) -> Child
where
    O: Into<Stdio>,
    E: Into<Stdio>,
{
    command(settings)
        .stdout(stdout)
        .stderr(stderr)
        .spawn()
        .expect("a process")
}

/// Returns the command that starts an edge daemon with a settings file.
pub fn command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corianderworks"));
    command
        .arg("edge")
        .env("CORIANDERWORKS_BOOT", settings)
        .stdin(Stdio::null());
    command
}
