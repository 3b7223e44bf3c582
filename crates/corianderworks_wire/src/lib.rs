//! Messages between daemons and their encoding.

pub mod codec;
pub mod message;
