#!/usr/bin/env bash
# Checks format and runs the linter over all sources, or over those given.
# A source that passed is not linted again until it, a header or the
# configuration changes.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files --cached --others --exclude-standard 'src/*.cc' 'src/*.h' 'platform/*.cc' 'platform/*.h' 'tests/*.cc' 'tests/*.h' | grep -v /gen/)
clang-format --dry-run -Werror "${all[@]}"
mkdir -p .cache/lint
# clang-tidy reads neither GCC's precompiled headers nor all of its flags.
cmake -S . -B build-lint -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >build-lint.log 2>&1
base=$(cat .clang-tidy $(printf '%s\n' "${all[@]}" | grep '\.h$') | sha256sum | cut -c1-16)
if [ $# -gt 0 ]; then sources=("$@"); else mapfile -t sources < <(printf '%s\n' "${all[@]}" | grep '\.cc$'); fi
lint_one() {
  local key
  key=.cache/lint/$(cat "$2" | sha256sum | cut -c1-24)-$1
  [ -e "$key" ] && return 0
  if clang-tidy -quiet -p build-lint "$2" >"$key.out" 2>&1; then
    rm -f "$key.out"
    touch "$key"
    return 0
  fi
  grep -E 'error:|warning:' "$key.out" || cat "$key.out"
  rm -f "$key.out"
  return 1
}
export -f lint_one
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c "lint_one $base {}"
