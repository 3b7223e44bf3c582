//! The corianderworks binary.

fn main() {}
