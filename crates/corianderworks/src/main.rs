//! The corianderworks binary.

mod api;
mod body;
mod capacity;
mod cli;
mod commands;
mod control;
mod daemon;
mod demo;
mod experiment;
mod grants;
mod headers;
mod home;
mod job;
mod kernel;
mod keys;
mod peer;
mod permits;
mod platform;
mod proxy;
mod refusal;
mod relay;
mod store;
mod telemetry;
mod upstream;
mod view;

fn main() {}
