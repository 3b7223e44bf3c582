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
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(3_000);
/// Idle time for which a connection is kept if the server announces no timeout.
const IDLE_DEFAULT: Duration = Duration::from_millis(4_000);
/// Part of the announced timeout for which a connection is kept. The server may close it
/// while a request is on its way, and a request that may not run twice is lost then.
const IDLE_PART: f64 = 0.7;
/// Part of that time for requests that may run once only.
const IDLE_PART_NON_IDEMPOTENT: f64 = 0.5;
/// Responses to other requests that are skipped before the connection is given up.
const STRAY_RESPONSES_MAX: usize = 3;
/// Largest response that is held back until it is complete, in bytes. Until then another
/// server can still answer in place of one that breaks off.
const WHOLE_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Read buffer of a connection, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Request as it goes to a backend server.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Head as received from the caller.
    pub head: Arc<RequestHead>,
    /// Complete body.
    pub body: Bytes,
    /// Id of the request, echoed by the server.
    pub request_id: Option<Bytes>,
    /// Whether the request may run more than once.
    pub repeatability: Idempotency,
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
    Whole(Bytes),
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
pub enum Exchange {
    /// A response that belongs to the request.
    Response(UpstreamResponse),
    /// Nothing was sent.
    NotSent(io::Error),
    /// The request was sent and has no usable response.
    Unknown(Broken),
}

/// Why a request that was sent has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The server closed a kept connection before it sent anything.
    #[error("kept connection closed without a response")]
    KeptConnectionClosed,
    /// The connection ended within a message.
    #[error("connection closed within the response")]
    EndedEarly,
    /// The bytes are no response.
    #[error("malformed response")]
    Malformed,
    /// All responses on the connection belong to other requests.
    #[error("response to another request")]
    OtherRequest,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    reused: bool,
}

#[derive(Debug)]
struct Kept {
    connection: Connection,
    since: Instant,
    idle_max: Duration,
}

/// Kept connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    kept: Mutex<HashMap<SocketAddr, Vec<Kept>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes connections that were idle for too long.
    pub fn close_idle(&self) {
        let now = Instant::now();
        self.kept.lock().retain(|_, list| {
            list.retain(|k| now.duration_since(k.since) < k.idle_max);
            !list.is_empty()
        });
    }

    /// Sends a request and returns the response or why there is none.
    pub async fn exchange(&self, outgoing: &Outgoing, target: &Target, left: Duration) -> Exchange {
        let request = encode(outgoing, target, left);
        loop {
            let mut connection = match self.take(target.address, outgoing.repeatability) {
                Some(connection) => connection,
                None => match connect(target.address).await {
                    Ok(connection) => connection,
                    Err(error) => return Exchange::NotSent(error),
                },
            };
            match send_and_receive(&mut connection, &request, outgoing).await {
                // Nothing of the request left this VM; a new connection may do.
                Err(SendError::NothingSent(_)) if connection.reused => continue,
                Err(SendError::NothingSent(error)) => return Exchange::NotSent(error),
                Err(SendError::Broken(broken)) => return Exchange::Unknown(broken),
                Ok(received) => return self.finish(connection, target.address, received).await,
            }
        }
    }

    async fn finish(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        received: Received,
    ) -> Exchange {
        let mut decoder = BodyDecoder::new(received.head.framing);
        let mut body = BytesMut::new();
        loop {
            match next_part(&mut connection, &mut decoder).await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => break,
                Err(broken) => return Exchange::Unknown(broken),
            }
            if body.len() > WHOLE_BODY_MAX_BYTES {
                let stream = BodyStream {
                    connection,
                    decoder,
                };
                let body = ResponseBody::Partial(body.freeze(), stream);
                let head = received.head;
                return Exchange::Response(UpstreamResponse { head, body });
            }
        }
        if received.request_complete && received.head.keep_alive && connection.buffer.is_empty() {
            self.keep(connection, address, &received.head);
        }
        Exchange::Response(UpstreamResponse {
            head: received.head,
            body: ResponseBody::Whole(body.freeze()),
        })
    }

    fn keep(&self, mut connection: Connection, address: SocketAddr, head: &ResponseHead) {
        connection.reused = true;
        let kept = Kept {
            connection,
            since: Instant::now(),
            idle_max: announced_timeout(head).map_or(IDLE_DEFAULT, |t| t.mul_f64(IDLE_PART)),
        };
        self.kept.lock().entry(address).or_default().push(kept);
    }

    fn take(&self, address: SocketAddr, repeatability: Idempotency) -> Option<Connection> {
        let part = match repeatability {
            Idempotency::Idempotent => 1.0,
            Idempotency::NonIdempotent => IDLE_PART_NON_IDEMPOTENT,
        };
        let mut kept = self.kept.lock();
        let list = kept.get_mut(&address)?;
        while let Some(entry) = list.pop() {
            let idle = entry.since.elapsed();
            if idle < entry.idle_max.mul_f64(part) && is_quiet(&entry.connection.stream) {
                return Some(entry.connection);
            }
        }
        None
    }
}

