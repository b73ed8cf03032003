#!/usr/bin/env bash
# Makes the committed code of the Cap'n Proto schemas again.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++:src/peer --src-prefix=src/peer -I/usr/include src/peer/peer.capnp
capnp compile -oc++:src/gateway --src-prefix=src/gateway -I/usr/include src/gateway/mesh.capnp
clang-format -i src/peer/peer.capnp.h src/gateway/mesh.capnp.h
