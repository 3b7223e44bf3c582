//! Client for the platform's object API and VM list.
//!
//! Every write is conditional. A write without a usable response is reported
//! as [`WriteOutcome::Unknown`], because it may have been applied; the caller
//! has to read the object to find out.

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

/// Largest response body that the client accepts, in bytes. The platform
/// limits values to 1 MB, but a list of objects may be larger.
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Object read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Content of the object, at most 1 MB.
    pub value: Bytes,
    /// Version of the value, taken from `etag`; the condition of updates and deletes.
    pub version: u64,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied; the object now has this version. A delete repeats
    /// the version that it was given.
    Written(u64),
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The response is missing or unusable: the write may have been applied.
    Unknown,
}

/// Entry in the list of objects under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedObject {
    /// Full path of the object, also accepted as `path`.
    #[serde(alias = "path")]
    pub name: String,
    /// Current version of the object.
    pub version: u64,
}

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM, which is also the name of its daemon or backend server.
    pub name: String,
    /// Peer address of a daemon, or HTTP address of a backend server.
    pub address: SocketAddr,
    /// Region that the VM runs in.
    pub region: String,
    /// Failure domain that the VM runs in.
    pub domain: String,
    /// Whether the VM is about to be stopped.
    pub state: VmState,
    /// Program that runs on the VM.
    pub kind: VmKind,
    /// Service of a backend server; absent for a daemon.
    #[serde(default)]
    pub service: Option<String>,
}

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is about to be stopped and must get no new requests.
    Leaving,
}

/// Program that runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// A proxy daemon of this fleet.
    Daemon,
    /// A backend server of a service.
    Backend,
}

/// Failure of a call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No connection could be opened, so the request was not sent.
    #[error("platform unreachable: {0}")]
    Unreachable(String),
    /// The complete response did not arrive in time.
    #[error("platform did not respond within {0:?}")]
    Timeout(Duration),
    /// The connection failed when the request may already have been sent.
    #[error("platform connection failed: {0}")]
    Connection(String),
    /// The platform returned an unexpected status.
    #[error("platform returned status {0}")]
    Status(StatusCode),
    /// The response could not be decoded or is too large.
    #[error("platform returned a malformed response: {0}")]
    Malformed(String),
    /// The object path is not valid in a URI.
    #[error("invalid object path `{0}`")]
    Path(String),
}

/// Timeouts of the kinds of calls.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time for a complete read of an object, a list or the VM list.
    pub read: Duration,
    /// Longest time for a complete write or delete.
    pub write: Duration,
    /// Time that a watch may take in addition to the wait that it requests.
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

/// Client for the platform; clones share connections, call counter and reachability.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    /// Replaced, together with its idle connections, after a call without a response.
    client: Arc<ArcSwap<HttpClient>>,
    address: SocketAddr,
    timeouts: Timeouts,
    calls: Arc<AtomicU64>,
    reachability: Arc<Mutex<Reachability>>,
}

/// Result of the last call and time of the last successful one.
#[derive(Debug, Default)]
struct Reachability {
    is_reachable: bool,
    last_success: Option<Instant>,
}

