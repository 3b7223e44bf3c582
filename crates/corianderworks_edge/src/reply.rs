//! Responses to callers.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use corianderworks_platform::headers;
use serde::Serialize;

use crate::http1::{Framing, ResponseHead, put_header, put_status};
use crate::reason::Reason;
use crate::upstream::{BodyStream, ResponseBody, UpstreamResponse};

/// A response to a caller.
#[derive(Debug)]
pub enum Reply {
    /// Tells the caller to send the body of its request.
    Continue,
    /// Response of a backend server, passed on unchanged.
    Upstream {
        /// The response.
        response: UpstreamResponse,
        /// Method of the request; a response to `HEAD` has no body.
        method: String,
    },
    /// Response of this daemon.
    Local {
        /// Why the request ended.
        reason: Reason,
        /// When the caller may return.
        retry_after: Option<Duration>,
        /// Id of the request.
        request_id: Option<Bytes>,
    },
}

/// An encoded response.
#[derive(Debug)]
pub struct Encoded {
    /// Head and the part of the body that is known.
    pub bytes: Bytes,
    /// Rest of the body and how it is framed.
    pub rest: Option<(BodyStream, RestFraming)>,
}

/// Framing of the rest of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestFraming {
    /// The length was announced.
    Length,
    /// Chunks.
    Chunked,
}

#[derive(Serialize)]
struct LocalBody<'a> {
    reason: &'a str,
    ran: &'a str,
}

impl Reply {
    /// Creates a response of this daemon.
    pub fn local(reason: Reason, request_id: Option<Bytes>) -> Self {
        Self::Local {
            reason,
            retry_after: None,
            request_id,
        }
    }

    /// Encodes the response; `close` announces that the connection ends after it.
    pub fn encode(self, close: bool) -> Encoded {
        match self {
            Self::Continue => Encoded {
                bytes: Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"),
                rest: None,
            },
            Self::Upstream { response, method } => encode_upstream(response, &method, close),
            Self::Local {
                reason,
                retry_after,
                request_id,
            } => encode_local(reason, retry_after, request_id.as_deref(), close),
        }
    }
}

fn encode_upstream(response: UpstreamResponse, method: &str, close: bool) -> Encoded {
    let UpstreamResponse { head, body } = response;
    let mut out = BytesMut::with_capacity(1024);
    put_status(&mut out, head.status, &head.reason);
    let has_no_body = method == "HEAD" || matches!(head.status, 204 | 304);
    for header in head.headers.end_to_end() {
        if has_no_body || header.name != "content-length" {
            put_header(&mut out, &header.name, &header.value);
        }
    }
    if close {
        put_header(&mut out, b"connection", b"close");
    }
    match body {
        ResponseBody::Complete(body) => {
            if !has_no_body {
                put_content_length(&mut out, body.len() as u64);
            }
            out.extend_from_slice(b"\r\n");
            out.extend_from_slice(&body);
            Encoded {
                bytes: out.freeze(),
                rest: None,
            }
        }
        ResponseBody::Partial(first, stream) => encode_partial(out, &head, &first, stream),
    }
}

fn encode_partial(
    mut out: BytesMut,
    head: &ResponseHead,
    first: &Bytes,
    stream: BodyStream,
) -> Encoded {
    let framing = match head.framing {
        Framing::Length(length) => {
            put_content_length(&mut out, length);
            out.extend_from_slice(b"\r\n");
            out.extend_from_slice(first);
            RestFraming::Length
        }
        _ => {
            put_header(&mut out, b"transfer-encoding", b"chunked");
            out.extend_from_slice(b"\r\n");
            out.extend_from_slice(&encode_chunk(first));
            RestFraming::Chunked
        }
    };
    Encoded {
        bytes: out.freeze(),
        rest: Some((stream, framing)),
    }
}

/// Encodes a chunk; empty data gives the last one.
pub fn encode_chunk(data: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(data.len() + 16);
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out.freeze()
}

fn encode_local(
    reason: Reason,
    retry_after: Option<Duration>,
    request_id: Option<&[u8]>,
    close: bool,
) -> Encoded {
    let (status, phrase) = reason.status();
    let mut out = BytesMut::with_capacity(256);
    put_status(&mut out, status, phrase);
    if let Some(id) = request_id {
        put_header(&mut out, headers::REQUEST_ID.as_bytes(), id);
    }
    if let Some(after) = retry_after {
        let text = format!("{:.2}", after.as_secs_f64());
        put_header(&mut out, b"retry-after", text.as_bytes());
    }
    if close {
        put_header(&mut out, b"connection", b"close");
    }
    put_header(&mut out, b"content-type", b"application/json");
    let ran = match status {
        502 | 504 => "unknown",
        _ => "no",
    };
    let body = LocalBody {
        reason: reason.name(),
        ran,
    };
    // Two short strings always have a JSON form.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    put_content_length(&mut out, body.len() as u64);
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&body);
    Encoded {
        bytes: out.freeze(),
        rest: None,
    }
}

fn put_content_length(out: &mut BytesMut, length: u64) {
    put_header(
        out,
        b"content-length",
        itoa::Buffer::new().format(length).as_bytes(),
    );
}
