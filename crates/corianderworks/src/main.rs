//! The corianderworks binary.

use std::process::ExitCode;

use corianderworks::{cli, commands};

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
