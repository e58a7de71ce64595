#!/usr/bin/env bash
# Builds everything. Usage: build.sh release|asan|tsan [TARGET...]
# The result is in build-NAME. TW_JOBS bounds the compilers that run at once.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-release}
shift || true
export CCACHE_DIR=${CCACHE_DIR:-$PWD/.cache/ccache}
# Worktrees of the same sources share what was compiled.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
export CCACHE_SLOPPINESS=pch_defines,time_macros
case $kind in
  release) options=(-DCMAKE_BUILD_TYPE=RelWithDebInfo) ;;
  asan) options=(-DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" -DTW_SANITIZE=address,undefined) ;;
  tsan) options=(-DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" -DTW_SANITIZE=thread
    # The sanitizer knows no fences; the scheduler's mutex orders the same accesses.
    -DCMAKE_CXX_FLAGS="-Wno-tsan -DBOOST_ASIO_DISABLE_FENCED_BLOCK") ;;
  *) echo "unknown build: $kind" >&2; exit 2 ;;
esac
cmake -S . -B "build-$kind" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "${options[@]}" >"build-$kind.log" 2>&1 ||
  { cat "build-$kind.log"; exit 1; }
ninja -C "build-$kind" -j "${TW_JOBS:-$(nproc)}" -k 20 "$@" >"build-$kind.log" 2>&1 ||
  { grep -E 'error|undefined|FAILED' "build-$kind.log" | cut -c1-400 | head -40; exit 1; }
