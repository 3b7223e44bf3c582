//! Contract tests of the platform client against a fake HTTP platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks::list_store;
use corianderworks::platform::{
    ListedObject, PlatformClient, PlatformError, Timeouts, VmKind, VmState, WriteOutcome,
};
use corianderworks_lists::apply::{Outcome, Request as Change};
use corianderworks_lists::parse::{self, Source};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const VALUE: &[u8] = b"value";

/// Time limit of a call, except in tests that need a shorter one.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Response delay of a slow platform.
const SLOW_DELAY: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Applies the request and responds after the client's time limit.
    Slow,
    /// Applies the request and closes the connection without a response.
    LostResponse,
    /// Like `LostResponse`, but for writes only, so that the write reuses a connection.
    LostWriteResponse,
    /// Returns version 1 of an object whatever its version is.
    Stale,
    /// Responds with this status; a request that gets a server error is applied first.
    Status(u16),
    /// Declares a longer body than it sends.
    Truncated,
    /// Responds without a version.
    NoVersion,
    /// Responds with a list that is not JSON.
    NotJson,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (Bytes, u64)>,
    calls: u64,
}

struct FakePlatform {
    address: SocketAddr,
    call_timeout: Duration,
    state: Arc<Mutex<State>>,
}

impl FakePlatform {
    /// Serves the platform API and applies the same fault to every request.
    async fn start(fault: Fault) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        state
            .lock()
            .objects
            .insert("a".to_owned(), (Bytes::from_static(VALUE), 3));
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&shared);
                tokio::spawn(async move {
                    if fault == Fault::Truncated {
                        return send_truncated(stream, state).await;
                    }
                    let service =
                        service_fn(move |request| respond(Arc::clone(&state), request, fault));
                    let io = TokioIo::new(stream);
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(io, service)
                        .await;
                });
            }
        });
        // Only `Fault::Slow` may reach the time limit, even on a busy machine.
        let is_slow = fault == Fault::Slow;
        let call_timeout = if is_slow {
            SLOW_DELAY / 2
        } else {
            CALL_TIMEOUT
        };
        Self {
            address,
            call_timeout,
            state,
        }
    }

    fn client(&self) -> PlatformClient {
        client(self.address, self.call_timeout)
    }

    fn version(&self, path: &str) -> Option<u64> {
        self.state.lock().objects.get(path).map(|o| o.1)
    }
}

fn client(address: SocketAddr, call_timeout: Duration) -> PlatformClient {
    let timeouts = Timeouts {
        connect: CALL_TIMEOUT,
        read: call_timeout,
        write: call_timeout,
        watch_margin: call_timeout,
    };
    PlatformClient::with_timeouts(address, timeouts)
}

/// Applies a write, then sends half of the declared response body.
async fn send_truncated(mut stream: tokio::net::TcpStream, state: Arc<Mutex<State>>) {
    let mut head = [0; 2048];
    let read = tokio::io::AsyncReadExt::read(&mut stream, &mut head)
        .await
        .unwrap();
    if head[..read].starts_with(b"PUT") {
        state
            .lock()
            .objects
            .insert("a".to_owned(), (Bytes::new(), 4));
    }
    let _ = stream
        .write_all(b"HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 10\r\n\r\nvalue")
        .await;
}

#[derive(Debug)]
struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed")
    }
}

impl std::error::Error for ConnectionClosed {}

