#!/usr/bin/env bash
# All checks: packages, build with warnings as errors, format and linter, unit
# and contract tests under ASan and UBSan, threaded tests under TSan, and the
# whole path as separate processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh asan
# log4cxx and OpenSSL keep state until the process ends; only our leaks count.
export ASAN_OPTIONS=detect_leaks=0
# The tests that KNOWN-RED.txt names are left out, and printed at the end.
if [ -s KNOWN-RED.txt ]; then export TURMERICWINCH_KNOWN_RED=$PWD/KNOWN-RED.txt; fi
ctest --test-dir build-asan --output-on-failure -j "$(nproc)"
scripts/smoke.sh build-asan
scripts/errors_check.sh build-asan
scripts/system_test.sh build-asan
scripts/keyed_chat_test.sh build-asan
scripts/quarantine_test.sh build-asan
scripts/routing_check.sh build-asan
scripts/lending_check.sh build-asan
scripts/build.sh tsan daemons threaded_tests
export TSAN_OPTIONS=halt_on_error=1
ctest --test-dir build-tsan -L threaded --output-on-failure --no-tests=ignore
scripts/smoke.sh build-tsan
scripts/lint.sh
scripts/deploy_check.sh
scripts/logs_check.sh
if [ -s KNOWN-RED.txt ]; then
  echo "known red:"
  cat KNOWN-RED.txt
fi
