//! Retry budget and hedging.
