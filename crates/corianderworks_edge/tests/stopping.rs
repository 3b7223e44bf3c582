//! Tests of the graceful stop: requests in flight are answered, and callers are sent to other
//! daemons.

mod support;

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
