//! Decisions of the fleet as state machines without I/O, threads or a clock of their own.
//!
//! Each machine takes the current time and an event, and returns what to do next.
//! The daemon, the experiments and the tests drive the same machines.

pub mod addresses;
pub mod assessment;
pub mod baseline;
pub mod claims;
pub mod clock;
mod dispatch_judge;
mod dispatch_peers;
mod dispatch_place;
pub mod dispatch_types;
pub mod dispatcher;
pub mod drain;
pub mod edge;
pub mod ejection;
pub mod health;
pub mod ids;
pub mod latency;
pub mod limits;
pub mod membership;
pub mod permits;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod slots;
pub mod versions;
