//! The corianderworks binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("demo") => corianderworks::demo::main(),
        Some("latency") => {
            let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
            match runtime.block_on(corianderworks::latency::run(5_000, false)) {
                Ok(true) => ExitCode::SUCCESS,
                Ok(false) => ExitCode::FAILURE,
                Err(error) => {
                    eprintln!("latency: {error}");
                    ExitCode::FAILURE
                }
            }
        }
        _ => ExitCode::from(2),
    }
}
