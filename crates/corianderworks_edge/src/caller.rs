//! Connections of callers.
//!
//! Pipelined requests are processed at the same time; their responses are written in the
//! order of the requests. The connection is read all the while, so that a caller who
//! leaves ends the work on its requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use corianderworks_decision::edge::routes::CallerLimits;
use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::forward::{CallerRequest, handle};
use crate::http1::{BodyDecoder, Decoded, Framing, MessageError, RequestHead, take_request_head};
use crate::reason::Reason;
use crate::reply::{Reply, RestFraming, chunk};
use crate::state::{BodyMemoryGuard, Edge, Lifecycle};

/// Requests of one connection that are processed at the same time.
const PIPELINED_MAX: usize = 32;
/// Time for which a closed connection is still read, so that unread bytes don't reset it
/// before the caller has read the last response.
const LINGER: Duration = Duration::from_millis(1_000);
/// Time after which the kernel gives up a caller that acknowledges nothing.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(10_000);
/// Read buffer, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time that a daemon without a configuration keeps its port closed. A caller whose
/// connection is refused tries another daemon at once; one that is answered 503 has to wait.
/// If the store and all neighbours stay away, a clear answer is better.
const CLOSED_MAX: Duration = Duration::from_millis(1_000);
/// Pause between checks whether the daemon can serve.
const CLOSED_CHECK: Duration = Duration::from_millis(10);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Opens the port for callers when the daemon can serve them, and accepts connections.
///
/// # Errors
///
/// Fails if the port can't be opened.
pub async fn open_when_ready(edge: Arc<Edge>, socket: TcpSocket) -> io::Result<()> {
    let closed_until = Instant::now() + CLOSED_MAX;
    while !edge.is_ready() && Instant::now() < closed_until {
        sleep(CLOSED_CHECK).await;
    }
    let listener = socket.listen(BACKLOG)?;
    tracing::info!(ready = edge.is_ready(), "caller: port open");
    accept(edge, listener).await;
    Ok(())
}

