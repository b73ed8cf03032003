#!/usr/bin/env bash
# Checks format and lint. With --fix, formats the sources instead of complaining.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\0' "${units[@]}" | xargs -0 -n 4 -P "$(nproc)" clang-tidy -p build --quiet 2>/dev/null
echo "format and lint: clean"
