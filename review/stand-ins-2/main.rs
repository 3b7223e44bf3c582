//! Stand-ins and scripts of the second review. `review-2 CASE DIRECTORY TROUBLE` plays a case and writes
//! `record.txt` into the directory. It exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case couldn't run. If TROUBLE is 0, the disruption is left out.

mod fleet;
mod http;
mod memory_limit;
mod pausing_upstream;
mod reset_early_answer;
mod slow_reading_client;
mod slow_reading_upstream;
mod store;
mod upstream;

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((
            Instant::now(),
            Mutex::new(File::create(path)?),
        ))))
    }

    pub fn note(&self, text: &str) {
        let seconds = self.0.0.elapsed().as_secs_f64();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s {text}");
    }
}

/// How many times the rule was broken, and the count up to which it holds.
pub struct Verdict {
    pub broken: usize,
    pub allowed: usize,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, directory, trouble] = &arguments[..] else {
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let played = Record::create(&Path::new(directory).join("record.txt")).and_then(|record| {
        record.note(&format!("case {case}, disruption: {trouble}"));
        let verdict = match case.as_str() {
            "memory-limit" => memory_limit::play(&record, trouble),
            "pausing-upstream" => pausing_upstream::play(&record, trouble),
            "reset-early-answer" => reset_early_answer::play(&record, trouble),
            "slow-reading-client" => slow_reading_client::play(&record, trouble),
            "slow-reading-upstream" => slow_reading_upstream::play(&record, trouble),
            _ => Err(io::Error::other("unknown case")),
        };
        if let Err(error) = &verdict {
            record.note(&format!("could not run: {error}"));
        }
        verdict.inspect(|v| {
            let held = if v.broken > v.allowed {
                "BROKEN"
            } else {
                "held"
            };
            record.note(&format!(
                "rule {held}: {} times, allowed {}",
                v.broken, v.allowed
            ));
        })
    });
    match played {
        Ok(Verdict { broken, allowed }) => {
            println!("{case}: {broken} times, allowed {allowed}");
            ExitCode::from(u8::from(broken > allowed))
        }
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
