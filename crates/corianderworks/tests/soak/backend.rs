//! Backend servers that record what they run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::ledger::{Ledger, Ran};
use crate::proxy::Proxy;
use crate::store::Store;

/// Time that a server works on a request.
const WORK_MS: std::ops::Range<u64> = 2..40;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Sound,
    /// Responds 500 to each request that it ran.
    Fails,
    /// Refuses without running.
    Refuses,
    /// Runs and does not respond.
    Hangs,
    /// Runs and breaks off in the response.
    BreaksOff,
}

#[derive(Debug, Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub born_ms: u64,
}

/// An address at which one server run after the other lives.
#[derive(Debug, Clone)]
pub struct Backend {
    pub proxy: Proxy,
    pub identity: Arc<Mutex<Identity>>,
    /// Mood, and the share of the requests that it strikes.
    pub mood: Arc<Mutex<(Mood, f64)>>,
    domain: String,
    ledger: Arc<Ledger>,
}

impl Backend {
    pub async fn start(ledger: &Arc<Ledger>, service: &str, number: usize, domain: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let identity = Identity {
            id: format!("{service}-{number}"),
            service: service.to_owned(),
            born_ms: 1_000,
        };
        let backend = Self {
            proxy: Proxy::before(address).await,
            identity: Arc::new(Mutex::new(identity)),
            mood: Arc::new(Mutex::new((Mood::Sound, 0.0))),
            domain: domain.to_owned(),
            ledger: ledger.clone(),
        };
        let accepting = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        backend
    }

    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Writes the entry into the store.
    pub fn register(&self, store: &Store, state: &str) {
        let identity = self.identity.lock().clone();
        let spec = json!({
            "address": self.address().to_string(), "born": identity.born_ms,
            "info": {"service": identity.service, "version": "v1", "zone": self.domain,
                     "slots": 4},
        });
        let status = json!({"state": state, "sequence": 1, "coldRemainingMs": 0});
        store.put("servers", &identity.id, spec, status);
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = Request::read(&mut stream, &mut buffer).await {
            let mood = self.mood_now();
            let Some(response) = self.respond(&request, mood).await else {
                return;
            };
            if stream.write_all(&response).await.is_err() || mood == Mood::BreaksOff {
                return;
            }
        }
    }

    fn mood_now(&self) -> Mood {
        let (mood, share) = *self.mood.lock();
        match rand::rng().random::<f64>() < share {
            true => mood,
            false => Mood::Sound,
        }
    }

    async fn respond(&self, request: &Request, mood: Mood) -> Option<Vec<u8>> {
        let id = request.header("request-id").to_owned();
        let identity = self.identity.lock().clone();
        if request.header("expected-instance") != identity.id {
            return Some(response(421, &id, None, "not executed: another instance"));
        }
        if mood == Mood::Refuses {
            return Some(response(503, &id, None, "full"));
        }
        self.ledger
            .ran
            .lock()
            .entry(id.clone())
            .or_default()
            .push(Ran {
                server: identity.id.clone(),
                service: identity.service.clone(),
                path: request.path.clone(),
                body: request.body.clone(),
                at: Instant::now(),
            });
        let work_ms = rand::rng().random_range(WORK_MS);
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        let body = body_of(&id, &request.path);
        match mood {
            Mood::Fails => Some(response(500, &id, Some(&id), "failed")),
            Mood::Hangs => {
                tokio::time::sleep(Duration::from_secs(30)).await;
                None
            }
            Mood::BreaksOff => {
                let whole = response(200, &id, Some(&id), &body);
                Some(whole[..whole.len() - 3].to_vec())
            }
            Mood::Sound | Mood::Refuses => Some(response(200, &id, Some(&id), &body)),
        }
    }
}

/// Body of a served request.
pub fn body_of(id: &str, path: &str) -> String {
    format!("{id} {path} {}", "x".repeat(200))
}

/// Signature of a response.
pub fn signature_of(id: &str) -> String {
    format!("signed-{id}")
}

fn response(status: u16, id: &str, signed: Option<&str>, body: &str) -> Vec<u8> {
    let mark = match signed {
        Some(id) => format!("Response-Signature: {}\r\n", signature_of(id)),
        None => "Not-Executed: yes\r\n".to_owned(),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\n{mark}Keep-Alive: timeout=10\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// A message, as a server or a caller reads it.
pub struct Request {
    pub first_line: String,
    pub path: String,
    headers: HashMap<String, String>,
    pub body: String,
}

impl Request {
    /// Reads the next message; nothing if the connection ends first.
    pub async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Self> {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            fill(stream, buffer).await?;
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
            fill(stream, buffer).await?;
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

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.path.parse().unwrap_or(0)
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    match stream.read_buf(buffer).await {
        Ok(1..) => Some(()),
        _ => None,
    }
}

/// Configuration in which each prefix goes to one service.
pub fn configuration(version: u64, routes: &[(String, String)]) -> Value {
    let path = |(prefix, service): &(String, String)| {
        let kind = match prefix.starts_with("/write") {
            true => "non_idempotent",
            false => "idempotent",
        };
        json!({"name": format!("route {prefix}"), "pathPrefix": prefix, "kind": kind,
               "timeoutMs": 2_000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 3,
               "service": service})
    };
    let services = ["ledger", "archive"]
        .map(|name| json!({"name": name, "healthCheckPath": "/health", "maxConnections": 360}));
    json!({
        "version": format!("r{version}"), "services": services,
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000,
                   "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "hosts": [{"host": "shop.example", "paths": routes.iter().map(path).collect::<Vec<_>>()}],
    })
}
