#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2; they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/harness-2/main.rs
rustc --edition 2024 -O -o target/review-2/cases-3 review/harness-3/main.rs
