//! Test harness: an edge daemon on the loopback interface in front of scripted backend servers.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod fleet;
pub mod log;
pub mod slow_link;
pub mod store;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_decision::edge::budget::RetryBudgetBounds;
use corianderworks_decision::edge::quota::QuotaBounds;
use corianderworks_decision::edge::routes::{
    CallerLimits, ConfigVersion, Configuration, Idempotency, Route, WeightedService,
};
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_edge::caller;
use corianderworks_edge::metrics::Metrics;
use corianderworks_edge::state::{Edge, EntryRemoval};
use corianderworks_platform::settings::Settings;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Timeout of each wait for a response. Longer than [`ROUTE_TIMEOUT`], within which the daemon
/// responds.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of all routes in [`configuration`].
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Scripted reaction of a backend server to a request.
#[derive(Debug, Clone)]
pub enum Action {
    /// Responds with this status and body and with a signature, after a delay.
    Respond(u16, &'static str, Duration),
    /// Responds 503 and states that the request was not run.
    Refuse,
    /// Repeats the refusal that it sent last on the same connection, if any, then responds 200.
    RespondAfterRepeatedRefusal,
    /// Responds 421, as a server process with another id does.
    Misdirected,
    /// Sends these bytes, with `{id}` replaced by the request id.
    Raw(&'static str),
    /// Like `Raw`, after a delay.
    RawAfter(&'static str, Duration),
    /// Like `Raw`, then closes the connection.
    RawThenClose(&'static str),
    /// Like `Raw`, then resets the connection.
    RawThenReset(&'static str),
    /// Like `RawThenReset`, but at once, before the body of the request is read.
    RawThenResetEarly(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Never responds, and waits until the daemon closes the connection.
    Hang,
    /// Responds before it reads the body, then continues to read.
    RespondEarly,
    /// Sends the first bytes, with `{id}` replaced by the request id, then repeats the second ones
    /// until the daemon closes the connection.
    Endless(&'static str, &'static str),
}

/// Responds 200 without a delay.
pub const OK: Action = Action::Respond(200, "done", Duration::ZERO);

/// Request as received by a backend server.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request line and headers, including the empty line at the end.
    pub head: String,
    /// Body of the length given by the head.
    pub body: Vec<u8>,
    /// Number of the connection in the order accepted, from 1.
    pub connection: usize,
}

impl ReceivedRequest {
    /// Returns the value of a header; the name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// Returns the first value of a header in a head; the name is case-insensitive.
pub fn header(head: &str, name: &str) -> Option<String> {
    let pairs = head.lines().filter_map(|l| l.split_once(':'));
    let mut found = pairs.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, v)| v.trim().to_owned())
}

#[derive(Debug, Default)]
struct BackendState {
    actions: Mutex<VecDeque<Action>>,
    received_requests: Mutex<Vec<ReceivedRequest>>,
    connections: Mutex<usize>,
    closed_while_hanging: Mutex<usize>,
    /// Bytes that `Endless` could send; set when the daemon has closed the connection.
    endless_bytes: Mutex<Option<usize>>,
}

/// Backend server that performs one scripted action per request, and responds 200 to the requests
/// after the last action.
#[derive(Debug, Clone)]
pub struct Backend {
    pub address: SocketAddr,
    state: Arc<BackendState>,
}

impl Backend {
    pub async fn start<I>(actions: I) -> Self
    where
        I: IntoIterator<Item = Action>,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(BackendState::default());
        state.actions.lock().extend(actions);
        let backend = Self { address, state };
        let acceptor = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = {
                    let mut count = acceptor.state.connections.lock();
                    *count += 1;
                    *count
                };
                tokio::spawn(acceptor.clone().serve(stream, number));
            }
        });
        backend
    }

    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state.received_requests.lock().clone()
    }

    pub fn closed_while_hanging(&self) -> usize {
        *self.state.closed_while_hanging.lock()
    }

    /// Returns the number of bytes that [`Action::Endless`] could send, or `None` while the daemon
    /// keeps the connection open.
    pub fn endless_bytes(&self) -> Option<usize> {
        *self.state.endless_bytes.lock()
    }

    async fn send_endless(&self, stream: &mut TcpStream, first: &str, repeated: &str) {
        let part = repeated.repeat(4096 / repeated.len());
        let mut sent = first.len();
        if stream.write_all(first.as_bytes()).await.is_ok() {
            // A complete response is read before the bytes that follow it arrive.
            tokio::time::sleep(Duration::from_millis(50)).await;
            while stream.write_all(part.as_bytes()).await.is_ok() {
                sent += part.len();
            }
        }
        *self.state.endless_bytes.lock() = Some(sent);
    }

    async fn serve(self, mut stream: TcpStream, connection: usize) {
        let mut buffer = Vec::new();
        let mut last_refusal = String::new();
        loop {
            let Some(head) = read_head(&mut stream, &mut buffer).await else {
                return;
            };
            let action = self.state.actions.lock().pop_front().unwrap_or(OK);
            let length = header(&head, "content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            if matches!(action, Action::RespondEarly) {
                let signed_response = signed_response(&head, 200, "early");
                if stream.write_all(signed_response.as_bytes()).await.is_err() {
                    return;
                }
            }
            if let Action::RawThenResetEarly(text) = action {
                if stream
                    .write_all(with_id(text, &head).as_bytes())
                    .await
                    .is_ok()
                {
                    reset_on_close(&stream);
                }
                return;
            }
            let Some(body) = read_body(&mut stream, &mut buffer, length).await else {
                return;
            };
            let received_request = ReceivedRequest {
                head: head.clone(),
                body,
                connection,
            };
            self.state.received_requests.lock().push(received_request);
            match action {
                Action::Refuse => last_refusal = refusal(&head),
                Action::Misdirected => last_refusal = misdirected(&head),
                Action::Raw(text) if text.contains("Not-Executed") => {
                    last_refusal = with_id(text, &head);
                }
                _ => {}
            }
            let repeated = match action {
                Action::RespondAfterRepeatedRefusal => last_refusal.as_bytes(),
                _ => &[],
            };
            if stream.write_all(repeated).await.is_err() {
                return;
            }
            if !self.perform(&mut stream, action, &head).await {
                return;
            }
        }
    }

    /// Performs an action and returns whether the connection stays open.
    async fn perform(&self, stream: &mut TcpStream, action: Action, head: &str) -> bool {
        let id = header(head, "request-id").unwrap_or_default();
        let (bytes, keep_open) = match action {
            Action::RespondEarly => return true,
            Action::RawThenResetEarly(_) => return false,
            Action::Respond(status, body, pause) => {
                tokio::time::sleep(pause).await;
                (signed_response(head, status, body), true)
            }
            Action::Refuse => (refusal(head), true),
            Action::RespondAfterRepeatedRefusal => (signed_response(head, 200, "done"), true),
            Action::Misdirected => (misdirected(head), true),
            Action::Raw(text) => (with_id(text, head), true),
            Action::RawAfter(text, delay) => {
                tokio::time::sleep(delay).await;
                (with_id(text, head), true)
            }
            Action::RawThenClose(text) => (text.replace("{id}", &id), false),
            Action::RawThenReset(text) => {
                let sent = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                assert!(sent.is_ok(), "bytes before a reset are sent");
                tokio::time::sleep(Duration::from_millis(50)).await;
                reset_on_close(stream);
                return false;
            }
            Action::Close => return false,
            Action::Endless(first, repeated) => {
                self.send_endless(stream, &first.replace("{id}", &id), repeated)
                    .await;
                return false;
            }
            Action::Hang => {
                let mut byte = [0; 1];
                if !matches!(stream.read(&mut byte).await, Ok(1..)) {
                    *self.state.closed_while_hanging.lock() += 1;
                }
                return false;
            }
        };
        stream.write_all(bytes.as_bytes()).await.is_ok() && keep_open
    }
}

