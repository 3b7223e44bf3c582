//! The corianderworks binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("demo") => corianderworks::demo::main(),
        _ => ExitCode::from(2),
    }
}
