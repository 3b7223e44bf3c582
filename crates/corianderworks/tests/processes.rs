//! Stand-ins and daemons as separate processes on loopback, with customer and plan lists and under
//! load.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use corianderworks_load::outcome::Outcome;
use corianderworks_load::reconcile::ControlAddresses;
use corianderworks_load::settings::{HttpMethod, Phase, RouteMix, Weighted};
use corianderworks_load::{LoadReport, LoadSettings};
use serde_json::json;

const BINARY: &str = env!("CARGO_BIN_EXE_corianderworks");
/// Timeout of each wait during the start of the deployment.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which all callers must be served again after a daemon was killed: the other daemons
/// confirm its death after at most 5 s, and callers cache an address response for 2 s.
const RECOVERY_MS: u64 = 8_000;
/// Timeout of a graceful stop. The daemon keeps serving for the 2 s for which callers cache its
/// address, and then completes the requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Child process that is killed when the test ends.
struct Process(Child);

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(BINARY);
        Self(
            command
                .args(arguments)
                .stdin(Stdio::null())
                .spawn()
                .unwrap(),
        )
    }

    /// Sends SIGTERM for a graceful stop.
    fn terminate(&self) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(status.success());
    }

    async fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < limit, "still running after {limit:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Platform and backend stand-ins, three daemons, the daemons' HTTP addresses and the backends'
/// control addresses.
struct Deployment {
    _stand_ins: Vec<Process>,
    daemons: Vec<Process>,
    http_addresses: Vec<SocketAddr>,
    control_addresses: Vec<SocketAddr>,
}

const DOMAINS: [&str; 3] = ["tallinn-a", "tallinn-b", "maardu"];

impl Deployment {
    async fn start() -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("processes");
        std::fs::create_dir_all(&folder).unwrap();
        let (platform, http_addresses) = (free_tcp_addresses(1)[0], free_tcp_addresses(3));
        let (backends, control_addresses, peers) = (
            free_tcp_addresses(2),
            free_tcp_addresses(2),
            free_udp_addresses(3),
        );
        let vm = |name: String, address: SocketAddr, domain: &str, kind: &str| {
            let service = (kind == "backend").then_some("ordering");
            json!({ "name": name, "address": address, "region": "ee-north", "domain": domain,
                "state": "live", "kind": kind, "service": service })
        };
        let backend_vms = (0..2).map(|i| vm(format!("b-{i}"), backends[i], DOMAINS[i], "backend"));
        let daemon_vms = (0..3).map(|i| vm(format!("d-{i}"), peers[i], DOMAINS[i], "daemon"));
        let vms: Vec<_> = backend_vms.chain(daemon_vms).collect();
        let settings = write_settings(&folder, "platform.json", &json!({ "vms": vms }));
        let listen = platform.to_string();
        let mut stand_ins = vec![Process::start(&[
            "stand-in",
            "platform",
            "--listen",
            &listen,
            "--settings",
            &settings,
        ])];
        for i in 0..2 {
            let value =
                json!({ "name": format!("b-{i}"), "control_address": control_addresses[i] });
            let settings = write_settings(&folder, &format!("b-{i}.json"), &value);
            let listen = backends[i].to_string();
            stand_ins.push(Process::start(&[
                "stand-in",
                "backend",
                "--listen",
                &listen,
                "--settings",
                &settings,
            ]));
        }
        for address in [platform].iter().chain(&control_addresses) {
            wait_until("a stand-in listens", || TcpStream::connect(address).is_ok()).await;
        }
        let keys = folder.join("keys");
        run_command(&["keys", "new", keys.to_str().unwrap(), "d-0", "d-1", "d-2"]);
        // Copies the samples, because `lists apply` writes into its folder.
        let lists = folder.join("lists");
        std::fs::create_dir_all(&lists).unwrap();
        for file in ["customers.json", "plans.json"] {
            let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/ee-north");
            std::fs::copy(Path::new(samples).join(file), lists.join(file)).unwrap();
        }
        let lists = lists.to_str().unwrap();
        run_command(&[
            "lists",
            "apply",
            lists,
            "--platform",
            &listen,
            "--who",
            "test",
            "--reason",
            "first",
            "--base",
            "0",
        ]);
        let daemons = (0..3).map(|i| {
            let value = json!({
                "name": format!("d-{i}"), "region": "ee-north", "domain": DOMAINS[i],
                "http_address": http_addresses[i], "peer_address": peers[i],
                "platform_address": platform, "seeds": peers, "keep_s": 2,
                "tls": {
                    "authority_file": "keys/authority.pem",
                    "certificate_file": format!("keys/d-{i}.pem"),
                    "key_file": format!("keys/d-{i}.key.pem"),
                },
            });
            let settings = write_settings(&folder, &format!("d-{i}.json"), &value);
            Process::start(&["daemon", "--settings", &settings])
        });
        let daemons = daemons.collect();
        for &address in &http_addresses {
            let target = "/v1/addresses?service=ordering";
            wait_until("a daemon is ready and lists three daemons", || {
                get(address, "/readyz").contains("200 OK")
                    && get(address, target).matches("\"name\"").count() == 3
            })
            .await;
        }
        Self {
            _stand_ins: stand_ins,
            daemons,
            http_addresses,
            control_addresses,
        }
    }

    /// Sends 40 requests per second for `for_ms` milliseconds.
    fn load(&self, daemons: &[SocketAddr], for_ms: u64) -> tokio::task::JoinHandle<LoadReport> {
        let settings = LoadSettings {
            daemons: daemons.to_vec(),
            customers: vec!["north-hospital".to_owned(), "harju-rescue".to_owned()],
            routes: vec![RouteMix {
                service: "ordering".to_owned(),
                path: "/orders".to_owned(),
                weight: 1,
                methods: vec![
                    Weighted {
                        value: HttpMethod::Get,
                        weight: 2,
                    },
                    Weighted {
                        value: HttpMethod::Post,
                        weight: 1,
                    },
                ],
                sizes: vec![Weighted {
                    value: 2_000,
                    weight: 1,
                }],
                request_sizes: vec![Weighted {
                    value: 200,
                    weight: 1,
                }],
            }],
            phases: vec![Phase {
                for_ms,
                rate_per_s: 40.0,
            }],
            ..LoadSettings::default()
        };
        let control_addresses = ControlAddresses(self.control_addresses.clone());
        tokio::spawn(async move {
            corianderworks_load::run(settings, &control_addresses)
                .await
                .unwrap()
        })
    }
}

