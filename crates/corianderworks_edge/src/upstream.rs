//! Exchanges with backend servers and their kept connections.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use corianderworks_decision::edge::routes::Idempotency;
use corianderworks_platform::headers;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::http1::{
    BodyDecoder, Decoded, Framing, RequestHead, ResponseHead, put_header, take_response_head,
};

/// Time to open a connection. Backend servers take about 1 ms; a lost packet is sent again
/// after 1 s, and another server is the better choice by then.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the kernel gives up a connection whose peer acknowledges nothing.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time for which a connection is kept if the server announces no timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_millis(4_000);
/// Part of the announced timeout for which a connection is kept. The server may close it
/// while a request is on its way, and a request that may not run twice is lost then.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// Part of that time for requests that may run once only.
const IDLE_TIMEOUT_SHARE_NON_IDEMPOTENT: f64 = 0.5;
/// Responses to other requests that are skipped before the connection is given up.
const MISMATCHED_RESPONSES_MAX: usize = 3;
/// Largest response that is held back until it is complete, in bytes. Until then another
/// server can still answer in place of one that breaks off.
const BUFFERED_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Request as it goes to a backend server.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Head as received from the caller.
    pub head: Arc<RequestHead>,
    /// Complete body.
    pub body: Bytes,
    /// Id of the request, echoed by the server.
    pub request_id: Option<Bytes>,
    /// Whether the request may run more than once.
    pub request_idempotency: Idempotency,
}

/// Server that a request goes to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the server's run.
    pub id: Arc<str>,
    /// Address.
    pub address: SocketAddr,
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body.
    Complete(Bytes),
    /// First part of a long body; the rest follows on the connection.
    Partial(Bytes, BodyStream),
}

/// Response of a backend server.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: ResponseBody,
}

/// Result of an exchange.
#[derive(Debug)]
pub enum ExchangeResult {
    /// A response that belongs to the request.
    Response(UpstreamResponse),
    /// Nothing was sent.
    NotSent(io::Error),
    /// The request was sent and has no usable response.
    Unknown(ResponseError),
}

/// Why a request that was sent has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The server closed a kept connection before it sent anything.
    #[error("kept connection closed without a response")]
    ReusedConnectionClosed,
    /// The connection ended within a message.
    #[error("connection closed within the response")]
    UnexpectedEof,
    /// The bytes are no response.
    #[error("malformed response")]
    Malformed,
    /// All responses on the connection belong to other requests.
    #[error("response to another request")]
    MismatchedResponse,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// Kept connections by server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes connections that were idle for too long.
    pub fn close_idle(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, list| {
            list.retain(|c| now.duration_since(c.idle_since) < c.idle_timeout);
            !list.is_empty()
        });
    }

    /// Sends a request and returns the response or why there is none.
    pub async fn exchange(
        &self,
        outgoing: &OutgoingRequest,
        target: &Target,
        time_left: Duration,
    ) -> ExchangeResult {
        let request = encode(outgoing, target, time_left);
        loop {
            let mut connection = match self.take_idle(target.address, outgoing.request_idempotency)
            {
                Some(connection) => connection,
                None => match connect(target.address).await {
                    Ok(connection) => connection,
                    Err(error) => return ExchangeResult::NotSent(error),
                },
            };
            match send_and_receive(&mut connection, &request, outgoing).await {
                // Nothing of the request left this VM; a new connection may do.
                Err(SendError::NothingSent(_)) if connection.reused => continue,
                Err(SendError::NothingSent(error)) => return ExchangeResult::NotSent(error),
                Err(SendError::ResponseError(response_error)) => {
                    return ExchangeResult::Unknown(response_error);
                }
                Ok(received) => {
                    return self
                        .receive_body(connection, target.address, received)
                        .await;
                }
            }
        }
    }

    async fn receive_body(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        received: ReceivedHead,
    ) -> ExchangeResult {
        let mut decoder = BodyDecoder::new(received.head.framing);
        let mut body = BytesMut::new();
        loop {
            match next_part(&mut connection, &mut decoder).await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => break,
                Err(response_error) => return ExchangeResult::Unknown(response_error),
            }
            if body.len() > BUFFERED_BODY_MAX_BYTES {
                let stream = BodyStream {
                    connection,
                    decoder,
                };
                let body = ResponseBody::Partial(body.freeze(), stream);
                let head = received.head;
                return ExchangeResult::Response(UpstreamResponse { head, body });
            }
        }
        if received.request_complete && received.head.keep_alive && connection.buffer.is_empty() {
            self.return_connection(connection, address, &received.head);
        }
        ExchangeResult::Response(UpstreamResponse {
            head: received.head,
            body: ResponseBody::Complete(body.freeze()),
        })
    }

    fn return_connection(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        head: &ResponseHead,
    ) {
        connection.reused = true;
        let idle = IdleConnection {
            connection,
            idle_since: Instant::now(),
            idle_timeout: keep_alive_timeout(head)
                .map_or(IDLE_TIMEOUT_DEFAULT, |t| t.mul_f64(IDLE_TIMEOUT_SHARE)),
        };
        self.idle.lock().entry(address).or_default().push(idle);
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        request_idempotency: Idempotency,
    ) -> Option<Connection> {
        let part = match request_idempotency {
            Idempotency::Idempotent => 1.0,
            Idempotency::NonIdempotent => IDLE_TIMEOUT_SHARE_NON_IDEMPOTENT,
        };
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        while let Some(entry) = list.pop() {
            let idle_for = entry.idle_since.elapsed();
            if idle_for < entry.idle_timeout.mul_f64(part) && is_reusable(&entry.connection.stream)
            {
                return Some(entry.connection);
            }
        }
        None
    }
}

