//! Contract of the peer protocol, against running daemons.

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
use support::{EXCHANGE, Place, Raw, raw};

/// A peer with keys of the fleet that sends what it likes.
async fn stranger(place: &Place, daemon: usize, authority: Option<&Authority>) -> Arc<Peers> {
    let mut settings = place.fleet.settings("tester", daemon).unwrap();
    if let Some(authority) = authority {
        settings.tls = authority.issue("tester").unwrap();
    }
    let (peers, mut opened) = Peers::bind(([127, 0, 0, 1], 0).into(), &settings.tls).unwrap();
    tokio::spawn(async move {
        // Connections stay open until the test ends.
        let mut kept = Vec::new();
        while let Some(connection) = opened.recv().await {
            kept.push(connection);
        }
    });
    peers
}

async fn asks(peers: &Peers, to: SocketAddr) -> bool {
    let ask = PeerRequest::Version;
    let answer = peers.request::<_, Answer>(to, &ask, EXCHANGE).await;
    matches!(answer, Ok(Answer::Version(Some(_))))
}

fn get(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: a\r\ncw-customer: customer-0\r\nconnection: close\r\n\r\n"
    )
}

fn post(path: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\ncw-customer: customer-0\r\nconnection: close\r\n{fields}\r\n"
    )
}

/// The daemon still serves callers and peers.
async fn check_alive(place: &Place, peers: &Peers, case: &str) {
    let daemon = place.entry();
    let got = raw(daemon.http_address, get("/script/echo").as_bytes()).await;
    assert_eq!(got.status, 200, "after {case}");
    assert!(asks(peers, daemon.peer_address).await, "after {case}");
}

fn prefixed(length: usize, content: &[u8]) -> Vec<u8> {
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

/// Guards against a daemon that stops serving after a message it can't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn malformed_messages_are_refused_and_the_daemon_serves_on() {
    let place = Place::start(1, BackendSettings::default()).await;
    let address = place.entry().peer_address;
    let peers = stranger(&place, 0, None).await;
    let ask = encode(&PeerRequest::Version).unwrap();
    let key = encode(&PeerRequest::Key("cut".to_owned())).unwrap();
    let mut other_version = ask.to_vec();
    other_version[0] = FORMAT_VERSION + 1;
    let streams = [
        ("empty stream", Vec::new()),
        ("part of a prefix", vec![0, 0]),
        ("length 0", prefixed(0, &[])),
        (
            "length over the limit",
            prefixed(MESSAGE_MAX_BYTES + 1, &[1; 100]),
        ),
        (
            "truncated message",
            prefixed(key.len(), &key[..key.len() - 1]),
        ),
        (
            "message shorter than its content",
            prefixed(key.len() - 1, &key[..key.len() - 1]),
        ),
        (
            "trailing bytes",
            prefixed(ask.len() + 1, &[&ask[..], &[0]].concat()),
        ),
        (
            "other version",
            prefixed(other_version.len(), &other_version),
        ),
        ("unknown variant", prefixed(2, &[FORMAT_VERSION, 99])),
        ("no version", prefixed(1, &[FORMAT_VERSION])),
    ];
    for (case, bytes) in streams {
        let mut channel = peers.open(address).await.unwrap();
        channel.send.write_all(&bytes).await.unwrap();
        channel.send.finish().unwrap();
        let answer = tokio::time::timeout(EXCHANGE, channel.recv::<Answer>()).await;
        assert!(answer.expect(case).is_err(), "{case} was answered");
        check_alive(&place, &peers, case).await;
    }
    let datagrams = [
        ("empty datagram", Vec::new()),
        ("datagram of another version", other_version),
        (
            "datagram with an unknown variant",
            vec![FORMAT_VERSION, 200],
        ),
        ("truncated datagram", vec![FORMAT_VERSION, 0, 1]),
        ("datagram of ones", vec![FORMAT_VERSION; 1_100]),
        ("datagram of 255", vec![u8::MAX; 1_100]),
    ];
    for (case, bytes) in datagrams {
        peers.send_datagram(address, bytes.into()).await.unwrap();
        check_alive(&place, &peers, case).await;
    }
}

/// Guards against a daemon that talks to a peer without a certificate of the fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn certificate_of_another_fleet_is_refused() {
    let place = Place::start(1, BackendSettings::default()).await;
    let address = place.entry().peer_address;
    let (other, _) = Authority::new().unwrap();
    let peers = stranger(&place, 0, Some(&other)).await;
    assert!(!asks(&peers, address).await);
    let member = stranger(&place, 0, None).await;
    check_alive(&place, &member, "a stranger").await;
}

