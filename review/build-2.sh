#!/bin/bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file: the project's stand-in of the
# platform's store, and the stand-ins of clients, servers and the operator, which use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p foxwheel-platform-emu
mkdir -p target/review-2
rustc -O --edition 2021 review/standins-2/rig.rs -o target/review-2/rig
