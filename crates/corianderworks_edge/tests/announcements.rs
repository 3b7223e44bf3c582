//! What backend servers say of themselves in responses: that they are shutting down, or that they
//! want no requests for some time.

mod support;

use std::time::{Duration, Instant};

use support::{Action, Backend, Daemon, RESPONSE_TIMEOUT, assert_eventually, get, header, post};

const LEAVING: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                       Server-Leaving: 1\r\nContent-Length: 4\r\n\r\nlast";
const PAUSED: &str = "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                      Retry-After: 0.6\r\nContent-Length: 0\r\n\r\n";
const PAUSE: Duration = Duration::from_millis(600);

/// Sends requests and returns how many of them the backend server gets.
async fn requests_to(backend: &Backend, daemon: &Daemon, count: usize) -> usize {
    let before = backend.received_requests().len();
    for i in 0..count {
        let response = daemon.fetch(&get("/read/x", &format!("n{i}"))).await;
        assert_eq!(response.status, 200);
    }
    backend.received_requests().len() - before
}

#[tokio::test]
async fn a_server_that_says_that_it_is_leaving_gets_no_further_requests() {
    let refused = "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                   Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
    let failed = "HTTP/1.1 500 Bad\r\nRequest-Id: {id}\r\nServer-Leaving: 1\r\n\
                  Content-Length: 0\r\n\r\n";
    let truncated = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Leaving: 1\r\n\
                     Content-Length: 9\r\n\r\nshort";
    let late = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Leaving: 1\r\n\
                Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\
                Response-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    for action in [
        Action::Raw(LEAVING),
        Action::Raw(refused),
        Action::Raw(failed),
        Action::RawThenClose(truncated),
        Action::Raw(late),
    ] {
        let first = Backend::start([action.clone()]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::with_backends(&[&first, &second]).await;
        let response = daemon.fetch(&get("/read/x", "r1")).await;
        assert_eq!(response.status, 200, "{action:?}");
        // The entry in the store still says that the server is ready.
        daemon.apply_entry("s0", &first, "a", 2);
        assert_eq!(requests_to(&first, &daemon, 5).await, 0, "{action:?}");
    }
}

/// A server that leaves must not get requests again because its entry was away while it said so.
#[tokio::test]
async fn an_announcement_counts_if_the_entry_of_the_server_comes_back_around_it() {
    let delay = Duration::from_millis(200);
    for is_back_before_response in [true, false] {
        let first = Backend::start([Action::RawAfter(LEAVING, delay)]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::with_backends(&[&first, &second]).await;
        let mut caller = daemon.connect().await;
        caller.send(&get("/read/x", "r1")).await;
        let is_sent = || !first.received_requests().is_empty();
        assert_eventually(RESPONSE_TIMEOUT, "an attempt", is_sent).await;
        daemon.remove_entry("s0", 2);
        if is_back_before_response {
            daemon.apply_entry("s0", &first, "a", 3);
        }
        assert_eq!(caller.response().await.expect("a response").status, 200);
        daemon.apply_entry("s0", &first, "a", 4);
        let received = requests_to(&first, &daemon, 5).await;
        assert_eq!(received, 0, "{is_back_before_response}");
    }
}

#[tokio::test]
async fn the_announcement_is_passed_on_to_the_caller() {
    let backend = Backend::start([Action::Raw(LEAVING)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let response = daemon.fetch(&get("/read/x", "r1")).await;
    let leaving = header(&response.head, "server-leaving");
    assert_eq!((leaving.as_deref(), &*response.body), (Some("1"), "last"));
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 503);
    assert_eq!(backend.received_requests().len(), 1);
}

/// The other process that answers at the address may be leaving; the expected server is not.
#[tokio::test]
async fn a_misdirected_request_says_nothing_of_the_expected_server() {
    let other = "HTTP/1.1 421 Other\r\nRequest-Id: {id}\r\nInstance-Id: other\r\n\
                 Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
    let backend = Backend::start([Action::Raw(other)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    assert_eq!(daemon.fetch(&get("/read/x", "r1")).await.status, 200);
}

#[tokio::test]
async fn a_server_that_asks_for_a_pause_gets_no_requests_during_it() {
    let first = Backend::start([Action::Raw(PAUSED)]).await;
    let second = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&first, &second]).await;
    let started = Instant::now();
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 200);
    while started.elapsed() < PAUSE - Duration::from_millis(100) {
        assert_eq!(requests_to(&first, &daemon, 1).await, 0);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep_until((started + PAUSE + Duration::from_millis(50)).into()).await;
    let key = daemon.edge.lock_state().servers.key_of_id("s0");
    let now = daemon.edge.clock.now();
    let state = daemon.edge.lock_state();
    let server = key.and_then(|k| state.servers.get(k)).expect("a server");
    assert!(server.accepts_requests(now));
}

/// Nothing is gained by holding the request, and a retry before the end of the pause is futile.
#[tokio::test]
async fn a_request_is_refused_at_once_while_all_servers_pause() {
    let backend = Backend::start([Action::Raw(PAUSED)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    for id in ["w1", "w2", "w3"] {
        let started = Instant::now();
        let response = daemon.fetch(&post("/write/x", id, "fee")).await;
        assert!(started.elapsed() < Duration::from_millis(200));
        assert_eq!(response.status, 503);
        let retry_after = header(&response.head, "retry-after").expect("a time");
        let seconds: f64 = retry_after.parse().expect("a number");
        let pause_left = PAUSE.saturating_sub(started.elapsed());
        assert!(seconds >= pause_left.as_secs_f64() - 0.2, "{seconds}");
        assert!(seconds < 1.5, "{seconds}");
    }
    assert_eq!(backend.received_requests().len(), 1);
    tokio::time::sleep(PAUSE).await;
    let response = daemon.fetch(&post("/write/x", "w4", "fee")).await;
    assert_eq!(response.status, 200);
}

#[tokio::test]
async fn an_unusable_retry_after_is_ignored() {
    for value in ["soon", "-1", "nan", "1e400", ""] {
        let text = format!(
            "HTTP/1.1 503 Full\r\nRequest-Id: {{id}}\r\nNot-Executed: 1\r\n\
             Retry-After: {value}\r\nContent-Length: 0\r\n\r\n"
        );
        let backend = Backend::start([Action::Raw(text.leak())]).await;
        let daemon = Daemon::with_backends(&[&backend]).await;
        let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
        assert_eq!(response.status, 200, "{value}");
    }
}

/// A faulty server repeats its refusal when the same request is sent to it again. The request runs,
/// so the caller must not be told otherwise, and it must not run a second time.
#[tokio::test]
async fn a_repeated_refusal_is_not_taken_for_the_response_to_a_retry() {
    let actions = [Action::Refuse, Action::RespondAfterRepeatedRefusal];
    let backend = Backend::start(actions).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    assert_eq!((response.status, &*response.body), (200, "done"));
    assert_eq!(backend.received_requests().len(), 2);
}

/// As above, but on a connection that another request uses in between.
#[tokio::test]
async fn a_repeated_refusal_of_another_request_is_skipped() {
    let actions = [
        Action::Refuse,
        Action::Respond(200, "done", Duration::ZERO),
        Action::RespondAfterRepeatedRefusal,
        Action::RespondAfterRepeatedRefusal,
    ];
    let backend = Backend::start(actions).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    for id in ["w1", "w2", "w3"] {
        let response = daemon.fetch(&post("/write/x", id, "fee")).await;
        assert_eq!((response.status, &*response.body), (200, "done"), "{id}");
    }
    assert_eq!(backend.received_requests().len(), 4);
}

/// As above, but the server's entry leaves the store and comes back before the retry.
#[tokio::test]
async fn a_repeated_refusal_is_not_believed_after_the_entry_of_the_server_came_back() {
    let actions = [Action::Refuse, Action::RespondAfterRepeatedRefusal];
    let backend = Backend::start(actions).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&post("/write/x", "w1", "fee")).await;
    let is_refused = || !backend.received_requests().is_empty();
    assert_eventually(RESPONSE_TIMEOUT, "a refused attempt", is_refused).await;
    daemon.remove_entry("s0", 2);
    daemon.apply_entry("s0", &backend, "a", 3);
    let response = caller.response().await.expect("a response");
    let runs = backend.received_requests().len() - 1;
    assert_eq!((response.status, runs), (200, 1));
}

/// As above, but the process is listed under two ids and refuses requests for its predecessor.
#[tokio::test]
async fn a_repeated_refusal_is_not_believed_at_a_server_with_two_entries() {
    let actions = [Action::Misdirected, Action::RespondAfterRepeatedRefusal];
    let backend = Backend::start(actions).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    daemon.apply_entry("s1", &backend, "a", 1);
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    let runs = backend.received_requests().len() - 1;
    assert_eq!((response.status, runs), (200, 1));
}

/// As above, but the caller sends the request again under the same id.
#[tokio::test]
async fn a_repeated_refusal_is_not_believed_if_the_caller_repeats_the_id() {
    let refused = Action::Raw(PAUSED);
    let actions = [refused, Action::RespondAfterRepeatedRefusal];
    let backend = Backend::start(actions).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 503);
    tokio::time::sleep(PAUSE).await;
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    let runs = backend.received_requests().len() - 1;
    assert_eq!((response.status, runs), (200, 1));
}

/// What a connection remembers of failed requests must not grow without bound.
#[tokio::test]
async fn a_connection_with_many_failed_requests_is_replaced() {
    let failed = Action::Respond(500, "bad", Duration::ZERO);
    let backend = Backend::start(vec![failed; 65]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    for i in 0..65 {
        let response = daemon.fetch(&post("/write/x", &format!("w{i}"), "")).await;
        assert_eq!(response.status, 500);
    }
    let received = backend.received_requests();
    assert!(received[..64].iter().all(|r| r.connection == 1));
    assert_eq!(received[64].connection, 2);
}

/// A faulty server sends the start of an earlier refusal, then the response to a request that it has
/// run. Read as one head, the two are a refusal of that request, and it would run a second time.
#[tokio::test]
async fn a_refusal_that_merges_with_the_next_response_is_not_believed() {
    const REST: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                        Content-Length: 4\r\n\r\ndone";
    const UNSIGNED: &str = "HTTP/1.1 500 Bad\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n";
    for (start, rest) in [
        ("HTTP/1.1 503 Full\r\nNot-Executed: ", REST),
        ("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nServer: abc", REST),
        ("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nServer: ", UNSIGNED),
        ("HTTP/1.1 421 Other", REST),
        ("HTTP/1.1 421 Other\r\nInstance-Id: ", UNSIGNED),
        // The signature of another response would make a success of a failure.
        (
            "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nServer: ",
            UNSIGNED,
        ),
    ] {
        let text: &'static str = [start, rest].concat().leak();
        let first = Backend::start([support::OK, Action::Raw(text)]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::with_backends(&[&first, &second]).await;
        let before = daemon.fetch(&post("/write/x", "w1", "fee")).await;
        assert_eq!(before.status, 200);
        let response = daemon.fetch(&post("/write/x", "w2", "fee")).await;
        let runs = first.received_requests().len() + second.received_requests().len();
        assert_eq!((response.status, runs), (502, 2), "{start}");
    }
}
