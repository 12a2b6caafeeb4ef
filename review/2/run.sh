#!/usr/bin/env bash
# Case 2: a surplus rejection that arrives late is taken for the answer to the next request.
# Exits with 1 if TWICE or REFUSED was broken, 0 if both held, 2 if the case couldn't run.
# TROUBLE=0 leaves the surplus answers out. SEED=N (default 1) repeats a run's draws.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/surplus ] || { echo "run review/build.sh first" >&2; exit 2; }
RECORD=review/2/record.txt exec target/review/release/surplus