async fn respond(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
    fault: Fault,
) -> Result<Response<Full<Bytes>>, ConnectionClosed> {
    state.lock().calls += 1;
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let target = parts.uri.path().to_owned();
    let (kind, path) = target
        .trim_start_matches('/')
        .split_once('/')
        .unwrap_or((&target, ""));
    if let Fault::Status(status) = fault
        && status < 500
    {
        return Ok(reply(status, None, Bytes::new()));
    }
    let response = match (&parts.method, kind) {
        (&Method::GET, "objects" | "watch") => {
            let object = state.lock().objects.get(path).cloned();
            match object {
                Some((value, version)) => reply(200, Some(if fault == Fault::Stale { 1 } else { version }), value),
                None => reply(404, None, Bytes::new()),
            }
        }
        (&Method::GET, "list") => list(&state.lock(), path),
        (&Method::GET, _) => reply(200, None, Bytes::from_static(br#"[{"name":"vm","address":"192.0.2.1:80","region":"r","domain":"d","state":"leaving","kind":"backend","service":"s"}]"#)),
        _ => write(&state, &parts, path, body),
    };
    match fault {
        Fault::Slow => tokio::time::sleep(SLOW_DELAY).await,
        Fault::LostResponse => return Err(ConnectionClosed),
        Fault::LostWriteResponse if parts.method != Method::GET => return Err(ConnectionClosed),
        Fault::Status(status) => return Ok(reply(status, None, Bytes::new())),
        Fault::NoVersion => return Ok(reply(200, None, Bytes::new())),
        Fault::NotJson => return Ok(reply(200, Some(3), Bytes::from_static(b"<html>"))),
        _ => {}
    }
    Ok(response)
}

fn list(state: &State, prefix: &str) -> Response<Full<Bytes>> {
    let objects = state
        .objects
        .iter()
        .filter(|(path, _)| path.starts_with(prefix));
    let listed: Vec<ListedObject> = objects
        .map(|(path, object)| ListedObject {
            name: path.clone(),
            version: object.1,
        })
        .collect();
    reply(200, None, Bytes::from(serde_json::to_vec(&listed).unwrap()))
}

fn write(
    state: &Mutex<State>,
    parts: &http::request::Parts,
    path: &str,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut state = state.lock();
    let current = state.objects.get(path).map(|o| o.1);
    let expected = parts
        .headers
        .get(header::IF_MATCH)
        .map(|v| v.to_str().unwrap().trim_matches('"').parse().unwrap());
    let create = parts
        .headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|v| v == "*");
    assert!(
        create != expected.is_some(),
        "a write must have exactly one condition"
    );
    if expected != current {
        return reply(412, None, Bytes::new());
    }
    let version = current.unwrap_or(0) + 1;
    if parts.method == Method::DELETE {
        state.objects.remove(path);
        return reply(204, None, Bytes::new());
    }
    state.objects.insert(path.to_owned(), (body, version));
    reply(200, Some(version), Bytes::new())
}

fn reply(status: u16, version: Option<u64>, body: Bytes) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(status);
    if let Some(version) = version {
        builder = builder.header(header::ETAG, format!("\"{version}\""));
    }
    builder.body(Full::new(body)).unwrap()
}

/// Guards against a client that misreads the API of a healthy platform.
#[tokio::test]
async fn calls_of_a_healthy_platform() {
    let fake_platform = FakePlatform::start(Fault::None).await;
    let client = fake_platform.client();
    let object = client.read("a").await.unwrap().unwrap();
    assert_eq!((object.value.as_ref(), object.version), (VALUE, 3));
    assert_eq!(client.read("none").await.unwrap(), None);
    assert_eq!(
        client.create("b", Bytes::new()).await.unwrap(),
        WriteOutcome::Written(1)
    );
    assert_eq!(
        client.create("b", Bytes::new()).await.unwrap(),
        WriteOutcome::Conflict
    );
    assert_eq!(
        client.update("a", 3, Bytes::new()).await.unwrap(),
        WriteOutcome::Written(4)
    );
    assert_eq!(
        client.update("a", 3, Bytes::new()).await.unwrap(),
        WriteOutcome::Conflict
    );
    assert_eq!(client.delete("a", 3).await.unwrap(), WriteOutcome::Conflict);
    assert_eq!(
        client.delete("a", 4).await.unwrap(),
        WriteOutcome::Written(4)
    );
    assert_eq!(
        client
            .watch("b", 0, Duration::ZERO)
            .await
            .unwrap()
            .unwrap()
            .version,
        1
    );
    client.create("a", Bytes::new()).await.unwrap();
    assert_eq!(
        client.list("a").await.unwrap(),
        [ListedObject {
            name: "a".to_owned(),
            version: 1
        }]
    );
    let vms = client.vms().await.unwrap();
    assert_eq!(
        (vms[0].state, vms[0].kind),
        (VmState::Leaving, VmKind::Backend)
    );
    assert_eq!(client.clone().calls(), 12);
    assert_eq!(fake_platform.state.lock().calls, 12);
}