async fn send_frames(channel: &mut Channel, frames: &[RelayFrame]) {
    for frame in frames {
        let bytes = encode_prefixed(frame).unwrap();
        // The daemon may stop reading as soon as a frame is wrong.
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

/// Guards against a relayed request that runs although its body is malformed or cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn relayed_requests_run_only_when_their_frames_are_in_order() {
    let place = Place::start(1, BackendSettings::default()).await;
    let address = place.entry().peer_address;
    let peers = stranger(&place, 0, None).await;
    let end = || RelayFrame::End;
    let (line, target) = ("POST", "/script/orders");
    let whole = [
        ("empty body", vec![end()]),
        ("largest frame", vec![body(BODY_FRAME_MAX_BYTES), end()]),
        ("frames after end", vec![body(3), end(), body(3), end()]),
    ];
    let broken = [
        ("missing end", vec![body(3)]),
        ("nothing", vec![]),
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
    let cases = whole.map(|(case, frames)| (case, frames, 1));
    let cases = cases
        .into_iter()
        .chain(broken.map(|(case, frames)| (case, frames, 0)));
    for (case, frames, runs) in cases {
        let before = place.script.hits();
        let mut channel = peers.open(address).await.unwrap();
        channel
            .send(&PeerRequest::Relay(head(line, target)))
            .await
            .unwrap();
        send_frames(&mut channel, &frames).await;
        let got = tokio::time::timeout(EXCHANGE, channel.recv::<RelayFrame>()).await;
        let Ok(RelayFrame::Answer(got)) = got.expect(case) else {
            panic!("{case} was not answered");
        };
        assert_eq!(got.request_id, 7, "{case}");
        assert_eq!(got.status == 200, runs == 1, "{case}: {}", got.status);
        assert_eq!(place.script.hits() - before, runs, "{case}");
        check_alive(&place, &peers, case).await;
    }
    for (line, target) in [("NO METHOD", "/script/orders"), ("POST", "a b"), ("", "")] {
        let before = place.script.hits();
        let mut channel = peers.open(address).await.unwrap();
        channel
            .send(&PeerRequest::Relay(head(line, target)))
            .await
            .unwrap();
        send_frames(&mut channel, &[RelayFrame::End]).await;
        let got = channel.recv::<RelayFrame>().await.unwrap();
        let RelayFrame::Answer(got) = got else {
            panic!("{got:?}");
        };
        assert_eq!(
            (got.status, place.script.hits()),
            (400, before),
            "{line} {target}"
        );
    }
}

/// What a home with faults sends as its response.
type Frames = fn(u64) -> Vec<RelayFrame>;

/// Answers relays with frames of its own; `None` leaves them without an answer.
fn serve_relays(connection: quinn::Connection, frames: Option<Frames>) {
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
                // Keeps the stream open until the other end is done with it.
                let _ = channel.send.stopped().await;
            });
        }
    });
}

/// Relays one request to a home that answers with the given frames.
async fn relay_to_fake(place: &Place, frames: Option<Frames>) -> Result<Raw, String> {
    use corianderworks::job::{Job, JobHead};
    use corianderworks::relay::{RelayError, relay};
    use http_body_util::BodyExt;
    let settings = place.fleet.settings("home", 0).unwrap();
    let (home, mut opened) = Peers::bind(([127, 0, 0, 1], 0).into(), &settings.tls).unwrap();
    tokio::spawn(async move {
        while let Some(connection) = opened.recv().await {
            serve_relays(connection, frames);
        }
    });
    let peers = stranger(place, 0, None).await;
    let head = JobHead::from_relay(head("POST", "/script/orders"), Duration::ZERO).unwrap();
    let body = corianderworks::body::empty();
    let entry = DaemonRun {
        daemon: DaemonKey(1),
        incarnation: Incarnation(1),
    };
    let job = Job { head, body };
    let to = home.address().unwrap();
    let sent = relay(
        &peers,
        to,
        job,
        7,
        entry,
        RelayPurpose::Dispatch,
        Duration::ZERO,
    );
    match tokio::time::timeout(EXCHANGE, sent)
        .await
        .expect("the relay hangs")
    {
        Err(RelayError::NotSent(_, error)) => Err(format!("not sent: {error}")),
        Err(RelayError::Sent(error)) => Err(format!("sent: {error}")),
        Ok(relayed) => {
            let response = relayed.reply.map_err(|refusal| format!("{refusal:?}"))?;
            let status = response.status().as_u16();
            let body = tokio::time::timeout(EXCHANGE, response.into_body().collect()).await;
            let body = body.expect("the body hangs");
            Ok(Raw {
                status,
                complete: body.is_ok(),
                body: body.map(|b| b.to_bytes().to_vec()).unwrap_or_default(),
                ..Raw::default()
            })
        }
    }
}

/// Guards against a response of a faulty home that reaches the caller as complete, or a
/// request that counts as not run although the home may have run it.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn answers_of_a_faulty_home_are_never_complete() {
    let place = Place::start(1, BackendSettings::default()).await;
    let cases: [(&str, Option<Frames>, Result<bool, &str>); 13] = [
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
        ("nothing", Some(|_| vec![]), Err("sent")),
        ("silence", None, Err("sent")),
    ];
    for (case, frames, want) in cases {
        let got = relay_to_fake(&place, frames).await;
        match (&got, want) {
            (Ok(got), Ok(complete)) => {
                assert_eq!((got.status, got.complete), (200, complete), "{case}");
                assert!(!complete || got.body == b"xxx", "{case}: {got:?}");
            }
            (Err(error), Err(kind)) => assert!(error.starts_with(kind), "{case}: {error}"),
            _ => panic!("{case}: {got:?}"),
        }
    }
}

/// Guards against a repeated request with an issued key that gets a refusal, or runs twice,
/// when it comes in at another daemon than the first time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_key_is_answered_at_every_daemon() {
    let place = Place::start(3, BackendSettings::default()).await;
    let daemons = &place.fleet.daemons;
    let issued = raw(daemons[0].1.http_address, post("/v1/keys", "").as_bytes()).await;
    let issued: serde_json::Value = serde_json::from_slice(&issued.body).unwrap();
    let key = format!("{}order-1", issued["key_prefix"].as_str().unwrap());
    let before = place.script.hits();
    let order = post("/script/orders", &format!("idempotency-key: {key}\r\n"));
    for (index, (_, daemon)) in daemons.iter().enumerate() {
        let got = raw(daemon.http_address, order.as_bytes()).await;
        let outcome = (index > 0).then_some("done");
        assert_eq!(
            (got.status, got.field("cw-outcome")),
            (200, outcome),
            "{index}: {got:?}"
        );
    }
    assert_eq!(place.script.hits() - before, 1);
}
