//! Decision logic of the fleet as state machines without I/O, threads or a clock of their own.
//!
//! Each state machine takes the current time and an event, and returns the actions to perform.
//! The daemon, the experiments and the tests drive the same state machines.

pub mod addresses;
pub mod alarm_conditions;
pub mod assessment;
pub mod baseline;
pub mod claims;
pub mod clock;
mod dispatch_evaluate;
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
