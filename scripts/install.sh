#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy jq curl
  libasio-dev libcapnp-dev capnproto prometheus-cpp-dev libcpp-httplib-dev libcxxopts-dev libfmt-dev
  libboost1.81-dev libhttp-parser-dev libcpputest-dev libyaml-cpp-dev nlohmann-json3-dev libssl-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
fi
