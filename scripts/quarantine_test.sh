#!/usr/bin/env bash
# Requests that crash their targets, over real processes: five hosts in two
# failure domains that are peers; of the second one two are told of a loss and
# pass it on. At most two targets are lost to one request
# although each attempt comes to another host; requests that were lost with it
# are answered and cleared.
# Usage: quarantine_test.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT

start platform "$bin/standin_platform"
platform=$(stand_in_address platform)
targets=()
services=()
engines=()
for n in 1 2 3 4; do
  start "service-$n" "$bin/standin_service"
  services+=("$(stand_in_address "service-$n")")
  start "engine-$n" "$bin/standin_engine"
  engines+=("$(stand_in_address "engine-$n")")
  domain=dk-east-a
  if [ "$n" -gt 2 ]; then domain=dk-east-b; fi
  targets+=('{"name":"drawer-'"$n"'","failure_domain":"'$domain'","address":"'"${services[n - 1]}"'","incarnation":"1","class":"drawer-app","state":"live"}')
  targets+=('{"name":"engine-'"$n"'","failure_domain":"'$domain'","address":"'"${engines[n - 1]}"'","incarnation":"1","class":"llm-large","state":"live"}')
done
join() { local IFS=,; echo "$*"; }
curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[
  {"name":"host-1","failure_domain":"dk-east-a","state":"live"},
  {"name":"host-2","failure_domain":"dk-east-a","state":"live"},
  {"name":"host-3","failure_domain":"dk-east-b","state":"live"},
  {"name":"host-4","failure_domain":"dk-east-b","state":"live"},
  {"name":"host-5","failure_domain":"dk-east-b","state":"live"}],"targets":['"$(join "${targets[@]}")"']}' >/dev/null

export TURMERICWINCH_PLATFORM=$platform TURMERICWINCH_OPERATOR_TOKEN=token
export TURMERICWINCH_FLEET_KEY=key
"$bin/winch" apply samples/skuffekort | tail -n 1
callers=()
operators=()
host_pids=()
seed=()
for n in 1 2 3 4 5; do
  domain=dk-east-a
  if [ "$n" -gt 2 ]; then domain=dk-east-b; fi
  start_host "$n" "$domain" --peer-listen=127.0.0.1:0 --flush-interval=50 "${seed[@]}"
  if [ "$n" = 1 ]; then seed=(--peers="$(daemon_address host-1 peers)"); fi
done
dump() { curl -sf -H "Authorization: Bearer token" "http://${operators[$1 - 1]}/dump"; }
knows_all() { [ "$(dump "$1" | grep -oE '"state":"alive"' | wc -l)" = 5 ]; }
for n in 1 2 3 4 5; do wait_for "host-$n to know all hosts" knows_all "$n"; done

auth="Authorization: Bearer demo-archive-key"
# checkout HOST KEY BODY
checkout() {
  curl -s --max-time 20 "http://${callers[$1 - 1]}/services/drawer-app/checkouts/7" \
    -H "$auth" -H "Idempotency-Key: $2" -d "$3"
}
# chat HOST TEXT
chat() {
  curl -s --max-time 20 "http://${callers[$1 - 1]}/v1/chat/completions" -H "$auth" -d '{
    "model":"turmericwinch-llm","max_tokens":4,"messages":[{"role":"user","content":"'"$2"'"}]}'
}
# alive ADDRESS...: how many of these targets are left.
alive() {
  local it count=0
  for it in "$@"; do
    if curl -sf "http://$it/healthz" >/dev/null; then count=$((count + 1)); fi
  done
  echo "$count"
}
suspects_are() { dump "$1" | grep -q "\"quarantine_suspects\":$2,"; }
# knows_verdicts HOST COUNT: whether it refuses so many requests.
knows_verdicts() {
  [ "$(grep -oE 'event=(request_quarantined|quarantine_learnt) digest=[0-9a-f]+' "$TW_WORK/host-$1.err" |
    sed 's/.*digest=//' | sort -u | wc -l)" = "$2" ]
}

echo "- a checkout that crashes its service, each attempt at another host"
for it in "${services[@]}"; do fault "$it" '{"crash_on":"poison","delay_ms":400}'; done
# Reads of another host that are in flight when it crashes the first service.
pids=()
for n in $(seq 8); do
  curl -s --max-time 20 "http://${callers[1]}/services/drawer-app/drawers/$n" -H "$auth" >"$TW_WORK/read-$n" &
  pids+=("$!")
done
sleep 0.1
expect "first" '"ran":"unknown"' "$(checkout 1 poison-1 poison)"
[ "$(alive "${services[@]}")" = 3 ] || fail "not one service was lost"
for it in "${pids[@]}"; do wait "$it" || fail "a read was lost"; done
for n in $(seq 8); do expect "read $n" "\"path\":\"/drawers/$n\"" "$(cat "$TW_WORK/read-$n")"; done
# The loss is known everywhere, and the reads that it hit are cleared.
for n in 1 2 3 4 5; do wait_for "one suspect at host-$n" suspects_are "$n" 1; done
expect "second, in another domain" '"ran":"unknown"' "$(checkout 3 poison-2 poison)"
[ "$(alive "${services[@]}")" = 2 ] || fail "not two services were lost"
for n in 1 2 3 4 5; do wait_for "the verdict at host-$n" knows_verdicts "$n" 1; done
for n in 1 2 3 4 5; do
  expect "third at host-$n" '"name":"quarantined".*"ran":"not_run"' "$(checkout "$n" "poison-3-$n" poison)"
done
[ "$(alive "${services[@]}")" = 2 ] || fail "more than two services were lost"
expect "an innocent checkout" '"execution":1' "$(checkout 2 innocent '{}')"

echo "- a chat that crashes its engine: two are lost, no host of any domain asks a third"
for it in "${engines[@]}"; do fault "$it" '{"crash_on":"poison"}'; done
expect "first" '"name":"quarantined".*"ran":"unknown"' "$(chat 1 poison)"
[ "$(alive "${engines[@]}")" = 2 ] || fail "not two engines were lost"
for n in 1 2 3 4 5; do wait_for "the verdict at host-$n" knows_verdicts "$n" 2; done
for n in 1 2 3 4 5; do
  expect "again at host-$n" '"name":"quarantined".*"ran":"not_run"' "$(chat "$n" poison)"
done
[ "$(alive "${engines[@]}")" = 2 ] || fail "more than two engines were lost"
expect "an innocent chat" '"completion_tokens":4' "$(chat 3 innocent)"
check_sanitizers
echo "quarantine test: passed"
