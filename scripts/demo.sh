#!/usr/bin/env bash
# Installs what is missing, builds, starts the system as separate processes on loopback, and replays
# a recorded day with prompts of 1k to 1M tokens; every answer is checked in full.
#
# usage: scripts/demo.sh [TRACE]
set -euo pipefail
cd "$(dirname "$0")/.."

trace=${1:-traces/karri-ridge.jsonl}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

scripts/build.sh
echo "starting 8 daemons, 8 engines and 3 service endpoints in 3 failure domains"
export CICADAFORK_BIN_DIR=$PWD/build OUT=$out TRACE=$trace
build/cluster --trace "$trace" -- /bin/bash scripts/demo-run.sh
