//! HTTP/1.1 messages: heads, body framing and encoding.
//!
//! hyper serves one request of a connection at a time and hides bytes that follow a
//! response. Pipelined requests have to be processed at the same time here, and responses
//! of backend servers have to be told from stray bytes, so both sides use `httparse`,
//! hyper's parser, with framing of their own.

use bytes::{Buf, Bytes, BytesMut};

/// Largest number of headers of a message.
const HEADERS_MAX: usize = 128;
/// Largest head of a response, in bytes.
pub const RESPONSE_HEAD_MAX_BYTES: usize = 64 * 1024;
/// Largest line with the size of a chunk, in bytes.
const CHUNK_SIZE_LINE_MAX_BYTES: usize = 1024;
/// Largest trailer section, in bytes.
const TRAILERS_MAX_BYTES: usize = 16 * 1024;

/// Headers that concern one connection only, in lower case.
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

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head is longer than allowed.
    #[error("head too large")]
    HeadTooLarge,
    /// The bytes are no message, or its framing is ambiguous.
    #[error("malformed message")]
    Malformed,
}

/// A header; the name is in lower case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: Bytes,
    /// Value without surrounding space.
    pub value: Bytes,
}

/// Headers of a message in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut found = self.0.iter().filter(|h| h.name == name.as_bytes());
        found.next().map(|h| &h.value[..])
    }

    /// Returns the first value of a header as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Whether a comma-separated header contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let values = self.0.iter().filter(|h| h.name == name.as_bytes());
        let mut tokens = values.flat_map(|h| h.value.split(|b| *b == b','));
        tokens.any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns the headers that concern more than one connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.0.iter().filter(|h| {
            let name = std::str::from_utf8(&h.name).unwrap_or_default();
            !HOP_BY_HOP.contains(&name) && !self.has_token("connection", name)
        })
    }

    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |h| h.name == name.as_bytes())
            .map(|h| &h.value[..])
    }
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// This many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// All bytes until the connection closes.
    UntilClose,
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as sent.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Headers.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase as sent.
    pub reason: String,
    /// Headers.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection may carry another response.
    pub keep_alive: bool,
}

/// Takes the head of a request from `buffer`; nothing if it is not complete.
pub fn take_request_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, MessageError> {
    // Empty lines before a request line are allowed.
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
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
    let method = request.method.unwrap_or_default().to_owned();
    let target = request.path.unwrap_or_default().to_owned();
    let is_http_1_1 = request.version == Some(1);
    let headers = copy_headers(request.headers);
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

/// Takes the head of a response from `buffer`; nothing if it is not complete.
pub fn take_response_head(
    buffer: &mut BytesMut,
    request_method: &str,
) -> Result<Option<ResponseHead>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > RESPONSE_HEAD_MAX_BYTES => {
            return Err(MessageError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(MessageError::Malformed),
    };
    let status = response.code.unwrap_or_default();
    let reason = response.reason.unwrap_or_default().to_owned();
    let is_http_1_1 = response.version == Some(1);
    let headers = copy_headers(response.headers);
    buffer.advance(length);
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

/// Finds the framing; two lengths, or a length beside chunks, are refused because two
/// readers could disagree about the end of such a message.
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

/// Result of decoding a part of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes of the connection are needed.
    NeedMore,
    /// The body is complete.
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

/// Decodes a body from the bytes of a connection.
#[derive(Debug)]
pub struct BodyDecoder {
    state: BodyState,
}

impl BodyDecoder {
    /// Creates a decoder.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => BodyState::End,
            Framing::Length(length) => BodyState::Length(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::UntilClose => BodyState::UntilClose,
        };
        Self { state }
    }

    /// Whether the end of the connection is the end of the body.
    pub fn ends_at_close(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    /// Takes the next part of the body from `buffer`.
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
                    Some(line) => self.state = parse_chunk_size(&line)?,
                },
                BodyState::ChunkEnd => match take_line(buffer, 2)? {
                    None => return Ok(Decoded::NeedMore),
                    Some(line) if line.is_empty() => self.state = BodyState::ChunkSize,
                    Some(_) => return Err(MessageError::Malformed),
                },
                BodyState::Trailers => match take_line(buffer, TRAILERS_MAX_BYTES)? {
                    None => return Ok(Decoded::NeedMore),
                    Some(line) if line.is_empty() => self.state = BodyState::End,
                    Some(_) => {}
                },
            }
        }
    }
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

/// Appends a header line.
pub fn put_header(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.extend_from_slice(name);
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the status line of a response.
pub fn put_status(out: &mut BytesMut, status: u16, reason: &str) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(itoa::Buffer::new().format(status).as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(reason.as_bytes());
    out.extend_from_slice(b"\r\n");
}