/// Whether an idle connection is open and has no bytes to read.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    matches!(stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.text("keep-alive")?;
    let parameters = value.split(',').filter_map(|p| p.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds = timeouts.next()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(Connection {
        stream,
        buffer: BytesMut::new(),
        reused: false,
    })
}

fn encode(outgoing: &OutgoingRequest, target: &Target, time_left: Duration) -> Bytes {
    let head = &outgoing.head;
    let mut out = BytesMut::with_capacity(512 + outgoing.body.len());
    out.extend_from_slice(head.method.as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    let overridden = [
        headers::DEADLINE_MS,
        headers::EXPECTED_SERVER,
        "content-length",
    ];
    for header in head.headers.end_to_end() {
        if !overridden.iter().any(|name| header.name == name.as_bytes()) {
            put_header(&mut out, &header.name, &header.value);
        }
    }
    let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    let mut number = itoa::Buffer::new();
    put_header(
        &mut out,
        headers::DEADLINE_MS.as_bytes(),
        number.format(left_ms).as_bytes(),
    );
    put_header(
        &mut out,
        headers::EXPECTED_SERVER.as_bytes(),
        target.id.as_bytes(),
    );
    if head.framing != Framing::Empty {
        let length = number.format(outgoing.body.len());
        put_header(&mut out, b"content-length", length.as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&outgoing.body);
    out.freeze()
}

enum SendError {
    NothingSent(io::Error),
    ResponseError(ResponseError),
}

struct ReceivedHead {
    head: ResponseHead,
    /// Whether all of the request was written before the response came.
    request_complete: bool,
}

/// Writes the request and reads the head of its response at the same time, because a
/// server may respond before it has read the body.
async fn send_and_receive(
    connection: &mut Connection,
    request: &Bytes,
    outgoing: &OutgoingRequest,
) -> Result<ReceivedHead, SendError> {
    let reused = connection.reused;
    let mut request = request.clone();
    let first = connection
        .stream
        .write(&request)
        .await
        .map_err(SendError::NothingSent)?;
    bytes::Buf::advance(&mut request, first);
    let (mut reader, mut writer) = connection.stream.split();
    let buffer = &mut connection.buffer;
    let mut mismatched = 0;
    let mut any_received = false;
    let mut write_failed = false;
    loop {
        let parsed = take_response_head(buffer, &outgoing.head.method)
            .map_err(|_| SendError::ResponseError(ResponseError::Malformed))?;
        match parsed {
            Some(head) if (100..200).contains(&head.status) => continue,
            Some(head) if matches_request(&head, outgoing, reused || mismatched > 0) => {
                let request_complete = request.is_empty() && !write_failed;
                return Ok(ReceivedHead {
                    head,
                    request_complete,
                });
            }
            Some(head) => {
                mismatched += 1;
                if mismatched > MISMATCHED_RESPONSES_MAX || head.framing == Framing::UntilClose {
                    return Err(SendError::ResponseError(ResponseError::MismatchedResponse));
                }
                skip_body(&mut reader, buffer, head.framing)
                    .await
                    .map_err(SendError::ResponseError)?;
                continue;
            }
            None => {}
        }
        tokio::select! {
            read = reader.read_buf(buffer) => match read {
                Ok(0) if !any_received && reused => {
                    return Err(SendError::ResponseError(ResponseError::ReusedConnectionClosed));
                }
                Ok(0) => return Err(SendError::ResponseError(ResponseError::UnexpectedEof)),
                Ok(_) => any_received = true,
                Err(error) => return Err(SendError::ResponseError(error.into())),
            },
            written = writer.write_buf(&mut request), if !request.is_empty() => {
                // A server that has responded may have stopped reading; its response counts.
                if let Err(error) = written {
                    tracing::debug!(%error, "upstream: request not written completely");
                    request = Bytes::new();
                    write_failed = true;
                }
            }
        }
    }
}

/// Whether a response belongs to the request. On a new connection nothing else can
/// precede it, so an absent id is accepted there.
fn matches_request(head: &ResponseHead, outgoing: &OutgoingRequest, id_required: bool) -> bool {
    match (head.headers.get(headers::REQUEST_ID), &outgoing.request_id) {
        (Some(echoed), Some(id)) => echoed == &id[..],
        (Some(_), None) => false,
        (None, _) => !id_required,
    }
}

async fn skip_body<R>(
    reader: &mut R,
    buffer: &mut BytesMut,
    framing: Framing,
) -> Result<(), ResponseError>
where
    R: tokio::io::AsyncRead + Unpin,
{
    let mut decoder = BodyDecoder::new(framing);
    loop {
        match decoder
            .decode(buffer)
            .map_err(|_| ResponseError::Malformed)?
        {
            Decoded::End => return Ok(()),
            Decoded::Data(_) => {}
            Decoded::NeedMore => {
                if reader.read_buf(buffer).await? == 0 {
                    return Err(ResponseError::UnexpectedEof);
                }
            }
        }
    }
}

async fn next_part(
    connection: &mut Connection,
    decoder: &mut BodyDecoder,
) -> Result<Option<Bytes>, ResponseError> {
    loop {
        match decoder
            .decode(&mut connection.buffer)
            .map_err(|_| ResponseError::Malformed)?
        {
            Decoded::End => return Ok(None),
            Decoded::Data(data) => return Ok(Some(data)),
            Decoded::NeedMore => {
                connection.buffer.reserve(READ_BUFFER_BYTES);
                if connection.stream.read_buf(&mut connection.buffer).await? == 0 {
                    return match decoder.ends_at_close() {
                        true => Ok(None),
                        false => Err(ResponseError::UnexpectedEof),
                    };
                }
            }
        }
    }
}

/// Rest of a long body. Dropping it closes the connection.
#[derive(Debug)]
pub struct BodyStream {
    connection: Connection,
    decoder: BodyDecoder,
}

impl BodyStream {
    /// Returns the next part, or nothing at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ResponseError> {
        next_part(&mut self.connection, &mut self.decoder).await
    }
}
