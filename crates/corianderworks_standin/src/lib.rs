//! Stand-ins for the outside systems: the platform and the backend servers.

pub mod backend;
pub mod fault;
pub mod platform;
