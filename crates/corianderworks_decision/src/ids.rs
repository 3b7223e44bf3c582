//! Keys of daemons, services, upstreams, customers and routes, and the identity of a daemon run.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! key {
    ($(#[$doc:meta])* $name:ident, $int:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(pub $int);
    };
}

key!(
    /// Stable hash of a daemon's name; the same on every member and across restarts.
    DaemonKey, u64
);
key!(
    /// Stable hash of a service's name, which also seeds the placement of its homes.
    ServiceKey, u64
);
key!(
    /// Stable hash of an upstream's service, name and address; a change of any is a new upstream.
    UpstreamKey, u64
);
key!(
    /// Stable hash of a customer's name, for queue fairness and the selection of limit homes.
    CustomerKey, u64
);
key!(
    /// Index of a route, valid within one configuration version only.
    RouteKey, u32
);

macro_rules! from_name {
    ($($name:ident),*) => {$(
        impl $name {
            /// Hashes a name (XXH3, 64 bits); every member derives the same key.
            pub fn of(name: &str) -> Self {
                Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
            }
        }
    )*};
}

from_name!(DaemonKey, ServiceKey, UpstreamKey, CustomerKey);

/// Number of a daemon run; a restart has a higher one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct Incarnation(pub u64);

/// Identity of one run of a daemon, displayed as `daemon.incarnation` in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonRun {
    /// Key that stays the same across restarts.
    pub daemon: DaemonKey,
    /// Wall-clock start time of the run in milliseconds.
    pub incarnation: Incarnation,
}

impl fmt::Display for DaemonRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{:x}", self.daemon.0, self.incarnation.0)
    }
}
