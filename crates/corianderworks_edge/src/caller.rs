//! HTTP/1.1 server for callers.
//!
//! Pipelined requests are processed concurrently; their responses are written in the order of the
//! requests. The connection is read all the time, so that the requests of a caller that
//! disconnects are aborted.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use corianderworks_decision::edge::fleet::DaemonStatus;
use corianderworks_decision::edge::routes::CallerLimits;
use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::body_memory::BodyMemoryGuard;
use crate::forward::{CallerRequest, forward_request, reply_without_attempt};
use crate::http1::{
    BodyDecoder, Decoded, Framing, MessageError, RequestHead, contains_head_end, take_request_head,
};
use crate::reason::Reason;
use crate::reply::{Encoded, Reply, RestFraming, encode_chunk};
use crate::state::{Edge, Lifecycle, RequestGuard};

/// Capacity of the queue of pending responses of a connection; limits its concurrent requests.
const PIPELINED_REQUESTS_MAX: usize = 32;
/// Time for which a connection is still read after its sending side was closed. Closing it with
/// unread data would reset it, possibly before the caller has read the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which the kernel closes a connection whose caller doesn't acknowledge sent data.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Space reserved in the read buffer of a connection before each read, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Time for which an idle connection is still read after the daemon has stopped accepting. A request
/// may have arrived that wasn't read yet, and the caller could not tell whether it ran.
const STOP_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay after a failed accept, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for which a starting daemon that isn't ready keeps its port closed. A caller whose
/// connection is refused tries another daemon at once, whereas one that gets a 503 has to wait. If
/// neither the store nor a peer is reachable, a response that states the reason is better.
const OPEN_DELAY_MAX: Duration = Duration::from_millis(1_000);
/// Interval at which a starting daemon checks whether it is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Starts to listen on a bound socket when the daemon is ready, at the latest after
/// `OPEN_DELAY_MAX`, and accepts connections.
///
/// # Errors
///
/// Fails if the socket can't listen.
pub async fn open_when_ready(edge: Arc<Edge>, socket: TcpSocket) -> io::Result<()> {
    let open_by = Instant::now() + OPEN_DELAY_MAX;
    while edge.status() != DaemonStatus::Ready && Instant::now() < open_by {
        sleep(READY_CHECK_INTERVAL).await;
    }
    let listener = socket.listen(LISTEN_BACKLOG)?;
    tracing::info!(ready = edge.is_ready(), "caller: port open");
    accept(edge, listener).await;
    Ok(())
}

/// Accepts connections until the daemon is stopping and no longer accepts any. A task per
/// connection serves its requests and continues after the return.
pub async fn accept(edge: Arc<Edge>, listener: TcpListener) {
    let mut life = edge.subscribe_lifecycle();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = life.wait_for(|l| closes_listener(*l)) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(edge.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "caller: accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = accept_established(&edge, listener) {
        tracing::warn!(%error, "caller: established connections not accepted");
    }
}

/// Accepts the connections that the kernel has already established. Closing the listener would reset
/// them, after their callers may have sent requests.
fn accept_established(edge: &Arc<Edge>, listener: TcpListener) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                tokio::spawn(serve(edge.clone(), TcpStream::from_std(stream)?));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

fn closes_listener(life: Lifecycle) -> bool {
    matches!(life, Lifecycle::Stopping(Phase::Finishing | Phase::Exit))
}

/// Response to a request that is in flight until the response is written.
struct Answer {
    reply: Reply,
    request: Option<RequestGuard>,
}

/// Response that is written when those to all earlier requests are written.
struct PendingReply {
    answer: JoinHandle<Answer>,
    /// Whether the connection is closed after this response.
    close: bool,
}

