//! Decisions of the fleet as state machines without I/O, threads or a clock of their own.
//!
//! Each machine takes the current time and an event, and returns what to do next.
//! The daemon, the experiments and the tests drive the same machines.

pub mod clock;
pub mod ids;
pub mod placement;
