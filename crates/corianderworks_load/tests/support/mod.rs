//! Fake daemons in front of one backend stand-in, which can violate the guarantees of the fleet.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use corianderworks_load::settings::{HttpMethod, LoadSettings, Phase, RouteMix, Weighted};
use corianderworks_standin::backend::{BackendSettings, BackendStandIn, ServiceTime};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

/// How a fake daemon handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Forwards the request and the response unchanged.
    Correct,
    /// Forwards the request twice.
    Duplicate,
    /// Forwards the request twice, first without and then with its key.
    DuplicateWithoutKey,
    /// Returns half of the response body as a complete response.
    Truncate,
    /// Changes one byte of the response body.
    Corrupt,
    /// Changes one byte of the response body and sets its hash header to match.
    CorruptWithMatchingHash,
    /// Returns the response of a request with another check id.
    SwapResponse,
    /// Removes the `cw-echo-id` header of the backend server.
    RemoveEchoHeader,
    /// Forwards a different request body.
    AlterRequest,
    /// Forwards the request, then refuses it with `not-run`.
    ExecuteThenNotRun,
    /// Answers POST requests with a valid response of its own without forwarding them.
    AnswerWithoutExecuting,
    /// Refuses with `not-run` and status 503 without forwarding.
    Refuse,
    /// Refuses with `not-run` and status 429 without forwarding.
    RefuseTooManyRequests,
    /// Forwards the request, then closes the connection without a response.
    CloseAfterExecution,
    /// Forwards the first request and closes the connection; answers all later requests with a
    /// recorded outcome.
    CloseThenReplay,
}

type BackendClient = Client<HttpConnector, Full<Bytes>>;

/// Address of a running fake daemon and counts of the requests that it received.
pub struct FakeDaemon {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU64>,
    pub address_requests: Arc<AtomicU64>,
}

/// Starts one fake daemon for each behaviour; the address responses list all of them.
pub async fn daemons(backend: SocketAddr, behaviours: &[Behaviour]) -> Vec<FakeDaemon> {
    let mut listeners = Vec::new();
    for _ in behaviours {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("bind"));
    }
    let addresses: Vec<_> = listeners
        .iter()
        .map(|l| l.local_addr().expect("bound"))
        .collect();
    let list: Vec<_> = addresses
        .iter()
        .map(|a| serde_json::json!({"name": "d", "address": a, "domain": "a", "weight": 100}))
        .collect();
    let response = serde_json::json!({"addresses": list, "keep_s": 1, "key_prefix": ""});
    let mut started = Vec::new();
    for ((listener, behaviour), address) in listeners.into_iter().zip(behaviours).zip(addresses) {
        let daemon = FakeDaemon {
            address,
            requests: Arc::default(),
            address_requests: Arc::default(),
        };
        let state = FakeDaemonState {
            backend,
            behaviour: *behaviour,
            client: Client::builder(TokioExecutor::new()).build_http(),
            response: response.clone(),
            requests: daemon.requests.clone(),
            address_requests: daemon.address_requests.clone(),
        };
        tokio::spawn(accept(listener, Arc::new(state)));
        started.push(daemon);
    }
    started
}

struct FakeDaemonState {
    backend: SocketAddr,
    behaviour: Behaviour,
    client: BackendClient,
    response: serde_json::Value,
    requests: Arc<AtomicU64>,
    address_requests: Arc<AtomicU64>,
}

