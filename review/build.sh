#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need only the standard library of Rust.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in lost_pipelined drain_after_cut lost_busy_connection memory_of_bodies; do
    rustc --edition 2024 -O -o "target/review/$case" "review/stand-ins/$case.rs"
done
