//! Connections to backend servers.
