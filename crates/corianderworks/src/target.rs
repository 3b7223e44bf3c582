//! Validation and percent-decoding of request paths.
//!
//! Routes and plans are looked up by path, so a path that a backend server may interpret as a
//! different one would bypass the plan. Such paths are rejected rather than normalised.

use std::borrow::Cow;

use thiserror::Error;

/// Reason for rejecting a path.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum PathError {
    /// A segment is empty, `.` or `..`, which servers normalise differently.
    #[error("the path contains an empty or relative segment")]
    EmptyOrRelativeSegment,
    /// The path contains `;`, after which some servers strip path parameters, or a backslash.
    #[error("the path contains parameters or a backslash")]
    ParameterOrBackslash,
    /// A separator or control character is percent-encoded, which some servers treat like the plain
    /// character.
    #[error("the path contains a percent-encoded separator or control character")]
    ForbiddenEncoding,
    /// The percent-encoding is malformed, nested or not UTF-8.
    #[error("the path has malformed or nested percent-encoding")]
    MalformedEncoding,
}

/// Returns the percent-decoded path, for the lookup of routes.
pub fn decode_path(path: &str) -> Result<Cow<'_, str>, PathError> {
    let decoded = if path.contains('%') {
        Cow::Owned(percent_decode(path.as_bytes())?)
    } else {
        Cow::Borrowed(path)
    };
    if decoded.contains([';', '\\']) {
        return Err(PathError::ParameterOrBackslash);
    }
    let is_empty_or_relative = |segment| matches!(segment, "" | "." | "..");
    let segments = decoded.trim_start_matches('/');
    let segments = segments.strip_suffix('/').unwrap_or(segments);
    let leading_slashes = decoded.len() - decoded.trim_start_matches('/').len();
    if leading_slashes > 1 || !segments.is_empty() && segments.split('/').any(is_empty_or_relative)
    {
        return Err(PathError::EmptyOrRelativeSegment);
    }
    Ok(decoded)
}

/// Decodes percent-encoding once, rejecting octets that must not be encoded.
fn percent_decode(path: &[u8]) -> Result<String, PathError> {
    let mut decoded_bytes = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte != b'%' {
            decoded_bytes.push(byte);
            continue;
        }
        let byte = decode_octet(rest).ok_or(PathError::MalformedEncoding)?;
        rest = &rest[2..];
        match byte {
            b'/' | b'\\' | b';' => return Err(PathError::ForbiddenEncoding),
            b if b.is_ascii_control() => return Err(PathError::ForbiddenEncoding),
            b'%' if decode_octet(rest).is_some() => return Err(PathError::MalformedEncoding),
            b => decoded_bytes.push(b),
        }
    }
    String::from_utf8(decoded_bytes).map_err(|_| PathError::MalformedEncoding)
}

/// Decodes the two hexadecimal digits after `%`.
fn decode_octet(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits.get(..2)?).ok()?;
    if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    u8::from_str_radix(digits, 16).ok()
}
