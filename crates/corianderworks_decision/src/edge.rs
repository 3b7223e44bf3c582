//! Decision logic of an edge daemon: routing, load balancing, retries and admission.
//!
//! An edge daemon forwards requests without idempotency keys. These modules take the time as an
//! argument and do no I/O.

pub mod acceptance;
pub mod admission;
pub mod attempts;
pub mod budget;
mod decay;
pub mod domains;
pub mod fleet;
pub mod key_permission;
pub mod load_balancer;
pub mod organisations;
pub mod peer_load;
pub mod progress;
pub mod quota;
pub mod report_coverage;
pub mod routes;
pub mod servers;
pub mod shutdown;
pub mod suspicions;
pub mod waiting;
