//! Slots of the upstreams that a daemon owns.
