//! A deployment of real processes on loopback: stand-ins, daemons, lists and load.

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
/// Time for the fleet to get ready.
const READY: Duration = Duration::from_secs(20);
/// Time after which callers must be served again after a daemon vanished: its death is confirmed
/// after at most 5 s, and callers keep an address response for 2 s.
const SERVED_AGAIN_MS: u64 = 8_000;
/// Time for a graceful stop: callers keep an address response for 2 s.
const STOP: Duration = Duration::from_secs(15);

/// A process that ends with the test.
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

    /// Sends SIGTERM.
    fn terminate(&self) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(status.success());
    }

    async fn exit(&mut self, limit: Duration) -> ExitStatus {
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

struct Deployment {
    _stand_ins: Vec<Process>,
    daemons: Vec<Process>,
    http: Vec<SocketAddr>,
    controls: Vec<SocketAddr>,
}

const DOMAINS: [&str; 3] = ["tallinn-a", "tallinn-b", "maardu"];

impl Deployment {
    async fn start() -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("processes");
        std::fs::create_dir_all(&folder).unwrap();
        let (platform, http) = (tcp_ports(1)[0], tcp_ports(3));
        let (backends, controls, peers) = (tcp_ports(2), tcp_ports(2), udp_ports(3));
        let vm = |name: String, address: SocketAddr, domain: &str, kind: &str| {
            let service = (kind == "backend").then_some("ordering");
            json!({ "name": name, "address": address, "region": "ee-north", "domain": domain,
                "state": "live", "kind": kind, "service": service })
        };
        let backend_vms = (0..2).map(|i| vm(format!("b-{i}"), backends[i], DOMAINS[i], "backend"));
        let daemon_vms = (0..3).map(|i| vm(format!("d-{i}"), peers[i], DOMAINS[i], "daemon"));
        let vms: Vec<_> = backend_vms.chain(daemon_vms).collect();
        let settings = write(&folder, "platform.json", &json!({ "vms": vms }));
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
            let value = json!({ "name": format!("b-{i}"), "control_address": controls[i] });
            let settings = write(&folder, &format!("b-{i}.json"), &value);
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
        for address in [platform].iter().chain(&controls) {
            wait("a stand-in listens", || TcpStream::connect(address).is_ok()).await;
        }
        let keys = folder.join("keys");
        run(&["keys", "new", keys.to_str().unwrap(), "d-0", "d-1", "d-2"]);
        // `lists apply` writes into its folder.
        let lists = folder.join("lists");
        std::fs::create_dir_all(&lists).unwrap();
        for file in ["customers.json", "plans.json"] {
            let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/ee-north");
            std::fs::copy(Path::new(samples).join(file), lists.join(file)).unwrap();
        }
        let lists = lists.to_str().unwrap();
        run(&[
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
                "http_address": http[i], "peer_address": peers[i],
                "platform_address": platform, "seeds": peers, "keep_s": 2,
                "tls": {
                    "authority_file": "keys/authority.pem",
                    "certificate_file": format!("keys/d-{i}.pem"),
                    "key_file": format!("keys/d-{i}.key.pem"),
                },
            });
            let settings = write(&folder, &format!("d-{i}.json"), &value);
            Process::start(&["daemon", "--settings", &settings])
        });
        let daemons = daemons.collect();
        for &address in &http {
            let target = "/v1/addresses?service=ordering";
            wait("a daemon lists all", || {
                get(address, "/readyz").contains("200 OK")
                    && get(address, target).matches("\"name\"").count() == 3
            })
            .await;
        }
        Self {
            _stand_ins: stand_ins,
            daemons,
            http,
            controls,
        }
    }

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
        let controls = ControlAddresses(self.controls.clone());
        tokio::spawn(async move { corianderworks_load::run(settings, &controls).await.unwrap() })
    }
}

/// Guards against requests that stay unanswered after a daemon is killed, and against requests
/// that a graceful stop cuts off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_survive_a_killed_and_a_stopped_daemon() {
    let mut fleet = Deployment::start().await;

    let load = fleet.load(&fleet.http, 14_000);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.daemons[0].0.kill().unwrap();
    let report = load.await.unwrap();
    println!("killed: {:?} {:?}", report.outcomes, report.failures);
    assert_eq!(report.violation_count(), 0, "{}", report.table());
    for interval in &report.intervals {
        // The last interval may hold no whole second of load.
        let is_whole = interval.at_ms + 1_000 <= report.duration_ms;
        let answered = interval.outcomes.get(&Outcome::Answered).copied();
        let all: u64 = interval.outcomes.values().sum();
        assert!(!is_whole || answered.is_some_and(|n| n > 0), "{interval:?}");
        let settled = interval.at_ms >= 3_000 + SERVED_AGAIN_MS;
        assert!(!settled || answered.unwrap_or(0) == all, "{interval:?}");
    }

    let load = fleet.load(&fleet.http[1..], 10_000);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.daemons[1].terminate();
    let status = fleet.daemons[1].exit(STOP).await;
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
    for cut_off in [
        "broken off",
        "timed out",
        "past the deadline",
        "409 key-lost",
    ] {
        assert!(
            !report.failures.contains_key(cut_off),
            "{:?}",
            report.failures
        );
    }
}

fn tcp_ports(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

fn udp_ports(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> = (0..count)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

fn write(folder: &Path, name: &str, value: &serde_json::Value) -> String {
    let path: PathBuf = folder.join(name);
    std::fs::write(&path, value.to_string()).unwrap();
    path.to_str().unwrap().to_owned()
}

fn run(arguments: &[&str]) {
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

async fn wait<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < READY, "not within {READY:?}: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
