#!/usr/bin/env bash
# Routing as separate processes: a target that refuses connections is paused
# and no caller notices; a limit refuses with Retry-After; requests wait while
# every target is full.
# Usage: routing_check.sh BUILD_DIRECTORY
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
curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[
  {"name":"host-1","failure_domain":"dk-east-a","state":"live"}],"targets":[
  {"name":"engine-1","failure_domain":"dk-east-a","address":"'"$engine"'","incarnation":"1","class":"llm-large","state":"live"},
  {"name":"engine-2","failure_domain":"dk-east-a","address":"127.0.0.1:1","incarnation":"1","class":"llm-large","state":"live"}]}' >/dev/null

export TURMERICWINCH_PLATFORM=$platform TURMERICWINCH_OPERATOR_TOKEN=token
config=$TW_WORK/config
cp -r samples/skuffekort "$config"
cat >"$config/limit.json" <<'JSON'
[{"kind":"Limit","name":"archive-size","team":"national-archive","most_tokens":100}]
JSON
"$bin/winch" apply "$config" | tail -n 1
start host-1 "$bin/turmericwinchd" --host=host-1 --failure-domain=dk-east-a \
  --listen=127.0.0.1:0 --operator-listen=127.0.0.1:0 --flush-interval=50
caller=$(daemon_address host-1 callers)
operator=$(daemon_address host-1 operators)
wait_for "host-1 to be ready" curl -sf "http://$operator/readyz"

chat() {
  curl -s -D "$TW_WORK/headers" "http://$caller/v1/chat/completions" \
    -H "Authorization: Bearer demo-archive-key" -d '{
    "model":"turmericwinch-llm","stream":true,"max_tokens":'"$1"',
    "messages":[{"role":"user","content":"Which sheet is this?"}]}'
}
for _ in $(seq 20); do
  chat 4 | grep -q 'data: \[DONE\]'
done
faults=$(grep -c 'event=target_fault.*target=engine-2.*answer=refused' "$TW_WORK/host-1.err")
echo "20 chats answered, $faults refused connections"
[ "$faults" -ge 1 ] && [ "$faults" -le 3 ] ||
  { echo "expected 1 to 3 refused connections" >&2; exit 1; }
chat 200 | grep -q '"name":"limit_exceeded".*"ran":"not_run"'
grep -qi '^retry-after: 1' "$TW_WORK/headers"

curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[
  {"name":"host-1","failure_domain":"dk-east-a","state":"live"}],"targets":[
  {"name":"engine-1","failure_domain":"dk-east-a","address":"'"$engine"'","incarnation":"1","class":"llm-large","state":"live"}]}' >/dev/null
sed -i 's/"most_in_flight": 64/"most_in_flight": 1/' "$config/services.json"
"$bin/winch" apply "$config" | tail -n 1
wait_for "the configuration" grep -q 'event=config_in_force generation=2' "$TW_WORK/host-1.err"
sleep 1.5
waiting=()
for n in $(seq 12); do
  chat 40 >"$TW_WORK/chat-$n" &
  waiting+=("$!")
done
wait "${waiting[@]}"
whole=$(grep -l 'data: \[DONE\]' "$TW_WORK"/chat-* | wc -l)
echo "$whole of 12 chats answered by a target that takes one at a time"
[ "$whole" -eq 12 ]
echo "routing check: passed"
