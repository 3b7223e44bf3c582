//! Stand-ins for the external systems that the proxy fleet depends on, the platform and
//! the backend servers, with fault injection for tests and experiments.

pub mod backend;
mod backend_execution;
mod backend_server;
pub mod backend_settings;
pub mod backend_stats;
pub mod body;
pub mod budget;
mod control;
pub mod fault;
pub mod object_store;
pub mod platform;
pub mod platform_settings;
mod serve;
