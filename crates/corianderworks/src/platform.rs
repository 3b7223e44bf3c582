//! Client of the platform's object API and VM list.
//!
//! Every write is conditional. A write whose response did not arrive is
//! reported as [`WriteOutcome::Unknown`], because it may have been applied;
//! the caller reads the object back to find out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Largest response that the client accepts, in bytes. Values are limited to
/// 1 MB by the platform; a list of names may be longer.
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// An object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Value of the object.
    pub value: Bytes,
    /// Version of the value, used by conditional writes.
    pub version: u64,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied and the object has this version.
    Written(u64),
    /// The condition did not hold; nothing was written.
    Conflict,
    /// No usable response: the write may have been applied.
    Unknown,
}

/// Name and version of a listed object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Full path of the object.
    #[serde(alias = "path")]
    pub name: String,
    /// Version of the object.
    pub version: u64,
}

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Peer address of a daemon, or HTTP address of a backend server.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Whether the VM stays or is about to go.
    pub state: VmState,
    /// What runs on the VM.
    pub kind: VmKind,
    /// Service of a backend server.
    #[serde(default)]
    pub service: Option<String>,
}

/// Whether a VM stays or is about to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// A daemon of this fleet.
    Daemon,
    /// A backend server.
    Backend,
}

/// Failure of a call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No connection; the request was not sent.
    #[error("platform unreachable: {0}")]
    Unreachable(String),
    /// No complete response in time.
    #[error("platform did not respond within {0:?}")]
    Timeout(Duration),
    /// The connection failed after the request was sent.
    #[error("platform connection failed: {0}")]
    Connection(String),
    /// The platform returned an unexpected status.
    #[error("platform returned status {0}")]
    Status(StatusCode),
    /// The response does not have the expected form.
    #[error("platform returned a malformed response: {0}")]
    Malformed(String),
    /// The path cannot be part of a URI.
    #[error("invalid object path `{0}`")]
    Path(String),
}

/// Time limits per kind of call.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time for a complete read, list or VM list.
    pub read: Duration,
    /// Time for a complete write.
    pub write: Duration,
    /// Time that a watch may take beyond its own waiting time.
    pub watch_margin: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            read: Duration::from_secs(2),
            write: Duration::from_secs(2),
            watch_margin: Duration::from_secs(2),
        }
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Client of the platform; clones share connections and the call counter.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    /// Replaced together with its idle connections after a call without response.
    client: Arc<ArcSwap<HttpClient>>,
    address: SocketAddr,
    timeouts: Timeouts,
    calls: Arc<AtomicU64>,
    reached: Arc<Mutex<Reached>>,
}

/// Result of the last call, and the time of the last one that succeeded.
#[derive(Debug, Default)]
struct Reached {
    now: bool,
    last: Option<Instant>,
}