/// Aborts the task of a request on drop.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn serve(edge: Arc<Edge>, stream: TcpStream) {
    if let Err(error) = set_socket_options(&stream) {
        tracing::debug!(%error, "caller: cannot set socket options");
        return;
    }
    let (reader, writer) = stream.into_split();
    let (pending, pending_receiver) = mpsc::channel(PIPELINED_REQUESTS_MAX);
    // Set by the writer when no further requests are answered on this connection.
    let (closing, closing_receiver) = watch::channel(false);
    let write_task = tokio::spawn(write_replies(
        edge.clone(),
        writer,
        pending_receiver,
        closing,
    ));
    let mut request_reader = RequestReader {
        life: edge.subscribe_lifecycle(),
        edge,
        reader,
        buffer: BytesMut::with_capacity(READ_BUFFER_BYTES),
        pending,
        tasks: Vec::new(),
        closing: closing_receiver,
    };
    match request_reader.run().await {
        // Pending responses are still written.
        ReadEnd::Finish => {
            let RequestReader {
                reader,
                pending,
                tasks,
                ..
            } = request_reader;
            drop(pending);
            finish(reader, write_task).await;
            drop(tasks);
        }
        ReadEnd::CallerLeft => write_task.abort(),
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Waits until all responses are written, closes the sending side, then reads until the caller
/// closes the connection.
async fn finish(mut reader: OwnedReadHalf, mut write_task: JoinHandle<Option<OwnedWriteHalf>>) {
    let mut discarded = [0; 1024];
    let writer = loop {
        tokio::select! {
            writer = &mut write_task => break writer.ok().flatten(),
            read = reader.read(&mut discarded) => if !matches!(read, Ok(1..)) {
                write_task.abort();
                return;
            }
        }
    };
    let Some(mut writer) = writer else { return };
    if writer.shutdown().await.is_err() {
        return;
    }
    let rest = async { while matches!(reader.read(&mut discarded).await, Ok(1..)) {} };
    // A caller that doesn't close the connection is disconnected after the timeout.
    let _ = timeout(LINGER_TIMEOUT, rest).await;
}

enum ReadEnd {
    /// No further requests are read; pending responses are still written.
    Finish,
    /// The caller closed the connection, or writing to it failed.
    CallerLeft,
}

enum FillResult {
    More,
    Closed,
    TimedOut,
    Stop,
}

struct RequestReader {
    edge: Arc<Edge>,
    reader: OwnedReadHalf,
    buffer: BytesMut,
    pending: mpsc::Sender<PendingReply>,
    tasks: Vec<AbortOnDrop>,
    life: watch::Receiver<Lifecycle>,
    closing: watch::Receiver<bool>,
}

impl RequestReader {
    async fn run(&mut self) -> ReadEnd {
        let mut head_deadline: Option<Instant> = None;
        loop {
            let limits = self.limits();
            match take_request_head(&mut self.buffer, limits.header_bytes) {
                Ok(Some(head)) => {
                    head_deadline = None;
                    if let Some(end) = self.request(head, limits).await {
                        return end;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    let reason = match error {
                        MessageError::HeadTooLarge => Reason::HeadTooLarge,
                        MessageError::Malformed => Reason::Malformed,
                    };
                    return self.reject(reason, None).await;
                }
            }
            self.tasks.retain(|t| !t.0.is_finished());
            let head_started = !self.buffer.is_empty();
            let now = Instant::now();
            let deadline = match (head_started, self.tasks.is_empty()) {
                (true, _) => *head_deadline.get_or_insert(now + limits.header_timeout),
                (false, _) => now + limits.idle_timeout,
            };
            match self.fill_buffer(deadline, !head_started).await {
                FillResult::More => {}
                FillResult::Closed => return ReadEnd::CallerLeft,
                FillResult::Stop => {
                    let deadline = Instant::now() + STOP_READ_TIMEOUT;
                    if !matches!(self.fill_buffer(deadline, false).await, FillResult::More) {
                        return ReadEnd::Finish;
                    }
                }
                FillResult::TimedOut if head_started => {
                    return self.reject(Reason::SlowRequest, None).await;
                }
                FillResult::TimedOut => {
                    self.tasks.retain(|t| !t.0.is_finished());
                    if self.tasks.is_empty() {
                        return ReadEnd::Finish;
                    }
                }
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        self.edge
            .configuration()
            .map_or_else(CallerLimits::default, |c| c.limits)
    }

    /// Reads more data into the buffer. With `may_stop`, also returns when the daemon no longer
    /// accepts connections or the writer answers no further requests.
    async fn fill_buffer(&mut self, deadline: Instant, may_stop: bool) -> FillResult {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let stop_requested = async {
            tokio::select! {
                _ = self.life.wait_for(|l| closes_listener(*l)) => {}
                _ = self.closing.wait_for(|c| *c) => {}
            }
        };
        tokio::select! {
            biased;
            read = self.reader.read_buf(&mut self.buffer) => match read {
                Ok(0) => FillResult::Closed,
                Ok(_) => FillResult::More,
                Err(error) => {
                    tracing::debug!(%error, "caller: connection failed");
                    FillResult::Closed
                }
            },
            () = stop_requested, if may_stop => FillResult::Stop,
            () = sleep_until(deadline) => FillResult::TimedOut,
        }
    }

    /// Reads the body of a request and starts a task that forwards the request.
    async fn request(&mut self, head: RequestHead, limits: CallerLimits) -> Option<ReadEnd> {
        let received_at = Instant::now();
        let guard = self.edge.start_request();
        let id = head
            .headers
            .get(headers::REQUEST_ID)
            .map(Bytes::copy_from_slice);
        if head.headers.has_token("expect", "100-continue") {
            // Goes through the queue, so that it doesn't precede responses to earlier requests.
            let pending = PendingReply {
                answer: tokio::spawn(async {
                    Answer {
                        reply: Reply::Continue,
                        request: None,
                    }
                }),
                close: false,
            };
            if self.pending.send(pending).await.is_err() {
                return Some(ReadEnd::CallerLeft);
            }
        }
        let (body, reservation) = match self.body(&head, limits).await {
            Ok(body) => body,
            Err(BodyError::CallerLeft) => return Some(ReadEnd::CallerLeft),
            Err(BodyError::Reject(reason)) => return Some(self.reject(reason, id).await),
        };
        if *self.closing.borrow() {
            return Some(ReadEnd::Finish);
        }
        let keep_alive = head.keep_alive;
        let request = CallerRequest {
            head: Arc::new(head),
            body,
            received_at,
        };
        let edge = self.edge.clone();
        let answer = tokio::spawn(async move {
            let reply = forward_request(edge, request).await;
            drop(reservation);
            Answer {
                reply,
                request: Some(guard),
            }
        });
        self.tasks.push(AbortOnDrop(answer.abort_handle()));
        let close = !keep_alive || self.stop_ends_connection();
        // Applies backpressure: waits while the queue of pending responses is full.
        if self
            .pending
            .send(PendingReply { answer, close })
            .await
            .is_err()
        {
            return Some(ReadEnd::CallerLeft);
        }
        close.then_some(ReadEnd::Finish)
    }

    /// Whether the daemon is stopping and reads no request after the current one. Until it stops
    /// accepting connections, it still takes requests that have arrived together with this one. The
    /// caller sends later ones again, because they are behind a response that closes the connection.
    fn stop_ends_connection(&self) -> bool {
        match self.edge.lifecycle() {
            Lifecycle::Serving => false,
            Lifecycle::Stopping(Phase::Accepting) => !contains_head_end(&self.buffer),
            Lifecycle::Stopping(Phase::Finishing | Phase::Exit) => true,
        }
    }

    async fn body(
        &mut self,
        head: &RequestHead,
        limits: CallerLimits,
    ) -> Result<(Bytes, Option<BodyMemoryGuard>), BodyError> {
        let declared_length = match head.framing {
            Framing::Empty | Framing::UntilClose => return Ok((Bytes::new(), None)),
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Chunked => 0,
        };
        if declared_length > limits.body_bytes {
            return Err(BodyError::Reject(Reason::BodyTooLarge));
        }
        let mut reservation = self.edge.reserve_body_memory(declared_length);
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            if reservation.is_none() {
                return Err(BodyError::Reject(Reason::BodyMemory));
            }
            match decoder.decode(&mut self.buffer) {
                Err(_) => return Err(BodyError::Reject(Reason::Malformed)),
                Ok(Decoded::End) => return Ok((body.freeze(), reservation)),
                Ok(Decoded::Data(data)) => {
                    body.extend_from_slice(&data);
                    if body.len() > limits.body_bytes {
                        return Err(BodyError::Reject(Reason::BodyTooLarge));
                    }
                    if head.framing == Framing::Chunked {
                        drop(reservation.take());
                        reservation = self.edge.reserve_body_memory(body.len());
                    }
                }
                Ok(Decoded::NeedMore) => {
                    match self
                        .fill_buffer(Instant::now() + limits.idle_timeout, false)
                        .await
                    {
                        FillResult::More | FillResult::Stop => {}
                        FillResult::Closed => return Err(BodyError::CallerLeft),
                        FillResult::TimedOut => return Err(BodyError::Reject(Reason::SlowRequest)),
                    }
                }
            }
        }
    }

    /// Responds with an error to a request that isn't forwarded, and closes the connection.
    async fn reject(&mut self, reason: Reason, id: Option<Bytes>) -> ReadEnd {
        let id_text = id.as_deref().map(String::from_utf8_lossy);
        tracing::info!(
            request = id_text.as_deref(),
            reason = reason.name(),
            "caller: rejected"
        );
        self.edge.metrics.request(reason, Duration::ZERO);
        let request = Some(self.edge.start_request());
        let reply = reply_without_attempt(reason, id);
        let answer = tokio::spawn(async move { Answer { reply, request } });
        let pending = PendingReply {
            answer,
            close: true,
        };
        match self.pending.send(pending).await {
            Ok(()) => ReadEnd::Finish,
            Err(_) => ReadEnd::CallerLeft,
        }
    }
}

enum BodyError {
    CallerLeft,
    Reject(Reason),
}

/// Writes responses in the order of their requests. Returns the writer when no responses are left
/// or the connection is to be closed, and nothing if it failed.
async fn write_replies(
    edge: Arc<Edge>,
    mut writer: OwnedWriteHalf,
    mut pending: mpsc::Receiver<PendingReply>,
    closing: watch::Sender<bool>,
) -> Option<OwnedWriteHalf> {
    while let Some(PendingReply { answer, close }) = pending.recv().await {
        // The task is aborted only if the caller has disconnected.
        let Answer { reply, request } = answer.await.ok()?;
        let interim = matches!(reply, Reply::Continue);
        // Requests after a response with `connection: close` are not answered, so a stopping daemon
        // closes the connection only after the last request that it has started to process, or
        // after the one that ended the reading.
        let stopping = edge.lifecycle() != Lifecycle::Serving && pending.is_empty();
        let close = (close || stopping) && !interim;
        if close {
            closing.send_replace(true);
        }
        if let Err(error) = write_reply(&mut writer, reply, close).await {
            tracing::debug!(%error, "caller: response not written");
            return None;
        }
        drop(request);
        if close {
            break;
        }
    }
    Some(writer)
}

async fn write_reply(writer: &mut OwnedWriteHalf, reply: Reply, close: bool) -> io::Result<()> {
    let Encoded {
        bytes,
        rest,
        memory,
    } = reply.encode(close);
    writer.write_all(&bytes).await?;
    drop((bytes, memory));
    let Some((mut stream, framing)) = rest else {
        return Ok(());
    };
    loop {
        // On an error the connection is closed, so the caller sees that the response is incomplete.
        let part = stream.next().await.map_err(io::Error::other)?;
        match (part, framing) {
            (Some(data), RestFraming::Length) => writer.write_all(&data).await?,
            (Some(data), RestFraming::Chunked) => writer.write_all(&encode_chunk(&data)).await?,
            (None, RestFraming::Length) => return Ok(()),
            (None, RestFraming::Chunked) => return writer.write_all(&encode_chunk(&[])).await,
        }
    }
}
