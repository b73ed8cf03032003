#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
set -euo pipefail
cd "$(dirname "$0")"

root=$(cd ../.. && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
status=0
timeout -k 5 110 ../.build/faultyreplicas damage "$root" "$work" "$PWD/record.txt" || status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
