//! Load generator that checks every response against its request and reconciles non-idempotent
//! requests with the executions on the backend servers.

pub mod address;
pub mod caller;
pub mod check;
pub mod mix;
pub mod outcome;
pub mod plot;
pub mod reconcile;
pub mod recorder;
pub mod report;
pub mod run;
pub mod settings;

pub use report::LoadReport;
pub use run::{LoadError, run};
pub use settings::LoadSettings;
