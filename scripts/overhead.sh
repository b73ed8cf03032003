#!/usr/bin/env bash
# Builds, and measures the time to first token that one idle daemon adds to an engine's, and 1,000
# concurrent streams through one daemon. Exits with 1 when a target is missed.
#
# usage: scripts/overhead.sh
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
CICADAFORK_BIN_DIR=$PWD/build exec build/overhead
