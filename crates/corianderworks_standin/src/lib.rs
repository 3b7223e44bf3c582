//! Stand-ins for the outside systems: the platform and the backend servers.

pub mod backend;
mod backend_run;
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
