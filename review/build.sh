#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/.build.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p .build
for program in faultyreplicas largebodies; do
  g++ -std=c++20 -O2 -Wall -Wextra -Werror -pthread -o ".build/$program" "$program.cpp" net.cpp platform.cpp
done
