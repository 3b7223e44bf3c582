//! Settings of a daemon and the two lists that operators edit.

pub mod chunk;
pub mod diff;
pub mod lists;
pub mod manifest;
pub mod parse;
pub mod settings;