impl PlatformClient {
    /// Creates a client with the default timeouts. It connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeouts(address, Timeouts::default())
    }

    /// Creates a client with the given timeouts. It connects at the first call.
    pub fn with_timeouts(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self {
            client: Arc::new(ArcSwap::from_pointee(http_client(timeouts.connect))),
            address,
            timeouts,
            calls: Arc::default(),
            reachability: Arc::default(),
        }
    }

    /// Returns the number of calls made so far by this client and its clones.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns whether the last call succeeded, and the time since the last successful one.
    pub fn reachability(&self) -> (bool, Option<Duration>) {
        let reachability = self.reachability.lock();
        (
            reachability.is_reachable,
            reachability
                .last_success
                .map(|last_success| last_success.elapsed()),
        )
    }

    /// Reads an object; returns `None` if it does not exist.
    pub async fn read(&self, path: &str) -> Result<Option<Object>, PlatformError> {
        let request = self.request(Method::GET, &format!("/objects/{path}"))?;
        let response = self.call(request, self.timeouts.read).await?;
        match response.status() {
            StatusCode::OK => parse_object(response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Creates an object. It is a conflict if the object exists.
    pub async fn create(&self, path: &str, value: Bytes) -> Result<WriteOutcome, PlatformError> {
        self.write(path, header::IF_NONE_MATCH, "*".to_owned(), value)
            .await
    }

    /// Replaces the value of an object. It is a conflict if the object does not have the given
    /// version.
    pub async fn update(
        &self,
        path: &str,
        version: u64,
        value: Bytes,
    ) -> Result<WriteOutcome, PlatformError> {
        self.write(path, header::IF_MATCH, etag(version), value)
            .await
    }

    /// Deletes an object. It is a conflict if the object does not have the
    /// given version. An absent object counts as deleted.
    pub async fn delete(&self, path: &str, version: u64) -> Result<WriteOutcome, PlatformError> {
        let mut request = self.request(Method::DELETE, &format!("/objects/{path}"))?;
        let value = header::HeaderValue::try_from(etag(version))
            .map_err(|e| PlatformError::Malformed(e.to_string()))?;
        request.headers_mut().insert(header::IF_MATCH, value);
        let response = match self.call(request, self.timeouts.write).await {
            Ok(response) => response,
            Err(error) => return failed_write_outcome(error),
        };
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => {
                Ok(WriteOutcome::Written(version))
            }
            status => rejected_write_outcome(status),
        }
    }

    /// Waits up to `wait` for a version of an object above `after`; returns `None` if none appears.
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
            StatusCode::OK => Ok(Some(parse_object(response)?).filter(|o| o.version > after)),
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Lists the objects whose path starts with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<ListedObject>, PlatformError> {
        self.get_json(&format!("/list/{prefix}")).await
    }

    /// Reads the VM list.
    pub async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.get_json("/vms").await
    }

    async fn get_json<T>(&self, target: &str) -> Result<T, PlatformError>
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
            Err(error) => return failed_write_outcome(error),
        };
        match response.status() {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => {
                Ok(written_version(&response).map_or(WriteOutcome::Unknown, WriteOutcome::Written))
            }
            status => rejected_write_outcome(status),
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
        let is_answered = |response: &Response<Bytes>| !response.status().is_server_error();
        let is_success = result.as_ref().is_ok_and(is_answered);
        {
            let mut reachability = self.reachability.lock();
            reachability.is_reachable = is_success;
            if is_success {
                reachability.last_success = Some(Instant::now());
            }
        }
        if let Err(PlatformError::Timeout(_) | PlatformError::Connection(_)) = &result {
            self.replace_client(&client);
        }
        result
    }

    /// Replaces the HTTP client and so drops its idle connections, which may all
    /// have failed without notice. Calls in progress keep their connections.
    fn replace_client(&self, old_client: &Arc<HttpClient>) {
        let new_client = Arc::new(http_client(self.timeouts.connect));
        // A concurrent call may already have replaced the client; its client is kept.
        self.client.compare_and_swap(old_client, new_client);
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
        let message = error_chain(&error);
        if error.is_connect() {
            PlatformError::Unreachable(message)
        } else {
            PlatformError::Connection(message)
        }
    })?;
    read_body(response).await
}

async fn read_body(response: Response<Incoming>) -> Result<Response<Bytes>, PlatformError> {
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

/// Maps a failed call of a write: a request that was not sent is an error, any other may have
/// been applied.
fn failed_write_outcome(error: PlatformError) -> Result<WriteOutcome, PlatformError> {
    match error {
        PlatformError::Unreachable(_) | PlatformError::Path(_) => Err(error),
        _ => Ok(WriteOutcome::Unknown),
    }
}

/// Maps an unsuccessful status of a write: a client error means that nothing was written, any
/// other status does not tell.
fn rejected_write_outcome(status: StatusCode) -> Result<WriteOutcome, PlatformError> {
    match status {
        StatusCode::PRECONDITION_FAILED => Ok(WriteOutcome::Conflict),
        status if status.is_client_error() => Err(PlatformError::Status(status)),
        _ => Ok(WriteOutcome::Unknown),
    }
}

fn parse_object(response: Response<Bytes>) -> Result<Object, PlatformError> {
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
    let etag = response.headers().get(header::ETAG)?.to_str().ok()?;
    etag.trim_matches('"').parse().ok()
}

/// Extracts the new version of a written object, from `etag` or from a body `{"version": n}` or
/// `n`.
fn written_version(response: &Response<Bytes>) -> Option<u64> {
    header_version(response).or_else(|| {
        let body: serde_json::Value = serde_json::from_slice(response.body()).ok()?;
        body.get("version").unwrap_or(&body).as_u64()
    })
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
