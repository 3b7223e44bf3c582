//! Entry point of the `corianderworks` program.

use std::process::ExitCode;

use corianderworks::{cli, commands};
use tokio::runtime::{Builder, Runtime};

/// Builds the Tokio runtime. An edge daemon is allotted only a part of one core, so it runs on one
/// thread.
fn runtime(arguments: &cli::Corianderworks) -> std::io::Result<Runtime> {
    let mut builder = match arguments.subcommand {
        cli::CorianderworksCmd::Edge(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

fn main() -> ExitCode {
    let arguments = cli::Corianderworks::from_env_or_exit();
    let runtime = match runtime(&arguments) {
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
