//! In-memory fake of the platform's store with fault injection.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time after which the store closes a connection on which it doesn't respond.
const HANG_TIME: Duration = Duration::from_secs(60);

/// How the store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMode {
    /// Executes the call and responds.
    Respond,
    /// Responds 503 without executing the call.
    Unavailable,
    /// Closes the connection without executing the call. Pending watches are closed as well.
    CloseConnection,
    /// Neither executes the call nor responds. Pending watches hang as well.
    Hang,
    /// Executes the call and doesn't respond.
    DropResponse,
}

/// Response modes of an address of the store.
#[derive(Debug, Clone)]
struct ResponseModes {
    default: ResponseMode,
    /// Modes of calls for one kind of object.
    by_kind: BTreeMap<String, ResponseMode>,
}

impl ResponseModes {
    fn of(&self, kind: &str) -> ResponseMode {
        self.by_kind.get(kind).copied().unwrap_or(self.default)
    }
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    /// Oldest revision that a watch can start from; earlier ones get 410.
    history_from: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Revision, kind and content of each event since `history_from`.
    events: Vec<(u64, String, Value)>,
    calls: usize,
}

/// A running store; clones share their objects.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    response_modes: watch::Sender<ResponseModes>,
    changed: watch::Sender<u64>,
}

impl Store {
    pub async fn start() -> Self {
        Self::listen(Arc::default(), watch::Sender::new(0)).await
    }

    /// Opens another address of the same store, with a response mode of its own. Daemons that use
    /// different addresses can be cut off separately.
    pub async fn open_address(&self) -> Self {
        Self::listen(self.state.clone(), self.changed.clone()).await
    }

    async fn listen(state: Arc<Mutex<StoreState>>, changed: watch::Sender<u64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state,
            response_modes: watch::Sender::new(ResponseModes {
                default: ResponseMode::Respond,
                by_kind: BTreeMap::new(),
            }),
            changed,
        };
        let accepting_store = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = accepting_store.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| store.clone().handle_call(request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    // Errors of connections that the client closed are expected.
                    let _ = connection.await;
                });
            }
        });
        store
    }

    pub fn set_response_mode(&self, response_mode: ResponseMode) {
        self.response_modes
            .send_modify(|modes| modes.default = response_mode);
    }

    /// Sets the mode of calls for one kind of object.
    pub fn set_response_mode_of(&self, kind: &str, response_mode: ResponseMode) {
        self.response_modes.send_modify(|modes| {
            modes.by_kind.insert(kind.to_owned(), response_mode);
        });
    }

    pub fn calls(&self) -> usize {
        self.state.lock().calls
    }

    /// Creates or replaces an object, as the operator or a backend server would.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        let object = json!({
            "metadata": {"name": name, "revision": revision, "createRev": revision,
                         "finalizers": [], "deleting": false},
            "spec": spec, "status": status,
        });
        state
            .objects
            .insert((kind.to_owned(), name.to_owned()), object.clone());
        state.events.push((
            revision,
            kind.to_owned(),
            json!({"object": object, "deleted": false}),
        ));
        drop(state);
        self.changed.send_replace(revision);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push((
            revision,
            kind.to_owned(),
            json!({"object": object, "deleted": true}),
        ));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Drops the history, so that watches from earlier revisions fail with 410.
    pub fn drop_history(&self) {
        let mut state = self.state.lock();
        state.events.clear();
        state.history_from = state.revision;
    }

    async fn handle_call(self, request: Request<Incoming>) -> io::Result<Response<Full<Bytes>>> {
        self.state.lock().calls += 1;
        let response_mode = self.response_modes.borrow().of(kind_and_name(&request).0);
        match response_mode {
            ResponseMode::Respond => {}
            ResponseMode::Unavailable => {
                return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            ResponseMode::CloseConnection => return Err(closed()),
            ResponseMode::Hang => return close_after_hanging().await,
            ResponseMode::DropResponse => {
                self.execute(request).await?;
                return close_after_hanging().await;
            }
        }
        self.execute(request).await
    }

    async fn execute(&self, request: Request<Incoming>) -> io::Result<Response<Full<Bytes>>> {
        let (kind, name) = kind_and_name(&request);
        let (kind, name) = (kind.to_owned(), name.map(str::to_owned));
        let (kind, name) = (kind.as_str(), name.as_deref());
        let query = request.uri().query().unwrap_or_default().to_owned();
        let query_number = |field: &str| -> Option<u64> {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut found = pairs.filter(|(n, _)| *n == field);
            found.next().and_then(|(_, v)| v.parse().ok())
        };
        let response = match (request.method().clone(), name) {
            (Method::GET, None) => match (query_number("watch"), query_number("waitMs")) {
                (Some(from), Some(wait_ms)) => self.watch(kind, from, wait_ms).await?,
                _ => self.list(kind),
            },
            (Method::POST | Method::PUT, name) => {
                let name = name.map(str::to_owned);
                let kind = kind.to_owned();
                let Ok(body) = request.into_body().collect().await else {
                    return Ok(response(StatusCode::BAD_REQUEST, &Value::Null));
                };
                let body: Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
                let is_create = name.is_none();
                let name = name.unwrap_or_else(|| {
                    body["metadata"]["name"]
                        .as_str()
                        .expect("a name")
                        .to_owned()
                });
                let exists = self
                    .state
                    .lock()
                    .objects
                    .contains_key(&(kind.clone(), name.clone()));
                if is_create == exists {
                    let status = if is_create {
                        StatusCode::CONFLICT
                    } else {
                        StatusCode::NOT_FOUND
                    };
                    return Ok(response(status, &Value::Null));
                }
                self.put(&kind, &name, body["spec"].clone(), Value::Null);
                response(StatusCode::OK, &Value::Null)
            }
            (Method::DELETE, Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                let object = self.state.lock().objects.get(&key).cloned();
                match object.map(|o| o["metadata"]["revision"].as_u64()) {
                    None => response(StatusCode::NOT_FOUND, &Value::Null),
                    Some(revision) if revision == query_number("revision") => {
                        self.remove(kind, name);
                        response(StatusCode::OK, &Value::Null)
                    }
                    Some(_) => response(StatusCode::CONFLICT, &Value::Null),
                }
            }
            _ => response(StatusCode::NOT_FOUND, &Value::Null),
        };
        Ok(response)
    }

    /// Returns the sorted names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock();
        let keys = state.objects.keys().filter(|(k, _)| k == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn list(&self, kind: &str) -> Response<Full<Bytes>> {
        let state = self.state.lock();
        let items: Vec<_> = state
            .objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|(_, o)| o)
            .collect();
        response(
            StatusCode::OK,
            &json!({"items": items, "morePages": false, "currentRev": state.revision}),
        )
    }

    async fn watch(
        &self,
        kind: &str,
        from: u64,
        wait_ms: u64,
    ) -> io::Result<Response<Full<Bytes>>> {
        let mut changed = self.changed.subscribe();
        let mut response_modes = self.response_modes.subscribe();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = self.state.lock();
                if from < state.history_from {
                    return Ok(response(StatusCode::GONE, &Value::Null));
                }
                let events: Vec<_> = state
                    .events
                    .iter()
                    .filter(|(r, k, _)| *r > from && k == kind)
                    .map(|(_, _, e)| e)
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    return Ok(response(
                        StatusCode::OK,
                        &json!({"events": events, "currentRev": state.revision}),
                    ));
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                mode = wait_for_disruption(&mut response_modes, kind) => match mode {
                    ResponseMode::CloseConnection => return Err(closed()),
                    _ => return close_after_hanging().await,
                },
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }
}

