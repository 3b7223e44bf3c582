//! The address response, which lists the daemons that callers may use.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Upper bound of the TTL of a response, in seconds; a longer `keep_s` is clamped to it.
const MAX_TTL_S: u64 = 3_600;
/// Maximum length of a key prefix; the whole key has to fit into a header.
const MAX_KEY_PREFIX_BYTES: usize = 200;

/// Daemon that callers may send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddress {
    /// Name of the daemon, or the address of a backend server that is connected to directly.
    pub name: String,
    /// Address on which the daemon accepts callers.
    pub address: SocketAddr,
    /// Failure domain of the daemon; empty for a backend server that is connected to directly.
    pub domain: String,
    /// Share of requests relative to the other daemons; 0 is treated as 1.
    pub weight: u32,
}

/// Response to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressResponse {
    /// Daemons to choose from, never empty after parsing.
    pub addresses: Vec<DaemonAddress>,
    /// Time in seconds for which the response may be cached.
    pub keep_s: u64,
    /// Prefix of every issued `idempotency-key`; `None` if the daemon is shutting down.
    #[serde(default)]
    pub key_prefix: Option<String>,
}

/// Reason why an address response is rejected.
#[derive(Debug, thiserror::Error)]
pub enum AddressError {
    /// The body is not JSON or does not match the schema.
    #[error("malformed address response: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The response lists no daemon.
    #[error("the address response lists no daemon")]
    Empty,
    /// The key prefix is empty, longer than 200 bytes or not printable ASCII, so a header cannot
    /// carry the key.
    #[error("the key prefix is empty, too long or not printable ASCII")]
    KeyPrefix,
}

impl AddressResponse {
    /// Parses and validates a response body and clamps `keep_s` to 1..=3600 s. Unknown fields are
    /// ignored, so that later daemons can add fields.
    pub fn parse(body: &[u8]) -> Result<Self, AddressError> {
        let mut parsed: Self = serde_json::from_slice(body)?;
        if parsed.addresses.is_empty() {
            return Err(AddressError::Empty);
        }
        let is_usable = |prefix: &String| {
            let printable = prefix.bytes().all(|byte| byte.is_ascii_graphic());
            !prefix.is_empty() && prefix.len() <= MAX_KEY_PREFIX_BYTES && printable
        };
        if !parsed.key_prefix.iter().all(is_usable) {
            return Err(AddressError::KeyPrefix);
        }
        parsed.keep_s = parsed.keep_s.clamp(1, MAX_TTL_S);
        Ok(parsed)
    }

    /// Creates a response that lists backend servers instead of daemons, all with the same weight,
    /// for a run without the fleet.
    pub fn direct(addresses: &[SocketAddr]) -> Self {
        let addresses = addresses.iter().map(|address| DaemonAddress {
            name: address.to_string(),
            address: *address,
            domain: String::new(),
            weight: 1,
        });
        Self {
            addresses: addresses.collect(),
            keep_s: MAX_TTL_S,
            key_prefix: Some("direct-".to_owned()),
        }
    }

    /// Time to live of the response in a cache.
    pub fn ttl(&self) -> Duration {
        Duration::from_secs(self.keep_s)
    }

    /// Chooses an address at random by weight. Avoided addresses are chosen only if all are
    /// avoided; `None` if the list is empty.
    pub fn choose<R: Rng>(
        &self,
        random: &mut R,
        avoided: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let preferred: Vec<_> = self
            .addresses
            .iter()
            .filter(|a| !avoided(a.address))
            .collect();
        let all: Vec<_> = self.addresses.iter().collect();
        let candidates = if preferred.is_empty() { all } else { preferred };
        // Weight 0 counts as 1; otherwise a list with only zero weights would be unusable.
        let weight = |address: &DaemonAddress| u64::from(address.weight).max(1);
        let total: u64 = candidates.iter().map(|a| weight(a)).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = random.random_range(0..total);
        for address in candidates {
            if remaining < weight(address) {
                return Some(address.address);
            }
            remaining -= weight(address);
        }
        None
    }
}
