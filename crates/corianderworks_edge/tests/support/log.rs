//! Log of the daemons in the test process. All tests of a file share it.

use std::io::Write;
use std::sync::OnceLock;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::RESPONSE_TIMEOUT;

static LOG: Log = Log(Mutex::new(Vec::new()));
static INSTALLED: OnceLock<()> = OnceLock::new();

/// Lines that were written since the first test of the file that reads them.
pub struct Log(Mutex<Vec<u8>>);

impl Write for &Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Log {
    /// Returns the log, which is kept from the first call on.
    pub fn start() -> &'static Self {
        INSTALLED.get_or_init(|| {
            let subscriber = tracing_subscriber::fmt()
                .json()
                .flatten_event(true)
                .with_writer(|| &LOG)
                .finish();
            tracing::subscriber::set_global_default(subscriber).expect("the only subscriber");
        });
        &LOG
    }

    /// Returns the lines with a message and a value of a field.
    pub fn lines(&self, message: &str, (field, value): (&str, &str)) -> Vec<Value> {
        let text = String::from_utf8_lossy(&self.0.lock()).into_owned();
        let lines = text.lines().map(|l| serde_json::from_str(l).unwrap());
        lines
            .filter(|l: &Value| l["message"] == message && l[field] == value)
            .collect()
    }

    /// Waits for a line with a message and a value of a field.
    pub async fn line(&self, message: &str, field: (&str, &str)) -> Value {
        let started = Instant::now();
        loop {
            if let Some(line) = self.lines(message, field).into_iter().next() {
                return line;
            }
            assert!(started.elapsed() < RESPONSE_TIMEOUT, "no line `{message}`");
            sleep(Duration::from_millis(5)).await;
        }
    }
}
