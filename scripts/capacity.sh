#!/usr/bin/env bash
# Measures what a daemon costs against the size of the system and prints the slopes.
#
# usage: scripts/capacity.sh --out DIR [--quick]
#
# Writes DIR/lines.jsonl (one line per arrangement, see tests/tools/capacity.cpp) and DIR/slopes.txt.
# A full run takes at most 8 minutes, --quick at most 2; arrangements that no longer fit are named
# as not run. Needs build/ (scripts/build.sh) and no other process that uses up the thread ids.
set -euo pipefail
cd "$(dirname "$0")/.."

out=
quick=
while [ $# -gt 0 ]; do
  case $1 in
    --out) out=$2; shift ;;
    --quick) quick=1 ;;
    *) echo "usage: scripts/capacity.sh --out DIR [--quick]" >&2; exit 2 ;;
  esac
  shift
done
[ -n "$out" ] || { echo "usage: scripts/capacity.sh --out DIR [--quick]" >&2; exit 2; }
mkdir -p "$out"
lines=$out/lines.jsonl
: >"$lines"
export CICADAFORK_BIN_DIR=$PWD/build
limit=$((SECONDS + 450))
[ -z "$quick" ] || limit=$((SECONDS + 100))

measure() {
  local name=$1
  shift
  if [ $SECONDS -ge "$limit" ]; then
    echo "$name: not run, the time is used up" | tee -a "$out/skipped.txt"
    return
  fi
  if ! timeout 90 build/capacity --name "$name" "$@" >"$out/line.json" 2>"$out/error.txt"; then
    echo "$name: not run, $(tail -n 1 "$out/error.txt")" | tee -a "$out/skipped.txt"
    return
  fi
  cat "$out/line.json" >>"$lines"
}

: >"$out/skipped.txt"
seconds=5
if [ -n "$quick" ]; then
  measure target --daemons 12 --endpoints 20 --domains 8 --far-endpoints 20 --far-unreachable 11 \
    --workspaces 690 --seconds $seconds --probes 3
  for n in 1 8; do measure daemons --daemons $n --endpoints 8 --seconds $seconds; done
  measure return --daemons 8 --seconds 1 --return 4
else
  measure target --daemons 45 --endpoints 75 --domains 8 --far-endpoints 75 --far-unreachable 44 \
    --workspaces 690 --seconds 10 --probes 5
  for n in 1 4 8 16 32 64; do
    measure daemons --daemons $n --endpoints 8 --seconds $seconds --probes 2
  done
  for n in 3 48 192; do measure endpoints --daemons 4 --endpoints $n --seconds $seconds; done
  for n in 1 44; do
    measure listed --daemons 4 --domains 8 --far-endpoints 8 --far-unreachable $n --seconds $seconds
  done
  for n in 10 690; do measure workspaces --daemons 4 --workspaces $n --seconds $seconds; done
  for n in 0 60; do
    measure changes --daemons 4 --workspaces 690 --changes-per-minute $n --seconds $seconds
  done
  for n in 1 50 200; do measure streams --daemons 2 --streams $n --seconds $seconds; done
  measure return --daemons 8 --seconds 1 --return 1
  measure return --daemons 20 --endpoints 8 --seconds 1 --return 16
fi

jq -rs --arg columns "core% mean,core% max,MB mean,sent B/s,received B/s,heartbeats/s,status/s,system appends/s,system reads/s" '
  def row: [.core_percent.mean, .core_percent.max, .memory_mb.mean,
    .bytes_per_second.sent.all.mean, .bytes_per_second.received.all.mean,
    (.messages_per_second.peer_heartbeat // 0), (.messages_per_second.endpoint_status // 0),
    .system_per_second.log_append, .system_per_second.log_read];
  def size: . as $l | if .name == "listed" then .case["far-unreachable"] * 7
    elif .name == "changes" then .case["changes-per-minute"]
    elif .case[.name] then .case[.name] else .case.daemons end;
  def short: . * 100 | round / 100;
  ("arrangement\tsize\t" + ($columns | gsub(","; "\t"))),
  (.[] | [.name, size] + (row | map(short)) | @tsv),
  (group_by(.name)[] | select(length > 1 and .[0].name != "return") | sort_by(size)
   | . as $g | ($g[-1] | size) - ($g[0] | size) | select(. > 0) as $d
   | ["slope of " + $g[0].name, "per unit"]
     + ([range(0; 9) | . as $i | ((($g[-1] | row)[$i] - ($g[0] | row)[$i]) / $d) * 10000 | round / 10000])
   | @tsv),
  (.[] | select(.in_force) | "in force, \(.name) \(size): mean \(.in_force.milliseconds.mean // 0 | round) ms, max \(.in_force.milliseconds.max // 0) ms, missed \(.in_force.missed)"),
  (.[] | select(.return) | "return of \(.return.daemons): complete after \(.return.complete_ms) ms, each \(.return.processor_seconds_each.mean | short) s of a core and \(.return.bytes_each | round) B in \(.return.seconds_counted | short) s; \(.return.reads) reads and \(.return.appends) appends; others \(.return.processor_seconds_of_others.mean | short) s in \(.return.seconds_of_others | short) s")
' "$lines" | tee "$out/slopes.txt"
