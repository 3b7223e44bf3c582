//! Content-addressed chunks of a list version.
