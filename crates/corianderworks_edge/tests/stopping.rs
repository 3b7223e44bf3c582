//! Tests of the graceful stop: requests in flight are answered, and callers are sent to other
//! daemons.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream as BlockingStream;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_edge::state::Lifecycle;
use support::{
    Action, Backend, Daemon, RESPONSE_TIMEOUT, assert_eventually, configuration_with_timeout, get,
    header, post,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

#[tokio::test]
async fn request_in_flight_is_answered_before_its_connection_closes() {
    let slow = Action::Respond(200, "slow", Duration::from_millis(300));
    let backend = Backend::start([slow]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&post("/write/x", "w1", "fee")).await;
    let is_received = || backend.received_requests().len() == 1;
    assert_eventually(RESPONSE_TIMEOUT, "the request", is_received).await;
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
    let is_received = || !backend.received_requests().is_empty();
    assert_eventually(RESPONSE_TIMEOUT, "the first request", is_received).await;
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
    let patient = configuration_with_timeout(2, RESPONSE_TIMEOUT);
    daemon
        .edge
        .install_configuration(Arc::new(patient), None, "test");
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

/// Requests that arrive together after the signal are all answered; only those behind them have to
/// be sent again.
#[tokio::test]
async fn requests_that_arrive_together_during_the_stop_are_all_answered() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    let requests: String = (0..3).map(|n| get("/read/x", &format!("r{n}"))).collect();
    caller.send(&requests).await;
    let mut closes = Vec::new();
    for _ in 0..3 {
        let response = caller.response().await.expect("a response");
        assert_eq!(response.status, 200);
        closes.push(header(&response.head, "connection").is_some());
    }
    assert_eq!(closes, [false, false, true]);
}

/// A caller that always has a request in flight would otherwise keep its connection until the
/// process exits, and lose the last requests.
#[tokio::test]
async fn a_connection_that_is_pipelined_without_a_break_is_closed() {
    const INTERVAL: Duration = Duration::from_millis(5);
    let slow = Action::Respond(200, "slow", Duration::from_millis(100));
    let backend = Backend::start(std::iter::repeat_n(slow, 1_000)).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let caller = daemon.connect().await.stream;
    let (reader, mut writer) = caller.into_split();
    let sending = tokio::spawn(async move {
        for number in 0.. {
            let request = get("/read/x", &format!("r{number}"));
            if writer.write_all(request.as_bytes()).await.is_err() {
                return;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    });
    let reading = tokio::spawn(read_until_close(reader));
    tokio::time::sleep(Duration::from_millis(300)).await;
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    let text = timeout(Duration::from_millis(1_500), reading).await;
    let text = text.expect("the connection is closed").expect("no panic");
    sending.abort();
    assert_eq!(text.matches("connection: close").count(), 1);
    // Requests behind the last response are not passed on, so that the caller may send them again.
    let answered = text.matches("HTTP/1.1 200").count();
    assert_eq!(answered, text.matches("HTTP/1.1").count());
    assert_eq!(answered, backend.received_requests().len());
}

async fn read_until_close(mut reader: OwnedReadHalf) -> String {
    let mut bytes = Vec::new();
    // A reset ends the connection as well.
    let _ = reader.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).expect("text")
}

/// Late in the grace period a request is taken only if it ends before the process exits: one that
/// is cut off then may not be sent again.
#[tokio::test]
async fn a_late_request_that_may_outlast_the_stop_is_refused() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut callers = Vec::new();
    for number in 0..2 {
        let mut caller = daemon.connect().await;
        let request = post("/write/x", &format!("w{number}"), "fee");
        let (start, rest) = request.split_at(20);
        caller.send(start).await;
        callers.push((caller, rest.to_owned()));
    }
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    let stopped = tokio::time::Instant::now();
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Finishing));
    // The grace period is 2 s, and the route times out after 1 s.
    for (at_ms, expected) in [(700, 200), (1_200, 503)] {
        tokio::time::sleep_until(stopped + Duration::from_millis(at_ms)).await;
        let (mut caller, rest) = callers.remove(0);
        caller.send(&rest).await;
        let response = caller.response().await.expect("a response");
        assert_eq!(response.status, expected, "at {at_ms} ms");
    }
    assert_eq!(backend.received_requests().len(), 1);
}

