//! Scheduling of the requests of one service at one of its homes.
