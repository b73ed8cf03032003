#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -DASIO_STANDALONE -DASIO_NO_DEPRECATED -Isrc -I. -Itests -Istandins -Ireview)
libraries=(target/libcicadafork_core.a -lcapnp-rpc -lcapnp -lkj-async -lkj -lyaml-cpp -lfmt -lssl
           -lcrypto -lprometheus-cpp-core -lcpp-httplib -lhttp_parser -lpthread)
shared=(review/bed3.cpp tests/support/platformstandin.cpp tests/support/process.cpp
        tests/support/network.cpp tests/support/settingstemplate.cpp)
objects=()
jobs=()
for source in "${shared[@]}"; do
  object="$out/$(basename "$source" .cpp).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=("$!")
  objects+=("$object")
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for program in starvedtenant flappingreplica rolledfleet olderentry lostblock; do
  g++ "${flags[@]}" "review/$program.cpp" "${objects[@]}" "${libraries[@]}" -o "$out/$program"
done