/// A request that is still running at the end of the grace period must not take the finished
/// responses behind it on its connection down with it.
#[tokio::test]
async fn finished_responses_behind_an_unfinished_one_are_delivered() {
    let backend = Backend::start([Action::Hang, support::OK, support::OK]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    let received = || backend.received_requests().len();
    caller.send(&get("/read/1", "a")).await;
    assert_eventually(RESPONSE_TIMEOUT, "the first request", || received() == 1).await;
    caller
        .send(&[get("/read/2", "b"), get("/read/3", "c")].concat())
        .await;
    let are_answered = || received() == 3 && open_attempts(&daemon) == 1;
    assert_eventually(RESPONSE_TIMEOUT, "two responses", are_answered).await;
    daemon
        .edge
        .set_lifecycle(Lifecycle::Stopping(Phase::Finishing));
    daemon.edge.set_lifecycle(Lifecycle::Stopping(Phase::Exit));
    let mut responses = Vec::new();
    for _ in 0..3 {
        // Shorter than the timeout of the route, which would also end the first request.
        let response = timeout(Duration::from_millis(500), caller.response()).await;
        let response = response.expect("a response before the exit");
        let response = response.expect("a response on an open connection");
        responses.push((response.status, header(&response.head, "request-id")));
    }
    let expected = [(502, "a"), (200, "b"), (200, "c")];
    assert_eq!(
        responses,
        expected.map(|(status, id)| (status, Some(id.to_owned())))
    );
    assert_eq!(caller.response().await, None);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(daemon.edge.in_flight(), 0);
}

/// A request that no server has run when the process exits is refused as not run, so that its
/// caller may send it again.
#[tokio::test]
async fn a_request_that_only_refusing_servers_got_is_refused_at_the_exit() {
    let backend = Backend::start(std::iter::repeat_n(Action::Refuse, 100)).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&post("/write/1", "a", "fee")).await;
    let received = || backend.received_requests().len();
    let is_refused = || received() > 0 && open_attempts(&daemon) == 0;
    assert_eventually(RESPONSE_TIMEOUT, "a refused attempt", is_refused).await;
    // The daemon runs on the thread of this test, so that it starts no attempt before the exit.
    daemon.edge.set_lifecycle(Lifecycle::Stopping(Phase::Exit));
    let received_before_exit = received();
    let response = caller.response().await.expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.body.contains("stopping"), "{}", response.body);
    assert!(header(&response.head, "retry-after").is_some());
    assert_eq!(received(), received_before_exit);
}

/// A server may be running a request whose attempt is open when the process exits, even if another
/// one has refused the request.
#[tokio::test]
async fn a_request_with_an_open_attempt_at_the_exit_is_not_said_to_be_refused() {
    let backend = Backend::start([Action::Refuse, Action::Hang]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&post("/write/1", "a", "fee")).await;
    let is_retried = || backend.received_requests().len() == 2;
    assert_eventually(RESPONSE_TIMEOUT, "a second attempt", is_retried).await;
    daemon.edge.set_lifecycle(Lifecycle::Stopping(Phase::Exit));
    let response = caller.response().await.expect("a response");
    assert_eq!(response.status, 502);
    assert!(response.body.contains("stopped"), "{}", response.body);
}

/// Returns the number of attempts that are open at the only server of a daemon.
fn open_attempts(daemon: &Daemon) -> u32 {
    let state = daemon.edge.lock_state();
    let key = state.servers.key_of_id("s0").expect("the server");
    state.load_balancer.own_in_flight(key)
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
