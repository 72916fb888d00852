#!/usr/bin/env bash
# The main job: builds foxwheel, then starts every process on loopback with the stand-ins
# (platform store, engines, services), applies examples/fleet.json, sends the mixed load
# of examples/experiment.json for a bounded time, prints the report, and stops everything.
# FOXWHEEL_EXPERIMENT names another experiment, e.g. examples/experiment-faults.json.
# Exit status: non-zero when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked
out=run/demo
rm -rf "$out"
status=0
target/release/foxwheel-load run \
  --experiment "${FOXWHEEL_EXPERIMENT:-examples/experiment.json}" --out "$out" || status=$?
echo "result, plots (SVG), settings and logs: $out"
exit "$status"
