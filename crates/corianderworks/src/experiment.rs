//! Scripted scenarios against the decision machines.
