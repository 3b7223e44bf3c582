//! Endpoints of the daemon itself.
