//! Syntax of idempotency keys and the choice of the daemon that decides on a key.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::ids::{DaemonKey, DaemonRun, Incarnation};

/// Maximum length in bytes of the suffix that the caller appends to an issued prefix.
pub const SUFFIX_MAX_BYTES: usize = 64;
/// Maximum length in bytes of a caller-generated key.
pub const CALLER_KEY_MAX_BYTES: usize = 128;
/// Prefix that distinguishes issued keys from caller-generated ones.
const SCHEME: &str = "cw-";

/// A key under an issued prefix: `cw-<daemon hex>.<incarnation hex>-<issue hex>-<suffix>`.
///
/// The design page counts `<issue hex>` as the first part of the caller suffix. It is the time
/// of issue in microseconds since the issuing daemon started and is unique per prefix. The
/// issuer accepts the first use of a key only within
/// [`FIRST_USE_WINDOW`](super::FIRST_USE_WINDOW) of that time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IssuedKey {
    /// The daemon run that issued the prefix.
    pub run: DaemonRun,
    /// Time of issue in microseconds since that run started.
    pub issued_us: u64,
    /// Suffix appended by the caller, 1 to [`SUFFIX_MAX_BYTES`] bytes of visible ASCII.
    pub suffix: Box<str>,
}

/// Why a key is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key does not start with an issued prefix in its canonical form.
    #[error("the key prefix is malformed")]
    Prefix,
    /// The suffix is empty or too long.
    #[error("the key suffix must have 1 to {SUFFIX_MAX_BYTES} bytes")]
    Length,
    /// The suffix contains bytes other than visible ASCII.
    #[error("the key contains bytes other than visible ASCII")]
    Bytes,
}

/// Which daemon decides on a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRoute {
    /// This daemon issued the prefix in its current run.
    Local,
    /// Another daemon run issued the prefix.
    Relay(DaemonRun),
    /// The daemon run that issued the prefix has ended, so the outcome is unknown.
    OwnerEnded(DaemonRun),
    /// The caller generated the key, so it needs a claim in the platform.
    NeedsClaim,
    /// The key is empty, too long, not visible ASCII, or has a malformed issued prefix.
    Malformed,
}

impl IssuedKey {
    /// Formats the prefix to which the caller appends its suffix.
    pub fn prefix(run: DaemonRun, issued_us: u64) -> String {
        format!("{SCHEME}{run}-{issued_us:x}-")
    }

    /// Returns whether the key starts with `cw-`; the rest may still be malformed.
    pub fn is_issued(key: &str) -> bool {
        key.starts_with(SCHEME)
    }
}

impl FromStr for IssuedKey {
    type Err = KeyError;

    fn from_str(key: &str) -> Result<Self, KeyError> {
        let rest = key.strip_prefix(SCHEME).ok_or(KeyError::Prefix)?;
        let mut parts = rest.splitn(3, '-');
        let (run, issued, suffix) = (parts.next(), parts.next(), parts.next());
        let (daemon, incarnation) = run
            .and_then(|run| run.split_once('.'))
            .ok_or(KeyError::Prefix)?;
        let suffix = suffix.ok_or(KeyError::Prefix)?;
        let parsed = Self {
            run: DaemonRun {
                daemon: DaemonKey(parse_hex(daemon)?),
                incarnation: Incarnation(parse_hex(incarnation)?),
            },
            issued_us: parse_hex(issued.ok_or(KeyError::Prefix)?)?,
            suffix: suffix.into(),
        };
        validate_suffix(suffix)?;
        // Only the canonical spelling is accepted. A variant with leading zeros or capital
        // letters would otherwise be a second key for the same request.
        if parsed.to_string() == key {
            Ok(parsed)
        } else {
            Err(KeyError::Prefix)
        }
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{SCHEME}{}-{:x}-{}",
            self.run, self.issued_us, self.suffix
        )
    }
}

fn parse_hex(digits: &str) -> Result<u64, KeyError> {
    u64::from_str_radix(digits, 16).map_err(|_| KeyError::Prefix)
}

fn validate_suffix(suffix: &str) -> Result<(), KeyError> {
    if suffix.is_empty() || suffix.len() > SUFFIX_MAX_BYTES {
        Err(KeyError::Length)
    } else if suffix.bytes().all(|b| b.is_ascii_graphic()) {
        Ok(())
    } else {
        Err(KeyError::Bytes)
    }
}

/// Returns which daemon decides on a key. `live_incarnation` returns the incarnation of a live
/// member.
pub fn route<F>(key: &str, own: DaemonRun, live_incarnation: F) -> KeyRoute
where
    F: Fn(DaemonKey) -> Option<Incarnation>,
{
    if !IssuedKey::is_issued(key) {
        let well_formed = !key.is_empty()
            && key.len() <= CALLER_KEY_MAX_BYTES
            && key.bytes().all(|b| b.is_ascii_graphic());
        return if well_formed {
            KeyRoute::NeedsClaim
        } else {
            KeyRoute::Malformed
        };
    }
    let Ok(issued) = key.parse::<IssuedKey>() else {
        return KeyRoute::Malformed;
    };
    if issued.run == own {
        return KeyRoute::Local;
    }
    if issued.run.daemon == own.daemon {
        return KeyRoute::OwnerEnded(issued.run);
    }
    match live_incarnation(issued.run.daemon) {
        // A newer run than the known one means that this member's view is stale. The owner
        // decides.
        Some(known) if known <= issued.run.incarnation => KeyRoute::Relay(issued.run),
        _ => KeyRoute::OwnerEnded(issued.run),
    }
}
