//! What callers and backend servers see while backend servers misbehave.

mod support;

use std::time::{Duration, Instant};

use support::{Action, Backend, Daemon, OK, ROUTE_TIMEOUT, get, header, post};

const SIGNED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n";

/// A fault of the first server, and what has to follow.
struct Case {
    fault: Action,
    /// Status for a request that may run twice, with a sound second server.
    read: u16,
    /// Status for a request that may not.
    write: u16,
    /// Arrivals of the request that may not run twice, at both servers.
    write_arrivals: usize,
}

#[tokio::test]
async fn faults_of_a_server_and_what_callers_get() {
    let unsigned = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nno";
    let encoded = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                   Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno";
    let short = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                 Content-Length: 9\r\n\r\nshort";
    let chunk_cut = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                     Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n";
    let unframed_reset = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\npart";
    let case = |fault, read, write, write_arrivals| Case {
        fault,
        read,
        write,
        write_arrivals,
    };
    let cases = [
        case(Action::Respond(500, "bad", Duration::ZERO), 200, 500, 1),
        // This status without a statement that the request did not run promises too much.
        case(Action::Respond(503, "bad", Duration::ZERO), 200, 502, 1),
        case(Action::Refuse, 200, 200, 2),
        case(Action::Misdirected, 200, 200, 2),
        case(Action::Close, 200, 502, 1),
        case(Action::Raw("garbage\r\n\r\n"), 200, 502, 1),
        case(Action::Raw(unsigned), 200, 502, 1),
        case(Action::Raw(encoded), 200, 502, 1),
        case(Action::RawThenClose(short), 200, 502, 1),
        case(Action::RawThenClose(chunk_cut), 200, 502, 1),
        case(Action::RawThenReset(unframed_reset), 200, 502, 1),
    ];
    for Case {
        fault,
        read,
        write,
        write_arrivals,
    } in cases
    {
        let first = Backend::start([fault.clone()]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::before(&[&first, &second]).await;
        let response = daemon.ask(&get("/read/x", "r1")).await;
        assert_eq!(response.status, read, "{fault:?}: {response:?}");

        let first = Backend::start([fault.clone()]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::before(&[&first, &second]).await;
        let response = daemon.ask(&post("/write/x", "w1", "fee")).await;
        assert_eq!(response.status, write, "{fault:?}: {response:?}");
        let arrivals = first.arrivals().len() + second.arrivals().len();
        assert_eq!(arrivals, write_arrivals, "{fault:?}");
        if response.status != 200 && response.status != 500 {
            assert_eq!(
                header(&response.head, "response-signature"),
                None,
                "{fault:?}"
            );
        }
    }
}

#[tokio::test]
async fn a_request_reaches_the_server_unchanged_and_bound_to_it() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::before(&[&backend]).await;
    let request = "POST /write/a?q=1%20 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: w1\r\n\
                   Deadline-Ms: 700\r\nX-Own: kept\r\nX-Hop: dropped\r\nConnection: X-Hop\r\n\
                   Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    let response = daemon.ask(request).await;
    assert_eq!((response.status, &*response.body), (200, "done"));
    assert_eq!(
        header(&response.head, "response-signature").as_deref(),
        Some("s-200")
    );
    let arrival = backend.arrivals().remove(0);
    assert!(
        arrival
            .head
            .starts_with("POST /write/a?q=1%20 HTTP/1.1\r\n")
    );
    assert_eq!(arrival.body, b"abcde");
    assert_eq!(arrival.header("expected-instance").as_deref(), Some("s0"));
    assert_eq!(arrival.header("x-own").as_deref(), Some("kept"));
    assert_eq!(arrival.header("x-hop"), None);
    let left_ms: u64 = arrival
        .header("deadline-ms")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!((500..=700).contains(&left_ms), "{left_ms}");
}

#[tokio::test]
async fn a_response_to_another_request_is_skipped() {
    let stray = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: o\r\n\
                 Content-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\
                 Response-Signature: s\r\nContent-Length: 5\r\n\r\nright";
    let backend = Backend::start([Action::Raw(stray)]).await;
    let daemon = Daemon::before(&[&backend]).await;
    let response = daemon.ask(&post("/write/x", "w1", "")).await;
    assert_eq!((response.status, &*response.body), (200, "right"));
}

#[tokio::test]
async fn a_connection_with_bytes_after_a_response_is_not_used_again() {
    let extra = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                 Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\
                 Response-Signature: s\r\nContent-Length: 5\r\n\r\nextra";
    let backend = Backend::start([Action::Raw(extra)]).await;
    let daemon = Daemon::before(&[&backend]).await;
    assert_eq!(daemon.ask(&get("/read/x", "r1")).await.body, "ok");
    assert_eq!(daemon.ask(&get("/read/x", "r2")).await.body, "done");
    let connections: Vec<_> = backend.arrivals().iter().map(|a| a.connection).collect();
    assert_eq!(connections, [1, 2]);
}

#[tokio::test]
async fn a_sound_connection_is_used_again() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::before(&[&backend]).await;
    for id in ["r1", "r2", "r3"] {
        assert_eq!(daemon.ask(&get("/read/x", id)).await.status, 200);
    }
    let connections: Vec<_> = backend.arrivals().iter().map(|a| a.connection).collect();
    assert_eq!(connections, [1, 1, 1]);
}

