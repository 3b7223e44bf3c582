//! Syntax of idempotency keys and the daemon that decides on a key.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::ids::{DaemonKey, DaemonRun, Incarnation};

/// Longest caller suffix of an issued key, in bytes.
pub const SUFFIX_MAX_BYTES: usize = 64;
/// Longest caller-generated key, in bytes.
pub const CALLER_KEY_MAX_BYTES: usize = 128;
/// Start of every issued key.
const SCHEME: &str = "cw-";

/// A key under an issued prefix: `cw-<daemon hex>.<incarnation hex>-<issue hex>-<suffix>`.
///
/// The first part of the caller suffix of the design page is the time of issue, in
/// microseconds since the issuing daemon started. It is unique per prefix, and the issuer
/// accepts the first use of a key only for [`PREFIX_USE`](super::PREFIX_USE) after it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IssuedKey {
    /// The daemon run that issued the prefix.
    pub run: DaemonRun,
    /// Time of issue in microseconds since that run started.
    pub issued_us: u64,
    /// What the caller appended.
    pub suffix: Box<str>,
}

/// Why a key is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key starts like an issued key but its prefix is not one.
    #[error("the key prefix is malformed")]
    Prefix,
    /// The suffix is empty or too long.
    #[error("the key suffix must have 1 to {SUFFIX_MAX_BYTES} bytes")]
    Length,
    /// The suffix holds bytes other than visible ASCII.
    #[error("the key holds bytes other than visible ASCII")]
    Bytes,
}

/// Where a request with an idempotency key is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRoute {
    /// This daemon issued the prefix in its present run.
    Here,
    /// Another daemon run issued the prefix.
    Relay(DaemonRun),
    /// The daemon run that issued the prefix is gone; the outcome is unknown.
    OwnerGone(DaemonRun),
    /// The caller generated the key, so it needs a claim in the platform.
    NeedsClaim,
    /// No daemon accepts the key.
    Malformed,
}

impl IssuedKey {
    /// Formats a prefix to which the caller appends its suffix.
    pub fn prefix(run: DaemonRun, issued_us: u64) -> String {
        format!("{SCHEME}{run}-{issued_us:x}-")
    }

    /// Tells whether a key claims to be under an issued prefix.
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
                daemon: DaemonKey(hex(daemon)?),
                incarnation: Incarnation(hex(incarnation)?),
            },
            issued_us: hex(issued.ok_or(KeyError::Prefix)?)?,
            suffix: suffix.into(),
        };
        check_suffix(suffix)?;
        // Only one spelling of a key is accepted: another would be a second key for the same
        // request, for example one with leading zeros or capital letters.
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

fn hex(digits: &str) -> Result<u64, KeyError> {
    u64::from_str_radix(digits, 16).map_err(|_| KeyError::Prefix)
}

fn check_suffix(suffix: &str) -> Result<(), KeyError> {
    if suffix.is_empty() || suffix.len() > SUFFIX_MAX_BYTES {
        Err(KeyError::Length)
    } else if suffix.bytes().all(|b| b.is_ascii_graphic()) {
        Ok(())
    } else {
        Err(KeyError::Bytes)
    }
}

/// Tells where a key is decided, given the incarnation of each live member.
pub fn route<F>(key: &str, own: DaemonRun, live: F) -> KeyRoute
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
        return KeyRoute::Here;
    }
    if issued.run.daemon == own.daemon {
        return KeyRoute::OwnerGone(issued.run);
    }
    match live(issued.run.daemon) {
        // A key of a newer run means that this view lags: the owner itself decides.
        Some(known) if known <= issued.run.incarnation => KeyRoute::Relay(issued.run),
        _ => KeyRoute::OwnerGone(issued.run),
    }
}
