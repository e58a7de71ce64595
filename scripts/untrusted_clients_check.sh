#!/usr/bin/env bash
# Crowds of clients that exceed limits, stay unfinished or do not read, against
# the gateway program: the process lives, its memory and descriptors stay under
# fixed bounds, and one ordinary request is answered afterwards. Needs a release
# build, because memory under the address sanitizer says nothing.
# Usage: untrusted_clients_check.sh BUILD_DIRECTORY [CROWD...]
set -euo pipefail
cd "$(dirname "$0")/.."
gateway=$(cd "$1" && pwd)/bin/turmericwinch_gateway
shift
exec python3 tests/adapter/untrusted_clients.py "$gateway" "$@"
