//! Connections to backend servers.

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

/// Longest time to set up a connection; a connection normally takes 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for a probe, which normally takes 25 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// An idle connection is closed after this long, before a middlebox forgets it.
const IDLE_MAX: Duration = Duration::from_secs(20);
/// Idle connections kept for one upstream; a share of the slots is at most a few.
const IDLE_PER_UPSTREAM: usize = 8;

/// How an exchange with a backend server failed.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// No connection could be set up, so nothing was sent.
    #[error("the backend server can't be reached: {0}")]
    Connect(String),
    /// The connection broke before the request was sent.
    #[error("the request was not sent")]
    NotSent,
    /// The exchange broke off after the request may have been sent.
    #[error("the backend server broke off: {0}")]
    Broken(String),
}

/// Failed exchange, with the request when it was provably not sent.
pub struct Failed {
    /// What went wrong.
    pub error: UpstreamError,
    /// The request, if none of it was handed over.
    pub unsent: Option<Request<Body>>,
}

/// Connection that is closed when dropped, whatever it still receives.
///
/// hyper notices only at the next bytes from the server that nobody wants a response any
/// more, and until then the server works on.
struct Link {
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    link: Link,
    born: Duration,
    since: Duration,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    /// Connections set up before this time are not used again.
    retired_before: Duration,
}

/// Pools of connections, one per upstream.
pub struct Upstreams<C>
where
    C: Clock,
{
    clock: Arc<C>,
    pools: Mutex<HashMap<UpstreamKey, Pool>>,
}

/// Connection in use; it goes back to its pool when released after a whole response.
pub struct Checkout<C>
where
    C: Clock,
{
    upstreams: Arc<Upstreams<C>>,
    upstream: UpstreamKey,
    link: Link,
    /// When the connection was set up.
    pub born: Duration,
    /// Whether it carried a request before.
    pub reused: bool,
}

impl<C> Upstreams<C>
where
    C: Clock,
{
    /// Creates empty pools.
    pub fn new(clock: Arc<C>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            pools: Mutex::default(),
        })
    }

    /// Takes an idle connection or sets up a new one.
    pub async fn checkout(
        self: &Arc<Self>,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Result<Checkout<C>, UpstreamError> {
        while let Some(idle) = self.pop(upstream) {
            let mut checkout = self.wrap(upstream, idle.link, idle.born, true);
            if checkout.link.sender.ready().await.is_ok() {
                return Ok(checkout);
            }
        }
        self.connect(upstream, address).await
    }

    /// Sets up a new connection.
    pub async fn connect(
        self: &Arc<Self>,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Result<Checkout<C>, UpstreamError> {
        let born = self.clock.now();
        let link = connect(address).await?;
        Ok(self.wrap(upstream, link, born, false))
    }

    /// Retires the connections of an upstream that were set up before a time.
    pub fn retire(&self, upstream: UpstreamKey, before: Duration) {
        let mut pools = self.pools.lock();
        let pool = pools.entry(upstream).or_default();
        pool.retired_before = pool.retired_before.max(before);
        pool.idle.retain(|idle| idle.born >= before);
    }

    /// Closes the idle connections of upstreams that this daemon no longer owns.
    pub fn keep_only<F>(&self, keep: F)
    where
        F: Fn(UpstreamKey) -> bool,
    {
        self.pools.lock().retain(|upstream, _| keep(*upstream));
    }

    fn pop(&self, upstream: UpstreamKey) -> Option<Idle> {
        let now = self.clock.now();
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(&upstream)?;
        pool.idle
            .retain(|idle| now.saturating_sub(idle.since) < IDLE_MAX);
        pool.idle.pop()
    }

    fn push(&self, upstream: UpstreamKey, link: Link, born: Duration) {
        let mut pools = self.pools.lock();
        let pool = pools.entry(upstream).or_default();
        if born >= pool.retired_before && pool.idle.len() < IDLE_PER_UPSTREAM {
            pool.idle.push(Idle {
                link,
                born,
                since: self.clock.now(),
            });
        }
    }

    fn wrap(
        self: &Arc<Self>,
        upstream: UpstreamKey,
        link: Link,
        born: Duration,
        reused: bool,
    ) -> Checkout<C> {
        Checkout {
            upstreams: self.clone(),
            upstream,
            link,
            born,
            reused,
        }
    }
}

impl<C> Checkout<C>
where
    C: Clock,
{
    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, Failed> {
        self.link
            .sender
            .try_send_request(request)
            .await
            .map_err(|mut failed| {
                let unsent = failed.take_message();
                let error = match unsent {
                    Some(_) => UpstreamError::NotSent,
                    None => UpstreamError::Broken(failed.into_error().to_string()),
                };
                Failed { error, unsent }
            })
    }

    /// Returns the connection to its pool after a whole response.
    pub fn release(self) {
        if !self.link.sender.is_closed() {
            self.upstreams.push(self.upstream, self.link, self.born);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Link, UpstreamError> {
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
    Ok(Link { sender, task })
}

/// Requests the health endpoint on a new connection.
pub async fn probe(address: SocketAddr) -> bool {
    let exchange = async {
        let mut link = connect(address).await.ok()?;
        let request = Request::get("/health").body(crate::body::empty()).ok()?;
        let response = link.sender.send_request(request).await.ok()?;
        Some(response.status().is_success())
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, exchange).await;
    answer.ok().flatten().unwrap_or(false)
}
