#!/usr/bin/env bash
# The thin path end to end, as separate processes: publish, two entry hosts, a
# streamed chat, a checkout, one bill each. Usage: smoke.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT

start platform "$bin/standin_platform"
platform=$(stand_in_address platform)
start engine "$bin/standin_engine"
engine=$(stand_in_address engine)
start service "$bin/standin_service"
service=$(stand_in_address service)
curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[
  {"name":"host-1","failure_domain":"dk-east-a","state":"live"},
  {"name":"host-2","failure_domain":"dk-east-a","state":"live"}],"targets":[
  {"name":"engine-1","failure_domain":"dk-east-a","address":"'"$engine"'","incarnation":"1","class":"llm-large","state":"live"},
  {"name":"drawer-1","failure_domain":"dk-east-a","address":"'"$service"'","incarnation":"1","class":"drawer-app","state":"live"}]}' >/dev/null

export TURMERICWINCH_PLATFORM=$platform TURMERICWINCH_OPERATOR_TOKEN=token
"$bin/winch" apply samples/skuffekort | tail -n 1
callers=()
hosts=()
peers=()
export TURMERICWINCH_FLEET_KEY=key
for n in 1 2; do
  start "host-$n" "$bin/turmericwinchd" --host="host-$n" \
    --failure-domain=dk-east-a --listen=127.0.0.1:0 \
    --operator-listen=127.0.0.1:0 --peer-listen=127.0.0.1:0 \
    ${peers[0]:+--peers="${peers[0]}"} --flush-interval=50
  hosts+=("$TW_PID")
  callers+=("$(daemon_address "host-$n" callers)")
  peers+=("$(daemon_address "host-$n" peers)")
  wait_for "host-$n to be ready" \
    curl -sf "http://$(daemon_address "host-$n" operators)/readyz"
done

# The hosts know each other as members, and one list and one generation.
dump() { curl -sf "http://$(daemon_address "$1" operators)/dump" -H 'Authorization: Bearer token'; }
sees() { dump "$1" | grep -qE '"name":"'"$2"'"[^}]*"state":"'"$3"'"'; }
wait_for "host-1 to see host-2" sees host-1 host-2 alive
wait_for "host-2 to see host-1" sees host-2 host-1 alive
has_list() { dump "$1" | grep -q '"host_list":{"hosts":2,"targets":2,'; }
wait_for "host-2 to have the list" has_list host-2

auth="Authorization: Bearer demo-archive-key"
for it in "${callers[@]}"; do
  curl -sf "http://$it/v1/chat/completions" -H "$auth" -H 'X-Request-Id: chat-1' -d '{
    "model":"turmericwinch-llm","stream":true,"max_tokens":8,
    "messages":[{"role":"user","content":"Which sheet is this?"}]}' |
    grep -q 'data: \[DONE\]'
done
for it in "${callers[@]}"; do
  curl -sf "http://$it/services/drawer-app/checkouts/7" -H "$auth" \
    -H 'Idempotency-Key: checkout-7' -d '{"sheet":7}' >/dev/null
done
status=$(curl -s -o /dev/null -w '%{http_code}' -X POST "http://${callers[0]}/services/drawer-app/seals/1" \
  -H 'Authorization: Bearer demo-library-key' -H 'Idempotency-Key: seal-1')
[ "$status" = 403 ] || { echo "a closed route answered $status" >&2; exit 1; }
operators=$(daemon_address host-1 operators)
"$bin/winch" explain chat-1 --daemons="$operators" --output=json | grep -q '"attempts":\[{"target":"engine-1","failure":""}\]'
"$bin/winch" status --daemons="$operators" | grep -q 'host-1 .* live'
runs=$(curl -sf "http://$service/stats")
[ "$runs" = '{"checkout-7":1}' ] || { echo "the checkout ran: $runs" >&2; exit 1; }

# Two chats of 6 prompt and 8 output tokens, one checkout of 5 tokens.
spent_is() {
  "$bin/winch" budget show national-archive-2026 --output json | grep -q "\"spent\":$1,"
}
wait_for "the spend to be recorded" spent_is 33
"$bin/winch" budget show national-archive-2026

# What a dead host was granted stays charged until it is released; a host that
# shuts down gives its tokens back and leaves nothing behind.
kill -KILL "${hosts[1]}"
wait "${hosts[1]}" 2>/dev/null || true
dead=$("$bin/winch" budget show national-archive-2026 | awk '$2 ~ /^host-2_/ { print $2 }')
"$bin/winch" budget release "$dead" --process-ended
kill -TERM "${hosts[0]}"
wait "${hosts[0]}"
left=$("$bin/winch" budget show national-archive-2026 --output json)
grep -q '"spent":33,"granted":0,"allocated_free":0,"free":999967,' <<<"$left" ||
  { echo "not all tokens were found: $left" >&2; exit 1; }
bills=$("$bin/winch" bills --output json | grep -o '"request"' | wc -l)
[ "$bills" = 3 ] || { echo "$bills bills in place of 3" >&2; exit 1; }
stop_all
check_sanitizers
echo "smoke: passed"
