#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in kit/free_ports.cc [1-5]/*.cc; do
  [ -e "$source" ] || continue
  case $source in
    kit/*) name=free_ports ;;
    *) name=case_${source%%/*} ;;
  esac
  g++ -std=c++20 -O1 -Wall -Wextra -Ikit "$source" -o "bin/$name" -lboost_json -pthread
done