/// Guards against a failed read that is reported as a value or an absent object,
/// and against a failed write that is reported as applied or not applied although
/// the client cannot know.
#[tokio::test]
async fn faults_of_reads_and_writes() {
    type ErrorCheck = fn(&PlatformError) -> bool;
    let status: ErrorCheck = |e| matches!(e, PlatformError::Status(_));
    let timeout: ErrorCheck = |e| matches!(e, PlatformError::Timeout(_));
    let connection: ErrorCheck = |e| matches!(e, PlatformError::Connection(_));
    let malformed: ErrorCheck = |e| matches!(e, PlatformError::Malformed(_));
    // Fault, error of a read, outcome of a write (`None` for an error), version of the object after
    // the write.
    let table: [(Fault, ErrorCheck, Option<WriteOutcome>, u64); 9] = [
        (Fault::Slow, timeout, Some(WriteOutcome::Unknown), 4),
        (
            Fault::LostResponse,
            connection,
            Some(WriteOutcome::Unknown),
            4,
        ),
        (Fault::Truncated, connection, Some(WriteOutcome::Unknown), 4),
        (Fault::NoVersion, malformed, Some(WriteOutcome::Unknown), 4),
        (Fault::Status(500), status, Some(WriteOutcome::Unknown), 4),
        (Fault::Status(503), status, Some(WriteOutcome::Unknown), 4),
        (Fault::Status(412), status, Some(WriteOutcome::Conflict), 3),
        (Fault::Status(403), status, None, 3),
        (Fault::Status(429), status, None, 3),
    ];
    for (fault, expected, write, version) in table {
        let fake_platform = FakePlatform::start(fault).await;
        let error = fake_platform.client().read("a").await.unwrap_err();
        assert!(expected(&error), "{fault:?}: {error}");
        let outcome = fake_platform
            .client()
            .update("a", 3, Bytes::from_static(b"new"))
            .await;
        assert_eq!(outcome.ok(), write, "{fault:?}");
        assert_eq!(fake_platform.version("a"), Some(version), "{fault:?}");
    }
}

/// Guards against a write that is reported as possibly applied although nothing was sent.
#[tokio::test]
async fn platform_down() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = client(listener.local_addr().unwrap(), CALL_TIMEOUT);
    drop(listener);
    let read = client.read("a").await.unwrap_err();
    assert!(matches!(read, PlatformError::Unreachable(_)), "{read}");
    let write = client.create("a", Bytes::new()).await.unwrap_err();
    assert!(matches!(write, PlatformError::Unreachable(_)), "{write}");
    let write = client.delete("a", 1).await.unwrap_err();
    assert!(matches!(write, PlatformError::Unreachable(_)), "{write}");
}

/// Guards against a stale watch response that returns a reader to an older version.
#[tokio::test]
async fn stale_watch_response_is_discarded() {
    let fake_platform = FakePlatform::start(Fault::Stale).await;
    assert_eq!(
        fake_platform
            .client()
            .watch("a", 2, Duration::ZERO)
            .await
            .unwrap(),
        None
    );
    let fake_platform = FakePlatform::start(Fault::Status(204)).await;
    assert_eq!(
        fake_platform
            .client()
            .watch("a", 2, Duration::ZERO)
            .await
            .unwrap(),
        None
    );
}

/// Guards against the use of lists and paths that violate the platform API.
#[tokio::test]
async fn malformed_lists_and_paths() {
    let client = FakePlatform::start(Fault::NotJson).await.client();
    assert!(matches!(
        client.list("a").await,
        Err(PlatformError::Malformed(_))
    ));
    assert!(matches!(
        client.vms().await,
        Err(PlatformError::Malformed(_))
    ));
    assert!(matches!(
        client.read("a b").await,
        Err(PlatformError::Path(_))
    ));
}

/// Guards against a write that the HTTP library sends a second time: the conflict
/// of the second write would hide that the first one was applied.
#[tokio::test]
async fn lost_write_on_a_reused_connection_is_sent_once() {
    let fake_platform = FakePlatform::start(Fault::LostWriteResponse).await;
    let client = fake_platform.client();
    client.read("a").await.unwrap();
    let outcome = client.update("a", 3, Bytes::new()).await.unwrap();
    assert_eq!(outcome, WriteOutcome::Unknown);
    assert_eq!(
        (fake_platform.version("a"), fake_platform.state.lock().calls),
        (Some(4), 2)
    );
}

