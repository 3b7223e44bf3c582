//! HTTP/1.1 and HTTP/2 server whose connections can go silent.

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

/// Body of every response of a stand-in.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The connection is closed instead of a response being sent.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in closed the connection without a response")]
pub(crate) struct Closed;

/// What a server does with each request.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request; `Err` closes the connection.
    fn handle(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Closed>> + Send;
}

/// One accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Address of the client.
    pub(crate) peer: SocketAddr,
    silent: AtomicBool,
    http2: AtomicBool,
    go_away: Notify,
    requests: AtomicU64,
    /// Signalled after each response, for responses held back on purpose.
    pub(crate) responded: Notify,
}

impl Connection {
    /// Counts a request and returns its position on the connection, from 0.
    pub(crate) fn count_request(&self, version: http::Version) -> u64 {
        if version == http::Version::HTTP_2 {
            self.http2.store(true, Ordering::Relaxed);
        }
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the client speaks HTTP/2.
    pub(crate) fn is_http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Connections served at the same time; further ones are closed at once.
    pub(crate) connections: usize,
    /// Time a new connection takes before its first byte is read.
    pub(crate) connect_delay: Duration,
}

/// Connection and the task that serves it.
type Served = (Arc<Connection>, JoinHandle<()>);

#[derive(Debug)]
struct Shared {
    limits: Limits,
    next: AtomicU64,
    connections: Mutex<HashMap<u64, Served>>,
    vanished: AtomicBool,
    unreachable_from: Mutex<HashSet<IpAddr>>,
    peak: AtomicUsize,
    refused: AtomicU64,
    accepted: AtomicU64,
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Binds the address and serves until `stop`.
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
        let shared = Arc::new(Shared {
            limits,
            next: AtomicU64::new(0),
            connections: Mutex::default(),
            vanished: AtomicBool::new(false),
            unreachable_from: Mutex::default(),
            peak: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
        });
        let accept = tokio::spawn(accept_loop(listener, shared.clone(), handler));
        Ok(Self {
            address,
            shared,
            accept: Mutex::new(Some(accept)),
        })
    }

    /// Address the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Open connections, without the silent ones.
    pub(crate) fn open(&self) -> usize {
        self.shared.open()
    }

    /// Most connections open at the same time.
    pub(crate) fn peak(&self) -> usize {
        self.shared.peak.load(Ordering::Relaxed)
    }

    /// Connections closed at once because of the cap.
    pub(crate) fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Connections accepted.
    pub(crate) fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Silences every open connection for good; new ones work.
    pub(crate) fn silence(&self) {
        for (connection, _) in self.shared.connections.lock().values() {
            connection.silent.store(true, Ordering::Relaxed);
        }
    }

    /// While set, new connections are silent as well.
    pub(crate) fn set_vanished(&self, vanished: bool) {
        self.shared.vanished.store(vanished, Ordering::Relaxed);
        if vanished {
            self.silence();
        }
    }

    /// Replaces the clients whose connections, open and new, are silent.
    pub(crate) fn set_unreachable_from(&self, clients: HashSet<IpAddr>) {
        *self.shared.unreachable_from.lock() = clients.clone();
        for (connection, _) in self.shared.connections.lock().values() {
            if clients.contains(&connection.peer.ip()) {
                connection.silent.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Sends GOAWAY on every HTTP/2 connection. HTTP/1.1 connections end with
    /// `connection: close` on their next response instead: closing an idle one
    /// could cut off a request that is on its way.
    pub(crate) fn go_away(&self) {
        for (connection, _) in self.shared.connections.lock().values() {
            connection.go_away.notify_one();
        }
    }

    /// Closes the listener and every connection at once.
    pub(crate) async fn stop(&self) {
        let accept = self.accept.lock().take();
        if let Some(accept) = accept {
            accept.abort();
            let _ = accept.await;
        }
        let open: Vec<_> = self.shared.connections.lock().drain().collect();
        for (_, (_, task)) in open {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(accept) = self.accept.lock().take() {
            accept.abort();
        }
        for (_, (_, task)) in self.shared.connections.lock().drain() {
            task.abort();
        }
    }
}

impl Shared {
    fn is_silent_for(&self, client: IpAddr) -> bool {
        self.vanished.load(Ordering::Relaxed) || self.unreachable_from.lock().contains(&client)
    }

    fn open(&self) -> usize {
        let connections = self.connections.lock();
        connections
            .values()
            .filter(|(c, _)| !c.silent.load(Ordering::Relaxed))
            .count()
    }
}

async fn accept_loop<H: Handler>(listener: TcpListener, shared: Arc<Shared>, handler: Arc<H>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors: accepting again at once would spin.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let open = shared.open();
        if open >= shared.limits.connections {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        shared.peak.fetch_max(open + 1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let id = shared.next.fetch_add(1, Ordering::Relaxed);
        // Silenced connections are found in the table, so the state is read
        // under its lock.
        let mut connections = shared.connections.lock();
        let connection = Arc::new(Connection {
            peer,
            silent: AtomicBool::new(shared.is_silent_for(peer.ip())),
            http2: AtomicBool::new(false),
            go_away: Notify::new(),
            requests: AtomicU64::new(0),
            responded: Notify::new(),
        });
        let task = tokio::spawn(serve_connection(
            id,
            stream,
            connection.clone(),
            shared.clone(),
            handler.clone(),
        ));
        connections.insert(id, (connection, task));
    }
}

async fn serve_connection<H: Handler>(
    id: u64,
    stream: TcpStream,
    connection: Arc<Connection>,
    shared: Arc<Shared>,
    handler: Arc<H>,
) {
    if !shared.limits.connect_delay.is_zero() {
        tokio::time::sleep(shared.limits.connect_delay).await;
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
    let served = builder.serve_connection(io, service);
    tokio::pin!(served);
    loop {
        tokio::select! {
            _ = served.as_mut() => break,
            () = connection.go_away.notified() => {
                if connection.is_http2() {
                    served.as_mut().graceful_shutdown();
                }
            }
        }
    }
    shared.connections.lock().remove(&id);
}

/// Stream that neither delivers nor sends anything once it is silent.
struct SilentIo {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl SilentIo {
    fn silent(&self) -> bool {
        self.connection.silent.load(Ordering::Relaxed)
    }
}

impl AsyncRead for SilentIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.silent() {
            let filled = buf.filled().len();
            let result = Pin::new(&mut self.stream).poll_read(cx, buf);
            if !self.silent() {
                return result;
            }
            buf.set_filled(filled);
        }
        // Bytes are read and dropped, so that the close by the client still
        // frees the socket.
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
        if self.silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            // Nothing may reach the client, not even the end of the stream.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Response with a whole body.
pub(crate) fn whole(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Response with a JSON body.
pub(crate) fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = whole(status, bytes);
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Value of a query parameter.
pub(crate) fn query<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
