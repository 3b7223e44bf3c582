//! Assembly of a daemon.
