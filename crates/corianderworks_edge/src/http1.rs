//! HTTP/1.1 messages: parsing of heads, body framing and encoding.
//!
//! hyper serves the requests of a connection one after the other and hides bytes that follow a
//! response. The daemon processes pipelined requests concurrently and has to distinguish responses
//! of backend servers from unexpected bytes. Both sides therefore use `httparse`, hyper's parser,
//! with the framing implemented here.

use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};

/// Number of headers of a message that are parsed without an allocation.
const USUAL_HEADERS_MAX: usize = 128;
/// Approximate overhead of the allocations of a header, in bytes.
const HEADER_ALLOCATION_BYTES: usize = 64;
/// Size of the shortest header line, `a:` and a line feed, in bytes.
const HEADER_LINE_MIN_BYTES: usize = 3;
/// Maximum size of the head of a response, in bytes; that of a request is configured.
pub const RESPONSE_HEAD_MAX_BYTES: usize = 64 * 1024;
/// Valid status codes, RFC 9110 section 15.
const STATUS_RANGE: RangeInclusive<u16> = 100..=599;
/// Maximum length of a chunk-size line that arrives in several reads, with extensions, in bytes.
const CHUNK_SIZE_LINE_MAX_BYTES: usize = 1024;
/// Maximum total length of the chunk extensions of a body, in bytes.
const CHUNK_EXTENSIONS_MAX_BYTES: usize = 16 * 1024;
/// Maximum total length of the trailer lines of a body, in bytes.
const TRAILERS_MAX_BYTES: usize = 16 * 1024;

/// Hop-by-hop headers, which apply to a single connection and are not forwarded, in lower case.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Error while parsing a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head exceeds the size limit, or has too many headers.
    #[error("head too large")]
    HeadTooLarge,
    /// The bytes are not a valid message, or its framing is ambiguous.
    #[error("malformed message")]
    Malformed,
}

/// Header field of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name, converted to lower case.
    pub name: Bytes,
    /// Value without surrounding whitespace; not necessarily UTF-8.
    pub value: Bytes,
}

/// Headers of a message in the order received; names may repeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut found = self.0.iter().filter(|h| h.name == name.as_bytes());
        found.next().map(|h| &h.value[..])
    }

    /// Returns the first value of a header, or `None` if it is absent or not UTF-8; `name` is in
    /// lower case.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Whether any value of a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let values = self.0.iter().filter(|h| h.name == name.as_bytes());
        let mut tokens = values.flat_map(|h| h.value.split(|b| *b == b','));
        tokens.any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns the headers to forward: all but the hop-by-hop headers and those that `connection`
    /// names.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.0.iter().filter(|h| {
            let name = std::str::from_utf8(&h.name).unwrap_or_default();
            !HOP_BY_HOP.contains(&name) && !self.has_token("connection", name)
        })
    }

    /// Returns the approximate memory that the headers take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let texts = self.0.iter().map(|h| h.name.len() + h.value.len());
        texts.sum::<usize>()
            + self.0.capacity() * size_of::<Header>()
            + self.0.len() * HEADER_ALLOCATION_BYTES
    }

    /// Returns the values of all headers of a name in the order received; `name` is in lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |h| h.name == name.as_bytes())
            .map(|h| &h.value[..])
    }
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses chunked transfer encoding.
    Chunked,
    /// The body ends when the connection is closed; only in responses.
    UntilClose,
}

/// Request line and headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as received; case-sensitive.
    pub method: String,
    /// Request target as received, usually a path and a query.
    pub target: String,
    /// Headers.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Status line and headers of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code, including those of interim (1xx) responses.
    pub status: u16,
    /// Reason phrase as received; may be empty.
    pub reason: String,
    /// Headers.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection may be used for another request; never if the body ends when the
    /// connection is closed.
    pub keep_alive: bool,
}

/// Whether the buffer contains the end of a head, so that the next request can be parsed without
/// reading more.
pub fn contains_head_end(buffer: &[u8]) -> bool {
    buffer.windows(4).any(|bytes| bytes == b"\r\n\r\n")
}

/// Parses the head of a request and removes it from `buffer`. Returns `None` if it isn't complete
/// yet.
pub fn take_request_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, MessageError> {
    // HTTP allows empty lines before a request line.
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    let parsed = parse_head(max_bytes, |headers| {
        let mut request = httparse::Request::new(headers);
        let httparse::Status::Complete(length) = request.parse(buffer)? else {
            return Ok(httparse::Status::Partial);
        };
        let method = request.method.unwrap_or_default().to_owned();
        let target = request.path.unwrap_or_default().to_owned();
        let is_http_1_1 = request.version == Some(1);
        let headers = copy_headers(request.headers);
        let parsed = (length, method, target, is_http_1_1, headers);
        Ok(httparse::Status::Complete(parsed))
    });
    let (length, method, target, is_http_1_1, headers) = match parsed {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
            return Err(MessageError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::Malformed),
    };
    if length > max_bytes {
        return Err(MessageError::HeadTooLarge);
    }
    buffer.advance(length);
    let framing = match framing(&headers)? {
        Framing::UntilClose => Framing::Empty,
        framing => framing,
    };
    let keep_alive = keep_alive(&headers, is_http_1_1);
    Ok(Some(RequestHead {
        method,
        target,
        headers,
        framing,
        keep_alive,
    }))
}

