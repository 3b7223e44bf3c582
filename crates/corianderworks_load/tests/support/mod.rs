//! Fake daemon in front of one backend stand-in.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use corianderworks_load::settings::{LoadSettings, Phase, RouteMix, Verb, Weighted};
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

/// What the fake daemon does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    Honest,
    /// Sends the request twice.
    Duplicate,
    /// Sends it twice, the second time without its key.
    DuplicateWithoutKey,
    /// Presents half of the body as complete.
    Truncate,
    /// Changes one byte of the body.
    Corrupt,
    /// Changes the body and its hash header.
    Forge,
    /// Returns the response to another request.
    MixUp,
    /// Removes the headers of the backend server.
    StripProof,
    /// Changes the request body.
    AlterRequest,
    /// Executes the request and refuses it with `not-run`.
    LieNotRun,
    /// Answers by itself without executing.
    LieAnswered,
    /// Refuses without executing.
    Refuse,
    /// Refuses with 429 without executing.
    OverPlan,
    /// Executes and closes the connection without a response.
    Break,
    /// Executes once, loses the response and answers a resent key with its
    /// recorded outcome.
    BreakThenRecorded,
}

type Backend = Client<HttpConnector, Full<Bytes>>;

/// Running fake daemon.
pub struct Daemon {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU64>,
    pub address_requests: Arc<AtomicU64>,
}

/// Starts one fake daemon for each conduct; all name each other in their
/// address responses.
pub async fn daemons(backend: SocketAddr, conducts: &[Conduct]) -> Vec<Daemon> {
    let mut listeners = Vec::new();
    for _ in conducts {
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
    for ((listener, conduct), address) in listeners.into_iter().zip(conducts).zip(addresses) {
        let daemon = Daemon {
            address,
            requests: Arc::default(),
            address_requests: Arc::default(),
        };
        let fake = Fake {
            backend,
            conduct: *conduct,
            client: Client::builder(TokioExecutor::new()).build_http(),
            response: response.clone(),
            requests: daemon.requests.clone(),
            address_requests: daemon.address_requests.clone(),
        };
        tokio::spawn(accept(listener, Arc::new(fake)));
        started.push(daemon);
    }
    started
}

struct Fake {
    backend: SocketAddr,
    conduct: Conduct,
    client: Backend,
    response: serde_json::Value,
    requests: Arc<AtomicU64>,
    address_requests: Arc<AtomicU64>,
}

async fn accept(listener: TcpListener, fake: Arc<Fake>) {
    while let Ok((stream, _)) = listener.accept().await {
        let fake = fake.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(fake.clone(), request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

type Answer = Response<Full<Bytes>>;

#[derive(Debug, thiserror::Error)]
#[error("closed on purpose")]
struct Closed;

fn refusal(status: StatusCode) -> Answer {
    Response::builder()
        .status(status)
        .header("cw-outcome", "not-run")
        .header("cw-reason", "queue full")
        .body(Full::default())
        .expect("valid")
}

async fn answer(fake: Arc<Fake>, request: Request<Incoming>) -> Result<Answer, Closed> {
    if request.uri().path() == "/v1/addresses" {
        let count = fake.address_requests.fetch_add(1, Ordering::Relaxed);
        let mut response = fake.response.clone();
        // Every response has its own prefix.
        response["key_prefix"] = format!("cw-d1.{count}-").into();
        return Ok(Response::new(Full::new(response.to_string().into())));
    }
    let position = fake.requests.fetch_add(1, Ordering::Relaxed);
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    let check = parts.headers["cw-check"].to_str().expect("text").to_owned();
    let forward = async |check: &str, body: Bytes, keyed: bool| {
        let path = parts.uri.path_and_query().expect("a path");
        let mut request = Request::builder()
            .method(parts.method.clone())
            .uri(format!("http://{}{path}", fake.backend))
            .header("cw-check", check);
        if let Some(key) = parts.headers.get("idempotency-key").filter(|_| keyed) {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(body)).expect("valid");
        let response = fake.client.request(request).await.map_err(|_| Closed)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
        Ok::<_, Closed>((parts, body))
    };
    match fake.conduct {
        Conduct::Refuse => return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE)),
        Conduct::OverPlan => return Ok(refusal(StatusCode::TOO_MANY_REQUESTS)),
        Conduct::BreakThenRecorded if position > 0 => {
            let recorded = Response::builder().header("cw-outcome", "done");
            return Ok(recorded.body(Full::default()).expect("valid"));
        }
        Conduct::LieAnswered if parts.method == Method::POST => {
            let text = Bytes::from(serde_json::json!({"check": check}).to_string());
            let hash = |bytes: &Bytes| blake3::hash(bytes).to_hex().to_string();
            let forged = Response::builder()
                .header("cw-echo-id", &check)
                .header("cw-body-blake3", hash(&text))
                .header("cw-request-blake3", hash(&body));
            return Ok(forged.body(Full::new(text)).expect("valid"));
        }
        Conduct::Duplicate => drop(forward(&check, body.clone(), true).await?),
        Conduct::DuplicateWithoutKey => drop(forward(&check, body.clone(), false).await?),
        _ => {}
    }
    let sent_check = if fake.conduct == Conduct::MixUp {
        "other"
    } else {
        &check
    };
    let sent_body = match fake.conduct {
        Conduct::AlterRequest => Bytes::from_static(b"altered"),
        _ => body,
    };
    let (parts, mut body) = forward(sent_check, sent_body, true).await?;
    let mut headers = parts.headers;
    headers.remove("content-length");
    match fake.conduct {
        Conduct::Break | Conduct::BreakThenRecorded => return Err(Closed),
        Conduct::LieNotRun => return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE)),
        Conduct::Truncate => body.truncate(body.len() / 2),
        Conduct::Corrupt | Conduct::Forge => {
            let mut changed = body.to_vec();
            // A corrupt body stays valid JSON: the byte is inside the name of
            // the backend server.
            let position = match fake.conduct {
                Conduct::Forge => 0,
                _ => changed.len() - 3,
            };
            changed[position] ^= 1;
            body = changed.into();
        }
        Conduct::StripProof => drop(headers.remove("cw-echo-id")),
        _ => {}
    }
    if fake.conduct == Conduct::Forge {
        let hash = blake3::hash(&body).to_hex().to_string();
        headers.insert("cw-body-blake3", hash.parse().expect("valid"));
    }
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Backend stand-in that answers at once.
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

pub fn only<T>(value: T) -> Vec<Weighted<T>> {
    vec![Weighted { value, weight: 1 }]
}

/// Short run of one kind of request.
pub fn settings(daemons: Vec<SocketAddr>, verb: Verb, size: u64) -> LoadSettings {
    LoadSettings {
        daemons,
        callers: 2,
        routes: vec![RouteMix {
            service: "ordering".into(),
            path: "/orders".into(),
            weight: 1,
            methods: only(verb),
            sizes: only(size),
            request_sizes: only(100),
        }],
        phases: vec![Phase {
            for_ms: 200,
            rate_per_s: 100.0,
        }],
        settle_ms: 0,
        progress_ms: 0,
        backoff_ms: 1,
        ..LoadSettings::default()
    }
}
