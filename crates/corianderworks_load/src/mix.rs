//! Seeded mix of requests.