/// Parses the head of a response and removes it from `buffer`. Returns `None` if it isn't complete
/// yet. A response to `HEAD` has no body, whatever its headers say.
pub fn take_response_head(
    buffer: &mut BytesMut,
    request_method: &str,
) -> Result<Option<ResponseHead>, MessageError> {
    let parsed = parse_head(RESPONSE_HEAD_MAX_BYTES, |headers| {
        let mut response = httparse::Response::new(headers);
        let httparse::Status::Complete(length) = response.parse(buffer)? else {
            return Ok(httparse::Status::Partial);
        };
        let status = response.code.unwrap_or_default();
        let reason = response.reason.unwrap_or_default().to_owned();
        let is_http_1_1 = response.version == Some(1);
        let headers = copy_headers(response.headers);
        let parsed = (length, status, reason, is_http_1_1, headers);
        Ok(httparse::Status::Complete(parsed))
    });
    let (length, status, reason, is_http_1_1, headers) = match parsed {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) if buffer.len() > RESPONSE_HEAD_MAX_BYTES => {
            return Err(MessageError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(MessageError::Malformed),
    };
    buffer.advance(length);
    if !STATUS_RANGE.contains(&status) {
        return Err(MessageError::Malformed);
    }
    // The server sent the start of a head, then a complete one. Neither belongs to the other.
    let mut values = headers.0.iter().map(|h| &h.value[..]);
    if contains_status_line(reason.as_bytes()) || values.any(contains_status_line) {
        return Err(MessageError::Malformed);
    }
    let has_no_body = request_method == "HEAD" || matches!(status, 100..=199 | 204 | 304);
    let framing = match framing(&headers)? {
        _ if has_no_body => Framing::Empty,
        framing => framing,
    };
    let keep_alive = keep_alive(&headers, is_http_1_1) && framing != Framing::UntilClose;
    Ok(Some(ResponseHead {
        status,
        reason,
        headers,
        framing,
        keep_alive,
    }))
}

/// Parses a head of up to `max_bytes` with room for all the headers that it can hold.
fn parse_head<'b, T, F>(max_bytes: usize, mut parse: F) -> httparse::Result<T>
where
    F: FnMut(&mut [httparse::Header<'b>]) -> httparse::Result<T>,
{
    match parse(&mut [httparse::EMPTY_HEADER; USUAL_HEADERS_MAX]) {
        Err(httparse::Error::TooManyHeaders) => parse(&mut vec![
            httparse::EMPTY_HEADER;
            max_bytes / HEADER_LINE_MIN_BYTES
        ]),
        parsed => parsed,
    }
}

/// Whether a text contains the start of a status line, as `HTTP/1.1 200`.
fn contains_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    let is_status_line = |start: &[u8]| match start {
        [b'0'..=b'1', b' ', status @ ..] => {
            status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit)
        }
        _ => false,
    };
    text.windows(VERSION.len())
        .enumerate()
        .any(|(at, part)| part == VERSION && is_status_line(&text[at + VERSION.len()..]))
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Headers {
    let copied = headers.iter().map(|h| Header {
        name: Bytes::from(h.name.to_ascii_lowercase()),
        value: Bytes::copy_from_slice(h.value.trim_ascii()),
    });
    Headers(copied.collect())
}

fn keep_alive(headers: &Headers, is_http_1_1: bool) -> bool {
    match is_http_1_1 {
        true => !headers.has_token("connection", "close"),
        false => headers.has_token("connection", "keep-alive"),
    }
}

/// Determines the framing. Repeated lengths, and a length together with a transfer encoding, are
/// rejected, because two parsers could disagree about the end of such a message.
fn framing(headers: &Headers) -> Result<Framing, MessageError> {
    let mut encodings = headers.values("transfer-encoding");
    let encoding = encodings.next();
    if encodings.next().is_some() {
        return Err(MessageError::Malformed);
    }
    let mut lengths = headers.values("content-length");
    let length = lengths.next();
    if lengths.next().is_some() || (length.is_some() && encoding.is_some()) {
        return Err(MessageError::Malformed);
    }
    match (encoding, length) {
        (Some(value), _) if value.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        (Some(_), _) => Err(MessageError::Malformed),
        (None, Some(value)) => parse_length(value).map(Framing::Length),
        (None, None) => Ok(Framing::UntilClose),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, MessageError> {
    let all_digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| all_digits);
    text.and_then(|t| t.parse().ok())
        .ok_or(MessageError::Malformed)
}

/// Result of a decoding step.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Next bytes of the body, without framing.
    Data(Bytes),
    /// More bytes have to be read from the connection into the buffer.
    NeedMore,
    /// The body is complete; the buffer starts with the next message.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    End,
}

/// Incremental decoder of the body of one message.
#[derive(Debug)]
pub struct BodyDecoder {
    state: BodyState,
    /// Bytes left for chunk extensions and for trailers.
    extensions_left: usize,
    trailers_left: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the framing of its head.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => BodyState::End,
            Framing::Length(length) => BodyState::Length(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::UntilClose => BodyState::UntilClose,
        };
        Self {
            state,
            extensions_left: CHUNK_EXTENSIONS_MAX_BYTES,
            trailers_left: TRAILERS_MAX_BYTES,
        }
    }

    /// Whether closing the connection ends the body regularly.
    pub fn ends_at_close(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    /// Decodes the next part of the body and removes it from `buffer`.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, MessageError> {
        loop {
            match self.state {
                BodyState::End => return Ok(Decoded::End),
                _ if buffer.is_empty() => return Ok(Decoded::NeedMore),
                BodyState::UntilClose => return Ok(Decoded::Data(buffer.split().freeze())),
                BodyState::Length(remaining) => {
                    let (data, remaining) = take_up_to(buffer, remaining);
                    self.state = if remaining == 0 {
                        BodyState::End
                    } else {
                        BodyState::Length(remaining)
                    };
                    return Ok(Decoded::Data(data));
                }
                BodyState::ChunkData(remaining) => {
                    let (data, remaining) = take_up_to(buffer, remaining);
                    let chunk_ended = remaining == 0;
                    self.state = if chunk_ended {
                        BodyState::ChunkEnd
                    } else {
                        BodyState::ChunkData(remaining)
                    };
                    return Ok(Decoded::Data(data));
                }
                BodyState::ChunkSize => match take_line(buffer, CHUNK_SIZE_LINE_MAX_BYTES)? {
                    None => return Ok(Decoded::NeedMore),
                    Some(line) => {
                        let extensions = line.iter().skip_while(|b| **b != b';').count();
                        spend(&mut self.extensions_left, extensions)?;
                        self.state = parse_chunk_size(&line)?;
                    }
                },
                BodyState::ChunkEnd => match take_line(buffer, 2)? {
                    None => return Ok(Decoded::NeedMore),
                    Some(line) if line.is_empty() => self.state = BodyState::ChunkSize,
                    Some(_) => return Err(MessageError::Malformed),
                },
                BodyState::Trailers => match take_line(buffer, self.trailers_left)? {
                    None => return Ok(Decoded::NeedMore),
                    Some(line) if line.is_empty() => self.state = BodyState::End,
                    Some(line) => spend(&mut self.trailers_left, line.len())?,
                },
            }
        }
    }
}

/// Deducts bytes that a sender may repeat without end.
fn spend(left: &mut usize, bytes: usize) -> Result<(), MessageError> {
    *left = left.checked_sub(bytes).ok_or(MessageError::Malformed)?;
    Ok(())
}

fn parse_chunk_size(line: &[u8]) -> Result<BodyState, MessageError> {
    let size = line
        .split(|b| *b == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let all_digits = !size.is_empty() && size.len() <= 15 && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| all_digits);
    let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
    match size.ok_or(MessageError::Malformed)? {
        0 => Ok(BodyState::Trailers),
        size => Ok(BodyState::ChunkData(size)),
    }
}

fn take_up_to(buffer: &mut BytesMut, remaining: u64) -> (Bytes, u64) {
    let length = usize::try_from(remaining).map_or(buffer.len(), |l| l.min(buffer.len()));
    (buffer.split_to(length).freeze(), remaining - length as u64)
}

fn take_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, MessageError> {
    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
        return match buffer.len() > max_bytes {
            true => Err(MessageError::Malformed),
            false => Ok(None),
        };
    };
    let line = buffer.split_to(end).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

/// Appends a header line to an encoded head; the values are not checked for line breaks.
pub fn put_header(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.extend_from_slice(name);
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends an HTTP/1.1 status line to an encoded head.
pub fn put_status(out: &mut BytesMut, status: u16, reason: &str) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(itoa::Buffer::new().format(status).as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(reason.as_bytes());
    out.extend_from_slice(b"\r\n");
}
