//! Settings of a daemon and the two lists that operators edit.

pub mod lists;
pub mod settings;
