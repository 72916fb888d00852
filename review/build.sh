#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review. They need only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
