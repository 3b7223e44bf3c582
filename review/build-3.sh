#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to review/15. Standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in review/stand-ins-3/*.rs; do
    program=$(basename "$name" .rs)
    if [ "$program" != kit ]; then
        rustc --edition 2024 -O -o "target/review-3/$program" "$name"
    fi
done