fn reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket option");
}

/// Replaces `{id}` in a text by the id of a request.
fn with_id(text: &str, head: &str) -> String {
    text.replace("{id}", &header(head, "request-id").unwrap_or_default())
}

fn refusal(head: &str) -> String {
    let text =
        "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    with_id(text, head)
}

fn misdirected(head: &str) -> String {
    let text =
        "HTTP/1.1 421 Other\r\nRequest-Id: {id}\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n";
    with_id(text, head)
}

fn signed_response(head: &str, status: u16, body: &str) -> String {
    let id = header(head, "request-id").unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nResponse-Signature: s-{status}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = buffer.split_off(end + 4);
            let head = std::mem::replace(buffer, rest);
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let rest = buffer.split_off(length);
    Some(std::mem::replace(buffer, rest))
}

/// Returns settings for a daemon on the loopback interface.
pub fn settings() -> Settings {
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    Settings {
        vm: "vm-1".to_owned(),
        address: address.ip(),
        domain: "a".to_owned(),
        region: "r".to_owned(),
        callers: address,
        ready: address,
        directory: address,
        peer_port: 0,
        seeds: Vec::new(),
        first_start: true,
        store: address,
        grace_period: Duration::from_secs(2),
        address_ttl_max: Duration::from_secs(5),
        budget: RetryBudgetBounds {
            ratio: 0.2,
            extra: 60.0,
            window: Duration::from_secs(10),
        },
        quota: QuotaBounds::default(),
        capacity_millicores: 200,
        memory_bytes: 160_000_000,
        file_descriptors: 4_100,
        apply_timeout: Duration::from_secs(2),
        server_heartbeat_interval: Duration::from_millis(1_500),
        key_revocation: None,
        ranks_requests: true,
        crossing_cost_ns_per_byte: 100.0,
    }
}

