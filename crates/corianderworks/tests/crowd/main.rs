//! Crowds of slow callers in front of a real edge daemon.
//!
//! Each test starts the daemon process with a small memory and few descriptors in its settings, a
//! stand-in of the store and a backend server. It checks that the process lives, that its resident
//! memory and its descriptors stay within the settings, and that an ordinary request is answered
//! while the crowd is still there. The tests run one at a time.

mod backend;
mod callers;
#[allow(dead_code, reason = "shared with the tests of the log")]
mod daemon;
#[path = "../support/edge_process.rs"]
#[allow(dead_code, reason = "shared with other tests of processes")]
mod edge_process;
#[path = "../../../corianderworks_edge/tests/support/store.rs"]
#[allow(dead_code, reason = "shared with the tests of the edge daemon")]
mod store;

use std::future::Future;
use std::time::{Duration, Instant};

use callers::{connect, dribble, exchange, get, put_head, read_slowly};
use daemon::{Daemon, FILE_DESCRIPTORS, MEMORY_MB};
use serde_json::{Value, json};
use store::{Store, entry_spec, entry_status};
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Serializes the tests: each one measures a process and loads the machine.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Time for which the crowd is observed before the ordinary request.
const OBSERVED: Duration = Duration::from_secs(4);
/// Time within which an ordinary request must be answered. Refused callers try again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of a response that is streamed.
const LONG_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of requests of a connection that the daemon processes concurrently.
const PIPELINED: usize = 32;
/// More connections than the VM has descriptors.
const CONNECTIONS: usize = FILE_DESCRIPTORS + 100;

async fn start(number: u8) -> Daemon {
    let store = Store::start().await;
    for server in 0..2 {
        let address = backend::start().await;
        let mut spec = entry_spec(&address.to_string());
        spec["info"]["slots"] = json!(1000);
        store.put(
            "servers",
            &format!("s{server}"),
            spec,
            entry_status("ready"),
        );
    }
    store.put("config", "main", daemon::configuration(), Value::Null);
    Daemon::start(number, store.address).await
}

/// Runs `caller` for each number below `count` at the same time, and checks the daemon.
async fn check_crowd<C, F>(number: u8, count: usize, caller: C)
where
    C: Fn(std::net::SocketAddr, usize) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut daemon = start(number).await;
    let before = (daemon.peak_memory_bytes(), daemon.open_descriptors());
    let mut crowd = JoinSet::new();
    for caller_number in 0..count {
        crowd.spawn(caller(daemon.callers, caller_number));
    }
    let mut descriptors = 0;
    let started = Instant::now();
    while started.elapsed() < OBSERVED {
        descriptors = descriptors.max(daemon.open_descriptors());
        sleep(Duration::from_millis(20)).await;
    }
    let asked = Instant::now();
    let request = get(2, "ordinary").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    let mut answer = None;
    while asked.elapsed() < ANSWER_TIMEOUT {
        answer = exchange(daemon.callers, &request).await;
        descriptors = descriptors.max(daemon.open_descriptors());
        if answer
            .as_deref()
            .is_some_and(|a| a.starts_with("HTTP/1.1 200"))
        {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    let memory_bytes = daemon.peak_memory_bytes();
    println!(
        "{memory_bytes} bytes, {descriptors} descriptors (before: {} bytes, {} descriptors)",
        before.0, before.1
    );
    assert!(daemon.is_alive(), "the process has ended: {}", daemon.log());
    assert!(
        memory_bytes <= MEMORY_MB * 1_000_000,
        "{memory_bytes} bytes of {MEMORY_MB} MB"
    );
    assert!(
        descriptors <= FILE_DESCRIPTORS,
        "{descriptors} descriptors of {FILE_DESCRIPTORS}"
    );
    let answer = answer.unwrap_or_default();
    assert!(
        answer.starts_with("HTTP/1.1 200"),
        "the ordinary request got {answer:?}: {}",
        daemon.log()
    );
    assert!(daemon.is_ready().await, "not ready: {}", daemon.log());
}

/// A connection to a server per unread response exceeds the descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_responses_that_are_not_read() {
    check_crowd(1, 16, |address, number| async move {
        let Some(mut stream) = connect(address).await else {
            return;
        };
        for request in 0..PIPELINED {
            let request = get(LONG_BYTES, &format!("r{number}-{request}"));
            if stream.write_all(request.as_bytes()).await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    })
    .await;
}

/// A caller that reads a byte a second acknowledges data, so that the kernel never closes it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_responses_that_are_read_slowly() {
    check_crowd(2, 250, |address, number| async move {
        let Some(mut stream) = connect(address).await else {
            return;
        };
        let request = get(LONG_BYTES, &format!("r{number}"));
        if stream.write_all(request.as_bytes()).await.is_ok() {
            read_slowly(&mut stream).await;
        }
        std::future::pending::<()>().await;
    })
    .await;
}

