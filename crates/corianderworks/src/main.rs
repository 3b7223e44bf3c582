//! The corianderworks binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    match std::env::args().nth(1).as_deref() {
        Some("demo") => {
            let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
            match runtime.block_on(corianderworks::demo::run(false)) {
                Ok(true) => ExitCode::SUCCESS,
                Ok(false) => ExitCode::FAILURE,
                Err(error) => {
                    eprintln!("demo: {error}");
                    ExitCode::FAILURE
                }
            }
        }
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
