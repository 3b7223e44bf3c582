//! Log of an edge daemon as a process: what it costs, and a standard output that nobody reads.

#[path = "../crowd/backend.rs"]
#[allow(dead_code, reason = "shared with the crowds")]
mod backend;
#[path = "../crowd/callers.rs"]
#[allow(dead_code, reason = "shared with the crowds")]
mod callers;
#[path = "../crowd/daemon.rs"]
#[allow(dead_code, reason = "shared with the crowds")]
mod daemon;
#[path = "../support/edge_process.rs"]
#[allow(dead_code, reason = "shared with the crowds")]
mod edge_process;
#[path = "../../../corianderworks_edge/tests/support/store.rs"]
#[allow(dead_code, reason = "shared with the tests of the edge daemon")]
mod store;

use std::io::Read;
use std::net::SocketAddr;
use std::process::{ChildStdout, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use daemon::Daemon;
use serde_json::{Value, json};
use store::{Store, entry_spec, entry_status};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Serializes the tests: each one measures a process or loads the machine.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Time in which a stopping daemon must end, from the settings of the daemon.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time for which requests are answered with the log unread. The lines of a second and a half fill
/// the buffer of a pipe.
const UNREAD_SECONDS: u64 = 5;
/// Time limit for the answers on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Ten times the mean rate of a daemon at the size to design for: 93,000 requests/s at 430 daemons.
const PEAK_RATE_PER_S: u64 = 2_160;

async fn start(number: u8, log_filter: Option<&str>) -> Daemon {
    let store = Store::start().await;
    let address = backend::start_with_nodelay(true).await;
    let mut spec = entry_spec(&address.to_string());
    spec["info"]["slots"] = json!(1000);
    store.put("servers", "s0", spec, entry_status("ready"));
    store.put("config", "main", daemon::configuration(), Value::Null);
    Daemon::start_with_output(number, store.address, log_filter, Some(Stdio::piped())).await
}

/// A daemon must not wait for a reader of its log, such as a log collector that hangs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_serves_and_stops_while_nobody_reads_its_log() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut daemon = start(51, None).await;
    let mut asked = JoinSet::new();
    for caller in 0..4 {
        asked.spawn(ask_steadily(daemon.callers, caller, 100, UNREAD_SECONDS));
    }
    let answered = timeout(ANSWER_TIMEOUT, asked.join_all()).await;
    assert!(answered.is_ok(), "requests are answered at their rate");
    let omitted = daemon.state_metric("log_lines_omitted").await;
    let dropped = daemon.state_metric("log_lines_dropped").await;
    println!("{omitted:?} lines omitted, {dropped:?} dropped");
    assert!(omitted.is_some_and(|lines| lines > 0), "{omitted:?}");
    assert!(dropped.is_some(), "the metric counts dropped lines");
    for name in ["configuration_read_age_ms", "servers_read_age_ms"] {
        let age_ms = daemon.state_metric(name).await;
        println!("{name} {age_ms:?}");
        assert!(age_ms.is_some(), "{name}: the daemon reads the store");
    }
    let took = daemon.stop().await;
    assert!(took < GRACE_PERIOD, "{took:?}");
}

/// Sends requests at a steady rate on a connection for some seconds.
async fn ask_steadily(address: SocketAddr, caller: u64, rate_per_s: u64, seconds: u64) -> u64 {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut ticks = interval(Duration::from_secs(1) / rate_per_s as u32);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for request in 0..rate_per_s * seconds {
        ticks.tick().await;
        let response = callers::ask(&mut stream, &format!("c{caller}-{request}")).await;
        assert!(response.is_some(), "the daemon closed the connection");
    }
    rate_per_s * seconds
}

/// Reads the log and counts its bytes.
fn read_log(mut output: ChildStdout) -> Arc<AtomicU64> {
    let total = Arc::new(AtomicU64::new(0));
    let counted = total.clone();
    std::thread::spawn(move || {
        let mut part = [0; 64 * 1024];
        while let Ok(count @ 1..) = output.read(&mut part) {
            counted.fetch_add(count as u64, Ordering::Relaxed);
        }
    });
    total
}

/// Measures processor time and bytes of the log for each request, at ten times the peak rate:
/// `cargo test --release -p corianderworks --test log_output -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement"]
async fn cost_of_the_log() {
    const CALLERS: u64 = 24;
    const SECONDS: u64 = 15;
    let _guard = ONE_AT_A_TIME.lock().await;
    for round in 0..3 {
        for (number, name, filter, is_read) in [
            (52, "read", None, true),
            (53, "off", Some("off"), true),
            (54, "not read", None, false),
        ] {
            let mut daemon = start(number, filter).await;
            let output = daemon.take_output().expect("a pipe");
            let (bytes, _unread) = match is_read {
                true => (Some(read_log(output)), None),
                false => (None, Some(output)),
            };
            let before_ms = daemon.processor_time_ms();
            let mut asked = JoinSet::new();
            for caller in 0..CALLERS {
                let rate_per_s = PEAK_RATE_PER_S / CALLERS;
                asked.spawn(ask_steadily(daemon.callers, caller, rate_per_s, SECONDS));
            }
            let answered: u64 = asked.join_all().await.into_iter().sum();
            let took_ms = daemon.processor_time_ms() - before_ms;
            let us_per_request = took_ms as f64 * 1000.0 / answered as f64;
            let bytes = bytes.map_or(0, |b| b.load(Ordering::Relaxed));
            let omitted = daemon.state_metric("log_lines_omitted").await;
            let dropped = daemon.state_metric("log_lines_dropped").await;
            println!(
                "round {round}, log {name}: {answered} answered, {us_per_request:.1} us of processor \
                 time and {:.1} bytes of log a request, {omitted:?} omitted, {dropped:?} dropped",
                bytes as f64 / answered as f64
            );
        }
    }
}
