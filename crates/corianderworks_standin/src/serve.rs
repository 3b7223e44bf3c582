//! HTTP/1.1 and HTTP/2 server that can stop responding on selected connections,
//! as if the host or the network path had failed.

use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Response body type shared by all handlers.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Error with which a handler closes the connection instead of responding.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in closed the connection without a response")]
pub(crate) struct ConnectionClosed;

/// Request handler of a [`Server`].
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response to one request; `Err` closes the connection.
    fn handle(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, ConnectionClosed>> + Send;
}

/// State of an accepted connection, shared by its I/O and its requests.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Remote address of the client.
    pub(crate) peer: SocketAddr,
    silent: AtomicBool,
    http2: AtomicBool,
    go_away: Notify,
    requests: AtomicU64,
    /// Notified after each response, which releases the responses held back to
    /// reorder them.
    pub(crate) responded: Notify,
}

impl Connection {
    /// Counts a request and returns its zero-based index on the connection.
    pub(crate) fn count_request(&self, version: http::Version) -> u64 {
        if version == http::Version::HTTP_2 {
            self.http2.store(true, Ordering::Relaxed);
        }
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether an HTTP/2 request was received on the connection.
    pub(crate) fn is_http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }
}

/// Limits on the connections of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Maximum number of open connections; further ones are closed immediately.
    pub(crate) connections: usize,
    /// Delay before the first byte of a new connection is read.
    pub(crate) connect_delay: Duration,
}

/// Connection with the handle of the task that serves it.
type ConnectionTask = (Arc<Connection>, JoinHandle<()>);

#[derive(Debug)]
struct ServerState {
    limits: Limits,
    next_id: AtomicU64,
    connections: Mutex<HashMap<u64, ConnectionTask>>,
    vm_lost: AtomicBool,
    unreachable_from: Mutex<HashSet<IpAddr>>,
    peak_connections: AtomicUsize,
    refused_connections: AtomicU64,
    accepted_connections: AtomicU64,
}

