//! At-most-once execution of requests with an idempotency key.
//!
//! Two kinds of keys exist. A key under an *issued prefix* is decided by the daemon run that
//! issued the prefix, in a [`KeyTable`]. A *caller-generated* key needs a claim in the
//! platform, which a [`ClaimMachine`] writes.
//!
//! Both give out a [`Permission`] and turn it into a [`HandedOver`] only when the dispatch
//! deadline has not passed, so a request can't be handed to a backend server unchecked:
//!
//! ```compile_fail
//! use corianderworks_decision::claims::{HandedOver, Issued, Permission};
//! fn dispatch(proof: &HandedOver<Issued>) {}
//! fn unchecked(permission: Permission<Issued>) {
//!     dispatch(&permission);
//! }
//! ```
//!
//! "Not run" is a statement about the key, not about one arrival of it: a late arrival of the
//! same key may not run afterwards. A key that was answered with "not run" is therefore
//! *sealed*, and a caller that wants to try again uses a new suffix.

mod claim;
mod key;
mod permission;
mod table;

pub use claim::{
    Attempt, ClaimAction, ClaimAnswer, ClaimMachine, ClaimRecord, ClaimState, CreateResult,
    ReadResult, WriteBudget,
};
pub use key::{CALLER_KEY_MAX_BYTES, IssuedKey, KeyError, KeyRoute, SUFFIX_MAX_BYTES, route};
pub use permission::{Claimed, HandOver, HandedOver, Issued, Keyless, NotRunReason, Permission};
pub use table::{Begin, KEY_LIFETIME, KEY_TABLE_MAX, KeyState, KeyTable, Outcome, PREFIX_USE};
