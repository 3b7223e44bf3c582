//! Differences between two list versions.
