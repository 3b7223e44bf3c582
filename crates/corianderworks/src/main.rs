//! The corianderworks binary.

mod capacity;
mod cli;
mod commands;
mod control;
mod daemon;
mod demo;
mod experiment;
mod grants;
mod kernel;
mod keys;
mod peer;
mod platform;
mod proxy;
mod relay;
mod telemetry;
mod upstream;

fn main() {}
