#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. Needs the
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
pids=()
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  name=case-$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" \
    -o "build-review-2/$name" -lboost_json &
  pids+=("$!")
done
for pid in "${pids[@]}"; do wait "$pid"; done
