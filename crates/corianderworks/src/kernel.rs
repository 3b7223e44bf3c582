//! Services of a daemon that find each other by name.
