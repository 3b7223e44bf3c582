//! Memory that request bodies take. The platform kills a process that exceeds the memory of its VM.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use support::{Daemon, configuration_with_timeout, peak_memory_bytes, server_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BODY_BYTES: usize = 30 * 1024 * 1024;
/// Largest body that the platform's configurations allow.
const LARGEST_BODY_BYTES: usize = 64 * 1024 * 1024;
const PART_BYTES: usize = 64 * 1024;
/// Timeout of the request. Both servers have to get the whole body in it, on a busy machine as well.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts a server that reads requests without keeping or answering them, and counts their bytes.
async fn start_sink(received: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let received = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = received.clone();
            tokio::spawn(async move {
                let mut part = [0; PART_BYTES];
                while let Ok(count @ 1..) = stream.read(&mut part).await {
                    received.fetch_add(count, Ordering::Relaxed);
                }
            });
        }
    });
    address
}

/// A copy of the body for each attempt exceeds the memory of a small VM with one large upload.
#[tokio::test]
async fn attempts_share_the_body_of_a_request() {
    let received = Arc::new(AtomicUsize::new(0));
    let daemon = Daemon::start().await;
    let configuration = Arc::new(configuration_with_timeout(1, UPLOAD_TIMEOUT));
    daemon
        .edge
        .install_configuration(configuration, None, "test");
    for number in 0..2 {
        let address = start_sink(&received).await;
        let entry = server_entry(&format!("s{number}"), address, 4);
        daemon.edge.apply_entry(entry, "test");
    }
    let before = peak_memory_bytes();
    let mut caller = daemon.connect().await;
    let head = format!(
        "PUT /read/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nDeadline-Ms: {}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n",
        UPLOAD_TIMEOUT.as_millis()
    );
    caller.send(&head).await;
    let part = [b'x'; PART_BYTES];
    for _ in 0..BODY_BYTES / PART_BYTES {
        caller
            .stream
            .write_all(&part)
            .await
            .expect("bytes are sent");
    }
    let response = caller.response().await.expect("a response");
    assert_eq!(response.status, 504);
    // The first attempt is overdue after some time, and the second server gets the body, too.
    assert!(received.load(Ordering::Relaxed) > 2 * BODY_BYTES);
    let taken = peak_memory_bytes() - before;
    assert!(taken < BODY_BYTES * 3 / 2, "{taken} bytes for {BODY_BYTES}");
}

/// The smallest VMs, of 160 MB, take one body of the largest size, but not two at once.
#[tokio::test]
async fn bodies_are_limited_by_the_memory_of_the_vm() {
    let daemon = Daemon::with_backends(&[]).await;
    assert_eq!(daemon.edge.settings.memory_bytes, 160_000_000);
    let first = daemon.edge.reserve_body_memory(LARGEST_BODY_BYTES);
    assert!(first.is_some());
    assert!(
        daemon
            .edge
            .reserve_body_memory(LARGEST_BODY_BYTES)
            .is_none()
    );
    drop(first);
    assert!(
        daemon
            .edge
            .reserve_body_memory(LARGEST_BODY_BYTES)
            .is_some()
    );
}
