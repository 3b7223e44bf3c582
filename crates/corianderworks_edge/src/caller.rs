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
use corianderworks_decision::edge::progress::{self, Closing};
use corianderworks_decision::edge::routes::{CallerLimits, Idempotency};
use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::account::{
    AdmittedRequest, CallerConnection, MemoryGuard, MemoryKind, PendingReplyGuard, RequestSlot,
};
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
/// Interval at which a request that waits for the earlier responses of its connection is checked.
const ADMISSION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Receive buffer of a connection whose requests wait, in bytes; the kernel doubles it. What the
/// kernel received counts as memory of the process on the platform.
const WAITING_RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
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
            Ok((stream, _)) => start(&edge, stream),
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
                start(edge, TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

/// Serves a new connection, or closes it at once if too much is held for others. Its caller then tries
/// another daemon.
fn start(edge: &Arc<Edge>, stream: TcpStream) {
    if let Some(connection) = edge.account.open_connection(edge.clock.now()) {
        tokio::spawn(serve(edge.clone(), stream, Arc::new(connection)));
    }
}

fn closes_listener(life: Lifecycle) -> bool {
    matches!(life, Lifecycle::Stopping(Phase::Finishing | Phase::Exit))
}

/// Response to a request that is in flight until the response is written.
struct Answer {
    reply: Reply,
    request: Option<RequestGuard>,
    /// Place at the server while the response is streamed.
    slot: Option<RequestSlot>,
}

/// Response that is written when those to all earlier requests are written.
struct PendingReply {
    answer: JoinHandle<Answer>,
    /// Tells the task that the response is written next.
    turn: Option<oneshot::Sender<()>>,
    _pending: PendingReplyGuard,
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

async fn serve(edge: Arc<Edge>, stream: TcpStream, connection: Arc<CallerConnection>) {
    if let Err(error) = set_socket_options(&stream) {
        tracing::debug!(%error, "caller: cannot set socket options");
        return;
    }
    let mut abort = connection.subscribe_close();
    let (reader, writer) = stream.into_split();
    let (pending, pending_receiver) = mpsc::channel(PIPELINED_REQUESTS_MAX);
    // Set by the writer when no further requests are answered on this connection.
    let (closing, closing_receiver) = watch::channel(false);
    let reply_writer = ReplyWriter {
        edge: edge.clone(),
        connection: connection.clone(),
        writer,
    };
    let mut write_task = tokio::spawn(reply_writer.run(pending_receiver, closing));
    let mut request_reader = RequestReader {
        life: edge.subscribe_lifecycle(),
        edge,
        reader,
        buffer: BytesMut::with_capacity(READ_BUFFER_BYTES),
        buffer_memory: connection.empty_guard(MemoryKind::Connection),
        pending: Some(pending),
        tasks: Vec::new(),
        closing: closing_receiver,
        close: connection.subscribe_close(),
        connection,
    };
    let aborted = tokio::select! {
        biased;
        _ = abort.wait_for(|c| *c == Some(Closing::Abort)) => true,
        () = serve_requests(&mut request_reader, &mut write_task) => false,
    };
    if aborted {
        // Resets the connection, so that the kernel drops what the caller doesn't read, and the
        // caller sees that the response is incomplete.
        let socket = socket2::SockRef::from(request_reader.reader.as_ref());
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            tracing::debug!(%error, "caller: cannot reset a connection");
        }
    }
    // Has no effect on a task that has ended.
    write_task.abort();
}

/// Reads requests until the connection ends, then waits for the responses.
async fn serve_requests(
    request_reader: &mut RequestReader,
    write_task: &mut JoinHandle<Option<OwnedWriteHalf>>,
) {
    match request_reader.run().await {
        // Pending responses are still written.
        ReadEnd::Finish => {
            request_reader.pending = None;
            finish(&mut request_reader.reader, write_task).await;
        }
        ReadEnd::CallerLeft => {}
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Waits until all responses are written, closes the sending side, then reads until the caller
/// closes the connection.
async fn finish(reader: &mut OwnedReadHalf, write_task: &mut JoinHandle<Option<OwnedWriteHalf>>) {
    let mut discarded = [0; 1024];
    let writer = loop {
        tokio::select! {
            writer = &mut *write_task => break writer.ok().flatten(),
            read = reader.read(&mut discarded) => if !matches!(read, Ok(1..)) {
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
    /// No memory is left for what the caller sends.
    NoMemory,
}

struct RequestReader {
    edge: Arc<Edge>,
    reader: OwnedReadHalf,
    buffer: BytesMut,
    /// Memory of the buffer beyond [`READ_BUFFER_BYTES`].
    buffer_memory: MemoryGuard,
    /// `None` after the last request.
    pending: Option<mpsc::Sender<PendingReply>>,
    tasks: Vec<AbortOnDrop>,
    life: watch::Receiver<Lifecycle>,
    closing: watch::Receiver<bool>,
    /// Set when the connection is closed for others.
    close: watch::Receiver<Option<Closing>>,
    connection: Arc<CallerConnection>,
}

impl RequestReader {
    async fn run(&mut self) -> ReadEnd {
        let mut head_deadline: Option<Instant> = None;
        loop {
            let limits = self.edge.caller_limits();
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
            let phase = match head_started {
                true => progress::Phase::Head,
                false => progress::Phase::Idle,
            };
            self.connection.set_reading(phase);
            let now = Instant::now();
            let stall_timeout = progress::stall_timeout(phase, &limits);
            let stalled_at = now + stall_timeout.unwrap_or(limits.idle_timeout);
            let deadline = match head_started {
                true => *head_deadline.get_or_insert(stalled_at),
                false => stalled_at,
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
                FillResult::NoMemory => return self.reject(Reason::DaemonFull, None).await,
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

    /// Reads more data into the buffer. With `may_stop`, also returns when the daemon no longer
    /// accepts connections or the writer answers no further requests. A connection that is closed
    /// for others stops as well, or counts as timed out if it can't stop.
    async fn fill_buffer(&mut self, deadline: Instant, may_stop: bool) -> FillResult {
        if self.buffer.is_empty() && self.buffer.capacity() > 2 * READ_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        self.buffer.reserve(READ_BUFFER_BYTES);
        let beyond = self.buffer.capacity().saturating_sub(READ_BUFFER_BYTES);
        if !self.buffer_memory.try_resize(beyond) {
            return FillResult::NoMemory;
        }
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
                Ok(count) => {
                    self.connection.record_progress(count);
                    FillResult::More
                }
                Err(error) => {
                    tracing::debug!(%error, "caller: connection failed");
                    FillResult::Closed
                }
            },
            () = stop_requested, if may_stop => FillResult::Stop,
            _ = self.close.wait_for(|c| *c == Some(Closing::Graceful)) => match may_stop {
                true => FillResult::Stop,
                false => FillResult::TimedOut,
            },
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
            let answer = tokio::spawn(async {
                Answer {
                    reply: Reply::Continue,
                    request: None,
                    slot: None,
                }
            });
            if !self.enqueue(answer, None, false).await {
                return Some(ReadEnd::CallerLeft);
            }
        }
        let mut head_memory = self.connection.empty_guard(MemoryKind::Connection);
        if !head_memory.try_grow(head.headers.memory_bytes()) {
            return Some(self.reject(Reason::DaemonFull, id).await);
        }
        self.connection.set_reading(progress::Phase::Body);
        let body = self.body(&head, limits).await;
        self.connection.set_reading(progress::Phase::Idle);
        let (body, reservation) = match body {
            Ok(body) => body,
            Err(BodyError::CallerLeft) => return Some(ReadEnd::CallerLeft),
            Err(BodyError::Reject(reason)) => return Some(self.reject(reason, id).await),
        };
        if *self.closing.borrow() {
            return Some(ReadEnd::Finish);
        }
        let slot = match self.wait_for_slot(&head).await {
            AdmittedRequest::Start(slot) => slot,
            AdmittedRequest::Refuse => return Some(self.reject(Reason::DaemonFull, id).await),
            AdmittedRequest::Wait => return Some(ReadEnd::CallerLeft),
        };
        let keep_alive = head.keep_alive;
        let request = CallerRequest {
            head: Arc::new(head),
            body,
            received_at,
        };
        let (edge, connection) = (self.edge.clone(), self.connection.clone());
        let (turn, turn_receiver) = oneshot::channel();
        let answer = tokio::spawn(async move {
            let mut reply = forward_request(edge, request).await;
            drop((reservation, head_memory));
            if let Reply::Upstream { response, .. } = &mut reply {
                connection.assign(&mut response.memory);
            }
            let slot = hold_stream(&mut reply, slot, turn_receiver).await;
            Answer {
                reply,
                request: Some(guard),
                slot,
            }
        });
        self.tasks.push(AbortOnDrop(answer.abort_handle()));
        let close = !keep_alive || self.stop_ends_connection();
        // Applies backpressure: waits while the queue of pending responses is full.
        if !self.enqueue(answer, Some(turn), close).await {
            return Some(ReadEnd::CallerLeft);
        }
        close.then_some(ReadEnd::Finish)
    }

    /// Waits until a request may start. Returns [`AdmittedRequest::Wait`] if the connection failed
    /// meanwhile.
    async fn wait_for_slot(&self, head: &RequestHead) -> AdmittedRequest {
        let repeatable = self.is_repeatable(head);
        let mut waits = false;
        loop {
            match self.connection.admit_request(repeatable) {
                AdmittedRequest::Wait => {}
                admitted => return admitted,
            }
            if !waits {
                waits = true;
                let socket = socket2::SockRef::from(self.reader.as_ref());
                if let Err(error) = socket.set_recv_buffer_size(WAITING_RECEIVE_BUFFER_BYTES) {
                    tracing::debug!(%error, "caller: cannot limit the receive buffer");
                }
            }
            if self.pending.as_ref().is_none_or(mpsc::Sender::is_closed) {
                return AdmittedRequest::Wait;
            }
            sleep(ADMISSION_CHECK_INTERVAL).await;
        }
    }

    /// Whether a request may run more than once, by its route.
    fn is_repeatable(&self, head: &RequestHead) -> bool {
        let configuration = self.edge.configuration();
        let host = head.headers.text("host").unwrap_or_default();
        let route = configuration
            .as_ref()
            .and_then(|c| c.route(host, head.path()));
        route.is_some_and(|r| r.idempotency == Idempotency::Idempotent)
    }

    /// Adds a response to the queue. Returns whether the writer still takes responses.
    async fn enqueue(
        &self,
        answer: JoinHandle<Answer>,
        turn: Option<oneshot::Sender<()>>,
        close: bool,
    ) -> bool {
        let pending = PendingReply {
            answer,
            turn,
            _pending: self.connection.start_reply(),
            close,
        };
        match &self.pending {
            Some(sender) => sender.send(pending).await.is_ok(),
            None => false,
        }
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
    ) -> Result<(Bytes, Option<MemoryGuard>), BodyError> {
        let declared_length = match head.framing {
            Framing::Empty | Framing::UntilClose => return Ok((Bytes::new(), None)),
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Chunked => 0,
        };
        if declared_length > limits.body_bytes {
            return Err(BodyError::Reject(Reason::BodyTooLarge));
        }
        let Some(mut reservation) = self.edge.reserve_body_memory(declared_length) else {
            return Err(BodyError::Reject(Reason::BodyMemory));
        };
        self.connection.assign(&mut reservation);
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        let stall_timeout =
            progress::stall_timeout(progress::Phase::Body, &limits).unwrap_or(limits.idle_timeout);
        loop {
            match decoder.decode(&mut self.buffer) {
                Err(_) => return Err(BodyError::Reject(Reason::Malformed)),
                Ok(Decoded::End) => return Ok((body.freeze(), Some(reservation))),
                Ok(Decoded::Data(data)) => {
                    body.extend_from_slice(&data);
                    if body.len() > limits.body_bytes {
                        return Err(BodyError::Reject(Reason::BodyTooLarge));
                    }
                    if head.framing == Framing::Chunked && !reservation.try_resize(body.len()) {
                        return Err(BodyError::Reject(Reason::BodyMemory));
                    }
                }
                Ok(Decoded::NeedMore) => {
                    match self
                        .fill_buffer(Instant::now() + stall_timeout, false)
                        .await
                    {
                        // Small chunks take much processor time; other connections get their turn.
                        FillResult::More if head.framing == Framing::Chunked => yield_now().await,
                        FillResult::More | FillResult::Stop => {}
                        FillResult::NoMemory => {
                            return Err(BodyError::Reject(Reason::DaemonFull));
                        }
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
        let answer = tokio::spawn(async move {
            Answer {
                reply,
                request,
                slot: None,
            }
        });
        match self.enqueue(answer, None, true).await {
            true => ReadEnd::Finish,
            false => ReadEnd::CallerLeft,
        }
    }
}

enum BodyError {
    CallerLeft,
    Reject(Reason),
}

/// Keeps the place at the server of a streamed response until the response is written, at most until
/// the deadline of the request: a caller that doesn't read must not hold up the server. After that
/// the response ends early.
async fn hold_stream(
    reply: &mut Reply,
    slot: RequestSlot,
    turn: oneshot::Receiver<()>,
) -> Option<RequestSlot> {
    let stream = reply.stream_mut()?;
    tokio::select! {
        _ = turn => Some(slot),
        () = sleep_until(stream.deadline()) => {
            stream.release_server();
            None
        }
    }
}

/// Writes responses in the order of their requests.
struct ReplyWriter {
    edge: Arc<Edge>,
    connection: Arc<CallerConnection>,
    writer: OwnedWriteHalf,
}

impl ReplyWriter {
    /// Returns the writer when no responses are left or the connection is to be closed, and nothing
    /// if it failed.
    async fn run(
        mut self,
        mut pending: mpsc::Receiver<PendingReply>,
        closing: watch::Sender<bool>,
    ) -> Option<OwnedWriteHalf> {
        while let Some(pending_reply) = pending.recv().await {
            let PendingReply {
                answer,
                turn,
                _pending: pending_guard,
                close,
            } = pending_reply;
            if let Some(turn) = turn {
                // Fails if the response isn't streamed.
                let _ = turn.send(());
            }
            // The task is aborted only if the caller has disconnected.
            let Answer {
                reply,
                request,
                slot,
            } = answer.await.ok()?;
            let interim = matches!(reply, Reply::Continue);
            // Requests after a response with `connection: close` are not answered, so a stopping
            // daemon closes the connection only after the last request that it has started to
            // process, or after the one that ended the reading.
            let stopping = self.edge.lifecycle() != Lifecycle::Serving && pending.is_empty();
            let close = (close || stopping) && !interim;
            if close {
                closing.send_replace(true);
            }
            let writing = self.connection.start_writing();
            if let Err(error) = self.write_reply(reply, close).await {
                tracing::debug!(%error, "caller: response not written");
                return None;
            }
            drop((writing, pending_guard, slot, request));
            if close {
                break;
            }
        }
        Some(self.writer)
    }

    async fn write_reply(&mut self, reply: Reply, close: bool) -> io::Result<()> {
        let Encoded {
            bytes,
            rest,
            memory,
        } = reply.encode(close);
        let deadline = rest.as_ref().map(|(stream, _)| stream.deadline());
        self.write_all(&bytes, deadline).await?;
        drop((bytes, memory));
        let Some((mut stream, framing)) = rest else {
            return Ok(());
        };
        loop {
            // On an error the connection is closed, so the caller sees that the response is
            // incomplete.
            let part = stream.next().await.map_err(io::Error::other)?;
            match (part, framing) {
                (Some(data), RestFraming::Length) => self.write_all(&data, deadline).await?,
                (Some(data), RestFraming::Chunked) => {
                    self.write_all(&encode_chunk(&data), deadline).await?;
                }
                (None, RestFraming::Length) => return Ok(()),
                (None, RestFraming::Chunked) => {
                    return self.write_all(&encode_chunk(&[]), deadline).await;
                }
            }
        }
    }

    /// Writes bytes. Aborts the connection if its caller takes none for the stall timeout, or not
    /// all of them by the deadline, until which a server waits for the caller.
    async fn write_all(&mut self, mut bytes: &[u8], deadline: Option<Instant>) -> io::Result<()> {
        let limits = self.edge.caller_limits();
        let stall_timeout =
            progress::stall_timeout(progress::Phase::Reply, &limits).unwrap_or(limits.idle_timeout);
        while !bytes.is_empty() {
            let stalled_at = Instant::now() + stall_timeout;
            let write_by = deadline.map_or(stalled_at, |deadline| stalled_at.min(deadline));
            let Ok(written) = timeout_at(write_by, self.writer.write(bytes)).await else {
                self.connection.abort_stalled();
                return Err(io::ErrorKind::TimedOut.into());
            };
            let written = written?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.connection.record_progress(written);
            bytes = &bytes[written..];
        }
        Ok(())
    }
}
