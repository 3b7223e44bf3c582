//! HTTP/1.1 client for backend servers, with a pool of idle connections.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use corianderworks_decision::edge::key_permission::SendPermit;
use corianderworks_decision::edge::organisations::CallerIdentity;
use corianderworks_decision::edge::routes::Idempotency;
use corianderworks_platform::headers;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::account::{Account, DescriptorGuard, MemoryGuard, MemoryKind};
use crate::http1::{
    BodyDecoder, Decoded, Framing, RequestHead, ResponseHead, put_header, take_response_head,
};

/// Timeout of opening a connection. Backend servers accept within about 1 ms. TCP retransmits a
/// lost packet only after 1 s, and by then another server is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the kernel closes a connection whose peer doesn't acknowledge sent data.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle timeout of pooled connections to servers that announce no keep-alive timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_millis(4_000);
/// Share of the server's keep-alive timeout for which an idle connection is pooled. Later, the
/// server could close it while a request is in transit, and a non-idempotent request would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// Share of the idle timeout for which a connection is reused for non-idempotent requests.
const IDLE_TIMEOUT_SHARE_NON_IDEMPOTENT: f64 = 0.5;
/// Status of a response by another server process than the expected one.
const MISDIRECTED: u16 = 421;
/// Maximum number of responses to other requests that are skipped before the connection is closed.
const MISMATCHED_RESPONSES_MAX: u32 = 3;
/// Number of requests without success after which a connection is closed, which bounds the memory for
/// their tags.
const UNSERVED_MAX: usize = 64;
/// Maximum number of interim (1xx) responses before a response.
const INTERIM_RESPONSES_MAX: usize = 16;
/// Maximum size of the body of a response to another request, which is skipped, in bytes.
const SKIPPED_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Maximum size of a body that is buffered completely before the response is forwarded, in bytes.
/// While a response is buffered, another server can still be tried if the connection breaks.
const BUFFERED_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Receive buffer of a connection whose response is streamed, in bytes; the kernel doubles it. It
/// holds the data of 50 ms on the link of the smallest VM.
const STREAM_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Space reserved in the read buffer before each read of a body, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Request to be sent to a backend server; the same for all attempts.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Head as received from the caller. Hop-by-hop headers aren't forwarded.
    pub head: Arc<RequestHead>,
    /// Body, sent with a content length even if it was received in chunks.
    pub body: Bytes,
    /// Id that the server echoes in its response; none if the caller sent no id.
    pub request_id: Option<Bytes>,
    /// Whether the request may run more than once; determines which idle connections are used.
    pub request_idempotency: Idempotency,
    /// Whom the request comes from; determines which headers of the caller are replaced.
    pub caller: CallerIdentity,
}

/// Digest of a request's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RequestTag(u64);

impl OutgoingRequest {
    fn tag(&self) -> Option<RequestTag> {
        let id = self.request_id.as_ref()?;
        Some(RequestTag(xxhash_rust::xxh3::xxh3_64(id)))
    }
}

/// Backend server that a request is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the server process, sent along so that its successor at the address refuses the
    /// request.
    pub id: Arc<str>,
    /// Address to connect to.
    pub address: SocketAddr,
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The body was received completely.
    Complete(Bytes),
    /// Start of a body that is too large to buffer, or for which no memory is left, and the stream of
    /// the rest.
    Partial(Bytes, Box<BodyStream>),
}

/// Response of a backend server.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head as received, including hop-by-hop headers.
    pub head: ResponseHead,
    /// Body, decoded from the framing in the head.
    pub body: ResponseBody,
    /// Memory that the head and the received part of the body take.
    pub memory: MemoryGuard,
}

/// Result of an exchange, and what else was seen during it.
#[derive(Debug)]
pub struct Exchange {
    /// Result of the exchange.
    pub result: ExchangeResult,
    /// What was seen on the connection.
    pub observations: Observations,
}

/// What an exchange showed besides its result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observations {
    /// Connection that the request was sent on; `None` if nothing was sent.
    pub connection: Option<ConnectionUse>,
    /// Whether the server said that it is shutting down, in any response that it sent.
    pub is_leaving: bool,
    /// Number of responses to other requests that were skipped.
    pub skipped_responses: u32,
}

/// Connection that carried a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Local port, which identifies the connection among those to the same server.
    pub local_port: u16,
    /// Whether the connection had carried other requests before.
    pub is_reused: bool,
}

/// Result of sending a request and receiving its response.
#[derive(Debug)]
pub enum ExchangeResult {
    /// A response that matches the request.
    Response(UpstreamResponse),
    /// No byte of the request was sent, so the server did not run it.
    NotSent(io::Error),
    /// At least part of the request was sent, and there is no usable response; the server may have
    /// run the request.
    Unknown(ResponseError),
}

