#!/bin/sh
# Builds the stand-ins of the second review, without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/review-2 review/stand-ins-2/main.rs
