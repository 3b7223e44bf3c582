//! An edge daemon that is stopped by a signal while a key is withdrawn, as a separate process.

#[path = "support/edge_process.rs"]
mod edge_process;
#[path = "../../corianderworks_edge/tests/support/mod.rs"]
mod support;

use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};
use support::store::{Store, configuration_spec, entry_spec, entry_status};
use support::{Backend, get, header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Address of the daemon's VM. The metrics port is the same on all addresses.
const VM: [u8; 4] = [127, 0, 0, 77];
const REVOCATION: Duration = Duration::from_millis(2_000);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const KEPT_KEY: &str = "key-that-is-kept";
const WITHDRAWN_KEY: &str = "key-that-is-withdrawn";

/// Daemon process that is killed when the test ends.
struct Process(Child);

impl Process {
    fn start(settings: &Path) -> Self {
        Self(edge_process::start(
            settings,
            Stdio::null(),
            Stdio::inherit(),
        ))
    }

    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("a signal").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((IpAddr::from(VM), 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn write_settings(store: SocketAddr, front: SocketAddr) -> std::path::PathBuf {
    let peer = UdpSocket::bind((IpAddr::from(VM), 0)).expect("a free port");
    let peer_port = peer.local_addr().expect("an address").port();
    let (vm, revocation_ms) = (IpAddr::from(VM), REVOCATION.as_millis());
    let (ready, directory) = (free_address(), free_address());
    let text = format!(
        r#"nodeName = "vm-1"
ip = "{vm}"
zone = "a"
region = "r"
internalPortRange = [{peer_port}, {peer_port}]
bounds = ["gracePeriodS=6", "retryBudgetRatio=0.2", "budgetWindowS=10", "retryBudgetExtra=60",
          "ttl_max_s=5", "drainTimeoutMs=2500", "configApplyMs=2500", "strictRevocation=true",
          "revocationMs={revocation_ms}"]
[listen]
front = "{front}"
ready = "{ready}"
directory = "{directory}"
[platform]
address = "{store}"
"#
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("edge-key-revocation.toml");
    std::fs::write(&path, text).expect("a settings file");
    path
}

fn spec(version: u64, keys: &[&str]) -> Value {
    let mut spec = configuration_spec(version);
    spec["tenants"] = json!([{"name": "north", "apiKeys": keys}]);
    spec
}

fn with_key(key: &str) -> String {
    let request = get("/read/x", "r1");
    request.replacen(
        "\r\n",
        &format!("\r\nAuthorization: Token {key}\r\nConnection: close\r\n"),
        1,
    )
}

/// Reads a response up to the end of its connection and returns its head.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut bytes)).await;
    read.expect("a response in time").expect("a response");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the response to a request, empty if the daemon isn't reached.
async fn fetch(front: SocketAddr, key: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(front).await else {
        return String::new();
    };
    let sent = stream.write_all(with_key(key).as_bytes()).await;
    sent.expect("a request is sent");
    read_response(&mut stream).await
}

async fn wait_for_success(front: SocketAddr, limit: Duration) {
    let deadline = Instant::now() + limit;
    while !fetch(front, KEPT_KEY).await.starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < deadline, "no success within {limit:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// The daemon still has the old configuration when it continues, and a request is already waiting
/// in its socket, so it may read that before it hears of anything else.
#[tokio::test]
async fn a_stopped_process_uses_no_withdrawn_key_when_it_continues() {
    let store = Store::start().await;
    let backend = Backend::start([]).await;
    let keys = [KEPT_KEY, WITHDRAWN_KEY];
    store.put("config", "main", spec(1, &keys), Value::Null);
    let address = backend.address.to_string();
    store.put("servers", "s1", entry_spec(&address), entry_status("ready"));
    let front = free_address();
    let process = Process::start(&write_settings(store.address, front));
    wait_for_success(front, START_TIMEOUT).await;
    for version in 2..5 {
        store.put("config", "main", spec(version * 2, &keys), Value::Null);
        sleep(REVOCATION / 2).await;
        let before = fetch(front, WITHDRAWN_KEY).await;
        assert!(before.starts_with("HTTP/1.1 200"), "{before}");
        let requests_before = backend.received_requests().len();
        process.signal("-STOP");
        let kept = spec(version * 2 + 1, &[KEPT_KEY]);
        store.put("config", "main", kept, Value::Null);
        sleep(REVOCATION + Duration::from_millis(100)).await;
        let mut stream = TcpStream::connect(front).await.expect("a connection");
        let sent = stream.write_all(with_key(WITHDRAWN_KEY).as_bytes()).await;
        sent.expect("a request is sent");
        process.signal("-CONT");
        let response = read_response(&mut stream).await;
        let is_refused = response.starts_with("HTTP/1.1 401")
            || (response.contains("key-check-expired")
                && response.starts_with("HTTP/1.1 503")
                && header(&response, "retry-after").is_some());
        assert!(is_refused, "{response}");
        assert_eq!(backend.received_requests().len(), requests_before);
        wait_for_success(front, Duration::from_millis(1_500)).await;
    }
}
