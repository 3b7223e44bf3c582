//! Newest known configuration version; never moves back.
