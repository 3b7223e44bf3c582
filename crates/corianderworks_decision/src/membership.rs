//! Membership and failure detection.