/// Returns an error on which hyper closes the connection without a response.
///
/// A panic would close it as well, but with `RUST_BACKTRACE` set each one prints a backtrace, on the
/// thread that also runs the daemons of the test.
fn closed() -> io::Error {
    io::Error::other("the fake store closes a connection")
}

async fn close_after_hanging<T>() -> io::Result<T> {
    tokio::time::sleep(HANG_TIME).await;
    Err(closed())
}

/// Returns the kind of object that a call is for, and the name of the object if there is one.
fn kind_and_name(request: &Request<Incoming>) -> (&str, Option<&str>) {
    let path = request.uri().path().trim_start_matches("/v1/objects/");
    path.split_once('/')
        .map_or((path, None), |(kind, name)| (kind, Some(name)))
}

/// Waits for a mode that disrupts pending watches of a kind.
async fn wait_for_disruption(
    response_modes: &mut watch::Receiver<ResponseModes>,
    kind: &str,
) -> ResponseMode {
    let disrupts =
        |m: ResponseMode| matches!(m, ResponseMode::Hang | ResponseMode::CloseConnection);
    // Can't fail, because the store owns the sender.
    let modes = response_modes
        .wait_for(|modes| disrupts(modes.of(kind)))
        .await;
    modes.map_or(ResponseMode::Hang, |modes| modes.of(kind))
}

fn response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}

/// Returns the specification of a backend server's entry.
pub fn entry_spec(address: &str) -> Value {
    json!({"address": address, "born": 1000,
           "info": {"service": "ledger", "version": "v1", "zone": "a", "slots": 4}})
}

/// Returns the status of a backend server's entry.
pub fn entry_status(state: &str) -> Value {
    json!({"state": state, "sequence": 1, "coldRemainingMs": 0})
}

/// Returns the specification of a configuration with one route.
pub fn configuration_spec(version: u64) -> Value {
    json!({
        "version": format!("r{version}"),
        "services": [{"name": "ledger", "healthCheckPath": "/health", "maxConnections": 360}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "hosts": [{"host": "shop.example", "paths": [
            {"name": "r1", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 1000,
             "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2, "service": "ledger"}]}],
    })
}
