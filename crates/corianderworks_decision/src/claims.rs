//! At-most-once execution of requests with an idempotency key.
//!
//! Two kinds of keys exist. A key under an *issued prefix* is decided by the daemon run that
//! issued the prefix, in a [`KeyTable`]. A *caller-generated* key needs a claim in the
//! platform, which a [`ClaimMachine`] writes.
//!
//! Both issue a [`DispatchPermission`], the right to dispatch the request once, and convert it into
//! [`Dispatched`] only before the dispatch deadline, so a request can't be sent to a backend server
//! without the deadline check:
//!
//! ```compile_fail
//! use corianderworks_decision::claims::{DispatchPermission, Dispatched, Issued};
//! fn dispatch(proof: &Dispatched<Issued>) {}
//! fn unchecked(permission: DispatchPermission<Issued>) {
//!     dispatch(&permission);
//! }
//! ```
//!
//! The answer "not run" holds for the key, not for one request: a later request with the same key
//! must not run either. A key that was answered with "not run" is therefore *sealed*, and a caller
//! that wants to retry uses a new suffix.

mod claim;
mod key;
mod permission;
mod table;

pub use claim::{
    Attempt, ClaimAction, ClaimAnswer, ClaimMachine, ClaimRecord, ClaimState, ReadResult,
    WriteBudget, WriteResult,
};
pub use key::{CALLER_KEY_MAX_BYTES, IssuedKey, KeyError, KeyRoute, SUFFIX_MAX_BYTES, route};
pub use permission::{
    Claimed, DispatchCheck, DispatchPermission, Dispatched, Issued, Keyless, NotRunReason,
};
pub use table::{
    BeginResult, FIRST_USE_WINDOW, KEY_LIFETIME, KEY_TABLE_MAX, KeyState, KeyTable, Outcome,
};
