//! Stand-in for the platform's object API and VM list.
