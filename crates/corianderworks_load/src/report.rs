//! Figures of a run.
