#!/usr/bin/env bash
# Removes one mechanism of the gateway at a time in a scratch copy and checks that its tests notice.
#
#   scripts/mutate.sh [NAME...]      all lines of tests/mutations.tsv, or those named
#
# The last column of a line is a test group, or Group.test for a single test of a group that runs long.
# Exits with 1 when a change goes unnoticed or does not apply. Takes about half a minute a line.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z --cached --others --exclude-standard | grep -zv '^journal/' | xargs -0 cp --parents -t "$scratch"
cd "$scratch"
CCACHE_BASEDIR=/ cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target unit_tests >/dev/null
unnoticed=0
while IFS=$'\t' read -r name file from to group; do
  [ -z "$name" ] || [ "${name:0:1}" = '#' ] && continue
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  from=${from//\\n/$'\n'}
  to=${to//\\n/$'\n'}
  test=""
  [[ $group == *.* ]] && test=${group#*.}
  cp "$file" original
  from="$from" to="$to" perl -0pi -e 's/\Q$ENV{from}\E/$ENV{to}/ or exit 3' "$file" || {
    echo "$name: does not apply to $file"
    unnoticed=1
    cp original "$file"
    continue
  }
  if ! cmake --build build --target unit_tests >build.log 2>&1; then
    echo "$name: does not build"
    unnoticed=1
  elif timeout 300 build/unit_tests -sg "${group%%.*}" ${test:+-sn "$test"} >test.log 2>&1; then
    echo "$name: NOT noticed by $group"
    unnoticed=1
  else
    echo "$name: noticed: $(grep -o 'Failure in TEST([^)]*)' test.log | head -1 | cut -c12-)"
  fi
  cp original "$file"
done < "$root/tests/mutations.tsv"
exit $unnoticed
