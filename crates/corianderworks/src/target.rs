//! Paths of requests as backend servers may read them.
//!
//! Routes and plans are looked up by path, so a path that a backend server could read as
//! another one would bypass a plan. Such paths are refused rather than rewritten.

use std::borrow::Cow;

use thiserror::Error;

/// Why a path is refused.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum PathError {
    /// A segment is empty, `.` or `..`, which servers resolve in different ways.
    #[error("the path has an empty or relative segment")]
    Segment,
    /// Some servers cut path parameters off.
    #[error("the path has parameters")]
    Parameter,
    /// Some servers read an escaped separator or control character as a plain one.
    #[error("the path has an escaped separator or control character")]
    Escape,
    /// An escape is malformed, or escapes another escape.
    #[error("the path has a malformed or repeated escape")]
    Malformed,
}

/// Returns the path with its escapes resolved, for the look-up of routes.
pub fn decode(path: &str) -> Result<Cow<'_, str>, PathError> {
    let decoded = if path.contains('%') {
        Cow::Owned(unescape(path.as_bytes())?)
    } else {
        Cow::Borrowed(path)
    };
    if decoded.contains([';', '\\']) {
        return Err(PathError::Parameter);
    }
    let relative = |segment| matches!(segment, "" | "." | "..");
    let inner = decoded.trim_start_matches('/');
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    let leading = decoded.len() - decoded.trim_start_matches('/').len();
    if leading > 1 || !inner.is_empty() && inner.split('/').any(relative) {
        return Err(PathError::Segment);
    }
    Ok(decoded)
}

fn unescape(path: &[u8]) -> Result<String, PathError> {
    let mut out = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let byte = escaped(rest).ok_or(PathError::Malformed)?;
        rest = &rest[2..];
        match byte {
            b'/' | b'\\' | b';' => return Err(PathError::Escape),
            b if b.is_ascii_control() => return Err(PathError::Escape),
            b'%' if escaped(rest).is_some() => return Err(PathError::Malformed),
            b => out.push(b),
        }
    }
    String::from_utf8(out).map_err(|_| PathError::Malformed)
}

fn escaped(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits.get(..2)?).ok()?;
    if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    u8::from_str_radix(digits, 16).ok()
}
