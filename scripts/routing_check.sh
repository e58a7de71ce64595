#!/usr/bin/env bash
# Routing as separate processes: a target that refuses connections is paused
# and no caller notices; a limit refuses with Retry-After; requests wait while
# every target is full, those of plain services too; a target that leaves gets
# no new work within 2 s, one that restarted at its address does; one that
# accepts and never answers is ejected.
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

start service "$bin/standin_service"
service=$(stand_in_address service)
# engine_row N INCARNATION STATE
engine_row() {
  echo '{"name":"engine-'"$1"'","failure_domain":"dk-east-a","address":"'"${engines[$1]}"'",
    "incarnation":"'"$2"'","class":"llm-large","state":"'"$3"'"}'
}
# list ROWS: the host list with these engines and the service.
list() {
  curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[
    {"name":"host-1","failure_domain":"dk-east-a","state":"live"}],"targets":['"$1"',
    {"name":"drawer-1","failure_domain":"dk-east-a","address":"'"$service"'","incarnation":"1","class":"drawer-app","state":"live"}]}' >/dev/null
}
runs() { curl -sf "http://${engines[$1]}/stats" | grep -oE '"runs":\{[^}]*' | { grep -oE ':[0-9]+' || true; } | wc -l; }
fault() { curl -sf -X PUT "http://$1/faults" -d "$2" >/dev/null; }
dump() { curl -sf -H "Authorization: Bearer token" "http://$operator/dump"; }
knows() { dump | grep -q "\"name\":\"$1\""; }
# chats N [TOKENS]: N chats one after the other, each answered whole.
chats() { for _ in $(seq "$1"); do chat "${2:-2}" | grep -q 'data: \[DONE\]' || return 1; done; }
start engine-b "$bin/standin_engine" --name=engine-2
engines=("" "$engine" "$(stand_in_address engine-b)")
sed -i 's/"most_in_flight": 256/"most_in_flight": 2/; s/"most_in_flight": 1$/"most_in_flight": 64/' "$config/services.json"
"$bin/winch" apply "$config" | tail -n 1
wait_for "the configuration" grep -q 'event=config_in_force generation=3' "$TW_WORK/host-1.err"
list "$(engine_row 1 1 live),$(engine_row 2 1 live)"
wait_for "the service" knows drawer-1

fault "$service" '{"delay_ms":100}'
drawer() {
  curl -s "http://$caller/services/drawer-app/drawers/$1" -H "Authorization: Bearer demo-archive-key"
}
waiting=()
for n in $(seq 12); do
  drawer "$n" >"$TW_WORK/drawer-$n" &
  waiting+=("$!")
done
wait "${waiting[@]}"
whole=$(grep -l '"path"' "$TW_WORK"/drawer-* | wc -l)
echo "$whole of 12 plain calls answered by a service that takes two at a time"
[ "$whole" -eq 12 ]
fault "$service" '{}'

list "$(engine_row 1 1 live),$(engine_row 2 1 leaving)"
sleep 2
before=$(runs 2)
chats 20
[ "$(runs 2)" = "$before" ] || { echo "a target listed as leaving got work" >&2; exit 1; }
echo "listed as leaving: no work after 2 s"
list "$(engine_row 1 1 live),$(engine_row 2 1 live)"
sleep 2
# Both have to be known as equally fast, or one gets all of a small load. Chats
# of two tokens measure the time of a token badly.
list "$(engine_row 1 1 live),$(engine_row 2 1 leaving)"
sleep 2
chats 20 40
list "$(engine_row 1 1 leaving),$(engine_row 2 1 live)"
sleep 2
chats 20 40
list "$(engine_row 1 1 live),$(engine_row 2 1 live)"
sleep 2
# crowd N NAME [TOKENS]: N chats at once, each answered whole.
crowd() {
  local n pids=()
  for n in $(seq "$1"); do
    chat "${3:-2}" >"$TW_WORK/$2-$n" &
    pids+=("$!")
  done
  wait "${pids[@]}"
  n=$(grep -l 'data: \[DONE\]' "$TW_WORK/$2"-* | wc -l)
  echo "$n of $1 chats answered beside a target that $2"
  [ "$n" -eq "$1" ]
}
left() { grep -c 'event=target_fault.*target=engine-2.*answer=leaving' "$TW_WORK/host-1.err" || true; }
fault "${engines[2]}" '{"leaving":true}'
# The more chats run at one engine, the sooner the other one is asked.
for _ in $(seq 5); do
  crowd 48 leaves 40
  if [ "$(left)" -ge 1 ]; then break; fi
done
before=$(left)
[ "$before" -ge 1 ] || { echo "the leaving target was never asked" >&2; exit 1; }
crowd 48 left 40
[ "$(left)" = "$before" ] || { echo "a target that said it leaves got work" >&2; exit 1; }
echo "answered $before times that it leaves, then got no work"

kill -TERM "${TW_PIDS[-1]}"
wait "${TW_PIDS[-1]}" || true
start engine-b "$bin/standin_engine" --name=engine-2 --listen="${engines[2]}"
wait_for "engine-2" curl -sf "http://${engines[2]}/healthz"
list "$(engine_row 1 1 leaving),$(engine_row 2 2 live)"
works() { chats 5 && [ "$(runs 2)" -gt 0 ]; }
wait_for "work for the restarted target" works
echo "restarted at its address: gets work"

list "$(engine_row 1 1 live),$(engine_row 2 2 live)"
sleep 2
fault "${engines[2]}" '{"silent":true}'
ejected() { dump | grep -oE '"name":"engine-2"[^}]*' | grep -q '"state":"ejected"'; }
# Requests go to it only while the other is full, so one crowd may miss it.
for _ in $(seq 5); do
  crowd 48 never-answers
  if ejected; then break; fi
done
wait_for "the silent target to be ejected" ejected
fault "${engines[2]}" '{}'
echo "routing check: passed"
