//! Contract tests of the protocol between daemons, against running daemons.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks::keys_commands::Authority;
use corianderworks::peer::{Channel, Peers};
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};
use corianderworks_standin::backend::BackendSettings;
use corianderworks_wire::codec::{
    BODY_FRAME_MAX_BYTES, FORMAT_VERSION, MESSAGE_MAX_BYTES, encode, encode_prefixed,
};
use corianderworks_wire::message::{
    Answer, KeyState, PeerRequest, RelayAnswer, RelayFrame, RelayHead, RelayPurpose,
};
use support::{EXCHANGE_TIMEOUT, RawResponse, Testbed, send_raw};

/// Binds a peer that can send arbitrary bytes to the daemons. Its certificate is issued by the
/// fleet, or by `authority` if one is given.
async fn test_peer(
    testbed: &Testbed,
    daemon_index: usize,
    authority: Option<&Authority>,
) -> Arc<Peers> {
    let mut settings = testbed.fleet.settings("tester", daemon_index).unwrap();
    if let Some(authority) = authority {
        settings.tls = authority.issue("tester").unwrap();
    }
    let (peers, mut new_connections) =
        Peers::bind(([127, 0, 0, 1], 0).into(), &settings.tls).unwrap();
    tokio::spawn(async move {
        // Keeps the connections open until the test ends.
        let mut open_connections = Vec::new();
        while let Some(connection) = new_connections.recv().await {
            open_connections.push(connection);
        }
    });
    peers
}

async fn answers_version_request(peers: &Peers, destination: SocketAddr) -> bool {
    let version_request = PeerRequest::Version;
    let answer = peers
        .request::<_, Answer>(destination, &version_request, EXCHANGE_TIMEOUT)
        .await;
    matches!(answer, Ok(Answer::Version(Some(_))))
}

fn get(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: a\r\ncw-customer: customer-0\r\nconnection: close\r\n\r\n"
    )
}

fn post(path: &str, header_lines: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\ncw-customer: customer-0\r\nconnection: close\r\n{header_lines}\r\n"
    )
}

/// Checks that the daemon still serves callers and peers.
async fn check_alive(testbed: &Testbed, peers: &Peers, case: &str) {
    let daemon = testbed.entry();
    let actual = send_raw(daemon.http_address, get("/script/echo").as_bytes()).await;
    assert_eq!(actual.status, 200, "after {case}");
    assert!(
        answers_version_request(peers, daemon.peer_address).await,
        "after {case}"
    );
}

/// Prepends `length`, which may differ from the length of the content.
fn length_prefixed(length: usize, content: &[u8]) -> Vec<u8> {
    [&(length as u32).to_be_bytes()[..], content].concat()
}

fn head(method: &str, target: &str) -> RelayHead {
    RelayHead {
        request_id: 7,
        entry: DaemonRun {
            daemon: DaemonKey(1),
            incarnation: Incarnation(1),
        },
        service: "script".to_owned(),
        customer: "customer-0".to_owned(),
        route: "order".to_owned(),
        method: method.to_owned(),
        target: target.to_owned(),
        headers: Vec::new(),
        has_body: true,
        idempotent: false,
        priority: 1,
        deadline_ms: 1_000,
        key: None,
        purpose: RelayPurpose::Dispatch,
    }
}

