#!/usr/bin/env bash
# Builds and runs the proofs of the guarantees under injected faults.
#
# usage: scripts/proofs.sh [--seed N] [--only NAME]
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh >/dev/null
CICADAFORK_BIN_DIR=$PWD/build exec build/proofs "$@"
