//! Tests of forwarding over loopback connections, mostly with faulty backend servers.

mod support;

use std::time::{Duration, Instant};

use support::{
    Action, Backend, Daemon, OK, RESPONSE_TIMEOUT, ROUTE_TIMEOUT, assert_eventually, get, header,
    post,
};

const SIGNED_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n";

/// Fault of the first backend server, with the expected responses. The second server is healthy.
struct FaultCase {
    fault: Action,
    /// Status of the response to an idempotent request.
    idempotent_status: u16,
    /// Status of the response to a non-idempotent request.
    non_idempotent_status: u16,
    /// Number of times that the two servers together receive the non-idempotent request.
    non_idempotent_requests: usize,
}

#[tokio::test]
async fn server_faults_are_retried_only_when_safe() {
    let unsigned = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nno";
    let encoded = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                   Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno";
    let truncated = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                     Content-Length: 9\r\n\r\nshort";
    let truncated_chunked = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                             Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n";
    let unframed_reset = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\npart";
    let case =
        |fault, idempotent_status, non_idempotent_status, non_idempotent_requests| FaultCase {
            fault,
            idempotent_status,
            non_idempotent_status,
            non_idempotent_requests,
        };
    let cases = [
        case(Action::Respond(500, "bad", Duration::ZERO), 200, 500, 1),
        // Callers would take a 503 to mean that the request was not run, which the server doesn't
        // state here.
        case(Action::Respond(503, "bad", Duration::ZERO), 200, 502, 1),
        case(Action::Refuse, 200, 200, 2),
        case(Action::Misdirected, 200, 200, 2),
        case(Action::Close, 200, 502, 1),
        case(Action::Raw("garbage\r\n\r\n"), 200, 502, 1),
        case(Action::Raw(unsigned), 200, 502, 1),
        case(Action::Raw(encoded), 200, 502, 1),
        case(Action::RawThenClose(truncated), 200, 502, 1),
        case(Action::RawThenClose(truncated_chunked), 200, 502, 1),
        case(Action::RawThenReset(unframed_reset), 200, 502, 1),
    ];
    for FaultCase {
        fault,
        idempotent_status,
        non_idempotent_status,
        non_idempotent_requests,
    } in cases
    {
        let first = Backend::start([fault.clone()]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::with_backends(&[&first, &second]).await;
        let response = daemon.fetch(&get("/read/x", "r1")).await;
        assert_eq!(
            response.status, idempotent_status,
            "{fault:?}: {response:?}"
        );

        let first = Backend::start([fault.clone()]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::with_backends(&[&first, &second]).await;
        let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
        assert_eq!(
            response.status, non_idempotent_status,
            "{fault:?}: {response:?}"
        );
        let received_requests = first.received_requests().len() + second.received_requests().len();
        assert_eq!(received_requests, non_idempotent_requests, "{fault:?}");
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
async fn request_is_forwarded_unchanged_with_expected_instance() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let request = "POST /write/a?q=1%20 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: w1\r\n\
                   Deadline-Ms: 700\r\nX-Own: kept\r\nX-Hop: dropped\r\nConnection: X-Hop\r\n\
                   Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    let response = daemon.fetch(request).await;
    assert_eq!((response.status, &*response.body), (200, "done"));
    assert_eq!(
        header(&response.head, "response-signature").as_deref(),
        Some("s-200")
    );
    let received_request = backend.received_requests().remove(0);
    assert!(
        received_request
            .head
            .starts_with("POST /write/a?q=1%20 HTTP/1.1\r\n")
    );
    assert_eq!(received_request.body, b"abcde");
    assert_eq!(
        received_request.header("expected-instance").as_deref(),
        Some("s0")
    );
    assert_eq!(received_request.header("x-own").as_deref(), Some("kept"));
    assert_eq!(received_request.header("x-hop"), None);
    let time_left_ms: u64 = received_request
        .header("deadline-ms")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!((500..=700).contains(&time_left_ms), "{time_left_ms}");
}

/// Guards against a limit on the number of headers that rejects heads within the limit of their size.
#[tokio::test]
async fn many_short_headers_are_forwarded() {
    let many_headers = "x-n: 1\r\n".repeat(500);
    let signed = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n";
    let response = format!("{signed}{many_headers}Content-Length: 2\r\n\r\nok").leak();
    let backend = Backend::start([Action::Raw(response)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let request = get("/read/x", "r1").replacen("\r\n", &format!("\r\n{many_headers}"), 1);
    let response = daemon.fetch(&request).await;
    assert_eq!((response.status, &*response.body), (200, "ok"));
    let received_request = backend.received_requests().remove(0);
    for head in [received_request.head, response.head] {
        let forwarded = head.lines().filter(|line| *line == "x-n: 1").count();
        assert_eq!(forwarded, 500, "{head}");
    }
}

#[tokio::test]
async fn response_to_another_request_is_skipped() {
    let mismatched = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: o\r\n\
                      Content-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\
                      Response-Signature: s\r\nContent-Length: 5\r\n\r\nright";
    let backend = Backend::start([Action::Raw(mismatched)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let response = daemon.fetch(&post("/write/x", "w1", "")).await;
    assert_eq!((response.status, &*response.body), (200, "right"));
}

#[tokio::test]
async fn connection_with_bytes_after_a_response_is_not_reused() {
    let extra = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
                 Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\
                 Response-Signature: s\r\nContent-Length: 5\r\n\r\nextra";
    let backend = Backend::start([Action::Raw(extra)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    assert_eq!(daemon.fetch(&get("/read/x", "r1")).await.body, "ok");
    assert_eq!(daemon.fetch(&get("/read/x", "r2")).await.body, "done");
    let connections: Vec<_> = backend
        .received_requests()
        .iter()
        .map(|r| r.connection)
        .collect();
    assert_eq!(connections, [1, 2]);
}

#[tokio::test]
async fn idle_connection_is_reused() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    for id in ["r1", "r2", "r3"] {
        assert_eq!(daemon.fetch(&get("/read/x", id)).await.status, 200);
    }
    let connections: Vec<_> = backend
        .received_requests()
        .iter()
        .map(|r| r.connection)
        .collect();
    assert_eq!(connections, [1, 1, 1]);
}

/// Guards against a response of a server that is dropped because the server of the retry refused.
#[tokio::test]
async fn response_to_the_first_attempt_is_delivered_if_the_retry_is_refused() {
    let failed = Action::Respond(500, "broken", Duration::ZERO);
    let failing = Backend::start([failed]).await;
    let full = Backend::start(std::iter::repeat_n(Action::Refuse, 200)).await;
    let daemon = Daemon::with_backends(&[&failing, &full]).await;
    let response = daemon.fetch(&get("/read/x", "r1")).await;
    assert_eq!((response.status, &*response.body), (500, "broken"));
    assert_eq!(failing.received_requests().len(), 1);
    assert!(!full.received_requests().is_empty());
}

#[tokio::test]
async fn metrics_count_the_servers_of_a_service_by_use() {
    let [used, unused] = [Backend::start([]).await, Backend::start([]).await];
    let daemon = Daemon::with_backends(&[&used, &unused]).await;
    // A server counts as idle when it had no request for some time after the start.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(daemon.fetch(&get("/read/x", "r1")).await.status, 200);
    let text = daemon.edge.metrics_text().expect("metrics");
    for (label, count) in [("in-use", 1), ("idle", 1), ("suspected", 0)] {
        let line =
            format!("corianderworks_edge_servers{{service=\"ledger\",use=\"{label}\"}} {count}");
        assert!(text.lines().any(|l| l == line), "{line} not in\n{text}");
    }
}

#[tokio::test]
async fn connection_is_closed_after_a_response_to_an_incomplete_request() {
    let backend = Backend::start([Action::RespondEarly, OK]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    // Exceeds the buffers of both sockets, so that it can't be written before the response.
    let body = "x".repeat(16_000_000);
    let response = daemon.fetch(&post("/write/x", "w1", &body)).await;
    assert_eq!((response.status, &*response.body), (200, "early"));
    assert_eq!(daemon.fetch(&get("/read/x", "r1")).await.status, 200);
    let last = backend
        .received_requests()
        .pop()
        .expect("a received request");
    assert_eq!(last.connection, 2);
}

/// A server that stops within the head or the body of its response and closes the connection has sent
/// no response, however complete the part looks. The caller must not get a 200 with a short body.
#[tokio::test]
async fn a_response_that_ends_at_any_byte_before_its_end_is_not_delivered() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n";
    let framed = [
        "Content-Length: 10\r\n\r\n0123456789",
        "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\nX: y\r\n\r\n",
        "Content-Length: 0\r\n\r\n",
    ];
    // Without a length, a response is complete as soon as its head is.
    let without_length = [HEAD, "\r\n"].concat();
    let mut responses = framed.map(|rest| [HEAD, rest].concat()).to_vec();
    responses.push(without_length);
    for response in responses {
        let ends = 0..response.len();
        let actions = ends.clone().flat_map(|end| {
            let part: &'static str = response[..end].to_owned().leak();
            // The connection of the first response is used again for the part.
            [support::OK, Action::RawThenClose(part)]
        });
        let backend = Backend::start(actions).await;
        let daemon = Daemon::with_backends(&[&backend]).await;
        for end in ends {
            assert_eq!(
                daemon.fetch(&post("/write/x", "w1", "fee")).await.status,
                200
            );
            let response = daemon.fetch(&post("/write/x", "w2", "fee")).await;
            assert_eq!(response.status, 502, "{end} bytes: {response:?}");
        }
    }
}

#[tokio::test]
async fn response_without_a_length_is_complete_when_its_connection_closes() {
    let text: &'static str = Box::leak(format!("{SIGNED_HEAD}\r\nwhole body").into_boxed_str());
    let backend = Backend::start([Action::RawThenClose(text)]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let response = daemon.fetch(&get("/read/x", "r1")).await;
    assert_eq!((response.status, &*response.body), (200, "whole body"));
}

/// The error of the reset may be reported to the write of the request, and the read then ends as if
/// the server had closed the connection.
#[tokio::test]
async fn a_response_without_a_length_is_incomplete_if_its_connection_is_reset_during_an_upload() {
    const PART: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\npart";
    let body = "x".repeat(8 * 1024 * 1024);
    let fault = Action::RawThenResetEarly(PART);
    let backend = Backend::start(vec![fault; 40]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    for i in 0..40 {
        let request = post("/write/x", &format!("w{i}"), &body);
        assert_eq!(daemon.fetch(&request).await.status, 502, "request {i}");
    }
}

/// A status that the protocol doesn't have is no response, also if the rest is well-formed.
#[tokio::test]
async fn a_response_with_an_invalid_status_is_not_delivered() {
    for status in ["000", "099", "600", "999"] {
        let text = format!(
            "HTTP/1.1 {status} Odd\r\nRequest-Id: {{id}}\r\nResponse-Signature: s\r\n\
             Content-Length: 3\r\n\r\nodd"
        );
        let odd = Action::Raw(text.leak());
        let first = Backend::start([odd.clone(), odd]).await;
        let second = Backend::start([]).await;
        let daemon = Daemon::with_backends(&[&first, &second]).await;
        let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
        assert_eq!(
            (response.status, second.received_requests().len()),
            (502, 0)
        );
        let response = daemon.fetch(&get("/read/x", "r1")).await;
        assert_eq!(
            (response.status, &*response.body),
            (200, "done"),
            "{status}"
        );
    }
}

#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let pause = Duration::from_millis(400);
    let slow = Action::Respond(200, "slow", pause);
    let backend = Backend::start([slow.clone(), slow.clone(), slow]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
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
async fn attempts_are_aborted_when_the_caller_disconnects() {
    let backend = Backend::start([Action::Hang]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let mut caller = daemon.connect().await;
    caller.send(&get("/read/x", "r1")).await;
    let is_received = || backend.received_requests().len() == 1;
    assert_eventually(RESPONSE_TIMEOUT, "the request", is_received).await;
    drop(caller);
    // The platform requires this within 500 ms.
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(backend.closed_while_hanging(), 1);
    assert_eq!(daemon.edge.in_flight(), 0);
}

#[tokio::test]
async fn request_times_out_at_the_route_timeout() {
    let backend = Backend::start([Action::Hang]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let started = Instant::now();
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 504);
    let took = started.elapsed();
    // A response 250 ms after the timeout is too late for the caller.
    assert!(
        took >= ROUTE_TIMEOUT && took < ROUTE_TIMEOUT + Duration::from_millis(250),
        "{took:?}"
    );
}

#[tokio::test]
async fn refusal_by_all_servers_has_a_retry_after_header() {
    let refusals = || vec![Action::Refuse; 8];
    let first = Backend::start(refusals()).await;
    let second = Backend::start(refusals()).await;
    let daemon = Daemon::with_backends(&[&first, &second]).await;
    let started = Instant::now();
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 503);
    assert!(header(&response.head, "retry-after").is_some());
    // Well before the caller's deadline of 3 s and the route's timeout of 1 s.
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn refusing_server_is_retried_when_the_attempt_limit_is_reached() {
    let first = Backend::start([Action::Refuse]).await;
    let second = Backend::start([Action::Refuse]).await;
    let daemon = Daemon::with_backends(&[&first, &second]).await;
    let response = daemon.fetch(&post("/write/x", "w1", "fee")).await;
    assert_eq!(response.status, 200);
}

#[tokio::test]
async fn unroutable_and_invalid_requests_are_rejected() {
    let daemon = Daemon::start().await;
    assert_eq!(daemon.fetch(&get("/read/x", "r1")).await.status, 503);
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    assert_eq!(daemon.fetch(&get("/none/x", "r1")).await.status, 404);
    let ambiguous = "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n\
                     Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/x HTTP/1.1\r\n\r\n";
    assert_eq!(daemon.fetch(ambiguous).await.status, 400);
    let large = format!(
        "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX: {}\r\n\r\n",
        "y".repeat(20_000)
    );
    assert_eq!(daemon.fetch(&large).await.status, 431);
    assert!(backend.received_requests().is_empty());
}
