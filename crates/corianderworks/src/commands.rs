//! Commands for operators.
