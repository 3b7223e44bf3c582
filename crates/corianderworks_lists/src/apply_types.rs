//! Calls, replies and outcomes of a change.

use std::time::Duration;

use jiff::Timestamp;
use serde::Serialize;

use crate::diff::Diff;
use crate::lists::{Customers, Plans};
use crate::manifest::AuditRecord;

/// A change to commit.
#[derive(Debug, Clone)]
pub struct Request {
    /// New list of customers.
    pub customers: Customers,
    /// New list of plans.
    pub plans: Plans,
    /// Version that the operator edited; 0 if there was none.
    pub base_version: u64,
    /// Unique id of the change.
    pub change_id: String,
    /// Operator who makes the change.
    pub who: String,
    /// Time of the change, for the record.
    pub when: Timestamp,
    /// Reason given by the operator.
    pub reason: String,
}

/// A call to the platform, to be carried out by the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read an object.
    Read(String),
    /// Write an object that must not exist.
    Create(String, Vec<u8>),
    /// Replace an object that must have this version.
    Update(String, u64, Vec<u8>),
    /// Delete an object that must have this version.
    Delete(String, u64),
    /// List the objects with this prefix.
    List(String),
    /// Wait, then reply `Resumed`.
    Pause(Duration),
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Value and version of an object, `None` if absent.
    Object(Option<(Vec<u8>, u64)>),
    /// Names and versions of the listed objects.
    Listed(Vec<(String, u64)>),
    /// The write was applied.
    Written,
    /// The condition of the write did not hold.
    Conflict,
    /// The write may have been applied.
    Unknown,
    /// The call failed without effect.
    Failed(String),
    /// The pause is over.
    Resumed,
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The change is committed.
    Applied(Applied),
    /// The lists equal the version in force.
    Unchanged {
        /// Version in force.
        version: u64,
    },
    /// Another change was committed first; nothing was changed.
    Outdated {
        /// Version in force.
        version: u64,
        /// Changes since the base version, newest first. Incomplete if there
        /// were more than a manifest records.
        since_base: Vec<AuditRecord>,
    },
    /// The platform failed; nothing was changed.
    Failed(String),
    /// The commit was sent, and the platform failed before its result was known.
    Undetermined(String),
}

/// A committed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// Version that the change produced.
    pub version: u64,
    /// Differences from the base version; empty if the change had been
    /// committed by an earlier run.
    pub diff: Diff,
    /// Chunks written.
    pub chunks: usize,
    /// Size of the manifest and of the chunks written, in bytes.
    pub shipped_bytes: usize,
    /// Old chunks deleted.
    pub deleted: usize,
}

/// Next action of the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Carry out the call and pass on its reply.
    Call(Call),
    /// The change is finished.
    Done(Outcome),
}
