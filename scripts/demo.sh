#!/usr/bin/env bash
# Installs, builds, and shows the fleet at work on loopback: stand-ins of the
# platform and of both firms' targets, three entry hosts in two failure domains,
# one set with the sample configuration of both firms, traffic, a killed host, a
# domain cut off from the platform and healed, and at the end what was
# answered, run and billed. Exits non-zero if that does not agree.
# Usage: demo.sh [BUILD_DIRECTORY], which skips installing and building.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -eq 0 ]; then
  scripts/packages.sh
  scripts/build.sh release daemons
fi
bin=$(cd "${1:-build-release}" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT
say() { printf '\n== %s\n' "$*"; }

say "stand-ins: platform, two engines, two services in each failure domain"
start platform "$bin/standin_platform" \
  --domain-listen=dk-east-a=127.0.0.1:0,badagry-yard=127.0.0.1:0
platform=$(stand_in_address platform)
wait_for "the domains' listeners" grep -q badagry-yard "$TW_WORK/platform.out"
platform_of() { sed -n "s/^$1 //p" "$TW_WORK/platform.out"; }
targets=()
engines=()
services=()
# target NAME DOMAIN CLASS PROGRAM: starts a target and lists it.
target() {
  start "$1" "$bin/$4"
  local address
  address=$(stand_in_address "$1")
  targets+=('{"name":"'"$1"'","failure_domain":"'"$2"'","address":"'"$address"'","incarnation":"1","class":"'"$3"'","state":"live"}')
  case $4 in
    standin_engine) engines+=("$address") ;;
    *) services+=("$address") ;;
  esac
}
for it in dk-east-a badagry-yard; do
  target "llm-$it" "$it" llm-large standin_engine
  target "kelp-$it" "$it" kelp-gpu standin_engine
  target "drawer-$it" "$it" drawer-app standin_service
  target "rack-$it" "$it" rack-ledger standin_service
done
join() { local IFS=,; echo "$*"; }
hosts='{"name":"host-1","failure_domain":"dk-east-a","state":"live"},{"name":"host-2","failure_domain":"dk-east-a","state":"live"},{"name":"host-3","failure_domain":"badagry-yard","state":"live"}'
curl -sf -X PUT "http://$platform/hosts" \
  -d "{\"hosts\":[$hosts],\"targets\":[$(join "${targets[@]}")]}" >/dev/null

say "configuration of both firms, published as one set"
mkdir "$TW_WORK/set"
for it in samples/*/*.json; do
  cp "$it" "$TW_WORK/set/$(basename "$(dirname "$it")")-$(basename "$it")"
done
export TURMERICWINCH_OPERATOR_TOKEN=token
"$bin/winch" apply "$TW_WORK/set" --platform="$platform" | tail -n 1

say "three entry hosts in two failure domains"
callers=()
pids=()
for n in 1 2 3; do
  domain=dk-east-a
  if [ "$n" = 3 ]; then domain=badagry-yard; fi
  start "host-$n" "$bin/turmericwinchd" --host="host-$n" \
    --failure-domain="$domain" --platform="$(platform_of "$domain")" \
    --listen=127.0.0.1:0 --operator-listen=127.0.0.1:0
  pids+=("$TW_PID")
  callers+=("$(daemon_address "host-$n" callers)")
  wait_for "host-$n to be ready" \
    curl -sf "http://$(daemon_address "host-$n" operators)/readyz"
  echo "host-$n in $domain serves callers at ${callers[-1]}"
done

say "traffic for 20 s; host-2 is killed and badagry-yard cut off on the way"
skuffekort=turmericwinch-llm:/services/drawer-app/checkouts:/services/drawer-app/drawers
okonkwo=kelp-model:/services/rack-ledger/sales:/services/rack-ledger/racks
start load "$bin/tw_load" --hosts="$(join "${callers[@]}")" \
  --callers="demo-archive-key:$skuffekort,demo-library-key:$skuffekort,demo-supervisor-key:$okonkwo,demo-picker-key:$okonkwo" \
  --rate=40 --duration=20000 --settle-time=30000 --attempts=6 \
  --platform="$platform" --engines="$(join "${engines[@]}")" \
  --services="$(join "${services[@]}")" --lost-hosts="host-2=${callers[1]}" \
  --svg="$TW_WORK/demo.svg"
load=$TW_PID
sleep 5
kill -9 "${pids[1]}"
{ wait "${pids[1]}" || true; } 2>/dev/null
echo "killed host-2"
sleep 3
curl -sf -X PUT "http://$platform/faults" -d '{"cut":["badagry-yard"]}' >/dev/null
echo "cut badagry-yard off from the platform"
sleep 6
curl -sf -X PUT "http://$platform/faults" -d '{}' >/dev/null
echo "healed badagry-yard"
code=0
wait "$load" || code=$?
cat "$TW_WORK/load.out" "$TW_WORK/load.err"
cp "$TW_WORK/demo.svg" demo.svg 2>/dev/null || true

say "budgets"
for it in national-archive-2026 city-library-2026 supervisors-2026 pickers-2026; do
  "$bin/winch" budget show "$it" --platform="$platform"
done
say "calls to the platform"
curl -sf "http://$platform/stats"
echo
if [ "$code" -ne 0 ]; then
  echo "demo: FAILED, the reconciliation does not agree" >&2
  exit "$code"
fi
echo "demo: passed; the plot is in demo.svg"
