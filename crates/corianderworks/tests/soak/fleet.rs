//! Edge daemons as processes, each on a loopback address of its own.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::proxy::Proxy;

const BINARY: &str = env!("CARGO_BIN_EXE_corianderworks");
const CALLERS_PORT: u16 = 8_080;
const READY_PORT: u16 = 8_081;
const CONTROL_PORT: u16 = 8_082;
const DIRECTORY_PORT: u16 = 8_083;
const PEERS_PORT: u16 = 7_620;
/// Time between SIGTERM and SIGKILL, in seconds.
const GRACE_S: u64 = 6;
/// Time that a process may take to begin on a busy machine.
const BEGUN_MAX: Duration = Duration::from_secs(3);
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A VM; its process ends with it.
pub struct Vm {
    pub number: usize,
    /// Third byte of the addresses, so that runs of several seeds don't meet.
    network: u8,
    pub domain: &'static str,
    pub store: Proxy,
    directory: PathBuf,
    process: Option<Child>,
    starts: usize,
}

impl Vm {
    pub async fn new(number: usize, network: u8, store: SocketAddr, directory: &Path) -> Self {
        Self {
            number,
            network,
            domain: DOMAINS[number % DOMAINS.len()],
            store: Proxy::before(store).await,
            directory: directory.to_owned(),
            process: None,
            starts: 0,
        }
    }

    fn address(&self, number: usize) -> IpAddr {
        let last = u8::try_from(number + 1).expect("few VMs");
        IpAddr::from([127, 77, self.network, last])
    }

    pub fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.address(self.number), DIRECTORY_PORT)
    }

    /// Number of the VM with this address.
    pub fn number_of(address: SocketAddr) -> usize {
        match address.ip() {
            IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
            IpAddr::V6(_) => unreachable!("VMs have IPv4 addresses"),
        }
    }

    /// Starts the process, if it does not run.
    pub fn start(&mut self, first: bool) {
        if self.process.is_some() {
            return;
        }
        let settings = self.directory.join(format!("vm-{}.toml", self.number));
        std::fs::write(&settings, self.settings(first)).expect("settings are written");
        let output = |kind: &str| {
            let path = self.directory.join(format!("vm-{}.{kind}", self.number));
            let file = File::options().create(true).append(true).open(path);
            Stdio::from(file.expect("a log file"))
        };
        let child = Command::new(BINARY)
            .arg("edge")
            .env("CORIANDERWORKS_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(output("out"))
            .stderr(output("err"))
            .spawn()
            .expect("a process");
        self.process = Some(child);
        self.starts += 1;
    }

    /// Waits until the process has begun; before that a signal ends it by default.
    pub async fn begun(&self) {
        let path = self.directory.join(format!("vm-{}.out", self.number));
        let begun = || {
            let log = std::fs::read_to_string(&path).unwrap_or_default();
            log.matches("daemon: starting").count() >= self.starts
        };
        let asked = Instant::now();
        while self.is_running() && !begun() && asked.elapsed() < BEGUN_MAX {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn settings(&self, first: bool) -> String {
        let ip = self.address(self.number);
        let (number, domain, store) = (self.number, self.domain, self.store.address);
        let seeds: Vec<_> = (0..DOMAINS.len())
            .map(|n| format!("\"{}:{CONTROL_PORT}\"", self.address(n)))
            .collect();
        let seeds = seeds.join(",");
        format!(
            "nodeName = \"vm-{number}\"\nip = \"{ip}\"\nzone = \"{domain}\"\nregion = \"r\"\n\
             internalPortRange = [{PEERS_PORT}, {}]\nseeds = [{seeds}]\nbootstrap = {first}\n\
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

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, name: &str) {
        let Some(process) = &self.process else { return };
        let id = process.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.expect("kill runs").success(), "{name} to {id}");
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().expect("a process that was started here");
            process.wait().expect("its end");
        }
    }

    /// Waits for the end of a stopped process; nothing if it takes longer than allowed.
    pub async fn ended(&mut self) -> Option<ExitStatus> {
        let mut process = self.process.take()?;
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(GRACE_S) {
            if let Ok(Some(status)) = process.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.process = Some(process);
        self.kill();
        None
    }

    /// What the process wrote to standard error.
    pub fn errors(&self) -> String {
        let path = self.directory.join(format!("vm-{}.err", self.number));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