async fn accept(listener: TcpListener, state: Arc<FakeDaemonState>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle_request(state.clone(), request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

type FakeResponse = Response<Full<Bytes>>;

#[derive(Debug, thiserror::Error)]
#[error("connection closed by the fake daemon")]
struct ConnectionClosed;

fn refusal(status: StatusCode) -> FakeResponse {
    Response::builder()
        .status(status)
        .header("cw-outcome", "not-run")
        .header("cw-reason", "queue full")
        .body(Full::default())
        .expect("valid")
}

async fn handle_request(
    state: Arc<FakeDaemonState>,
    request: Request<Incoming>,
) -> Result<FakeResponse, ConnectionClosed> {
    if request.uri().path() == "/v1/addresses" {
        let count = state.address_requests.fetch_add(1, Ordering::Relaxed);
        let mut response = state.response.clone();
        // Each response has a different key prefix, so that a retry can meet a changed one.
        response["key_prefix"] = format!("cw-d1.{count}-").into();
        return Ok(Response::new(Full::new(response.to_string().into())));
    }
    let position = state.requests.fetch_add(1, Ordering::Relaxed);
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let check = parts.headers["cw-check"].to_str().expect("text").to_owned();
    let forward = async |check: &str, body: Bytes, with_key: bool| {
        let path = parts.uri.path_and_query().expect("a path");
        let mut request = Request::builder()
            .method(parts.method.clone())
            .uri(format!("http://{}{path}", state.backend))
            .header("cw-check", check);
        if let Some(key) = parts.headers.get("idempotency-key").filter(|_| with_key) {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(body)).expect("valid");
        let response = state
            .client
            .request(request)
            .await
            .map_err(|_| ConnectionClosed)?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| ConnectionClosed)?
            .to_bytes();
        Ok::<_, ConnectionClosed>((parts, body))
    };
    match state.behaviour {
        Behaviour::Refuse => return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE)),
        Behaviour::RefuseTooManyRequests => return Ok(refusal(StatusCode::TOO_MANY_REQUESTS)),
        Behaviour::CloseThenReplay if position > 0 => {
            let replayed = Response::builder().header("cw-outcome", "done");
            return Ok(replayed.body(Full::default()).expect("valid"));
        }
        Behaviour::AnswerWithoutExecuting if parts.method == Method::POST => {
            let text = Bytes::from(serde_json::json!({"check": check}).to_string());
            let hash = |bytes: &Bytes| blake3::hash(bytes).to_hex().to_string();
            let forged = Response::builder()
                .header("cw-echo-id", &check)
                .header("cw-body-blake3", hash(&text))
                .header("cw-request-blake3", hash(&body));
            return Ok(forged.body(Full::new(text)).expect("valid"));
        }
        Behaviour::Duplicate => drop(forward(&check, body.clone(), true).await?),
        Behaviour::DuplicateWithoutKey => drop(forward(&check, body.clone(), false).await?),
        _ => {}
    }
    let forwarded_check = if state.behaviour == Behaviour::SwapResponse {
        "other"
    } else {
        &check
    };
    let forwarded_body = match state.behaviour {
        Behaviour::AlterRequest => Bytes::from_static(b"altered"),
        _ => body,
    };
    let (parts, mut body) = forward(forwarded_check, forwarded_body, true).await?;
    let mut headers = parts.headers;
    headers.remove("content-length");
    match state.behaviour {
        Behaviour::CloseAfterExecution | Behaviour::CloseThenReplay => {
            return Err(ConnectionClosed);
        }
        Behaviour::ExecuteThenNotRun => return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE)),
        Behaviour::Truncate => body.truncate(body.len() / 2),
        Behaviour::Corrupt | Behaviour::CorruptWithMatchingHash => {
            let mut corrupted = body.to_vec();
            // The corrupted JSON body stays valid, because the byte lies within the name of the
            // backend server.
            let position = match state.behaviour {
                Behaviour::CorruptWithMatchingHash => 0,
                _ => corrupted.len() - 3,
            };
            corrupted[position] ^= 1;
            body = corrupted.into();
        }
        Behaviour::RemoveEchoHeader => drop(headers.remove("cw-echo-id")),
        _ => {}
    }
    if state.behaviour == Behaviour::CorruptWithMatchingHash {
        let hash = blake3::hash(&body).to_hex().to_string();
        headers.insert("cw-body-blake3", hash.parse().expect("valid"));
    }
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Starts a backend stand-in that responds without delay.
pub async fn backend() -> BackendStandIn {
    let settings = BackendSettings {
        slots: 64,
        connect_us: 0,
        service_time: ServiceTime {
            median_ms: 0.0,
            sigma: 0.0,
            max_ms: 0.0,
        },
        ..BackendSettings::default()
    };
    let address = "127.0.0.1:0".parse().expect("valid");
    BackendStandIn::start(address, settings)
        .await
        .expect("start")
}

pub fn single<T>(value: T) -> Vec<Weighted<T>> {
    vec![Weighted { value, weight: 1 }]
}

/// Time for each request, far more than one takes on a busy machine.
const REQUEST_TIME_MS: u64 = 60_000;

/// Settings of a run of 200 ms with one method and one response size.
pub fn settings(daemons: Vec<SocketAddr>, http_method: HttpMethod, size: u64) -> LoadSettings {
    LoadSettings {
        daemons,
        callers: 2,
        routes: vec![RouteMix {
            service: "ordering".into(),
            path: "/orders".into(),
            weight: 1,
            methods: single(http_method),
            sizes: single(size),
            request_sizes: single(100),
        }],
        phases: vec![Phase {
            for_ms: 200,
            rate_per_s: 100.0,
        }],
        settle_ms: 0,
        progress_ms: 0,
        backoff_ms: 1,
        // The fake daemons don't recognise a repeated request. A caller on a busy machine would
        // repeat one that is only late, and a correct daemon run it twice.
        try_ms: REQUEST_TIME_MS,
        deadline_ms: REQUEST_TIME_MS,
        ..LoadSettings::default()
    }
}