/// Returns a configuration with the idempotent route `/read/` and the non-idempotent `/write/`.
pub fn configuration(version: u64) -> Configuration {
    configuration_with_timeout(version, ROUTE_TIMEOUT)
}

/// Same with another timeout of all routes.
pub fn configuration_with_timeout(version: u64, timeout: Duration) -> Configuration {
    let route = |name: &str, route_idempotency| Route {
        name: name.into(),
        path_prefix: format!("/{name}/"),
        idempotency: route_idempotency,
        timeout,
        latency_objective: Duration::from_millis(600),
        priority: 1,
        attempts_max: 2,
        is_public: false,
        split: vec![WeightedService {
            service: "ledger".into(),
            weight: 1,
        }],
    };
    let routes = vec![
        route("read", Idempotency::Idempotent),
        route("write", Idempotency::NonIdempotent),
    ];
    let hosts = [("shop.example".to_owned(), routes)];
    let limits = CallerLimits {
        body_bytes: 32 * 1024 * 1024,
        ..CallerLimits::default()
    };
    Configuration::new(ConfigVersion(version), limits, hosts, [])
}

/// Edge daemon that accepts callers; it runs in the test process without a store or peers.
pub struct Daemon {
    pub edge: Arc<Edge>,
    pub address: SocketAddr,
}

impl Daemon {
    /// Starts a daemon without a configuration or backend servers.
    pub async fn start() -> Self {
        let metrics = Metrics::new().expect("metrics");
        let edge = Arc::new(Edge::new(settings(), Arc::new(SystemClock::new()), metrics));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(caller::accept(edge.clone(), listener));
        Self { edge, address }
    }

    /// Starts a daemon with a configuration and backend servers; it prefers the first one.
    pub async fn with_backends(backends: &[&Backend]) -> Self {
        let daemon = Self::start().await;
        daemon
            .edge
            .install_configuration(Arc::new(configuration(1)), None, "test");
        for (i, backend) in backends.iter().enumerate() {
            // The daemon prefers servers in its own failure domain.
            let domain = if i == 0 { "a" } else { "b" };
            daemon.add_server(&format!("s{i}"), backend, domain);
        }
        daemon
    }

    fn add_server(&self, id: &str, backend: &Backend, domain: &str) {
        self.apply_entry(id, backend, domain, 1);
    }

    /// Removes the entry of a backend server from the list as of a store revision.
    pub fn remove_entry(&self, id: &str, revision: u64) {
        let removal = EntryRemoval {
            id: id.to_owned(),
            revision,
            may_have_lapsed: false,
        };
        self.edge.remove_entry(&removal, "test");
    }

    /// Adds a backend server as of a store revision, or updates its entry.
    pub fn apply_entry(&self, id: &str, backend: &Backend, domain: &str, revision: u64) {
        let entry = ServerEntry {
            revision,
            domain: domain.into(),
            ..server_entry(id, backend.address, 4)
        };
        self.edge.apply_entry(entry, "test");
    }

    /// Opens a connection to the port for callers.
    pub async fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.address)
            .await
            .expect("a connection");
        Caller {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sends a request on a new connection and returns the response.
    pub async fn fetch(&self, request: &str) -> Response {
        let mut caller = self.connect().await;
        caller.send(request).await;
        caller.response().await.expect("a response")
    }
}

/// Caller with one open connection.
pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// Response as received by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Caller {
    pub async fn send(&mut self, bytes: &str) {
        self.stream
            .write_all(bytes.as_bytes())
            .await
            .expect("bytes are sent");
    }

    /// Returns the next response, or `None` if the connection is closed or breaks first.
    pub async fn response(&mut self) -> Option<Response> {
        let read = async {
            let head = read_head(&mut self.stream, &mut self.buffer).await?;
            let length = header(&head, "content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            let body = read_body(&mut self.stream, &mut self.buffer, length).await?;
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let body = String::from_utf8(body).ok()?;
            Some(Response { status, head, body })
        };
        timeout(RESPONSE_TIMEOUT, read)
            .await
            .expect("a response or a closed connection within the timeout")
    }
}

/// Encodes a GET request with a deadline of 3 s.
pub fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\r\n"
    )
}

/// Returns the entry of a server of the service ledger in domain a.
pub fn server_entry(id: &str, address: SocketAddr, slots: u32) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        revision: 1,
        started_unix_ms: 1,
        service: "ledger".into(),
        address,
        domain: "a".into(),
        slots,
        draining: false,
        cold: Duration::ZERO,
    }
}

/// Returns the largest resident memory of this process so far, in bytes.
pub fn peak_memory_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number
        .and_then(|n| n.parse::<usize>().ok())
        .expect("a size in KB")
        * 1024
}

/// Waits until a condition holds, and fails if it does not within the time.
pub async fn assert_eventually<F>(within: Duration, what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let deadline = tokio::time::Instant::now() + within;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "not within {within:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Encodes a POST request with a deadline of 3 s.
pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}
