//! Header rules of an HTTP intermediary.

use bytes::Bytes;
use http::Uri;
use http::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, FORWARDED, HOST, HeaderMap, HeaderName,
    HeaderValue, TE, TRANSFER_ENCODING, UPGRADE, VIA,
};
use thiserror::Error;

/// Names the customer.
pub const CUSTOMER: HeaderName = HeaderName::from_static("cw-customer");
/// Time left for a request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("cw-deadline-ms");
/// Whether a refused request may have run.
pub const OUTCOME: HeaderName = HeaderName::from_static("cw-outcome");
/// Why a request is refused.
pub const REASON: HeaderName = HeaderName::from_static("cw-reason");
/// Identity of one dispatched request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("cw-request-id");
/// Says that a backend server is leaving.
pub const DRAIN: HeaderName = HeaderName::from_static("cw-drain");
/// Whether a caller sends a request with a key of its own for the first time.
pub const ATTEMPT: HeaderName = HeaderName::from_static("cw-attempt");
/// Value of `cw-outcome` for a request that ran before and is not run again.
pub const DONE: &str = "done";
/// Key of a request that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields that concern one connection only (RFC 9110, section 7.6.1). `trailer` is none of
/// them: without it, hyper drops the trailers of an HTTP/1.1 message.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Why the header fields of a request are refused.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum HeaderError {
    /// The request frames its body in two ways, which is used to smuggle requests.
    #[error("both content-length and transfer-encoding are given")]
    TwoLengths,
    /// The length of the body is ambiguous.
    #[error("content-length is given more than once")]
    RepeatedLength,
    /// The transfer coding is not supported.
    #[error("transfer-encoding other than chunked is not supported")]
    Coding,
    /// The field must appear once.
    #[error("{0} is given more than once")]
    Repeated(&'static str),
    /// The host is missing or malformed.
    #[error("host is missing or malformed")]
    Host,
    /// A number is malformed.
    #[error("{0} is not a number")]
    Number(&'static str),
}

/// Checks the framing of a request.
pub fn check_framing(headers: &HeaderMap) -> Result<(), HeaderError> {
    let coding = headers.get(TRANSFER_ENCODING);
    if coding.is_some() && headers.contains_key(CONTENT_LENGTH) {
        return Err(HeaderError::TwoLengths);
    }
    if headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(HeaderError::RepeatedLength);
    }
    match coding {
        Some(value) if !value.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Err(HeaderError::Coding)
        }
        _ => Ok(()),
    }
}

/// Sets `host` from the target of the request, which takes precedence over the field.
///
/// HTTP/2 has the host in the target only, and HTTP/1.1 needs the field on the next hop.
pub fn set_host(headers: &mut HeaderMap, uri: &Uri) -> Result<(), HeaderError> {
    if headers.get_all(HOST).iter().count() > 1 {
        return Err(HeaderError::Repeated("host"));
    }
    if let Some(authority) = uri.authority() {
        // The part before `@` is not sent on: it may be a password.
        let host = authority.as_str().rsplit('@').next().unwrap_or_default();
        let value = HeaderValue::from_str(host).map_err(|_| HeaderError::Host)?;
        headers.insert(HOST, value);
    }
    match headers.contains_key(HOST) {
        true => Ok(()),
        false => Err(HeaderError::Host),
    }
}

/// Returns a field that may appear once, as text.
pub fn single<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
    label: &'static str,
) -> Result<Option<&'h str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeaderError::Repeated(label));
    }
    first
        .to_str()
        .map(Some)
        .map_err(|_| HeaderError::Number(label))
}

/// Removes the fields that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(HOP_BY_HOP.iter()) {
        headers.remove(name);
    }
}

/// Prepares the fields of a caller's request for the next hop.
pub fn prepare_request(headers: &mut HeaderMap, via: &HeaderValue, caller: &str) {
    strip_hop_by_hop(headers);
    for name in [&EXPECT, &REQUEST_ID, &DEADLINE_MS, &OUTCOME, &REASON] {
        headers.remove(name);
    }
    join_cookies(headers);
    headers.append(VIA, via.clone());
    if let Ok(value) = HeaderValue::from_str(&format!("for=\"{caller}\"")) {
        headers.append(FORWARDED, value);
    }
}

/// Joins the parts into which HTTP/2 may split the cookies (RFC 9113, section 8.2.3).
fn join_cookies(headers: &mut HeaderMap) {
    let parts: Vec<&[u8]> = headers
        .get_all(COOKIE)
        .iter()
        .map(HeaderValue::as_bytes)
        .collect();
    if parts.len() > 1
        && let Ok(joined) = HeaderValue::from_bytes(&parts.join(&b"; "[..]))
    {
        headers.insert(COOKIE, joined);
    }
}

/// Prepares the fields of a backend server's response for the caller.
pub fn prepare_response(headers: &mut HeaderMap, via: &HeaderValue) {
    strip_hop_by_hop(headers);
    for name in [&DRAIN, &OUTCOME, &REASON] {
        headers.remove(name);
    }
    headers.append(VIA, via.clone());
}

/// Converts header fields for a message between daemons.
pub fn to_fields(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .map(|(name, value)| {
            (
                name.as_str().to_owned(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

/// Converts header fields of a message between daemons; malformed ones are dropped.
pub fn from_fields(fields: Vec<(String, Bytes)>) -> HeaderMap {
    fields
        .into_iter()
        .filter_map(|(name, value)| {
            Some((
                name.parse::<HeaderName>().ok()?,
                HeaderValue::from_maybe_shared(value).ok()?,
            ))
        })
        .collect()
}
