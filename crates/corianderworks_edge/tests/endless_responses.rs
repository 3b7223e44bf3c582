//! Backend servers that send bytes without end, in a head or a body, until the daemon closes the
//! connection.

mod support;

use std::time::{Duration, Instant};

use support::{Action, Backend, Daemon, OK, ROUTE_TIMEOUT, get, post};
use tokio::io::AsyncReadExt;

const SIGNED_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                           Transfer-Encoding: chunked\r\n\r\n";

/// Large enough that the daemon has buffered what it buffers long before the deadline.
const LARGE_CHUNK: &str = "80\r\n\
    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n";

/// Bytes that a server can send before the daemon closes the connection: the daemon's buffers of
/// 1 MiB and the sockets' buffers on both sides.
const SENT_MAX_BYTES: usize = 16 * 1024 * 1024;

const ENDLESS: [(&str, &str, &str); 11] = [
    ("no line", "", "x"),
    ("empty lines", "", "\r\n"),
    ("status line", "HTTP/1.1 200 ", "x"),
    ("header line", "HTTP/1.1 200 OK\r\nname: ", "x"),
    ("headers", "HTTP/1.1 200 OK\r\n", "name: value\r\n"),
    ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    (
        "unsigned body",
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n",
    ),
    (
        "unsigned body without a length",
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\r\n",
        "x",
    ),
    (
        "chunk extensions",
        SIGNED_HEAD,
        "1;name=0123456789012345678901234567890123456789012345678901234567890123\r\nx\r\n",
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "name: value\r\n",
    ),
    (
        "body of another response",
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n",
    ),
];

async fn closed_with_bytes(backend: &Backend, within: Duration) -> Option<usize> {
    let started = Instant::now();
    while backend.endless_bytes().is_none() && started.elapsed() < within {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    backend.endless_bytes()
}

#[tokio::test]
async fn request_goes_to_another_server_if_a_response_has_no_end() {
    for (name, first, repeated) in ENDLESS {
        let endless = Backend::start([Action::Endless(first, repeated)]).await;
        let healthy = Backend::start([OK]).await;
        let daemon = Daemon::with_backends(&[&endless, &healthy]).await;
        let started = Instant::now();
        let response = daemon.fetch(&get("/read/x", "r1")).await;
        let took = started.elapsed();
        assert_eq!((response.status, &*response.body), (200, "done"), "{name}");
        assert!(took < ROUTE_TIMEOUT, "{name}: {took:?}");
        let sent = closed_with_bytes(&endless, Duration::from_millis(500)).await;
        assert!(sent.is_some_and(|s| s < SENT_MAX_BYTES), "{name}: {sent:?}");
    }
}

#[tokio::test]
async fn non_idempotent_request_ends_as_unknown_if_its_response_has_no_end() {
    for (name, first, repeated) in ENDLESS {
        let endless = Backend::start([Action::Endless(first, repeated)]).await;
        let healthy = Backend::start([OK]).await;
        let daemon = Daemon::with_backends(&[&endless, &healthy]).await;
        let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
        assert_eq!(response.status, 502, "{name}");
        assert!(healthy.received_requests().is_empty(), "{name}");
    }
}

#[tokio::test]
async fn streamed_response_without_an_end_is_cut_at_the_deadline() {
    let endless = Backend::start([Action::Endless(SIGNED_HEAD, LARGE_CHUNK)]).await;
    let daemon = Daemon::with_backends(&[&endless]).await;
    let mut caller = daemon.connect().await;
    let started = Instant::now();
    caller.send(&get("/read/x", "r1")).await;
    let mut first_bytes = Vec::new();
    let mut last_bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    let read_to_end = async {
        while let Ok(count @ 1..) = caller.stream.read(&mut buffer).await {
            if first_bytes.is_empty() {
                first_bytes.extend_from_slice(&buffer[..count.min(15)]);
            }
            last_bytes.extend_from_slice(&buffer[..count]);
            last_bytes.drain(..last_bytes.len().saturating_sub(16));
        }
    };
    let limit = ROUTE_TIMEOUT + Duration::from_millis(500);
    let ended = tokio::time::timeout(limit, read_to_end).await;
    assert_eq!(String::from_utf8_lossy(&first_bytes), "HTTP/1.1 200 OK");
    assert!(ended.is_ok(), "still open after {:?}", started.elapsed());
    assert!(started.elapsed() >= ROUTE_TIMEOUT);
    assert!(!last_bytes.ends_with(b"\r\n0\r\n\r\n"), "looks complete");
    let closed = closed_with_bytes(&endless, Duration::from_millis(500)).await;
    assert!(closed.is_some(), "the connection to the server stays open");
}

#[tokio::test]
async fn connection_with_endless_bytes_after_a_response_is_closed() {
    let complete = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                    Content-Length: 2\r\n\r\nok";
    let endless = Backend::start([Action::Endless(complete, "x")]).await;
    let daemon = Daemon::with_backends(&[&endless]).await;
    assert_eq!(daemon.fetch(&get("/read/x", "r1")).await.body, "ok");
    let started = Instant::now();
    while endless.endless_bytes().is_none() && started.elapsed() < ROUTE_TIMEOUT {
        // The daemon does this periodically.
        daemon.edge.tick();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let sent = endless.endless_bytes();
    assert!(sent.is_some_and(|s| s < SENT_MAX_BYTES), "{sent:?}");
}
