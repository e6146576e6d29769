#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/harness-2/main.rs
