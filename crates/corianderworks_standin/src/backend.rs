//! Stand-in for a backend server.
