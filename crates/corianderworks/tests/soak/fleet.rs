//! Edge daemons as processes, each with its own loopback address.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::edge_process;
use crate::proxy::Proxy;

const CALLERS_PORT: u16 = 8_080;
const READY_PORT: u16 = 8_081;
const CONTROL_PORT: u16 = 8_082;
const DIRECTORY_PORT: u16 = 8_083;
const PEERS_PORT: u16 = 7_620;
/// Time between SIGTERM and SIGKILL, in seconds, which is also a setting of the daemons.
const GRACE_S: u64 = 6;
/// Time limit for a process to log its start, long enough for a busy machine.
const START_LOG_TIMEOUT: Duration = Duration::from_secs(3);
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// VM with one daemon process, which is killed when the VM is dropped.
pub struct Vm {
    pub number: usize,
    /// Third byte of the addresses. It depends on the seed, so that runs of different seeds don't
    /// share addresses.
    network: u8,
    pub domain: &'static str,
    pub store: Proxy,
    directory: PathBuf,
    process: Option<Child>,
    start_count: usize,
}

impl Vm {
    pub async fn new(number: usize, network: u8, store: SocketAddr, directory: &Path) -> Self {
        Self {
            number,
            network,
            domain: DOMAINS[number % DOMAINS.len()],
            store: Proxy::for_server(store).await,
            directory: directory.to_owned(),
            process: None,
            start_count: 0,
        }
    }

    fn address(&self, number: usize) -> IpAddr {
        let last = u8::try_from(number + 1).expect("fewer than 255 VMs");
        IpAddr::from([127, 77, self.network, last])
    }

    pub fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.address(self.number), DIRECTORY_PORT)
    }

    /// Returns the number of the VM with this address.
    pub fn number_of(address: SocketAddr) -> usize {
        match address.ip() {
            IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
            IpAddr::V6(_) => unreachable!("VMs have IPv4 addresses"),
        }
    }

    /// Starts the process unless it is running. `bootstrap` is set for the first start of the
    /// whole fleet.
    pub fn start(&mut self, bootstrap: bool) {
        if self.process.is_some() {
            return;
        }
        let settings = self.directory.join(format!("vm-{}.toml", self.number));
        std::fs::write(&settings, self.settings(bootstrap)).expect("settings are written");
        let log_file = |kind: &str| {
            let path = self.directory.join(format!("vm-{}.{kind}", self.number));
            let file = File::options().create(true).append(true).open(path);
            Stdio::from(file.expect("a log file"))
        };
        let child = edge_process::start(&settings, log_file("out"), log_file("err"));
        self.process = Some(child);
        self.start_count += 1;
    }

    /// Waits until the process has logged its start. Before that, its signal handlers may not be
    /// installed, and a signal kills it by default.
    pub async fn launched(&self) {
        let path = self.directory.join(format!("vm-{}.out", self.number));
        let launched = || {
            let log = std::fs::read_to_string(&path).unwrap_or_default();
            log.matches("daemon: starting").count() >= self.start_count
        };
        let launch_wait_start = Instant::now();
        while self.is_running() && !launched() && launch_wait_start.elapsed() < START_LOG_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn settings(&self, bootstrap: bool) -> String {
        let ip = self.address(self.number);
        let (number, domain, store) = (self.number, self.domain, self.store.address);
        let seeds: Vec<_> = (0..DOMAINS.len())
            .map(|n| format!("\"{}:{CONTROL_PORT}\"", self.address(n)))
            .collect();
        let seeds = seeds.join(",");
        format!(
            "nodeName = \"vm-{number}\"\nip = \"{ip}\"\nzone = \"{domain}\"\nregion = \"r\"\n\
             internalPortRange = [{PEERS_PORT}, {}]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             bounds = [\"gracePeriodS={GRACE_S}\", \"retryBudgetRatio=0.2\", \
             \"budgetWindowS=10\", \"retryBudgetExtra=60\", \"ttl_max_s=5\"]\n\
             [listen]\nfront = \"{ip}:{CALLERS_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [platform]\naddress = \"{store}\"\n",
            PEERS_PORT + 15
        )
    }

    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Sends a signal to the process by its process id.
    pub fn signal(&self, name: &str) {
        let Some(process) = &self.process else { return };
        let id = process.id().to_string();
        let kill_status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(kill_status.expect("kill runs").success(), "{name} to {id}");
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().expect("a process that was started here");
            process.wait().expect("the exit status");
        }
    }

    /// Waits for a process to exit after SIGTERM. Kills it and returns `None` if it takes longer
    /// than the grace period.
    pub async fn exited(&mut self) -> Option<ExitStatus> {
        let mut process = self.process.take()?;
        let exit_wait_start = Instant::now();
        while exit_wait_start.elapsed() < Duration::from_secs(GRACE_S) {
            if let Ok(Some(status)) = process.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.process = Some(process);
        self.kill();
        None
    }

    /// Returns what all processes of this VM have written to standard error.
    pub fn stderr_text(&self) -> String {
        let path = self.directory.join(format!("vm-{}.err", self.number));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
