//! Idempotency keys at the daemon that issued them.
