//! The corianderworks binary.

mod alarms;
mod capacity;
mod cli;
mod commands;
mod control;
mod daemon;
mod demo;
mod experiment;
mod grants;
mod kernel;
mod keys;
mod keys_commands;
mod list_store;
mod lists_commands;
mod peer;
mod platform;
mod proxy;
mod reasons;
mod relay;
mod status_commands;
mod status_types;
mod telemetry;
mod upstream;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = cli::Corianderworks::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
