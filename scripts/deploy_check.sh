#!/usr/bin/env bash
# Builds what deploy/system.toml says, from a clean checkout of the last commit,
# and checks that its programs exist and know the settings it gives them.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_DIR=${CCACHE_DIR:-$PWD/.cache/ccache}
export CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros
export CMAKE_CXX_COMPILER_LAUNCHER=ccache
checkout=build-deploy
rm -rf "$checkout"
git clone -q . "$checkout"
cd "$checkout"
export CCACHE_BASEDIR=$PWD
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$build" ] || { echo "deploy/system.toml names no build command" >&2; exit 1; }
bash -c "$build" >build.log 2>&1 || { tail -40 build.log; exit 1; }
sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | while read -r program words; do
  [ -x "$program" ] || { echo "$program was not built" >&2; exit 1; }
  known=$("$program" --help)
  for word in $words; do
    flag=${word%%=*}
    grep -q -- "  $flag  " <<<"$known" || { echo "$program does not know $flag" >&2; exit 1; }
  done
done
rm -rf "../$checkout"
echo "deploy check passed"
