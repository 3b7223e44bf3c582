//! Control loop: membership, configuration and placement.
