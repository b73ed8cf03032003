#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
cat KNOWN-RED.txt
ctest --test-dir build --output-on-failure