#[tokio::test]
async fn a_response_before_the_body_was_read_ends_the_connection() {
    let backend = Backend::start([Action::Early, OK]).await;
    let daemon = Daemon::before(&[&backend]).await;
    // Larger than the buffers of both sockets, so that it can't be written at once.
    let body = "x".repeat(16_000_000);
    let response = daemon.ask(&post("/write/x", "w1", &body)).await;
    assert_eq!((response.status, &*response.body), (200, "early"));
    assert_eq!(daemon.ask(&get("/read/x", "r1")).await.status, 200);
    let last = backend.arrivals().pop().expect("an arrival");
    assert_eq!(last.connection, 2);
}

#[tokio::test]
async fn a_response_without_a_length_is_complete_when_its_connection_closes() {
    let text: &'static str = Box::leak(format!("{SIGNED}\r\nwhole body").into_boxed_str());
    let backend = Backend::start([Action::RawThenClose(text)]).await;
    let daemon = Daemon::before(&[&backend]).await;
    let response = daemon.ask(&get("/read/x", "r1")).await;
    assert_eq!((response.status, &*response.body), (200, "whole body"));
}

#[tokio::test]
async fn pipelined_requests_run_at_the_same_time_and_are_answered_in_order() {
    let pause = Duration::from_millis(400);
    let slow = Action::Respond(200, "slow", pause);
    let backend = Backend::start([slow.clone(), slow.clone(), slow]).await;
    let daemon = Daemon::before(&[&backend]).await;
    let mut caller = daemon.connect().await;
    let started = Instant::now();
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
    for id in ["a", "b", "c"] {
        let response = caller.response().await.expect("a response");
        assert_eq!(header(&response.head, "request-id").as_deref(), Some(id));
    }
    assert!(started.elapsed() < pause * 2, "{:?}", started.elapsed());
}

#[tokio::test]
async fn work_ends_when_the_caller_leaves() {
    let backend = Backend::start([Action::Hang]).await;
    let daemon = Daemon::before(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&get("/read/x", "r1")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(backend.arrivals().len(), 1);
    drop(caller);
    // The platform allows half a second.
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(backend.closed_while_hanging(), 1);
    assert_eq!(daemon.edge.in_flight(), 0);
}

#[tokio::test]
async fn a_request_ends_at_the_timeout_of_its_route() {
    let backend = Backend::start([Action::Hang]).await;
    let daemon = Daemon::before(&[&backend]).await;
    let started = Instant::now();
    let response = daemon.ask(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 504);
    let took = started.elapsed();
    // A quarter of a second late costs the caller.
    assert!(
        took >= ROUTE_TIMEOUT && took < ROUTE_TIMEOUT + Duration::from_millis(250),
        "{took:?}"
    );
}

#[tokio::test]
async fn a_refusal_by_all_servers_says_when_to_return() {
    let refusals = || vec![Action::Refuse; 8];
    let first = Backend::start(refusals()).await;
    let second = Backend::start(refusals()).await;
    let daemon = Daemon::before(&[&first, &second]).await;
    let started = Instant::now();
    let response = daemon.ask(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 503);
    assert!(header(&response.head, "retry-after").is_some());
    // Refused well before the deadline of 3 s and the timeout of 1 s.
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn a_server_that_refused_is_asked_again_when_the_limit_on_servers_is_reached() {
    let first = Backend::start([Action::Refuse]).await;
    let second = Backend::start([Action::Refuse]).await;
    let daemon = Daemon::before(&[&first, &second]).await;
    let response = daemon.ask(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 200);
}

#[tokio::test]
async fn requests_that_cannot_be_routed() {
    let daemon = Daemon::start().await;
    assert_eq!(daemon.ask(&get("/read/x", "r1")).await.status, 503);
    let backend = Backend::start([]).await;
    let daemon = Daemon::before(&[&backend]).await;
    assert_eq!(daemon.ask(&get("/none/x", "r1")).await.status, 404);
    let both = "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n\
                Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/x HTTP/1.1\r\n\r\n";
    assert_eq!(daemon.ask(both).await.status, 400);
    let large = format!(
        "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX: {}\r\n\r\n",
        "y".repeat(20_000)
    );
    assert_eq!(daemon.ask(&large).await.status, 431);
    assert!(backend.arrivals().is_empty());
}