/// Whether an idle connection is open and has no bytes to read.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    matches!(stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

fn announced_timeout(head: &ResponseHead) -> Option<Duration> {
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
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    Ok(Connection {
        stream,
        buffer: BytesMut::new(),
        reused: false,
    })
}

fn encode(outgoing: &Outgoing, target: &Target, left: Duration) -> Bytes {
    let head = &outgoing.head;
    let mut out = BytesMut::with_capacity(512 + outgoing.body.len());
    out.extend_from_slice(head.method.as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    let own = [
        headers::DEADLINE_MS,
        headers::EXPECTED_SERVER,
        "content-length",
    ];
    for header in head.headers.end_to_end() {
        if !own.iter().any(|name| header.name == name.as_bytes()) {
            put_header(&mut out, &header.name, &header.value);
        }
    }
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
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
    Broken(Broken),
}

struct Received {
    head: ResponseHead,
    /// Whether all of the request was written before the response came.
    request_complete: bool,
}

/// Writes the request and reads the head of its response at the same time, because a
/// server may respond before it has read the body.
async fn send_and_receive(
    connection: &mut Connection,
    request: &Bytes,
    outgoing: &Outgoing,
) -> Result<Received, SendError> {
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
    let mut strays = 0;
    let mut any_bytes = false;
    let mut write_failed = false;
    loop {
        let parsed = take_response_head(buffer, &outgoing.head.method)
            .map_err(|_| SendError::Broken(Broken::Malformed))?;
        match parsed {
            Some(head) if (100..200).contains(&head.status) => continue,
            Some(head) if belongs(&head, outgoing, reused || strays > 0) => {
                let request_complete = request.is_empty() && !write_failed;
                return Ok(Received {
                    head,
                    request_complete,
                });
            }
            Some(head) => {
                strays += 1;
                if strays > STRAY_RESPONSES_MAX || head.framing == Framing::UntilClose {
                    return Err(SendError::Broken(Broken::OtherRequest));
                }
                skip_body(&mut reader, buffer, head.framing)
                    .await
                    .map_err(SendError::Broken)?;
                continue;
            }
            None => {}
        }
        tokio::select! {
            read = reader.read_buf(buffer) => match read {
                Ok(0) if !any_bytes && reused => {
                    return Err(SendError::Broken(Broken::KeptConnectionClosed));
                }
                Ok(0) => return Err(SendError::Broken(Broken::EndedEarly)),
                Ok(_) => any_bytes = true,
                Err(error) => return Err(SendError::Broken(error.into())),
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
fn belongs(head: &ResponseHead, outgoing: &Outgoing, others_possible: bool) -> bool {
    match (head.headers.get(headers::REQUEST_ID), &outgoing.request_id) {
        (Some(echoed), Some(id)) => echoed == &id[..],
        (Some(_), None) => false,
        (None, _) => !others_possible,
    }
}

async fn skip_body<R>(reader: &mut R, buffer: &mut BytesMut, framing: Framing) -> Result<(), Broken>
where
    R: tokio::io::AsyncRead + Unpin,
{
    let mut decoder = BodyDecoder::new(framing);
    loop {
        match decoder.decode(buffer).map_err(|_| Broken::Malformed)? {
            Decoded::End => return Ok(()),
            Decoded::Data(_) => {}
            Decoded::NeedMore => {
                if reader.read_buf(buffer).await? == 0 {
                    return Err(Broken::EndedEarly);
                }
            }
        }
    }
}

async fn next_part(
    connection: &mut Connection,
    decoder: &mut BodyDecoder,
) -> Result<Option<Bytes>, Broken> {
    loop {
        match decoder
            .decode(&mut connection.buffer)
            .map_err(|_| Broken::Malformed)?
        {
            Decoded::End => return Ok(None),
            Decoded::Data(data) => return Ok(Some(data)),
            Decoded::NeedMore => {
                connection.buffer.reserve(READ_BYTES);
                if connection.stream.read_buf(&mut connection.buffer).await? == 0 {
                    return match decoder.ends_with_connection() {
                        true => Ok(None),
                        false => Err(Broken::EndedEarly),
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
    pub async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        next_part(&mut self.connection, &mut self.decoder).await
    }
}
