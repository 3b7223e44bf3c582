//! Choice of the daemons that a caller should use.
