//! Protocol between daemons: message types and their binary encoding.

pub mod codec;
pub mod message;
