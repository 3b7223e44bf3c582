//! Manifest of a list version, the commit point of a change.
