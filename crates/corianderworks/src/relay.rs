//! Relay of requests between daemons.
