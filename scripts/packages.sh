#!/usr/bin/env bash
# Installs the packages that the build and the tests need.
set -euo pipefail
packages=(
  g++ clang cmake ninja-build ccache lld pkg-config clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libpopt-dev liblog4cxx-dev libcpputest-dev libthrift-dev thrift-compiler
  libxxhash-dev libssl-dev
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then exit 0; fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${packages[@]}" >/dev/null
