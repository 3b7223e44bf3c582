//! Edge daemon as a process with limits of its own, and what the system says about it.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::edge_process;

const CALLERS_PORT: u16 = 8_080;
const READY_PORT: u16 = 8_081;
const DIRECTORY_PORT: u16 = 8_083;
const PEERS_PORT: u16 = 7_620;
const METRICS_PORT: u16 = 9_464;
/// Time limit for a process to become ready on a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Memory of the VM, in megabytes of a million bytes. About a third of it is the daemon without
/// callers.
pub const MEMORY_MB: usize = 64;
/// Descriptors that the VM has for the daemon.
pub const FILE_DESCRIPTORS: usize = 400;

/// Returns the configuration of the store. Its limits are longer than a crowd is observed, so that no
/// timeout ends the crowd.
pub fn configuration() -> Value {
    json!({
        "version": "r1",
        "services": [{"name": "ledger", "healthCheckPath": "/health", "maxConnections": 4000}],
        "limits": {"maxHeaderBytes": 65536, "maxBodyBytes": 8_000_000, "headerTimeoutMs": 30_000,
                   "idleTimeoutMs": 30_000},
        "hosts": [{"host": "shop.example", "paths": [
            {"name": "read", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 10_000,
             "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2, "service": "ledger"}]}],
    })
}

/// Daemon process, which is killed when it is dropped.
pub struct Daemon {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    directory: PathBuf,
    process: Child,
}

impl Daemon {
    /// Starts a daemon on the loopback address 127.0.8.`number` and waits until it is ready.
    pub async fn start(number: u8, store: SocketAddr) -> Self {
        Self::start_with_output(number, store, None, None).await
    }

    /// Same with a log filter, and with another output for the log than a file.
    pub async fn start_with_output(
        number: u8,
        store: SocketAddr,
        log_filter: Option<&str>,
        output: Option<Stdio>,
    ) -> Self {
        let name = format!("corianderworks-crowd-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a directory");
        let ip = format!("127.0.8.{number}");
        let settings = directory.join("settings.toml");
        let text = format!(
            "nodeName = \"vm-{number}\"\nip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\n\
             internalPortRange = [{PEERS_PORT}, {}]\nseeds = []\nbootstrap = true\n\
             bounds = [\"gracePeriodS=6\", \"retryBudgetRatio=0.2\", \"budgetWindowS=10\", \
             \"retryBudgetExtra=60\", \"ttl_max_s=5\"]\n\
             [listen]\nfront = \"{ip}:{CALLERS_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [limits]\ncpuShare = 0.2\ncores = 1\nmemoryMb = {MEMORY_MB}\n\
             fileDescriptors = {FILE_DESCRIPTORS}\n\
             [platform]\naddress = \"{store}\"\n",
            PEERS_PORT + 15
        );
        std::fs::write(&settings, text).expect("settings are written");
        let log_file =
            |kind: &str| Stdio::from(File::create(directory.join(kind)).expect("a log file"));
        let mut command = edge_process::command(&settings);
        if let Some(filter) = log_filter {
            command.env("RUST_LOG", filter);
        }
        let output = output.unwrap_or_else(|| log_file("out"));
        let process = command.stdout(output).stderr(log_file("err")).spawn();
        let process = process.expect("a process");
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        let daemon = Self {
            callers: address(CALLERS_PORT),
            ready: address(READY_PORT),
            metrics: address(METRICS_PORT),
            directory,
            process,
        };
        daemon.wait_until_ready().await;
        daemon
    }

    async fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready().await {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "not ready: {}",
                self.log()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether the readiness check of the platform succeeds.
    pub async fn is_ready(&self) -> bool {
        let request = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let response = crate::callers::exchange(self.ready, request).await;
        response.is_some_and(|r| r.starts_with("HTTP/1.1 200"))
    }

    /// Returns a value of the metric `corianderworks_edge_state`.
    pub async fn state_metric(&self, name: &str) -> Option<u64> {
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let response = crate::callers::exchange(self.metrics, request).await?;
        let prefix = format!("corianderworks_edge_state{{name=\"{name}\"}} ");
        let value = response.lines().find_map(|l| l.strip_prefix(&*prefix))?;
        value.parse().ok()
    }

    /// Takes the reading end of the process's log, if its output is a pipe.
    pub fn take_output(&mut self) -> Option<ChildStdout> {
        self.process.stdout.take()
    }

    /// Asks the process to stop, and returns the time until it ended.
    pub async fn stop(&mut self) -> Duration {
        let started = Instant::now();
        let pid = self.process.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.is_ok_and(|s| s.success()), "a signal is sent");
        while self.is_alive() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        started.elapsed()
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Returns the largest resident memory so far, in bytes.
    pub fn peak_memory_bytes(&self) -> usize {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let number = line.and_then(|l| l.split_whitespace().next());
        number.and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * 1024
    }

    /// Returns the processor time of the process so far, in milliseconds.
    pub fn processor_time_ms(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.process.id());
        let stat = std::fs::read_to_string(path).expect("the state of a process");
        let fields = stat.rsplit(')').next().unwrap_or_default();
        // Fields 14 and 15 of the line, in hundredths of a second.
        let times = fields.split_whitespace().skip(11).take(2);
        times.filter_map(|t| t.parse::<u64>().ok()).sum::<u64>() * 10
    }

    /// Returns the number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.id());
        std::fs::read_dir(path).map_or(0, Iterator::count)
    }

    /// Returns the end of the log and of the error output.
    pub fn log(&self) -> String {
        let read = |kind: &str| {
            let text = std::fs::read_to_string(self.directory.join(kind)).unwrap_or_default();
            let lines: Vec<_> = text.lines().collect();
            lines[lines.len().saturating_sub(5)..].join("\n")
        };
        format!("{}\n{}", read("out"), read("err"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails only if the process has ended before.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
