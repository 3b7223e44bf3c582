//! Life cycle of a daemon from start to exit.
