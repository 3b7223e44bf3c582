//! Plots of a run.