/// Guards against a daemon that stops serving after a message that it can't decode.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn malformed_messages_are_rejected_and_the_daemon_keeps_serving() {
    let testbed = Testbed::start(1, BackendSettings::default()).await;
    let address = testbed.entry().peer_address;
    let peers = test_peer(&testbed, 0, None).await;
    let version_request = encode(&PeerRequest::Version).unwrap();
    let key_request = encode(&PeerRequest::Key("cut".to_owned())).unwrap();
    let mut other_version = version_request.to_vec();
    other_version[0] = FORMAT_VERSION + 1;
    let streams = [
        ("empty stream", Vec::new()),
        ("part of a prefix", vec![0, 0]),
        ("length 0", length_prefixed(0, &[])),
        (
            "length over the limit",
            length_prefixed(MESSAGE_MAX_BYTES + 1, &[1; 100]),
        ),
        (
            "truncated message",
            length_prefixed(key_request.len(), &key_request[..key_request.len() - 1]),
        ),
        (
            "content without its last byte, length correct",
            length_prefixed(key_request.len() - 1, &key_request[..key_request.len() - 1]),
        ),
        (
            "trailing bytes",
            length_prefixed(
                version_request.len() + 1,
                &[&version_request[..], &[0]].concat(),
            ),
        ),
        (
            "other version",
            length_prefixed(other_version.len(), &other_version),
        ),
        ("unknown variant", length_prefixed(2, &[FORMAT_VERSION, 99])),
        (
            "no content after the version",
            length_prefixed(1, &[FORMAT_VERSION]),
        ),
    ];
    for (case, bytes) in streams {
        let mut channel = peers.open_channel(address).await.unwrap();
        channel.send.write_all(&bytes).await.unwrap();
        channel.send.finish().unwrap();
        let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, channel.recv::<Answer>()).await;
        assert!(answer.expect(case).is_err(), "{case} was answered");
        check_alive(&testbed, &peers, case).await;
    }
    let datagrams = [
        ("empty datagram", Vec::new()),
        ("datagram of another version", other_version),
        (
            "datagram with an unknown variant",
            vec![FORMAT_VERSION, 200],
        ),
        ("truncated datagram", vec![FORMAT_VERSION, 0, 1]),
        ("datagram of version bytes", vec![FORMAT_VERSION; 1_100]),
        ("datagram of bytes 255", vec![u8::MAX; 1_100]),
    ];
    for (case, bytes) in datagrams {
        peers.send_datagram(address, bytes.into()).await.unwrap();
        check_alive(&testbed, &peers, case).await;
    }
}

/// Guards against a daemon that accepts a peer without a certificate of the fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn certificate_of_another_fleet_is_rejected() {
    let testbed = Testbed::start(1, BackendSettings::default()).await;
    let address = testbed.entry().peer_address;
    let (other, _) = Authority::new().unwrap();
    let peers = test_peer(&testbed, 0, Some(&other)).await;
    assert!(!answers_version_request(&peers, address).await);
    let member = test_peer(&testbed, 0, None).await;
    check_alive(&testbed, &member, "a peer of another fleet").await;
}

async fn send_frames(channel: &mut Channel, frames: &[RelayFrame]) {
    for frame in frames {
        let bytes = encode_prefixed(frame).unwrap();
        // The daemon may stop reading after an invalid frame.
        if channel.send.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _ = channel.send.finish();
}

fn body(length: usize) -> RelayFrame {
    RelayFrame::Body(Bytes::from(vec![b'x'; length]))
}

fn trailers() -> RelayFrame {
    RelayFrame::Trailers(vec![("x-sum".to_owned(), Bytes::from("7"))])
}

fn answer(request_id: u64) -> RelayFrame {
    RelayFrame::Answer(RelayAnswer {
        request_id,
        status: 200,
        headers: Vec::new(),
        free_slots: 1,
        queued: 0,
    })
}

/// Guards against a relayed request that runs although its body is malformed or truncated.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn relayed_requests_run_only_when_their_frames_are_in_order() {
    let testbed = Testbed::start(1, BackendSettings::default()).await;
    let address = testbed.entry().peer_address;
    let peers = test_peer(&testbed, 0, None).await;
    let end = || RelayFrame::End;
    let (request_method, target) = ("POST", "/script/orders");
    let valid = [
        ("empty body", vec![end()]),
        ("largest frame", vec![body(BODY_FRAME_MAX_BYTES), end()]),
        ("frames after end", vec![body(3), end(), body(3), end()]),
    ];
    let invalid = [
        ("missing end", vec![body(3)]),
        ("stream finished without frames", vec![]),
        ("abort", vec![body(3), RelayFrame::Abort("cut".to_owned())]),
        (
            "oversized frame",
            vec![body(BODY_FRAME_MAX_BYTES + 1), end()],
        ),
        (
            "body after trailers",
            vec![body(3), trailers(), body(3), end()],
        ),
        ("repeated trailers", vec![trailers(), trailers(), end()]),
        ("answer in a request", vec![body(3), answer(7), end()]),
    ];
    let cases = valid.map(|(case, frames)| (case, frames, 1));
    let cases = cases
        .into_iter()
        .chain(invalid.map(|(case, frames)| (case, frames, 0)));
    for (case, frames, expected_runs) in cases {
        let before = testbed.scripted_backend.request_count();
        let mut channel = peers.open_channel(address).await.unwrap();
        channel
            .send(&PeerRequest::Relay(head(request_method, target)))
            .await
            .unwrap();
        send_frames(&mut channel, &frames).await;
        let actual = tokio::time::timeout(EXCHANGE_TIMEOUT, channel.recv::<RelayFrame>()).await;
        let Ok(RelayFrame::Answer(actual)) = actual.expect(case) else {
            panic!("{case} was not answered");
        };
        assert_eq!(actual.request_id, 7, "{case}");
        assert_eq!(
            actual.status == 200,
            expected_runs == 1,
            "{case}: {}",
            actual.status
        );
        assert_eq!(
            testbed.scripted_backend.request_count() - before,
            expected_runs,
            "{case}"
        );
        check_alive(&testbed, &peers, case).await;
    }
    for (request_method, target) in [("NO METHOD", "/script/orders"), ("POST", "a b"), ("", "")] {
        let before = testbed.scripted_backend.request_count();
        let mut channel = peers.open_channel(address).await.unwrap();
        channel
            .send(&PeerRequest::Relay(head(request_method, target)))
            .await
            .unwrap();
        send_frames(&mut channel, &[RelayFrame::End]).await;
        let actual = channel.recv::<RelayFrame>().await.unwrap();
        let RelayFrame::Answer(actual) = actual else {
            panic!("{actual:?}");
        };
        assert_eq!(
            (actual.status, testbed.scripted_backend.request_count()),
            (400, before),
            "{request_method} {target}"
        );
    }
}

