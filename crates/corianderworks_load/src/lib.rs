//! Load generator that checks each answer against its own request.

pub mod caller;
pub mod mix;
pub mod plot;
pub mod report;
