//! Edge daemon: a reverse proxy that runs on the platform of its users.
//!
//! One daemon runs on every VM. It reads routes and backend servers from the platform's store,
//! forwards the requests of callers, and reports load and failures to the other daemons.

pub mod account;
pub mod belief_log;
pub mod caller;
pub mod daemon;
pub mod forward;
pub mod http1;
pub mod key_check;
pub mod local_http;
pub mod logs;
pub mod metrics;
pub mod peer_sync;
pub mod peers;
mod process_stats;
pub mod reason;
pub mod registration;
pub mod reply;
pub mod report_datagrams;
pub mod reports;
mod run;
pub mod state;
mod state_metrics;
pub mod store_sync;
pub mod upstream;
pub mod waiting;