/// Error that leaves a sent request without a usable response.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// Reading from the connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The server closed a reused connection without sending a response.
    #[error("reused connection closed without a response")]
    ReusedConnectionClosed,
    /// The server closed the connection before the end of the response.
    #[error("connection closed before the end of the response")]
    UnexpectedEof,
    /// The received bytes are not a valid response.
    #[error("malformed response")]
    Malformed,
    /// Too many responses on the connection belong to other requests, or the end of one of them
    /// can't be determined.
    #[error("response does not match the request")]
    MismatchedResponse,
    /// The deadline of the request passed before the end of the body.
    #[error("deadline passed before the end of the response")]
    DeadlinePassed,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    local_port: u16,
    buffer: BytesMut,
    reused: bool,
    /// Whether a write failed. The kernel reports the error of a reset once, so reads may end as if
    /// the server had closed the connection.
    write_failed: bool,
    /// Requests that the server refused or failed on this connection. They may be sent again, and a
    /// faulty server may repeat its response, whose id would then match.
    unserved: Vec<RequestTag>,
    _descriptor: DescriptorGuard,
}

impl Connection {
    fn connection_use(&self) -> ConnectionUse {
        ConnectionUse {
            local_port: self.local_port,
            is_reused: self.reused,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// Idle connections by server address.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Counts the connections, and the responses that are held until they are written.
    account: Arc<Account>,
}

impl ConnectionPool {
    /// Creates a pool without connections; they are added when responses are complete. Responses
    /// for which `account` has no memory left are streamed.
    pub fn new(account: Arc<Account>) -> Self {
        Self {
            idle: Mutex::default(),
            account,
        }
    }

    /// Closes the connections whose idle timeout has passed, that the server has closed, or on
    /// which it sent bytes that belong to no request.
    pub fn close_idle(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, connections| {
            connections.retain(|c| {
                let in_time = now.duration_since(c.idle_since) < c.idle_timeout;
                in_time && is_reusable(&c.connection.stream)
            });
            !connections.is_empty()
        });
    }

    /// Sends a request on an idle or new connection and receives its response. `time_left` is sent
    /// to the server as the deadline. The permit is used up.
    pub async fn exchange(
        &self,
        _permit: SendPermit,
        outgoing: &OutgoingRequest,
        target: &Target,
        time_left: Duration,
    ) -> Exchange {
        let mut observations = Observations::default();
        let result = self
            .send_request(outgoing, target, time_left, &mut observations)
            .await;
        Exchange {
            result,
            observations,
        }
    }

    async fn send_request(
        &self,
        outgoing: &OutgoingRequest,
        target: &Target,
        time_left: Duration,
        observations: &mut Observations,
    ) -> ExchangeResult {
        let head = encode_head(outgoing, target, time_left);
        let deadline = Instant::now() + time_left;
        loop {
            let mut connection = match self.take_idle(target.address, outgoing) {
                Some(connection) => connection,
                None => match self.connect(target.address).await {
                    Ok(connection) => connection,
                    Err(error) => return ExchangeResult::NotSent(error),
                },
            };
            match send_and_receive(&mut connection, &head, outgoing, observations).await {
                // No byte of the request was sent, so it is safe to use another connection.
                Err(SendError::NothingSent(_)) if connection.reused => continue,
                Err(SendError::NothingSent(error)) => return ExchangeResult::NotSent(error),
                Err(SendError::ResponseError(response_error)) => {
                    return ExchangeResult::Unknown(response_error);
                }
                Ok(received) => {
                    if !is_served(&received.head) {
                        connection.unserved.extend(outgoing.tag());
                    }
                    return self
                        .receive_body(connection, target.address, received, deadline)
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
        deadline: Instant,
    ) -> ExchangeResult {
        let mut decoder = BodyDecoder::new(received.head.framing);
        let mut memory = self.account.empty_guard(MemoryKind::ResponseBody);
        let declared_length = match received.head.framing {
            Framing::Length(length) => usize::try_from(length)
                .map_or(BUFFERED_BODY_MAX_BYTES, |length| {
                    length.min(BUFFERED_BODY_MAX_BYTES)
                }),
            _ => 0,
        };
        // Memory that isn't available is asked for again by each part, so that a small one is held.
        let mut reserved = match memory.try_grow(declared_length) {
            true => declared_length,
            false => 0,
        };
        let mut body = BytesMut::with_capacity(reserved);
        let head_bytes = received.head.headers.memory_bytes();
        let mut has_memory = memory.try_grow(head_bytes);
        loop {
            let part = match next_part(&mut connection, &mut decoder).await {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(response_error) => return ExchangeResult::Unknown(response_error),
            };
            body.extend_from_slice(&part);
            if body.len() > reserved {
                // The buffer grows to a multiple of its size.
                let capacity = body.capacity();
                has_memory &= memory.try_grow(capacity - reserved);
                reserved = capacity;
            }
            if body.len() > BUFFERED_BODY_MAX_BYTES || !has_memory {
                limit_receive_buffer(&connection.stream);
                let stream = BodyStream {
                    connection: Some(connection),
                    decoder,
                    deadline,
                };
                let body = ResponseBody::Partial(body.freeze(), Box::new(stream));
                let head = received.head;
                return ExchangeResult::Response(UpstreamResponse { head, body, memory });
            }
        }
        let is_reusable = received.request_complete
            && received.head.keep_alive
            && connection.buffer.is_empty()
            && connection.unserved.len() < UNSERVED_MAX;
        if is_reusable {
            self.return_connection(connection, address, &received.head);
        }
        ExchangeResult::Response(UpstreamResponse {
            head: received.head,
            body: ResponseBody::Complete(body.freeze()),
            memory,
        })
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let descriptor = self.take_descriptor()?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        Ok(Connection {
            local_port: stream.local_addr()?.port(),
            stream,
            buffer: BytesMut::new(),
            reused: false,
            write_failed: false,
            unserved: Vec::new(),
            _descriptor: descriptor,
        })
    }

    /// Counts a new connection. Closes an idle one if there are too many.
    fn take_descriptor(&self) -> io::Result<DescriptorGuard> {
        if self.account.server_descriptors_scarce() {
            let mut idle = self.idle.lock();
            // Any idle connection may be closed.
            if let Some(connections) = idle.values_mut().find(|c| !c.is_empty()) {
                connections.pop();
            }
        }
        let descriptor = self.account.server_descriptor();
        descriptor.ok_or_else(|| io::ErrorKind::QuotaExceeded.into())
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

    /// Takes an idle connection on which no response to the request may still be repeated.
    fn take_idle(&self, address: SocketAddr, outgoing: &OutgoingRequest) -> Option<Connection> {
        let part = match outgoing.request_idempotency {
            Idempotency::Idempotent => 1.0,
            Idempotency::NonIdempotent => IDLE_TIMEOUT_SHARE_NON_IDEMPOTENT,
        };
        let tag = outgoing.tag();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        for at in (0..connections.len()).rev() {
            if tag.is_some_and(|tag| connections[at].connection.unserved.contains(&tag)) {
                continue;
            }
            let entry = connections.remove(at);
            let idle_for = entry.idle_since.elapsed();
            if idle_for < entry.idle_timeout.mul_f64(part) && is_reusable(&entry.connection.stream)
            {
                return Some(entry.connection);
            }
        }
        None
    }
}

/// Whether an idle connection is still open and has no unread data.
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

/// Limits the bytes that the kernel receives while a caller doesn't read a streamed response.
fn limit_receive_buffer(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_recv_buffer_size(STREAM_RECEIVE_BUFFER_BYTES) {
        tracing::debug!(%error, "upstream: cannot limit the receive buffer");
    }
}

/// Encodes the head of a request. The body follows it as it is, so that all attempts share it.
fn encode_head(outgoing: &OutgoingRequest, target: &Target, time_left: Duration) -> Bytes {
    let head = &outgoing.head;
    let mut out = BytesMut::with_capacity(512);
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
        let is_overridden = overridden.iter().any(|name| header.name == name.as_bytes())
            || (outgoing.caller != CallerIdentity::NotUsed && identifies_caller(&header.name));
        if !is_overridden {
            put_header(&mut out, &header.name, &header.value);
        }
    }
    if let Some(organisation) = outgoing.caller.organisation() {
        let name = organisation.name.as_bytes();
        put_header(&mut out, headers::ORGANISATION.as_bytes(), name);
    }
    let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    let mut number = itoa::Buffer::new();
    put_header(
        &mut out,
        headers::DEADLINE_MS.as_bytes(),
        number.format(time_left_ms).as_bytes(),
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
    out.freeze()
}

/// Whether a header of the caller has a key or the name of an organisation. Some servers don't
/// distinguish `_` from `-` in the names of headers.
fn identifies_caller(name: &[u8]) -> bool {
    let names = [headers::AUTHORIZATION, headers::ORGANISATION];
    names.iter().any(|expected| {
        let dashed = name.iter().map(|b| if *b == b'_' { b'-' } else { *b });
        dashed.eq(expected.bytes())
    })
}

enum SendError {
    NothingSent(io::Error),
    ResponseError(ResponseError),
}

struct ReceivedHead {
    head: ResponseHead,
    /// Whether the request was written completely before the head of the response was received.
    request_complete: bool,
}

/// Writes the request and reads the head of its response concurrently, because a server may respond
/// before it has read the body.
async fn send_and_receive(
    connection: &mut Connection,
    head: &Bytes,
    outgoing: &OutgoingRequest,
    observations: &mut Observations,
) -> Result<ReceivedHead, SendError> {
    let reused = connection.reused;
    let mut request: Chain<Bytes, Bytes> = head.clone().chain(outgoing.body.clone());
    connection
        .stream
        .write_buf(&mut request)
        .await
        .map_err(SendError::NothingSent)?;
    observations.connection = Some(connection.connection_use());
    let (mut reader, mut writer) = connection.stream.split();
    let buffer = &mut connection.buffer;
    let mut interim = 0;
    let mut any_received = false;
    let write_failed = &mut connection.write_failed;
    loop {
        let parsed = take_response_head(buffer, &outgoing.head.method)
            .map_err(|_| SendError::ResponseError(ResponseError::Malformed))?;
        observations.is_leaving |= parsed.as_ref().is_some_and(announces_leaving);
        match parsed {
            Some(head) if (100..200).contains(&head.status) => {
                interim += 1;
                if interim > INTERIM_RESPONSES_MAX {
                    return Err(SendError::ResponseError(ResponseError::Malformed));
                }
                continue;
            }
            Some(head)
                if matches_request(
                    &head,
                    outgoing,
                    reused || observations.skipped_responses > 0,
                ) =>
            {
                let request_complete = !request.has_remaining() && !*write_failed;
                return Ok(ReceivedHead {
                    head,
                    request_complete,
                });
            }
            Some(head) => {
                observations.skipped_responses += 1;
                if observations.skipped_responses > MISMATCHED_RESPONSES_MAX
                    || head.framing == Framing::UntilClose
                {
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
            written = writer.write_buf(&mut request), if request.has_remaining() => {
                // The server may have responded and stopped reading; its response is still used.
                if let Err(error) = written {
                    tracing::debug!(%error, "upstream: request not written completely");
                    request = Bytes::new().chain(Bytes::new());
                    *write_failed = true;
                }
            }
        }
    }
}

/// Whether the request of a response is not sent again.
fn is_served(head: &ResponseHead) -> bool {
    (200..300).contains(&head.status) && head.headers.get(headers::NOT_RUN).is_none()
}

/// Whether a response says that the expected server is shutting down. A misdirected request was
/// answered by another one.
fn announces_leaving(head: &ResponseHead) -> bool {
    head.status != MISDIRECTED && head.headers.get(headers::LEAVING) == Some(b"1")
}

/// Whether a response matches the request by its id. The first response on a new connection can't
/// belong to another request, so it may lack the id.
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
    let mut skipped_bytes = 0;
    loop {
        match decoder
            .decode(buffer)
            .map_err(|_| ResponseError::Malformed)?
        {
            Decoded::End => return Ok(()),
            Decoded::Data(data) => {
                skipped_bytes += data.len();
                if skipped_bytes > SKIPPED_BODY_MAX_BYTES {
                    return Err(ResponseError::MismatchedResponse);
                }
            }
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
                    return match decoder.ends_at_close() && !connection.write_failed {
                        true => Ok(None),
                        false => Err(ResponseError::UnexpectedEof),
                    };
                }
            }
        }
    }
}

/// Rest of a body that is too large to buffer. Dropping it closes the connection.
#[derive(Debug)]
pub struct BodyStream {
    /// `None` after the server was released.
    connection: Option<Connection>,
    decoder: BodyDecoder,
    /// Time at which the caller or the route stops waiting. A body may have no end, so a part that
    /// arrives later ends the stream.
    deadline: Instant,
}

impl BodyStream {
    /// Closes the connection to the server. The rest of the body is lost.
    pub fn release_server(&mut self) {
        self.connection = None;
    }

    /// Returns the time at which the response ends at the latest, complete or not.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the end of the body, the framing is malformed, or the
    /// deadline of the request has passed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ResponseError> {
        if Instant::now() >= self.deadline {
            return Err(ResponseError::DeadlinePassed);
        }
        let Some(connection) = &mut self.connection else {
            return Err(ResponseError::DeadlinePassed);
        };
        let part = next_part(connection, &mut self.decoder);
        tokio::time::timeout_at(self.deadline, part)
            .await
            .map_err(|_| ResponseError::DeadlinePassed)?
    }
}