/// Listening server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    state: Arc<ServerState>,
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Binds the address and serves until [`Server::stop`] or drop.
    pub(crate) async fn start<H>(
        address: SocketAddr,
        limits: Limits,
        handler: Arc<H>,
    ) -> io::Result<Self>
    where
        H: Handler,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState {
            limits,
            next_id: AtomicU64::new(0),
            connections: Mutex::default(),
            vm_lost: AtomicBool::new(false),
            unreachable_from: Mutex::default(),
            peak_connections: AtomicUsize::new(0),
            refused_connections: AtomicU64::new(0),
            accepted_connections: AtomicU64::new(0),
        });
        let accept_task = tokio::spawn(accept_loop(listener, state.clone(), handler));
        Ok(Self {
            address,
            state,
            accept_task: Mutex::new(Some(accept_task)),
        })
    }

    /// Bound address, with the actual port if port 0 was requested.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections, excluding silent ones.
    pub(crate) fn open_connections(&self) -> usize {
        self.state.open_connections()
    }

    /// Highest number of connections that were open at the same time.
    pub(crate) fn peak_connections(&self) -> usize {
        self.state.peak_connections.load(Ordering::Relaxed)
    }

    /// Number of connections closed immediately because of the connection limit.
    pub(crate) fn refused_connections(&self) -> u64 {
        self.state.refused_connections.load(Ordering::Relaxed)
    }

    /// Number of connections accepted within the connection limit.
    pub(crate) fn accepted_connections(&self) -> u64 {
        self.state.accepted_connections.load(Ordering::Relaxed)
    }

    /// Stops all traffic on every open connection permanently; new connections
    /// work.
    pub(crate) fn silence_connections(&self) {
        for (connection, _) in self.state.connections.lock().values() {
            connection.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Simulates a lost VM: silences all open connections and, while set, all new
    /// ones.
    pub(crate) fn set_vm_lost(&self, vm_lost: bool) {
        self.state.vm_lost.store(vm_lost, Ordering::Relaxed);
        if vm_lost {
            self.silence_connections();
        }
    }

    /// Replaces the set of clients that cannot reach the server: their open
    /// connections become silent permanently and their new ones start silent.
    pub(crate) fn set_unreachable_from(&self, clients: HashSet<IpAddr>) {
        *self.state.unreachable_from.lock() = clients.clone();
        for (connection, _) in self.state.connections.lock().values() {
            if clients.contains(&connection.peer.ip()) {
                connection.silent.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Sends GOAWAY on every HTTP/2 connection. HTTP/1.1 connections end with
    /// `connection: close` on their next response instead, because closing an idle
    /// connection could lose a request that is already in transit.
    pub(crate) fn go_away(&self) {
        for (connection, _) in self.state.connections.lock().values() {
            connection.go_away.notify_one();
        }
    }

    /// Closes the listener and aborts every connection.
    pub(crate) async fn stop(&self) {
        let accept_task = self.accept_task.lock().take();
        if let Some(accept_task) = accept_task {
            accept_task.abort();
            let _ = accept_task.await;
        }
        let open_connections: Vec<_> = self.state.connections.lock().drain().collect();
        for (_, (_, task)) in open_connections {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(accept_task) = self.accept_task.lock().take() {
            accept_task.abort();
        }
        for (_, (_, task)) in self.state.connections.lock().drain() {
            task.abort();
        }
    }
}

impl ServerState {
    fn is_unreachable_from(&self, client: IpAddr) -> bool {
        self.vm_lost.load(Ordering::Relaxed) || self.unreachable_from.lock().contains(&client)
    }

    fn open_connections(&self) -> usize {
        let connections = self.connections.lock();
        connections
            .values()
            .filter(|(c, _)| !c.silent.load(Ordering::Relaxed))
            .count()
    }
}

async fn accept_loop<H: Handler>(listener: TcpListener, state: Arc<ServerState>, handler: Arc<H>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Without a pause, the loop would spin while accept fails because the
            // process has no free file descriptors.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let open_connections = state.open_connections();
        if open_connections >= state.limits.connections {
            state.refused_connections.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        state.accepted_connections.fetch_add(1, Ordering::Relaxed);
        state
            .peak_connections
            .fetch_max(open_connections + 1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let id = state.next_id.fetch_add(1, Ordering::Relaxed);
        // `set_vm_lost` and `set_unreachable_from` silence the connections in the
        // map. The silent state is therefore read and the connection inserted
        // under one lock, so that no change falls between the two.
        let mut connections = state.connections.lock();
        let connection = Arc::new(Connection {
            peer,
            silent: AtomicBool::new(state.is_unreachable_from(peer.ip())),
            http2: AtomicBool::new(false),
            go_away: Notify::new(),
            requests: AtomicU64::new(0),
            responded: Notify::new(),
        });
        let task = tokio::spawn(serve_connection(
            id,
            stream,
            connection.clone(),
            state.clone(),
            handler.clone(),
        ));
        connections.insert(id, (connection, task));
    }
}

async fn serve_connection<H: Handler>(
    id: u64,
    stream: TcpStream,
    connection: Arc<Connection>,
    state: Arc<ServerState>,
    handler: Arc<H>,
) {
    if !state.limits.connect_delay.is_zero() {
        tokio::time::sleep(state.limits.connect_delay).await;
    }
    let io = TokioIo::new(SilentIo {
        stream,
        connection: connection.clone(),
    });
    let service = service_fn(|request| {
        let (handler, connection) = (handler.clone(), connection.clone());
        async move { handler.handle(connection, request).await }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().header_read_timeout(None);
    builder.http2().max_concurrent_streams(1024);
    let connection_future = builder.serve_connection(io, service);
    tokio::pin!(connection_future);
    loop {
        tokio::select! {
            _ = connection_future.as_mut() => break,
            () = connection.go_away.notified() => {
                if connection.is_http2() {
                    connection_future.as_mut().graceful_shutdown();
                }
            }
        }
    }
    state.connections.lock().remove(&id);
}

/// TCP stream that discards all data in both directions once its connection is
/// silent.
struct SilentIo {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl SilentIo {
    fn is_silent(&self) -> bool {
        self.connection.silent.load(Ordering::Relaxed)
    }
}

impl AsyncRead for SilentIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_silent() {
            let filled = buf.filled().len();
            let result = Pin::new(&mut self.stream).poll_read(cx, buf);
            if !self.is_silent() {
                return result;
            }
            buf.set_filled(filled);
        }
        // Received bytes are read and discarded, so that the socket is still freed
        // when the client closes the connection.
        let mut scratch = [0; 4096];
        loop {
            let mut scratch = ReadBuf::new(&mut scratch);
            match Pin::new(&mut self.stream).poll_read(cx, &mut scratch) {
                Poll::Ready(Ok(())) if !scratch.filled().is_empty() => {}
                other => return other,
            }
        }
    }
}

impl AsyncWrite for SilentIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            // A silent connection must not send a FIN either.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Builds a response whose body is sent in full.
pub(crate) fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Builds a response with the value serialised as JSON.
pub(crate) fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = full_response(status, bytes);
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns the value of a query parameter, without percent-decoding.
pub(crate) fn query_parameter<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
