//! Backend servers that record every request that they execute.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::history::{Execution, History};
use crate::proxy::Proxy;
use crate::store::Store;

/// Time for which a server processes a request.
const PROCESSING_MS: std::ops::Range<u64> = 2..40;

/// Start of the last part of paths whose requests take [`SLOW_PROCESSING`].
pub const SLOW: &str = "slow-";
const SLOW_PROCESSING: Duration = Duration::from_millis(200);

/// Starts of responses that have no end, and the bytes that are repeated after them.
const ENDLESS_RESPONSES: [(&str, &str); 3] = [
    ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nname: ", "x"),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nxxxx\r\n",
    ),
];

const INVALID_STATUSES: [u16; 4] = [0, 99, 600, 999];

/// How a server responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMode {
    Normal,
    /// Executes the request and responds with status 500.
    ServerError,
    /// Responds with status 503 without executing the request.
    Reject,
    /// Executes the request, then does not respond or sends bytes without end.
    Hang,
    /// Executes the request and closes the connection before the end of the response.
    Truncate,
    /// Rejects a request; on later ones on the connection, repeats that response before it responds.
    RepeatRejection,
    /// Sends the start of an earlier rejection, then executes the request and responds.
    MergeRejection,
    /// Rejects requests and asks for a pause of [`PAUSE`].
    Pause,
    /// Executes the request and responds with a status that is none.
    InvalidStatus,
}

/// Start of a rejection that merges with the response that follows it.
const REJECTION_START: &[u8] = b"HTTP/1.1 503 X\r\nNot-Executed: ";

/// Time for which a server that asks for a pause wants no requests from a daemon.
pub const PAUSE: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub started_unix_ms: u64,
}

/// Listening address that successive server runs occupy, one at a time.
#[derive(Debug, Clone)]
pub struct Backend {
    pub proxy: Proxy,
    pub identity: Arc<Mutex<Identity>>,
    /// Response mode, and the share of the requests that it applies to.
    pub response_mode: Arc<Mutex<(ResponseMode, f64)>>,
    /// Held by the fault that changes the entry of the server.
    pub entry_lock: Arc<tokio::sync::Mutex<()>>,
    domain: String,
    history: Arc<History>,
}

impl Backend {
    pub async fn start(history: &Arc<History>, service: &str, number: usize, domain: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let identity = Identity {
            id: format!("{service}-{number}"),
            service: service.to_owned(),
            started_unix_ms: 1_000,
        };
        let backend = Self {
            proxy: Proxy::for_server(address).await,
            identity: Arc::new(Mutex::new(identity)),
            response_mode: Arc::new(Mutex::new((ResponseMode::Normal, 0.0))),
            entry_lock: Arc::default(),
            domain: domain.to_owned(),
            history: history.clone(),
        };
        let acceptor = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().serve(stream));
            }
        });
        backend
    }

    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Writes the server's entry, with the given state, into the store.
    pub fn register(&self, store: &Store, state: &str) {
        let identity = self.identity.lock().clone();
        self.register_as(&identity, store, state);
    }

    /// Same under another identity, as of a predecessor at the address whose entry is still listed.
    pub fn register_as(&self, identity: &Identity, store: &Store, state: &str) {
        let spec = json!({
            "address": self.address().to_string(), "born": identity.started_unix_ms,
            "info": {"service": identity.service, "version": "v1", "zone": self.domain,
                     "slots": 4},
        });
        let status = json!({"state": state, "sequence": 1, "coldRemainingMs": 0});
        store.put("servers", &identity.id, spec, status);
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let mut rejection = Vec::new();
        while let Some(request) = HttpMessage::read(&mut stream, &mut buffer).await {
            let mut response_mode = self.choose_response_mode();
            let stray: &[u8] = match response_mode {
                ResponseMode::RepeatRejection => &rejection,
                ResponseMode::MergeRejection => REJECTION_START,
                _ => &[],
            };
            if !stray.is_empty() {
                if stream.write_all(stray).await.is_err() {
                    return;
                }
                response_mode = ResponseMode::Normal;
            }
            let Some(response) = self.respond(&request, response_mode).await else {
                send_without_end(&mut stream).await;
                return;
            };
            if response_mode == ResponseMode::RepeatRejection {
                rejection.clone_from(&response);
            }
            if stream.write_all(&response).await.is_err() || response_mode == ResponseMode::Truncate
            {
                return;
            }
        }
    }

    fn choose_response_mode(&self) -> ResponseMode {
        let (response_mode, share) = *self.response_mode.lock();
        match rand::rng().random::<f64>() < share {
            true => response_mode,
            false => ResponseMode::Normal,
        }
    }

    async fn respond(&self, request: &HttpMessage, response_mode: ResponseMode) -> Option<Vec<u8>> {
        let id = request.header("request-id").to_owned();
        let identity = self.identity.lock().clone();
        if request.header("expected-instance") != identity.id {
            return Some(response(421, &id, None, "not executed: another instance"));
        }
        let text = self.respond_as(request, response_mode, &identity).await?;
        if !self.history.is_leaving(&identity.id) {
            return Some(text);
        }
        let (first_line, rest) = text.split_at(text.iter().position(|b| *b == b'\n')? + 1);
        Some([first_line, b"Server-Leaving: 1\r\n", rest].concat())
    }

    async fn respond_as(
        &self,
        request: &HttpMessage,
        response_mode: ResponseMode,
        identity: &Identity,
    ) -> Option<Vec<u8>> {
        let id = request.header("request-id").to_owned();
        self.history.record_arrival(&identity.id, &id);
        match response_mode {
            ResponseMode::Reject | ResponseMode::RepeatRejection => {
                return Some(response(503, &id, None, "full"));
            }
            ResponseMode::Pause => {
                self.history.record_pause(&identity.id, &id);
                let text = String::from_utf8(response(503, &id, None, "full")).ok()?;
                let pause = format!("\r\nRetry-After: {}\r\n", PAUSE.as_secs_f64());
                return Some(text.replacen("\r\n", &pause, 1).into_bytes());
            }
            _ => {}
        }
        self.history
            .executions
            .lock()
            .entry(id.clone())
            .or_default()
            .push(Execution {
                server: identity.id.clone(),
                service: identity.service.clone(),
                path: request.path.clone(),
                body: request.body.clone(),
                at: Instant::now(),
            });
        let processing = match request.path.contains(SLOW) {
            true => SLOW_PROCESSING,
            false => Duration::from_millis(rand::rng().random_range(PROCESSING_MS)),
        };
        tokio::time::sleep(processing).await;
        let body = body_of(&id, &request.path);
        match response_mode {
            ResponseMode::ServerError => Some(response(500, &id, Some(&id), "failed")),
            ResponseMode::Hang => {
                if rand::rng().random_bool(0.5) {
                    tokio::time::sleep(Duration::from_secs(30)).await;
                }
                None
            }
            ResponseMode::Truncate => {
                let complete = response(200, &id, Some(&id), &body);
                Some(complete[..complete.len() - 3].to_vec())
            }
            ResponseMode::InvalidStatus => {
                let status = *INVALID_STATUSES.choose(&mut rand::rng())?;
                Some(response(status, &id, Some(&id), &body))
            }
            _ => Some(response(200, &id, Some(&id), &body)),
        }
    }
}