/// Accepts connections of callers until the daemon stops accepting.
pub async fn accept(edge: Arc<Edge>, listener: TcpListener) {
    let mut life = edge.subscribe_lifecycle();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = life.wait_for(|l| closes_listener(*l)) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(edge.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "caller: accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn closes_listener(life: Lifecycle) -> bool {
    matches!(life, Lifecycle::Stopping(Phase::Finishing | Phase::Exit))
}

/// A response that is due on the connection, in order.
struct Due {
    reply: JoinHandle<Reply>,
    /// Whether the connection ends after it.
    close: bool,
}

/// Ends the work on a request when it is dropped.
struct EndOnDrop(AbortHandle);

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn serve(edge: Arc<Edge>, stream: TcpStream) {
    if let Err(error) = set_options(&stream) {
        tracing::debug!(%error, "caller: socket options");
        return;
    }
    let (reader, writer) = stream.into_split();
    let (due, due_receiver) = mpsc::channel(PIPELINED_MAX);
    // Set by the writer when it has closed the connection for further requests.
    let (closing, closing_receiver) = watch::channel(false);
    let writing = tokio::spawn(write_replies(edge.clone(), writer, due_receiver, closing));
    let mut reading = Reading {
        life: edge.subscribe_lifecycle(),
        edge,
        reader,
        buffer: BytesMut::with_capacity(READ_BYTES),
        due,
        work: Vec::new(),
        closing: closing_receiver,
    };
    match reading.run().await {
        // Responses that are due are still written.
        ReadEnd::Finish => {
            let Reading {
                reader, due, work, ..
            } = reading;
            drop(due);
            finish(reader, writing).await;
            drop(work);
        }
        ReadEnd::CallerLeft => writing.abort(),
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}

/// Waits until all responses are written, then reads until the caller closes.
async fn finish(mut reader: OwnedReadHalf, mut writing: JoinHandle<Option<OwnedWriteHalf>>) {
    let mut discarded = [0; 1024];
    let writer = loop {
        tokio::select! {
            writer = &mut writing => break writer.ok().flatten(),
            read = reader.read(&mut discarded) => if !matches!(read, Ok(1..)) {
                writing.abort();
                return;
            }
        }
    };
    let Some(mut writer) = writer else { return };
    if writer.shutdown().await.is_err() {
        return;
    }
    let rest = async { while matches!(reader.read(&mut discarded).await, Ok(1..)) {} };
    // A caller that keeps sending is cut off after the linger time.
    let _ = timeout(LINGER, rest).await;
}

enum ReadEnd {
    /// No further request is read; responses that are due are written.
    Finish,
    /// The caller closed the connection.
    CallerLeft,
}

enum Fill {
    More,
    Closed,
    TimedOut,
    Stop,
}

struct Reading {
    edge: Arc<Edge>,
    reader: OwnedReadHalf,
    buffer: BytesMut,
    due: mpsc::Sender<Due>,
    work: Vec<EndOnDrop>,
    life: watch::Receiver<Lifecycle>,
    closing: watch::Receiver<bool>,
}

impl Reading {
    async fn run(&mut self) -> ReadEnd {
        let mut head_due: Option<Instant> = None;
        loop {
            let limits = self.limits();
            match take_request_head(&mut self.buffer, limits.header_bytes) {
                Ok(Some(head)) => {
                    head_due = None;
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
            self.work.retain(|w| !w.0.is_finished());
            let head_begun = !self.buffer.is_empty();
            let now = Instant::now();
            let limit = match (head_begun, self.work.is_empty()) {
                (true, _) => *head_due.get_or_insert(now + limits.header_timeout),
                (false, _) => now + limits.idle_timeout,
            };
            match self.fill(limit, !head_begun).await {
                Fill::More => {}
                Fill::Closed => return ReadEnd::CallerLeft,
                Fill::Stop => return ReadEnd::Finish,
                Fill::TimedOut if head_begun => {
                    return self.reject(Reason::SlowRequest, None).await;
                }
                Fill::TimedOut => {
                    self.work.retain(|w| !w.0.is_finished());
                    if self.work.is_empty() {
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

    /// Reads more bytes. An idle connection also ends when the daemon finishes.
    async fn fill(&mut self, limit: Instant, may_stop: bool) -> Fill {
        self.buffer.reserve(READ_BYTES);
        let stops = async {
            tokio::select! {
                _ = self.life.wait_for(|l| closes_listener(*l)) => {}
                _ = self.closing.wait_for(|c| *c) => {}
            }
        };
        tokio::select! {
            biased;
            read = self.reader.read_buf(&mut self.buffer) => match read {
                Ok(0) => Fill::Closed,
                Ok(_) => Fill::More,
                Err(error) => {
                    tracing::debug!(%error, "caller: connection failed");
                    Fill::Closed
                }
            },
            () = stops, if may_stop => Fill::Stop,
            () = sleep_until(limit) => Fill::TimedOut,
        }
    }

    /// Reads the body of a request and starts to process it.
    async fn request(&mut self, head: RequestHead, limits: CallerLimits) -> Option<ReadEnd> {
        let received = Instant::now();
        let id = head
            .headers
            .get(headers::REQUEST_ID)
            .map(Bytes::copy_from_slice);
        if head.headers.has_token("expect", "100-continue") {
            // Sent by the writer would be out of order only behind open responses.
            let due = Due {
                reply: tokio::spawn(async { Reply::Continue }),
                close: false,
            };
            if self.due.send(due).await.is_err() {
                return Some(ReadEnd::CallerLeft);
            }
        }
        let (body, memory) = match self.body(&head, limits).await {
            Ok(body) => body,
            Err(BodyEnd::CallerLeft) => return Some(ReadEnd::CallerLeft),
            Err(BodyEnd::Reject(reason)) => return Some(self.reject(reason, id).await),
        };
        if *self.closing.borrow() {
            return Some(ReadEnd::Finish);
        }
        let keep_alive = head.keep_alive;
        let request = CallerRequest {
            head: Arc::new(head),
            body,
            received,
        };
        let edge = self.edge.clone();
        let reply = tokio::spawn(async move {
            let reply = handle(edge, request).await;
            drop(memory);
            reply
        });
        self.work.push(EndOnDrop(reply.abort_handle()));
        let close = !keep_alive;
        // Waits while too many responses are due; the caller has to read first.
        if self.due.send(Due { reply, close }).await.is_err() {
            return Some(ReadEnd::CallerLeft);
        }
        close.then_some(ReadEnd::Finish)
    }

    async fn body(
        &mut self,
        head: &RequestHead,
        limits: CallerLimits,
    ) -> Result<(Bytes, Option<BodyMemoryGuard>), BodyEnd> {
        let announced = match head.framing {
            Framing::Empty | Framing::UntilClose => return Ok((Bytes::new(), None)),
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Chunked => 0,
        };
        if announced > limits.body_bytes {
            return Err(BodyEnd::Reject(Reason::BodyTooLarge));
        }
        let mut memory = self.edge.reserve_body_memory(announced);
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            if memory.is_none() {
                return Err(BodyEnd::Reject(Reason::BodyMemory));
            }
            match decoder.decode(&mut self.buffer) {
                Err(_) => return Err(BodyEnd::Reject(Reason::Malformed)),
                Ok(Decoded::End) => return Ok((body.freeze(), memory)),
                Ok(Decoded::Data(data)) => {
                    body.extend_from_slice(&data);
                    if body.len() > limits.body_bytes {
                        return Err(BodyEnd::Reject(Reason::BodyTooLarge));
                    }
                    if head.framing == Framing::Chunked {
                        drop(memory.take());
                        memory = self.edge.reserve_body_memory(body.len());
                    }
                }
                Ok(Decoded::NeedMore) => {
                    match self.fill(Instant::now() + limits.idle_timeout, false).await {
                        Fill::More | Fill::Stop => {}
                        Fill::Closed => return Err(BodyEnd::CallerLeft),
                        Fill::TimedOut => return Err(BodyEnd::Reject(Reason::SlowRequest)),
                    }
                }
            }
        }
    }

    /// Answers a request that is not processed and closes the connection.
    async fn reject(&mut self, reason: Reason, id: Option<Bytes>) -> ReadEnd {
        let id_text = id.as_deref().map(String::from_utf8_lossy);
        tracing::info!(
            request = id_text.as_deref(),
            reason = reason.name(),
            "caller: rejected"
        );
        self.edge.metrics.request(reason, Duration::ZERO);
        let reply = tokio::spawn(async move { Reply::own(reason, id) });
        match self.due.send(Due { reply, close: true }).await {
            Ok(()) => ReadEnd::Finish,
            Err(_) => ReadEnd::CallerLeft,
        }
    }
}

enum BodyEnd {
    CallerLeft,
    Reject(Reason),
}

/// Writes responses in order. Returns the connection when it has to be closed.
async fn write_replies(
    edge: Arc<Edge>,
    mut writer: OwnedWriteHalf,
    mut due: mpsc::Receiver<Due>,
    closing: watch::Sender<bool>,
) -> Option<OwnedWriteHalf> {
    while let Some(Due { reply, close }) = due.recv().await {
        // An aborted request has no caller any more.
        let reply = reply.await.ok()?;
        let interim = matches!(reply, Reply::Continue);
        // Requests behind a response that closes are not answered, so a stopping daemon
        // closes behind the last request that it has begun.
        let stopping = edge.lifecycle() != Lifecycle::Serving && due.is_empty();
        let close = (close || stopping) && !interim;
        if close {
            closing.send_replace(true);
        }
        if let Err(error) = write_reply(&mut writer, reply, close).await {
            tracing::debug!(%error, "caller: response not written");
            return None;
        }
        if close {
            break;
        }
    }
    Some(writer)
}

async fn write_reply(writer: &mut OwnedWriteHalf, reply: Reply, close: bool) -> io::Result<()> {
    let encoded = reply.encode(close);
    writer.write_all(&encoded.bytes).await?;
    let Some((mut stream, framing)) = encoded.rest else {
        return Ok(());
    };
    loop {
        // The caller sees an incomplete response if the rest does not come.
        let part = stream.next().await.map_err(io::Error::other)?;
        match (part, framing) {
            (Some(data), RestFraming::Length) => writer.write_all(&data).await?,
            (Some(data), RestFraming::Chunked) => writer.write_all(&chunk(&data)).await?,
            (None, RestFraming::Length) => return Ok(()),
            (None, RestFraming::Chunked) => return writer.write_all(&chunk(&[])).await,
        }
    }
}
