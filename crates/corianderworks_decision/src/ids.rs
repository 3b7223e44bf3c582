//! Small `Copy` keys, and the identity of a daemon across restarts.

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
    /// Stable hash of a daemon's name, the same on every member.
    DaemonKey, u64
);
key!(
    /// Stable hash of a service's name.
    ServiceKey, u64
);
key!(
    /// Stable hash of an upstream's service, name and address.
    UpstreamKey, u64
);
key!(
    /// Stable hash of a customer's name.
    CustomerKey, u64
);
key!(
    /// Index of a route in one configuration version.
    RouteKey, u32
);

macro_rules! from_name {
    ($($name:ident),*) => {$(
        impl $name {
            /// Derives the key from a name; every member derives the same key.
            pub fn of(name: &str) -> Self {
                Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
            }
        }
    )*};
}

from_name!(DaemonKey, ServiceKey, UpstreamKey, CustomerKey);

/// One run of a daemon: a restart has a higher number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct Incarnation(pub u64);

/// A daemon in one of its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonRun {
    /// The daemon.
    pub daemon: DaemonKey,
    /// Its run, the wall-clock start in milliseconds.
    pub incarnation: Incarnation,
}

impl fmt::Display for DaemonRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{:x}", self.daemon.0, self.incarnation.0)
    }
}