/// Builds the response frames of a test home from the request id.
type ResponseFrames = fn(u64) -> Vec<RelayFrame>;

/// Answers each relayed request with `frames`, or never if `frames` is `None`. All idempotency keys
/// are unknown.
fn serve_relays(connection: quinn::Connection, frames: Option<ResponseFrames>) {
    tokio::spawn(async move {
        while let Ok((send, recv)) = connection.accept_bi().await {
            let connection = connection.clone();
            tokio::spawn(async move {
                let mut channel = Channel {
                    connection,
                    send,
                    recv,
                };
                match channel.recv::<PeerRequest>().await {
                    Ok(PeerRequest::Relay(head)) => match frames {
                        Some(frames) => send_frames(&mut channel, &frames(head.request_id)).await,
                        None => std::future::pending().await,
                    },
                    Ok(PeerRequest::Key(_)) => {
                        let _ = channel.send(&Answer::Key(KeyState::Unknown)).await;
                    }
                    _ => {}
                }
                // Keeps the stream open until the peer has finished with it.
                let _ = channel.send.stopped().await;
            });
        }
    });
}

/// Relays one request to a test home that answers with the given frames.
async fn relay_to_test_home(
    testbed: &Testbed,
    frames: Option<ResponseFrames>,
) -> Result<RawResponse, String> {
    use corianderworks::job::{Job, JobHead};
    use corianderworks::relay::{RelayError, relay};
    use http_body_util::BodyExt;
    let settings = testbed.fleet.settings("home", 0).unwrap();
    let (home, mut new_connections) =
        Peers::bind(([127, 0, 0, 1], 0).into(), &settings.tls).unwrap();
    tokio::spawn(async move {
        while let Some(connection) = new_connections.recv().await {
            serve_relays(connection, frames);
        }
    });
    let peers = test_peer(testbed, 0, None).await;
    let head = JobHead::from_relay(head("POST", "/script/orders"), Duration::ZERO).unwrap();
    let body = corianderworks::body::empty();
    let entry = DaemonRun {
        daemon: DaemonKey(1),
        incarnation: Incarnation(1),
    };
    let job = Job { head, body };
    let destination = home.address().unwrap();
    let relaying = relay(
        &peers,
        destination,
        job,
        7,
        entry,
        RelayPurpose::Dispatch,
        Duration::ZERO,
    );
    match tokio::time::timeout(EXCHANGE_TIMEOUT, relaying)
        .await
        .expect("the relay timed out")
    {
        Err(RelayError::NotSent(_, error)) => Err(format!("not sent: {error}")),
        Err(RelayError::Sent(error)) => Err(format!("sent: {error}")),
        Ok(relayed) => {
            let response = relayed.reply.map_err(|refusal| format!("{refusal:?}"))?;
            let status = response.status().as_u16();
            let body = tokio::time::timeout(EXCHANGE_TIMEOUT, response.into_body().collect()).await;
            let body = body.expect("the body timed out");
            Ok(RawResponse {
                status,
                complete: body.is_ok(),
                body: body.map(|b| b.to_bytes().to_vec()).unwrap_or_default(),
                ..RawResponse::default()
            })
        }
    }
}

