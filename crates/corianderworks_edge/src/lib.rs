//! Edge daemon: serves callers on the users' platform.
//!
//! Every VM runs one. It reads routes and backend servers from the platform's store,
//! forwards requests, and tells its peers about load and failures.

pub mod caller;
pub mod daemon;
pub mod feed;
pub mod forward;
pub mod http1;
pub mod local_http;
pub mod logs;
pub mod metrics;
pub mod peer_sync;
pub mod peers;
pub mod reason;
pub mod registration;
pub mod reply;
mod run;
pub mod state;
pub mod upstream;
