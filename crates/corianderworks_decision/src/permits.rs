//! Ejection permits, which keep the healthy capacity of a service above its floor.
