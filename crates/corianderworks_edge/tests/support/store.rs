//! Stand-in of the platform's store with faults.

use std::collections::BTreeMap;
use std::convert::Infallible;
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

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// Answers.
    Answers,
    /// Answers 503; nothing is done.
    Refuses,
    /// Closes the connection.
    Closes,
    /// Does not answer.
    Silent,
    /// Does what it is asked and does not answer.
    LosesAnswers,
}

#[derive(Debug, Default)]
struct Content {
    revision: u64,
    /// Oldest revision that can be watched from.
    history_from: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
    calls: usize,
}

/// A store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<Mutex<Content>>,
    mood: watch::Sender<Mood>,
    changed: watch::Sender<u64>,
}

impl Store {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            content: Arc::default(),
            mood: watch::Sender::new(Mood::Answers),
            changed: watch::Sender::new(0),
        };
        let accepting = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = accepting.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| store.clone().call(request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    // A connection that the client gave up needs no report.
                    let _ = connection.await;
                });
            }
        });
        store
    }

    pub fn set_mood(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }

    pub fn calls(&self) -> usize {
        self.content.lock().calls
    }

    /// Writes an object as the operator or a backend server does.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        let mut content = self.content.lock();
        content.revision += 1;
        let revision = content.revision;
        let object = json!({
            "metadata": {"name": name, "revision": revision, "createRev": revision,
                         "finalizers": [], "deleting": false},
            "spec": spec, "status": status,
        });
        content
            .objects
            .insert((kind.to_owned(), name.to_owned()), object.clone());
        content.events.push((
            revision,
            kind.to_owned(),
            json!({"object": object, "deleted": false}),
        ));
        drop(content);
        self.changed.send_replace(revision);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.content.lock();
        let Some(object) = content.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        content.revision += 1;
        let revision = content.revision;
        content.events.push((
            revision,
            kind.to_owned(),
            json!({"object": object, "deleted": true}),
        ));
        drop(content);
        self.changed.send_replace(revision);
    }

    /// Forgets the history, so that watches from earlier revisions end.
    pub fn drop_history(&self) {
        let mut content = self.content.lock();
        content.events.clear();
        content.history_from = content.revision;
    }

    async fn call(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        self.content.lock().calls += 1;
        let mood = *self.mood.borrow();
        match mood {
            Mood::Answers => {}
            Mood::Refuses => return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null)),
            Mood::Closes => return self.hang(Duration::ZERO).await,
            Mood::Silent => return self.hang(Duration::from_secs(60)).await,
            Mood::LosesAnswers => {
                self.done(request).await;
                return self.hang(Duration::from_secs(60)).await;
            }
        }
        Ok(self.done(request).await)
    }

    /// An aborted service closes its connection.
    async fn hang(&self, time: Duration) -> Result<Response<Full<Bytes>>, Infallible> {
        tokio::time::sleep(time).await;
        panic!("the stand-in closes a connection");
    }

    async fn done(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request
            .uri()
            .path()
            .trim_start_matches("/v1/objects/")
            .to_owned();
        let (kind, name) = path
            .split_once('/')
            .map_or((path.as_str(), None), |(k, n)| (k, Some(n)));
        let query = request.uri().query().unwrap_or_default().to_owned();
        let number = |field: &str| -> Option<u64> {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut found = pairs.filter(|(n, _)| *n == field);
            found.next().and_then(|(_, v)| v.parse().ok())
        };
        match (request.method().clone(), name) {
            (Method::GET, None) => match (number("watch"), number("waitMs")) {
                (Some(from), Some(wait_ms)) => self.watch(kind, from, wait_ms).await,
                _ => self.list(kind),
            },
            (Method::POST | Method::PUT, name) => {
                let name = name.map(str::to_owned);
                let kind = kind.to_owned();
                let Ok(body) = request.into_body().collect().await else {
                    return answer(StatusCode::BAD_REQUEST, &Value::Null);
                };
                let body: Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
                let posted = name.is_none();
                let name = name.unwrap_or_else(|| {
                    body["metadata"]["name"]
                        .as_str()
                        .expect("a name")
                        .to_owned()
                });
                let exists = self
                    .content
                    .lock()
                    .objects
                    .contains_key(&(kind.clone(), name.clone()));
                if posted == exists {
                    let status = if posted {
                        StatusCode::CONFLICT
                    } else {
                        StatusCode::NOT_FOUND
                    };
                    return answer(status, &Value::Null);
                }
                self.put(&kind, &name, body["spec"].clone(), Value::Null);
                answer(StatusCode::OK, &Value::Null)
            }
            (Method::DELETE, Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                let object = self.content.lock().objects.get(&key).cloned();
                match object.map(|o| o["metadata"]["revision"].as_u64()) {
                    None => answer(StatusCode::NOT_FOUND, &Value::Null),
                    Some(revision) if revision == number("revision") => {
                        self.remove(kind, name);
                        answer(StatusCode::OK, &Value::Null)
                    }
                    Some(_) => answer(StatusCode::CONFLICT, &Value::Null),
                }
            }
            _ => answer(StatusCode::NOT_FOUND, &Value::Null),
        }
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let content = self.content.lock();
        let keys = content.objects.keys().filter(|(k, _)| k == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn list(&self, kind: &str) -> Response<Full<Bytes>> {
        let content = self.content.lock();
        let items: Vec<_> = content
            .objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|(_, o)| o)
            .collect();
        answer(
            StatusCode::OK,
            &json!({"items": items, "morePages": false, "currentRev": content.revision}),
        )
    }

    async fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> Response<Full<Bytes>> {
        let mut changed = self.changed.subscribe();
        let mut mood = self.mood.subscribe();
        let ends = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let content = self.content.lock();
                if from < content.history_from {
                    return answer(StatusCode::GONE, &Value::Null);
                }
                let events: Vec<_> = content
                    .events
                    .iter()
                    .filter(|(r, k, _)| *r > from && k == kind)
                    .map(|(_, _, e)| e)
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= ends {
                    return answer(
                        StatusCode::OK,
                        &json!({"events": events, "currentRev": content.revision}),
                    );
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = silenced(&mut mood) => tokio::time::sleep(Duration::from_secs(60)).await,
                () = tokio::time::sleep_until(ends) => {}
            }
        }
    }
}

async fn silenced(mood: &mut watch::Receiver<Mood>) {
    // The sender lives as long as the store.
    let _ = mood.wait_for(|m| *m == Mood::Silent).await.map(drop);
}

fn answer(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}

/// Specification of a backend server's entry.
pub fn entry(address: &str) -> Value {
    json!({"address": address, "born": 1000,
           "info": {"service": "ledger", "version": "v1", "zone": "a", "slots": 4}})
}

/// Status of a backend server's entry.
pub fn state(state: &str) -> Value {
    json!({"state": state, "sequence": 1, "coldRemainingMs": 0})
}

/// Specification of a configuration with one route.
pub fn configuration(version: u64) -> Value {
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