/// Sends bytes of a response that has no end until the daemon closes the connection.
async fn send_without_end(stream: &mut TcpStream) {
    let kind = rand::rng().random_range(0..ENDLESS_RESPONSES.len());
    let (start, repeated) = ENDLESS_RESPONSES[kind];
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    let part = repeated.repeat(1_000);
    while stream.write_all(part.as_bytes()).await.is_ok() {}
}

/// Response body for a successful request; callers compare it with what they receive.
pub fn body_of(id: &str, path: &str) -> String {
    format!("{id} {path} {}", "x".repeat(200))
}

/// Response signature that shows that the server executed the request with this id.
pub fn signature_of(id: &str) -> String {
    format!("signed-{id}")
}

fn response(status: u16, id: &str, signed: Option<&str>, body: &str) -> Vec<u8> {
    let outcome_header = match signed {
        Some(id) => format!("Response-Signature: {}\r\n", signature_of(id)),
        None => "Not-Executed: yes\r\n".to_owned(),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status:03} X\r\nRequest-Id: {id}\r\n{outcome_header}Keep-Alive: timeout=10\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// HTTP message: a request as a server reads it, or a response as a caller reads it.
pub struct HttpMessage {
    pub first_line: String,
    /// Second word of the first line: the path of a request or the status of a response.
    pub path: String,
    headers: HashMap<String, String>,
    pub body: String,
}

impl HttpMessage {
    /// Reads the next message; `None` if the connection ends first.
    pub async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Self> {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            read_more(stream, buffer).await?;
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let mut lines = head.lines();
        let first_line = lines.next()?.to_owned();
        let pairs = lines.filter_map(|l| l.split_once(':'));
        let headers: HashMap<_, _> = pairs
            .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        let length = headers
            .get("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        buffer.drain(..end + 4);
        while buffer.len() < length {
            read_more(stream, buffer).await?;
        }
        let body = buffer.drain(..length).collect();
        Some(Self {
            path: first_line.split(' ').nth(1).unwrap_or("/").to_owned(),
            first_line,
            headers,
            body: String::from_utf8(body).ok()?,
        })
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status code, if the message is a response; otherwise 0.
    pub fn status(&self) -> u16 {
        self.path.parse().unwrap_or(0)
    }
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    match stream.read_buf(buffer).await {
        Ok(1..) => Some(()),
        _ => None,
    }
}

/// Returns a configuration that routes each path prefix to one service, with further routes that
/// nobody uses.
pub fn configuration(version: u64, routes: &[(String, String)], unused_routes: usize) -> Value {
    let path = |(prefix, service): &(String, String)| {
        let kind = match prefix.starts_with("/write") {
            true => "non_idempotent",
            false => "idempotent",
        };
        json!({"name": format!("route {prefix}"), "pathPrefix": prefix, "kind": kind,
               "timeoutMs": 2_000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 3,
               "service": service})
    };
    let unused = (0..unused_routes).map(|n| (format!("/unused/{n}/"), "ledger".to_owned()));
    let routes = routes.iter().cloned().chain(unused);
    let paths: Vec<_> = routes.map(|route| path(&route)).collect();
    let services = ["ledger", "archive"]
        .map(|name| json!({"name": name, "healthCheckPath": "/health", "maxConnections": 360}));
    // Every other configuration has an unknown field that decoders can't read.
    let note = if version % 2 == 1 {
        nested()
    } else {
        Value::Null
    };
    json!({
        "version": format!("r{version}"), "services": services, "note": note,
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000,
                   "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "hosts": [{"host": "shop.example", "paths": paths}],
    })
}

/// Returns a value that exceeds the nesting limit of JSON decoders.
pub fn nested() -> Value {
    (0..300).fold(Value::Null, |inner, _| Value::Array(vec![inner]))
}
