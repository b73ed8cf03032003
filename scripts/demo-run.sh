#!/usr/bin/env bash
# The part of scripts/demo.sh that runs against the started system.
set -euo pipefail

targets=()
for daemon in $CICADAFORK_DAEMONS; do
  targets+=(--target "$daemon")
done
set -- $CICADAFORK_DAEMONS

echo
echo "\$ cicadafork ctl $1 'show services'"
build/cicadafork ctl "$1" 'show services'
echo "\$ curl -N http://$1/v1/completions (streamed)"
credential=$(head -n 1 "$TRACE" | jq -r .credential)
model=$(head -n 1 "$TRACE" | jq -r .target)
curl -sN "http://$1/v1/completions" -H "Authorization: Bearer $credential" \
  -d "{\"model\":\"$model\",\"prompt\":\"Which gates are open tonight?\",\"max_tokens\":3,\"stream\":true}"
echo "\$ cicadafork load --trace $TRACE"
build/cicadafork load --trace "$TRACE" "${targets[@]}" --seed 1 --out "$OUT"
echo
echo "\$ cicadafork ctl $1 'show configuration'"
build/cicadafork ctl "$1" 'show configuration'
