#!/usr/bin/env bash
# Builds every stand-in and driver of the review's scripts. Needs no network: they use the
# standard library only. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