/// Guards against one failed call per idle connection when all open connections
/// have stopped responding while new ones work.
#[tokio::test]
async fn silent_connections_fail_only_one_call() {
    const CONNECTIONS: usize = 3;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // Forces one connection per call; each of these connections responds once.
    let barrier = Arc::new(tokio::sync::Barrier::new(CONNECTIONS));
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            let answered = Arc::new(Mutex::new(false));
            let barrier = Arc::clone(&barrier);
            let service = service_fn(move |_| {
                let first = !std::mem::replace(&mut *answered.lock(), true);
                let barrier = Arc::clone(&barrier);
                async move {
                    if number < CONNECTIONS {
                        if !first {
                            std::future::pending::<()>().await;
                        }
                        barrier.wait().await;
                    }
                    Ok::<_, ConnectionClosed>(reply(200, Some(3), Bytes::new()))
                }
            });
            let io = TokioIo::new(stream);
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(async move { builder.serve_connection(io, service).await });
        }
    });
    let client = client(address, SLOW_DELAY);
    let (a, b, c) = tokio::join!(client.read("a"), client.read("a"), client.read("a"));
    assert!(a.and(b).and(c).is_ok());
    let silent = client.read("a").await;
    assert!(matches!(silent, Err(PlatformError::Timeout(_))));
    assert!(client.read("a").await.is_ok());
}

fn change(base_version: u64, plan: &str) -> Change {
    let customers = format!(r#"{{ "customers": {{ "ana": {{ "plan": "{plan}" }} }} }}"#);
    let plan = r#"{ "priority": 1, "rate_per_s": 1, "concurrency": 1, "uses": {} }"#;
    let plans = format!(r#"{{ "services": {{}}, "plans": {{ "gold": {plan}, "iron": {plan} }} }}"#);
    let source = |text| Source { file: "list", text };
    let (customers, plans) = parse::lists(source(&customers), source(&plans)).unwrap();
    Change {
        customers,
        plans,
        base_version,
        change_id: format!("change-{base_version}"),
        who: "ana".to_owned(),
        when: jiff::Timestamp::UNIX_EPOCH,
        reason: "test".to_owned(),
    }
}

/// Guards against a commit that works with the in-memory store of the lists crate
/// but not over HTTP.
#[tokio::test]
async fn lists_are_committed_and_read_over_http() {
    let fake_platform = FakePlatform::start(Fault::None).await;
    let client = fake_platform.client();
    for (base, plan) in [(0, "gold"), (1, "iron"), (2, "gold")] {
        let outcome = list_store::commit(&client, change(base, plan)).await;
        assert!(
            matches!(&outcome, Outcome::Applied(a) if a.version == base + 1),
            "{outcome:?}"
        );
    }
    let outcome = list_store::commit(&client, change(1, "gold")).await;
    assert!(
        matches!(&outcome, Outcome::Applied(a) if a.version == 2),
        "{outcome:?}"
    );
    let outdated = Change {
        change_id: "late".to_owned(),
        ..change(1, "iron")
    };
    let outcome = list_store::commit(&client, outdated).await;
    assert!(
        matches!(&outcome, Outcome::Outdated { version: 3, .. }),
        "{outcome:?}"
    );
    let snapshot = list_store::snapshot(&client, None).await.unwrap();
    assert_eq!(
        (snapshot.version, snapshot.customers),
        (3, change(0, "gold").customers)
    );
    let older = list_store::snapshot(&client, Some(2)).await.unwrap();
    assert_eq!(older.customers, change(0, "iron").customers);
    let history = list_store::history(&client, 2, 100, |r| r.to_version != 2).await;
    let versions: Vec<u64> = history.unwrap().iter().map(|r| r.to_version).collect();
    assert_eq!(versions, [3, 1]);
    let missing = list_store::snapshot(&client, Some(9)).await;
    assert!(matches!(missing, Err(list_store::StoreError::NoVersion(9))));
}