/// Guards against requests that stay unanswered after a daemon is killed, and against requests
/// that a graceful stop interrupts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_while_daemons_are_killed_and_stopped() {
    let mut deployment = Deployment::start().await;

    let load = deployment.load(&deployment.http_addresses, 14_000);
    tokio::time::sleep(Duration::from_secs(3)).await;
    deployment.daemons[0].0.kill().unwrap();
    let report = load.await.unwrap();
    println!("killed: {:?} {:?}", report.outcomes, report.failures);
    assert_eq!(report.violation_count(), 0, "{}", report.table());
    for interval in &report.intervals {
        // The last interval may cover less than one second of load.
        let is_whole = interval.at_ms + 1_000 <= report.duration_ms;
        let answered = interval.outcomes.get(&Outcome::Answered).copied();
        let total: u64 = interval.outcomes.values().sum();
        assert!(!is_whole || answered.is_some_and(|n| n > 0), "{interval:?}");
        let is_after_recovery = interval.at_ms >= 3_000 + RECOVERY_MS;
        assert!(
            !is_after_recovery || answered.unwrap_or(0) == total,
            "{interval:?}"
        );
    }

    let load = deployment.load(&deployment.http_addresses[1..], 10_000);
    tokio::time::sleep(Duration::from_secs(3)).await;
    deployment.daemons[1].terminate();
    let status = deployment.daemons[1].wait_for_exit(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(0));
    let report = load.await.unwrap();
    println!("stopped: {:?} {:?}", report.outcomes, report.failures);
    assert_eq!(report.violation_count(), 0, "{}", report.table());
    assert_eq!(
        report.count(Outcome::Answered),
        report.requests,
        "{}",
        report.table()
    );
    for failure_reason in [
        "broken off",
        "timed out",
        "past the deadline",
        "409 key-lost",
    ] {
        assert!(
            !report.failures.contains_key(failure_reason),
            "{:?}",
            report.failures
        );
    }
}

fn free_tcp_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

fn free_udp_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> = (0..count)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

fn write_settings(folder: &Path, name: &str, value: &serde_json::Value) -> String {
    let path: PathBuf = folder.join(name);
    std::fs::write(&path, value.to_string()).unwrap();
    path.to_str().unwrap().to_owned()
}

fn run_command(arguments: &[&str]) {
    let status = Command::new(BINARY)
        .args(arguments)
        .stdout(Stdio::null())
        .status();
    assert!(status.unwrap().success(), "{arguments:?}");
}

fn get(address: SocketAddr, target: &str) -> String {
    let mut text = String::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let head = format!("GET {target} HTTP/1.1\r\nhost: daemon\r\nconnection: close\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.read_to_string(&mut text);
    }
    text
}

async fn wait_until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < READY_TIMEOUT,
            "timed out after {READY_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