/// Guards against an invalid response of a home that reaches the caller as complete, and against
/// a request that counts as not run although the home may have run it.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn invalid_responses_of_a_home_are_never_complete() {
    let testbed = Testbed::start(1, BackendSettings::default()).await;
    // Expected result: `Ok` states whether the body is complete, `Err` is the prefix of the error.
    let cases: [(&str, Option<ResponseFrames>, Result<bool, &str>); 13] = [
        (
            "whole",
            Some(|id| vec![answer(id), body(3), RelayFrame::End]),
            Ok(true),
        ),
        (
            "frames after end",
            Some(|id| vec![answer(id), body(3), RelayFrame::End, body(3)]),
            Ok(true),
        ),
        (
            "missing end",
            Some(|id| vec![answer(id), body(3)]),
            Ok(false),
        ),
        (
            "abort",
            Some(|id| vec![answer(id), RelayFrame::Abort("cut".to_owned())]),
            Ok(false),
        ),
        (
            "second answer",
            Some(|id| vec![answer(id), body(3), answer(id), RelayFrame::End]),
            Ok(false),
        ),
        (
            "body after trailers",
            Some(|id| vec![answer(id), trailers(), body(3), RelayFrame::End]),
            Ok(false),
        ),
        (
            "repeated trailers",
            Some(|id| vec![answer(id), trailers(), trailers(), RelayFrame::End]),
            Ok(false),
        ),
        (
            "oversized frame",
            Some(|id| vec![answer(id), body(BODY_FRAME_MAX_BYTES + 1), RelayFrame::End]),
            Ok(false),
        ),
        (
            "other request",
            Some(|id| vec![answer(id + 1), RelayFrame::End]),
            Err("sent"),
        ),
        (
            "body before the answer",
            Some(|id| vec![body(3), answer(id), RelayFrame::End]),
            Err("sent"),
        ),
        (
            "end before the answer",
            Some(|_| vec![RelayFrame::End]),
            Err("sent"),
        ),
        (
            "stream finished without frames",
            Some(|_| vec![]),
            Err("sent"),
        ),
        ("stream left open without frames", None, Err("sent")),
    ];
    for (case, frames, expected) in cases {
        let actual = relay_to_test_home(&testbed, frames).await;
        match (&actual, expected) {
            (Ok(actual), Ok(complete)) => {
                assert_eq!((actual.status, actual.complete), (200, complete), "{case}");
                assert!(!complete || actual.body == b"xxx", "{case}: {actual:?}");
            }
            (Err(error), Err(kind)) => assert!(error.starts_with(kind), "{case}: {error}"),
            _ => panic!("{case}: {actual:?}"),
        }
    }
}

/// Guards against a repeated request with an issued key that is refused or runs twice because it
/// arrives at another daemon than the first one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_key_is_answered_by_every_daemon() {
    let testbed = Testbed::start(3, BackendSettings::default()).await;
    let daemons = &testbed.fleet.daemons;
    let issued = send_raw(daemons[0].1.http_address, post("/v1/keys", "").as_bytes()).await;
    let issued: serde_json::Value = serde_json::from_slice(&issued.body).unwrap();
    let key = format!("{}order-1", issued["key_prefix"].as_str().unwrap());
    let before = testbed.scripted_backend.request_count();
    let order = post("/script/orders", &format!("idempotency-key: {key}\r\n"));
    for (index, (_, daemon)) in daemons.iter().enumerate() {
        let actual = send_raw(daemon.http_address, order.as_bytes()).await;
        let expected_outcome = (index > 0).then_some("done");
        assert_eq!(
            (actual.status, actual.field("cw-outcome")),
            (200, expected_outcome),
            "{index}: {actual:?}"
        );
    }
    assert_eq!(testbed.scripted_backend.request_count() - before, 1);
}
