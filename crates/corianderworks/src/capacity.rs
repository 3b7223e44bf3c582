//! Measurement of the slopes behind the capacity page.
