#!/bin/bash
# Plays the case; see claim.txt. Exit code: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/storm ] && [ -x target/release/corianderworks ] || exit 2
target/review-3/storm review/14
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
