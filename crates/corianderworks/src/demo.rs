//! Demonstration of the promises under faults.
