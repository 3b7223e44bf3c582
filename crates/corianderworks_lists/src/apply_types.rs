//! Calls to the platform, their replies and the outcomes of a change.

use std::time::Duration;

use jiff::Timestamp;
use serde::Serialize;

use crate::diff::Diff;
use crate::lists::{Customers, Plans};
use crate::manifest::AuditRecord;

/// A change to commit.
#[derive(Debug, Clone)]
pub struct Request {
    /// Complete list of customers after the change.
    pub customers: Customers,
    /// Complete list of services and plans after the change.
    pub plans: Plans,
    /// Version that the operator edited, 0 if none had been committed.
    pub base_version: u64,
    /// Unique id of the change. A repeated attempt with the same id is applied at most once.
    pub change_id: String,
    /// Operator who makes the change.
    pub who: String,
    /// Time of the change for the audit record.
    pub when: Timestamp,
    /// Reason given by the operator for the audit record.
    pub reason: String,
}

/// A call to the platform that the driver of the state machine performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read the object at this path.
    Read(String),
    /// Create the object at this path; a conflict if it exists.
    Create(String, Vec<u8>),
    /// Replace the object at this path; a conflict if it does not have this version.
    Update(String, u64, Vec<u8>),
    /// Delete the object at this path; a conflict if it does not have this version.
    Delete(String, u64),
    /// List the objects whose path has this prefix.
    List(String),
    /// Wait for this time, then reply `Resumed`.
    Pause(Duration),
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Value and version of an object, `None` if it does not exist.
    Object(Option<(Vec<u8>, u64)>),
    /// Names and versions of the listed objects.
    Listed(Vec<(String, u64)>),
    /// The write was applied.
    Written,
    /// The condition of the write did not hold.
    Conflict,
    /// The write may or may not have been applied.
    Unknown,
    /// The call failed without effect.
    Failed(String),
    /// The wait of a `Pause` is over.
    Resumed,
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The change is committed.
    Applied(Applied),
    /// The lists equal the version in force; nothing was written.
    Unchanged {
        /// Version in force.
        version: u64,
    },
    /// Another change was committed first; nothing was changed.
    Outdated {
        /// Version in force.
        version: u64,
        /// Changes since the base version, newest first. Incomplete if there were more than the
        /// manifest holds.
        since_base: Vec<AuditRecord>,
    },
    /// The change could not be committed, for example because a call failed on every attempt;
    /// nothing was changed.
    Failed(String),
    /// The commit was sent, and later calls failed before its result was known.
    Undetermined(String),
}

/// A committed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// Version that the change produced.
    pub version: u64,
    /// Differences from the base version, empty if an earlier run had already committed the change.
    pub diff: Diff,
    /// Number of chunks written.
    pub chunks: usize,
    /// Total size of the manifest and the chunks written, in bytes.
    pub shipped_bytes: usize,
    /// Number of unreferenced chunks deleted after the commit.
    pub deleted: usize,
}

/// Next action for the driver of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Perform the call and pass its reply to `Apply::handle_reply`.
    Call(Call),
    /// The change is finished.
    Done(Outcome),
}
