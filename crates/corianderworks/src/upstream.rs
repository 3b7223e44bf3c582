//! HTTP/1.1 connections to backend servers, pooled per upstream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::UpstreamKey;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::body::Body;

/// Time limit for opening a connection, which normally takes 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a health probe, which normally takes 25 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed, before a middlebox drops its state.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Maximum number of idle connections per upstream; this daemon's share of the slots is only a few.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// Why an exchange with a backend server failed.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The connection could not be opened, so nothing was sent.
    #[error("the backend server can't be reached: {0}")]
    Connect(String),
    /// The connection was lost before any of the request was sent.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The exchange failed after some of the request may have been sent.
    #[error("the exchange with the backend server failed: {0}")]
    Interrupted(String),
}

/// Failure of an exchange, with the request when it was provably not sent.
pub struct SendFailure {
    /// [`UpstreamError::NotSent`] when the request is given back, otherwise
    /// [`UpstreamError::Interrupted`].
    pub error: UpstreamError,
    /// Request of which nothing was sent, `None` when some of it may have been.
    pub unsent: Option<Request<Body>>,
}

/// Connection that is closed as soon as it is dropped.
///
/// hyper by itself notices only at the next bytes from the server that the response was dropped,
/// and the server would keep working on the request until then.
struct ClientConnection {
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    conn: ClientConnection,
    opened_at: Duration,
    idle_since: Duration,
}

#[derive(Default)]
struct Pool {
    idle: Vec<IdleConnection>,
    /// Connections opened before this time are not reused.
    retired_before: Duration,
}

/// Connection pools, one per upstream.
pub struct Upstreams<C>
where
    C: Clock,
{
    clock: Arc<C>,
    pools: Mutex<HashMap<UpstreamKey, Pool>>,
}

/// Connection taken from a pool. It is closed when dropped without [`release`](Self::release).
pub struct Checkout<C>
where
    C: Clock,
{
    upstreams: Arc<Upstreams<C>>,
    upstream: UpstreamKey,
    conn: ClientConnection,
    /// Time on the daemon's clock at which opening the connection began.
    pub opened_at: Duration,
    /// Whether the connection carried a request before.
    pub reused: bool,
}

impl<C> Upstreams<C>
where
    C: Clock,
{
    /// Creates empty pools; connections are opened on demand.
    pub fn new(clock: Arc<C>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            pools: Mutex::default(),
        })
    }

    /// Takes an idle connection, or opens a new one when none is usable.
    pub async fn checkout(
        self: &Arc<Self>,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Result<Checkout<C>, UpstreamError> {
        while let Some(idle) = self.pop(upstream) {
            let mut checkout = self.new_checkout(upstream, idle.conn, idle.opened_at, true);
            if checkout.conn.sender.ready().await.is_ok() {
                return Ok(checkout);
            }
        }
        self.connect(upstream, address).await
    }

    /// Opens a new connection even if an idle one is available.
    pub async fn connect(
        self: &Arc<Self>,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Result<Checkout<C>, UpstreamError> {
        let opened_at = self.clock.now();
        let conn = connect(address).await?;
        Ok(self.new_checkout(upstream, conn, opened_at, false))
    }

    /// Closes the idle connections of an upstream that were opened before a time, and prevents
    /// those in use from being reused.
    pub fn retire(&self, upstream: UpstreamKey, before: Duration) {
        let mut pools = self.pools.lock();
        let pool = pools.entry(upstream).or_default();
        pool.retired_before = pool.retired_before.max(before);
        pool.idle.retain(|idle| idle.opened_at >= before);
    }

    /// Drops the pools of upstreams for which `keep` returns `false`, because this daemon no longer
    /// owns them.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(UpstreamKey) -> bool,
    {
        self.pools.lock().retain(|upstream, _| keep(*upstream));
    }

    /// Takes an idle connection, after closing those that were idle for too long.
    fn pop(&self, upstream: UpstreamKey) -> Option<IdleConnection> {
        let now = self.clock.now();
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(&upstream)?;
        pool.idle
            .retain(|idle| now.saturating_sub(idle.idle_since) < MAX_IDLE_TIME);
        pool.idle.pop()
    }

    /// Adds an idle connection to its pool unless it is retired or the pool is full.
    fn push(&self, upstream: UpstreamKey, conn: ClientConnection, opened_at: Duration) {
        let mut pools = self.pools.lock();
        let pool = pools.entry(upstream).or_default();
        if opened_at >= pool.retired_before && pool.idle.len() < MAX_IDLE_PER_UPSTREAM {
            pool.idle.push(IdleConnection {
                conn,
                opened_at,
                idle_since: self.clock.now(),
            });
        }
    }

    fn new_checkout(
        self: &Arc<Self>,
        upstream: UpstreamKey,
        conn: ClientConnection,
        opened_at: Duration,
        reused: bool,
    ) -> Checkout<C> {
        Checkout {
            upstreams: self.clone(),
            upstream,
            conn,
            opened_at,
            reused,
        }
    }
}

impl<C> Checkout<C>
where
    C: Clock,
{
    /// Sends a request and waits for the head of the response, without a time limit.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.conn
            .sender
            .try_send_request(request)
            .await
            .map_err(|mut send_error| {
                let unsent = send_error.take_message();
                let error = match unsent {
                    Some(_) => UpstreamError::NotSent,
                    None => UpstreamError::Interrupted(send_error.into_error().to_string()),
                };
                SendFailure { error, unsent }
            })
    }

    /// Returns the connection to its pool; only valid after a complete response.
    pub fn release(self) {
        if !self.conn.sender.is_closed() {
            self.upstreams
                .push(self.upstream, self.conn, self.opened_at);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<ClientConnection, UpstreamError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| UpstreamError::Connect("timed out".into()))?
        .map_err(|e| UpstreamError::Connect(e.to_string()))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| UpstreamError::Connect(e.to_string()))?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(ClientConnection { sender, task })
}

/// Probes `/health` on a new connection; true when the status is 2xx.
pub async fn probe(address: SocketAddr) -> bool {
    let exchange = async {
        let mut conn = connect(address).await.ok()?;
        let request = Request::get("/health").body(crate::body::empty()).ok()?;
        let response = conn.sender.send_request(request).await.ok()?;
        Some(response.status().is_success())
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, exchange).await;
    answer.ok().flatten().unwrap_or(false)
}
