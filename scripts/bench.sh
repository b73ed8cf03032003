#!/usr/bin/env bash
# Builds, and compares the routing policies on the same generated traces with both users' fleets.
# docs/BENCHMARKS.md describes the method and the files.
#
# usage: scripts/bench.sh --seed N --out DIR [--fleet karri-ridge|coop] [--quick]
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
CICADAFORK_BIN_DIR=$PWD/build exec build/bench "$@"
