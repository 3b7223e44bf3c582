//! Address response of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Longest time for which a response is kept, whatever it says.
const KEEP_LIMIT_S: u64 = 3_600;
/// Longest key prefix; the key has to fit into a header.
const PREFIX_LIMIT_BYTES: usize = 200;

/// One daemon that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Name of the daemon.
    pub name: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Share of requests relative to the other daemons.
    pub weight: u32,
}

/// Response to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Daemons that callers may use.
    pub addresses: Vec<Address>,
    /// Time for which the response may be kept.
    pub keep_s: u64,
    /// First part of every `idempotency-key`; a daemon that shuts down issues none.
    #[serde(default)]
    pub key_prefix: Option<String>,
}

/// Address response that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum AddressError {
    /// Not JSON, or JSON of another shape.
    #[error("malformed address response: {0}")]
    Malformed(#[from] serde_json::Error),
    /// No daemon in the response.
    #[error("the address response names no daemon")]
    Empty,
    /// The key prefix does not fit into a header.
    #[error("the key prefix is empty, too long or not printable ASCII")]
    KeyPrefix,
}

impl Addresses {
    /// Parses a response body. Unknown fields are ignored, so that daemons can
    /// add some.
    pub fn parse(body: &[u8]) -> Result<Self, AddressError> {
        let mut parsed: Self = serde_json::from_slice(body)?;
        if parsed.addresses.is_empty() {
            return Err(AddressError::Empty);
        }
        let usable = |prefix: &String| {
            let printable = prefix.bytes().all(|byte| byte.is_ascii_graphic());
            !prefix.is_empty() && prefix.len() <= PREFIX_LIMIT_BYTES && printable
        };
        if !parsed.key_prefix.iter().all(usable) {
            return Err(AddressError::KeyPrefix);
        }
        parsed.keep_s = parsed.keep_s.clamp(1, KEEP_LIMIT_S);
        Ok(parsed)
    }

    /// Response that names these addresses, for a run without the fleet.
    pub fn direct(addresses: &[SocketAddr]) -> Self {
        let addresses = addresses.iter().map(|address| Address {
            name: address.to_string(),
            address: *address,
            domain: String::new(),
            weight: 1,
        });
        Self {
            addresses: addresses.collect(),
            keep_s: KEEP_LIMIT_S,
            key_prefix: Some("direct-".to_owned()),
        }
    }

    /// Time for which the response may be kept.
    pub fn keep(&self) -> Duration {
        Duration::from_secs(self.keep_s)
    }

    /// Chooses by weight among the addresses that are not avoided, or else
    /// among all.
    pub fn choose<R: Rng>(
        &self,
        random: &mut R,
        avoided: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let open: Vec<_> = self
            .addresses
            .iter()
            .filter(|a| !avoided(a.address))
            .collect();
        let all: Vec<_> = self.addresses.iter().collect();
        let candidates = if open.is_empty() { all } else { open };
        // Weight 0 still gets a share, or a list of zeros could not be used.
        let weight = |address: &Address| u64::from(address.weight).max(1);
        let total: u64 = candidates.iter().map(|a| weight(a)).sum();
        if total == 0 {
            return None;
        }
        let mut left = random.random_range(0..total);
        for address in candidates {
            if left < weight(address) {
                return Some(address.address);
            }
            left -= weight(address);
        }
        None
    }
}
