//! Tests of the graceful stop: requests in flight are answered, and callers are sent to other
//! daemons.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream as BlockingStream;
use std::time::Duration;

use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_edge::state::Lifecycle;
use support::{Action, Backend, Daemon, get, header, post};
use tokio::net::TcpStream;

#[tokio::test]
async fn request_in_flight_is_answered_before_its_connection_closes() {
    let slow = Action::Respond(200, "slow", Duration::from_millis(300));
    let backend = Backend::start([slow]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&post("/write/x", "w1", "fee")).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    let response = caller.response().await.expect("a response");
    assert_eq!((response.status, &*response.body), (200, "slow"));
    assert_eq!(
        header(&response.head, "connection").as_deref(),
        Some("close")
    );
    assert_eq!(caller.response().await, None);
}

#[tokio::test]
async fn received_pipelined_requests_are_all_answered() {
    let slow = || Action::Respond(200, "slow", Duration::from_millis(200));
    let backend = Backend::start([slow(), slow(), slow()]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller
        .send(
            &[
                get("/read/1", "a"),
                get("/read/2", "b"),
                get("/read/3", "c"),
            ]
            .concat(),
        )
        .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    for _ in 0..3 {
        assert_eq!(caller.response().await.map(|r| r.status), Some(200));
    }
    assert_eq!(caller.response().await, None);
}

#[tokio::test]
async fn new_connections_are_accepted_at_first_and_refused_later() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut idle = daemon.connect().await;
    assert!(daemon.edge.is_ready());
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    assert!(!daemon.edge.is_ready());
    assert_eq!(daemon.fetch(&get("/read/x", "r1")).await.status, 200);
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Finishing));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(TcpStream::connect(daemon.address).await.is_err());
    assert_eq!(idle.response().await, None);
}

/// A stopping daemon exits when no request is in flight. A large response is still on its way to
/// its caller when the backend server has long sent all of it.
#[tokio::test]
async fn request_is_in_flight_until_its_response_is_written() {
    // Exceeds the buffers of all sockets on the way.
    const BODY_BYTES: usize = 24 * 1024 * 1024;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\nResponse-Signature: s\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let text = [head, "x".repeat(BODY_BYTES)].concat().leak();
    let backend = Backend::start([Action::Raw(text)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&get("/read/x", "r1")).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Finishing));
    assert_eq!(daemon.edge.in_flight(), 1);
    let response = caller.response().await.expect("a response");
    assert_eq!(response.body.len(), BODY_BYTES);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(daemon.edge.in_flight(), 0);
}

/// Connections that the kernel has accepted would be reset with the listener, after their callers
/// have sent requests.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_are_served() {
    const CALLERS: usize = 30;
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    // The daemon runs on the thread of this test, so that it accepts nothing meanwhile.
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let mut caller = BlockingStream::connect(daemon.address).expect("a connection");
            let request = get("/read/x", &format!("r{i}"));
            caller
                .write_all(request.as_bytes())
                .expect("bytes are sent");
            caller
        })
        .collect();
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Finishing));
    let answered = tokio::task::spawn_blocking(|| {
        let is_answered = |mut caller: BlockingStream| {
            let mut start = [0; 12];
            caller.read_exact(&mut start).is_ok() && &start == b"HTTP/1.1 200"
        };
        callers.into_iter().map(is_answered).filter(|a| *a).count()
    });
    assert_eq!(answered.await.expect("no panic"), CALLERS);
}
