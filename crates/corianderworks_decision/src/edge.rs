//! Decisions of an edge daemon: routes, backend servers, placing, retries, refusals.
//!
//! An edge daemon forwards requests without plans or idempotency keys. All decisions
//! here take the time as an argument and do no I/O.

pub mod admission;
pub mod attempts;
pub mod budget;
pub mod fleet;
pub mod peer_load;
pub mod placing;
pub mod routes;
pub mod servers;
pub mod shutdown;
