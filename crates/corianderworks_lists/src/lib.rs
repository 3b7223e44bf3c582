//! Settings of a daemon and the two lists that operators edit: parsing, comparison and storage.

pub mod apply;
mod apply_types;
pub mod chunk;
mod decode;
pub mod diff;
pub mod lists;
pub mod manifest;
pub mod parse;
mod parse_lists;
mod parse_settings;
pub mod settings;
mod suggest;
