#!/bin/sh
# Builds the stand-ins and cases of the second review, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
