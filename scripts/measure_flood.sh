#!/usr/bin/env bash
# Measures what one team's flood does to another team's first token. One engine
# of TW_SLOTS at once; a team with one caller, alone and beside a team of
# TW_FLOOD callers; hosts share the callers evenly.
# Usage: measure_flood.sh BUILD_DIRECTORY
# Environment: TW_HOSTS (1), TW_SLOTS (16), TW_MOST (16, the configured
# most_in_flight), TW_FLOOD (48), TW_FIRST_US (100000), TW_BETWEEN_US (10000),
# TW_TOKENS (20), TW_MEASURE_MS (20000), TW_WARM_MS (15000, flood before the
# measurement).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT
hosts=${TW_HOSTS:-1} slots=${TW_SLOTS:-16} most=${TW_MOST:-16} flood=${TW_FLOOD:-48}
tokens=${TW_TOKENS:-20} ms=${TW_MEASURE_MS:-20000} warm=${TW_WARM_MS:-15000}

start platform "$bin/standin_platform"
platform=$(stand_in_address platform)
start engine "$bin/standin_engine" --slots="$slots" \
  --first-token="${TW_FIRST_US:-100000}" --between-tokens="${TW_BETWEEN_US:-10000}"
engine=$(stand_in_address engine)
mkdir "$TW_WORK/set"
for it in samples/skuffekort/*.json; do
  sed -e 's/"most_in_flight": 64/"most_in_flight": '"$most"'/' \
    -e 's/"most_in_flight": 32/"most_in_flight": 100000/' \
    -e 's/"share": 10/"share": 1/' -e 's/"priority": 8/"priority": 5/' \
    -e 's/"tokens": [0-9]*,\?$/"tokens": 1000000000,/' \
    "$it" | sed -e ':a;N;$!ba;s/,\n *}/\n  }/g' >"$TW_WORK/set/$(basename "$it")"
done
list=$(seq -f '{"name":"host-%g","failure_domain":"dk-east-a","state":"live"}' -s , "$hosts")
curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":['"$list"'],"targets":[
  {"name":"engine-1","failure_domain":"dk-east-a","address":"'"$engine"'","incarnation":"1","class":"llm-large","state":"live"}]}' >/dev/null
export TURMERICWINCH_OPERATOR_TOKEN=token
"$bin/winch" apply "$TW_WORK/set" --platform="$platform" >/dev/null
addresses=()
for n in $(seq "$hosts"); do
  start "host-$n" "$bin/turmericwinchd" --host="host-$n" \
    --failure-domain=dk-east-a --platform="$platform" --listen=127.0.0.1:0 \
    --operator-listen=127.0.0.1:0 --traffic-threads=1
  addresses+=("$(daemon_address "host-$n" callers)")
  wait_for "host-$n" curl -sf "http://$(daemon_address "host-$n" operators)/readyz"
done
all=$(IFS=,; echo "${addresses[*]}")
# load KEY LOOPS MS SEED
load() {
  "$bin/tw_load" --hosts="$all" --callers="$1:turmericwinch-llm:/x:/x" \
    --mix=1,0,0,0 --closed-loops="$2" --max-tokens="$tokens" --duration="$3" \
    --seed="$4" --give-up=60000
}
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
load demo-library-key "$hosts" 2000 1 >/dev/null
echo "calm team alone"
load demo-library-key 1 "$ms" 2
load demo-archive-key "$flood" $((warm + ms + 2000)) 3 >"$TW_WORK/flood" &
flooding=$!
sleep "$((warm / 1000))"
echo "calm team beside the flood"
load demo-library-key 1 "$ms" 4
wait "$flooding"
echo "the flood"
cat "$TW_WORK/flood"
