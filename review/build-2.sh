#!/usr/bin/env bash
# Builds the stand-ins and judges of the second review into target/review-2/, after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for case in endlesslines endlessorders handoverbodies crashloop staleconfig; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$case" \
    "review/$case.cpp" review/testbed.cpp
done