/// Heads that are nearly as large as allowed take memory until they are complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_are_dribbled_in() {
    check_crowd(3, CONNECTIONS, |address, _| async move {
        let Some(mut stream) = connect(address).await else {
            return;
        };
        let mut head = b"GET /read/2-x HTTP/1.1\r\nHost: shop.example\r\nX-Long: ".to_vec();
        head.resize(60_000, b'x');
        if stream.write_all(&head).await.is_ok() {
            dribble(&mut stream, &[b'x'; 1_000], Duration::from_millis(100)).await;
        }
        std::future::pending::<()>().await;
    })
    .await;
}

/// Bodies reserve their memory before they arrive, so that dribbled ones keep it from others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_are_dribbled_in() {
    check_crowd(4, CONNECTIONS, |address, number| async move {
        let Some(mut stream) = connect(address).await else {
            return;
        };
        let head = put_head("Content-Length: 200000", &format!("r{number}"));
        if stream.write_all(head.as_bytes()).await.is_ok()
            && stream.write_all(&[b'x'; 100_000]).await.is_ok()
        {
            dribble(&mut stream, &[b'x'; 1_000], Duration::from_millis(100)).await;
        }
        std::future::pending::<()>().await;
    })
    .await;
}

/// Idle connections take descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections() {
    check_crowd(5, CONNECTIONS, |address, _| async move {
        let _stream = connect(address).await;
        std::future::pending::<()>().await;
    })
    .await;
}

/// Responses that are complete are held until those before them are read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelines_of_which_no_response_is_read() {
    check_crowd(6, 60, |address, number| async move {
        let Some(mut stream) = connect(address).await else {
            return;
        };
        for request in 0..200 {
            let request = get(100_000, &format!("r{number}-{request}"));
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
        }
        std::future::pending::<()>().await;
    })
    .await;
}

/// A caller that has closed its sending side may still read, or stay for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_closed_connections() {
    check_crowd(7, CONNECTIONS, |address, number| async move {
        let Some(mut stream) = connect(address).await else {
            return;
        };
        let request = get(LONG_BYTES, &format!("r{number}"));
        let sent = stream.write_all(request.as_bytes()).await;
        if sent.is_ok() {
            // Fails if the daemon has closed the connection.
            let _ = stream.shutdown().await;
        }
        std::future::pending::<()>().await;
    })
    .await;
}

/// The overhead of a chunk is a multiple of a byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_chunks_of_one_byte() {
    check_crowd(8, 60, |address, number| async move {
        let Some(mut stream) = connect(address).await else {
            return;
        };
        let head = put_head("Transfer-Encoding: chunked", &format!("r{number}"));
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        let chunks = b"1\r\nx\r\n".repeat(1_000);
        for _ in 0..400 {
            if stream.write_all(&chunks).await.is_err() {
                break;
            }
        }
        std::future::pending::<()>().await;
    })
    .await;
}

/// Connections that are reset at once must not leave anything behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_are_opened_and_reset() {
    check_crowd(9, 50, |address, number| async move {
        for _ in 0..60 {
            let Some(mut stream) = connect(address).await else {
                continue;
            };
            let request = get(2, &format!("r{number}"));
            let sent = stream.write_all(request.as_bytes()).await;
            if sent.is_ok() {
                #[allow(deprecated, reason = "with no time the drop resets and doesn't block")]
                stream
                    .set_linger(Some(Duration::ZERO))
                    .expect("a socket option");
            }
        }
    })
    .await;
}

/// A server whose response is abandoned must not be kept waiting.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_responses_that_are_abandoned() {
    check_crowd(10, 60, |address, number| async move {
        for round in 0..20 {
            let Some(mut stream) = connect(address).await else {
                continue;
            };
            for request in 0..PIPELINED / 4 {
                let request = get(LONG_BYTES, &format!("r{number}-{round}-{request}"));
                if stream.write_all(request.as_bytes()).await.is_err() {
                    break;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    })
    .await;
}

/// Measures the processor time of ordinary requests, for comparisons between versions:
/// `cargo test -p corianderworks --test crowd -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement"]
async fn processor_time_of_ordinary_requests() {
    const CALLERS: usize = 8;
    const REQUESTS: usize = 2_500;
    let _guard = ONE_AT_A_TIME.lock().await;
    let daemon = start(11).await;
    for _ in 0..4 {
        let before_ms = daemon.processor_time_ms();
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            callers.spawn(callers::ask_repeatedly(daemon.callers, caller, REQUESTS));
        }
        let answered: usize = callers.join_all().await.into_iter().sum();
        let took_ms = daemon.processor_time_ms() - before_ms;
        println!("{answered} answered, {took_ms} ms of processor time");
    }
}
