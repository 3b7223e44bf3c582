//! Strict parsing of JSON with comments.