impl PlatformClient {
    /// Creates a client with the default time limits.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeouts(address, Timeouts::default())
    }

    /// Creates a client with the given time limits.
    pub fn with_timeouts(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self {
            client: Arc::new(ArcSwap::from_pointee(http_client(timeouts.connect))),
            address,
            timeouts,
            calls: Arc::default(),
            reached: Arc::default(),
        }
    }

    /// Returns the number of calls so far, shared by all clones.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Whether the last call succeeded, and the time since the last one that did.
    pub fn reachability(&self) -> (bool, Option<Duration>) {
        let reached = self.reached.lock();
        (reached.now, reached.last.map(|last| last.elapsed()))
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn read(&self, path: &str) -> Result<Option<Object>, PlatformError> {
        let request = self.request(Method::GET, &format!("/objects/{path}"))?;
        let response = self.call(request, self.timeouts.read).await?;
        match response.status() {
            StatusCode::OK => object(response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Writes an object that must not exist yet.
    pub async fn create(&self, path: &str, value: Bytes) -> Result<WriteOutcome, PlatformError> {
        self.write(path, header::IF_NONE_MATCH, "*".to_owned(), value)
            .await
    }

    /// Replaces an object that must still have the given version.
    pub async fn update(
        &self,
        path: &str,
        version: u64,
        value: Bytes,
    ) -> Result<WriteOutcome, PlatformError> {
        self.write(path, header::IF_MATCH, etag(version), value)
            .await
    }

    /// Deletes an object that must still have the given version. An absent
    /// object counts as deleted.
    pub async fn delete(&self, path: &str, version: u64) -> Result<WriteOutcome, PlatformError> {
        let mut request = self.request(Method::DELETE, &format!("/objects/{path}"))?;
        let value = header::HeaderValue::try_from(etag(version))
            .map_err(|e| PlatformError::Malformed(e.to_string()))?;
        request.headers_mut().insert(header::IF_MATCH, value);
        let response = match self.call(request, self.timeouts.write).await {
            Ok(response) => response,
            Err(error) => return unsent_or_unknown(error),
        };
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => {
                Ok(WriteOutcome::Written(version))
            }
            status => refused(status),
        }
    }

    /// Waits up to `wait` for a version above `after`; `None` when there is none.
    ///
    /// A stale response, with a version that is not above `after`, is discarded.
    pub async fn watch(
        &self,
        path: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let wait_ms = wait.as_millis();
        let target = format!("/watch/{path}?after={after}&wait_ms={wait_ms}");
        let request = self.request(Method::GET, &target)?;
        let limit = wait + self.timeouts.watch_margin;
        let response = self.call(request, limit).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(object(response)?).filter(|o| o.version > after)),
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Lists the objects whose path begins with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Listed>, PlatformError> {
        self.json(&format!("/list/{prefix}")).await
    }

    /// Returns the VM list.
    pub async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.json("/vms").await
    }

    async fn json<T>(&self, target: &str) -> Result<T, PlatformError>
    where
        T: serde::de::DeserializeOwned,
    {
        let request = self.request(Method::GET, target)?;
        let response = self.call(request, self.timeouts.read).await?;
        if response.status() != StatusCode::OK {
            return Err(PlatformError::Status(response.status()));
        }
        serde_json::from_slice(response.body()).map_err(|e| PlatformError::Malformed(e.to_string()))
    }

    async fn write(
        &self,
        path: &str,
        condition: header::HeaderName,
        condition_value: String,
        value: Bytes,
    ) -> Result<WriteOutcome, PlatformError> {
        let mut request = self.request(Method::PUT, &format!("/objects/{path}"))?;
        let condition_value = header::HeaderValue::try_from(condition_value)
            .map_err(|e| PlatformError::Malformed(e.to_string()))?;
        request.headers_mut().insert(condition, condition_value);
        *request.body_mut() = Full::new(value);
        let response = match self.call(request, self.timeouts.write).await {
            Ok(response) => response,
            Err(error) => return unsent_or_unknown(error),
        };
        match response.status() {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => {
                Ok(written_version(&response).map_or(WriteOutcome::Unknown, WriteOutcome::Written))
            }
            status => refused(status),
        }
    }

    fn request(&self, method: Method, target: &str) -> Result<Request<Full<Bytes>>, PlatformError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{target}", self.address))
            .body(Full::default())
            .map_err(|_| PlatformError::Path(target.to_owned()))
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let client = self.client.load_full();
        let result = match tokio::time::timeout(limit, exchange(&client, request)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Timeout(limit)),
        };
        let answered = |response: &Response<Bytes>| !response.status().is_server_error();
        let success = result.as_ref().is_ok_and(answered);
        {
            let mut reached = self.reached.lock();
            reached.now = success;
            if success {
                reached.last = Some(Instant::now());
            }
        }
        if let Err(PlatformError::Timeout(_) | PlatformError::Connection(_)) = &result {
            self.retire(&client);
        }
        result
    }

    /// Drops the idle connections, as they may have gone silent together. Calls
    /// in progress keep theirs.
    fn retire(&self, used: &Arc<HttpClient>) {
        let fresh = Arc::new(http_client(self.timeouts.connect));
        // Keeps a newer client that a concurrent call may have set already.
        self.client.compare_and_swap(used, fresh);
    }
}

fn http_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .pool_max_idle_per_host(4)
        .build(connector)
}

async fn exchange(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, PlatformError> {
    let response = client.request(request).await.map_err(|error| {
        let text = chain(&error);
        if error.is_connect() {
            PlatformError::Unreachable(text)
        } else {
            PlatformError::Connection(text)
        }
    })?;
    collect(response).await
}

async fn collect(response: Response<Incoming>) -> Result<Response<Bytes>, PlatformError> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, RESPONSE_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| {
            if error.is::<LengthLimitError>() {
                PlatformError::Malformed(error.to_string())
            } else {
                PlatformError::Connection(error.to_string())
            }
        })?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// A write that never reached the platform failed; any other may have been applied.
fn unsent_or_unknown(error: PlatformError) -> Result<WriteOutcome, PlatformError> {
    match error {
        PlatformError::Unreachable(_) | PlatformError::Path(_) => Err(error),
        _ => Ok(WriteOutcome::Unknown),
    }
}

/// A server error says nothing about the effect; a client error means no effect.
fn refused(status: StatusCode) -> Result<WriteOutcome, PlatformError> {
    match status {
        StatusCode::PRECONDITION_FAILED => Ok(WriteOutcome::Conflict),
        status if status.is_client_error() => Err(PlatformError::Status(status)),
        _ => Ok(WriteOutcome::Unknown),
    }
}

fn object(response: Response<Bytes>) -> Result<Object, PlatformError> {
    let version = header_version(&response)
        .ok_or_else(|| PlatformError::Malformed("no version in `etag`".to_owned()))?;
    Ok(Object {
        value: response.into_body(),
        version,
    })
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

fn header_version(response: &Response<Bytes>) -> Option<u64> {
    let text = response.headers().get(header::ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}

/// The new version stands in `etag`, or in the body as `{"version": n}` or `n`.
fn written_version(response: &Response<Bytes>) -> Option<u64> {
    header_version(response).or_else(|| {
        let body: serde_json::Value = serde_json::from_slice(response.body()).ok()?;
        body.get("version").unwrap_or(&body).as_u64()
    })
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
