#!/bin/sh
# Builds the stand-ins that review/11 to review/15 start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc -O --edition 2024 -o target/review/review-3 review/harness-3/main.rs
