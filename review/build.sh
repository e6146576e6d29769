#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review. Its packages are those of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
