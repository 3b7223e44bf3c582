//! Header fields that the proxy reads, and the rules by which it forwards the others.

use bytes::Bytes;
use http::Uri;
use http::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, FORWARDED, HOST, HeaderMap, HeaderName,
    HeaderValue, TE, TRANSFER_ENCODING, UPGRADE, VIA,
};
use thiserror::Error;

/// Name of the customer that sends the request.
pub const CUSTOMER: HeaderName = HeaderName::from_static("cw-customer");
/// Remaining time until the deadline of a request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("cw-deadline-ms");
/// Whether a refused request may have run, or [`DONE`] if it ran earlier.
pub const OUTCOME: HeaderName = HeaderName::from_static("cw-outcome");
/// Name of the reason for a refusal.
pub const REASON: HeaderName = HeaderName::from_static("cw-reason");
/// Identifier that the proxy assigns to a request, unique in the fleet.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("cw-request-id");
/// Response field by which a backend server states that it is draining.
pub const DRAIN: HeaderName = HeaderName::from_static("cw-drain");
/// Request field by which a caller states that it sends a key of its own for the first time.
pub const ATTEMPT: HeaderName = HeaderName::from_static("cw-attempt");
/// Value of `cw-outcome` for a repeated request that ran earlier and is not run again.
pub const DONE: &str = "done";
/// Key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Connection-specific fields (RFC 9110, section 7.6.1). `trailer` is not among them, because hyper
/// drops the trailers of an HTTP/1.1 message that lacks it.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Reason for rejecting the header fields of a request.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum HeaderError {
    /// The body is framed in two ways, which enables request smuggling.
    #[error("both content-length and transfer-encoding are given")]
    ConflictingFraming,
    /// `content-length` is repeated, which makes the length of the body ambiguous.
    #[error("content-length is given more than once")]
    RepeatedContentLength,
    /// The transfer coding is not `chunked`, the only supported one.
    #[error("transfer-encoding other than chunked is not supported")]
    UnsupportedCoding,
    /// The field with this name is repeated although it takes one value.
    #[error("{0} is given more than once")]
    RepeatedField(&'static str),
    /// The request has no host, or one that is not a valid field value.
    #[error("host is missing or malformed")]
    InvalidHost,
    /// The value of the field with this name is not visible ASCII text.
    #[error("{0} is not visible ASCII text")]
    NotText(&'static str),
}

/// Rejects requests whose body length is ambiguous or whose transfer coding is not supported.
pub fn check_framing(headers: &HeaderMap) -> Result<(), HeaderError> {
    let coding = headers.get(TRANSFER_ENCODING);
    if coding.is_some() && headers.contains_key(CONTENT_LENGTH) {
        return Err(HeaderError::ConflictingFraming);
    }
    if headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(HeaderError::RepeatedContentLength);
    }
    match coding {
        Some(value) if !value.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Err(HeaderError::UnsupportedCoding)
        }
        _ => Ok(()),
    }
}

/// Sets `host` from the authority of the request target, which takes precedence over the field.
///
/// HTTP/2 requests may carry the host in the target only, and the next hop uses HTTP/1.1, which
/// requires the field.
pub fn set_host(headers: &mut HeaderMap, uri: &Uri) -> Result<(), HeaderError> {
    if headers.get_all(HOST).iter().count() > 1 {
        return Err(HeaderError::RepeatedField("host"));
    }
    if let Some(authority) = uri.authority() {
        // The user information before `@` is not forwarded, as it may contain a password.
        let host = authority.as_str().rsplit('@').next().unwrap_or_default();
        let value = HeaderValue::from_str(host).map_err(|_| HeaderError::InvalidHost)?;
        headers.insert(HOST, value);
    }
    match headers.contains_key(HOST) {
        true => Ok(()),
        false => Err(HeaderError::InvalidHost),
    }
}

/// Returns the value of a field that may appear at most once, `None` when it is absent. Errors name
/// the field by `label`.
pub fn single_value<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
    label: &'static str,
) -> Result<Option<&'h str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeaderError::RepeatedField(label));
    }
    first
        .to_str()
        .map(Some)
        .map_err(|_| HeaderError::NotText(label))
}

/// Removes connection-specific fields, including those that `connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(HOP_BY_HOP.iter()) {
        headers.remove(name);
    }
}

/// Prepares the header fields of a caller's request for the next hop.
///
/// Removes `expect` and the `cw-` fields that daemons set themselves, and appends `via` and
/// `forwarded`.
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

/// Joins `cookie` fields, which HTTP/2 may split (RFC 9113, section 8.2.3).
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

/// Prepares the header fields of a backend server's response for the caller.
///
/// Removes the `cw-` fields that are meant for daemons or set by them, and appends `via`.
pub fn prepare_response(headers: &mut HeaderMap, via: &HeaderValue) {
    strip_hop_by_hop(headers);
    for name in [&DRAIN, &OUTCOME, &REASON] {
        headers.remove(name);
    }
    headers.append(VIA, via.clone());
}

/// Converts header fields to the form used in messages between daemons.
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

/// Converts header fields from a message between daemons, dropping malformed ones.
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
