#!/usr/bin/env bash
# Faults of delivery over real sockets and processes: lost claims, a host that
# is killed, broken and silent streams, callers that go, and a drain.
# Usage: system_test.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT

start platform "$bin/standin_platform"
platform=$(stand_in_address platform)
engines=()
for n in 1 2 3 4 5; do
  start "engine-$n" "$bin/standin_engine" --name="engine-$n" --between-tokens=5000
  engines+=("$(stand_in_address "engine-$n")")
done
start service "$bin/standin_service"
service=$(stand_in_address service)

# list_targets NAME...: the host list with these targets only.
list_targets() {
  local it targets=""
  for it in "$@"; do
    case $it in
      engine-*) targets+='{"name":"'$it'","address":"'${engines[${it#engine-} - 1]}'","class":"llm-large",' ;;
      drawer-1) targets+='{"name":"drawer-1","address":"'$service'","class":"drawer-app",' ;;
    esac
    targets+='"failure_domain":"dk-east-a","incarnation":"1","state":"live"},'
  done
  curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[
    {"name":"host-1","failure_domain":"dk-east-a","state":"live"},
    {"name":"host-2","failure_domain":"dk-east-a","state":"live"}],"targets":['"${targets%,}"']}' >/dev/null
}
list_targets engine-1 engine-2 drawer-1

export TURMERICWINCH_PLATFORM=$platform TURMERICWINCH_OPERATOR_TOKEN=token
"$bin/winch" apply samples/skuffekort | tail -n 1
callers=()
operators=()
host_pids=()
for n in 1 2; do
  start_host "$n" dk-east-a --flush-interval=50
done

auth="Authorization: Bearer demo-archive-key"
# checkout HOST KEY [BODY]
checkout() {
  curl -s --max-time 20 "http://${callers[$1 - 1]}/services/drawer-app/checkouts/7" \
    -H "$auth" -H "Idempotency-Key: $2" -d "${3:-{\}}"
}
# chat HOST REQUEST-ID TOKENS [STREAM]
chat() {
  curl -sN --max-time 30 "http://${callers[$1 - 1]}/v1/chat/completions" -H "$auth" \
    -H "X-Request-Id: $2" -d '{"model":"turmericwinch-llm","stream":'"${4:-true}"',
    "max_tokens":'"$3"',"messages":[{"role":"user","content":"Which sheet is this?"}]}'
}
executions() {
  curl -sf "http://$service/stats" | { grep -oE "\"$1\":[0-9]+" || true; } | cut -d: -f2
}
spent() {
  "$bin/winch" budget show national-archive-2026 --output json |
    grep -oE '"spent":[0-9]+' | head -n 1 | cut -d: -f2
}
metric() {
  curl -sf -H "Authorization: Bearer token" "http://${operators[$1 - 1]}/metrics" |
    grep -F "$2" | grep -oE '[0-9]+$'
}

# sees HOST ENGINE OTHER: whether the host knows ENGINE and not OTHER.
sees() {
  local dump
  dump=$(curl -sf -H "Authorization: Bearer token" "http://${operators[$1 - 1]}/dump")
  [[ $dump == *"\"name\":\"$2\""* && $dump != *"\"name\":\"$3\""* ]]
}

echo "- a kept answer is replayed, and bills nothing"
expect "checkout" '"execution":1' "$(checkout 1 kept)"
expect "its retry" '"execution":1' "$(checkout 2 kept)"
expect "another body" '"name":"key_reused".*"ran":"not_run"' "$(checkout 2 kept '{"sheet":8}')"
spent_is() { [ "$(spent)" = "$1" ]; }
wait_for "one bill of 5 tokens" spent_is 5

echo "- the answers to writes of claims are lost"
fault "$platform" '{"lose_write_answers":1}'
expect "checkout" '"execution":1' "$(checkout 1 lost)"
expect "its retry" '"execution":1' "$(checkout 2 lost)"
[ "$(executions lost)" = 1 ] || fail "lost ran $(executions lost) times"

echo "- the platform is away: reads go on, checkouts are refused as not run"
fault "$platform" '{"down":true}'
expect "checkout" '"name":"claim_unavailable".*"ran":"not_run"' "$(checkout 1 away)"
expect "drawer" '"path":"/drawers/1"' \
  "$(curl -s "http://${callers[0]}/services/drawer-app/drawers/1" -H "$auth")"
fault "$platform" '{}'
[ -z "$(executions away)" ] || fail "a checkout that was not run ran"
# Its own claim, if it came to be, is removed.
answered() { checkout 2 away | grep -q '"execution":1'; }
wait_for "the refused checkout to run" answered

echo "- the answer of a checkout is lost: unknown, never a second run"
fault "$service" '{"lose_write_answers":1}'
expect "checkout" '"name":"outcome_unknown".*"ran":"unknown"' "$(checkout 1 doubt)"
expect "its retry" '"name":"outcome_unknown".*"ran":"unknown"' "$(checkout 2 doubt)"
[ "$(executions doubt)" = 1 ] || fail "doubt ran $(executions doubt) times"

echo "- a broken stream goes on after its last token, on another target"
# Five calls of 5 tokens were billed; a bill may be stored after its answer.
wait_for "five bills of 5 tokens" spent_is 25
before=$(spent)
fault "${engines[0]}" '{"break_after":3}'
fault "${engines[1]}" '{"break_after":3}'
tokens_once "the stream" 8 "$(chat 1 broken 8)"
wait_for "one bill of 14 tokens" spent_is $((before + 14))
[ "$(metric 1 resumed_stream)" -ge 1 ] || fail "no stream was resumed"
fault "${engines[0]}" '{}'
fault "${engines[1]}" '{}'

echo "- an only target that breaks the stream is asked again"
list_targets engine-2 drawer-1
wait_for "host-1 to see one engine" sees 1 engine-2 engine-1
fault "${engines[1]}" '{"break_after":3}'
tokens_once "the stream" 8 "$(chat 1 alone 8)"

echo "- a silent connection is left while its target answers probes"
fault "${engines[1]}" '{"silent_after":3}'
tokens_once "the stream" 8 "$(chat 1 silent 8)"
[ "$(metric 1 silent_connection)" = 1 ] || fail "no silent connection was counted"

echo "- crossed, malformed and unbilled answers are never delivered"
for it in wrong_id bad_json no_usage; do
  fault "${engines[1]}" '{"'$it'":true}'
  expect "$it" '"name":"target_failed"' "$(chat 1 "$it" 4 false)"
done
[ "$(metric 1 crossed_answer)" = 1 ] || fail "no crossed answer was counted"
[ "$(metric 1 malformed_answer)" = 2 ] || fail "no malformed answer was counted"
fault "${engines[1]}" '{}'

echo "- a crossed answer of a plain service is never delivered"
fault "$service" '{"wrong_id":true}'
expect "drawer" '"name":"target_failed"' \
  "$(curl -s "http://${callers[0]}/services/drawer-app/drawers/1" -H "$auth")"
[ "$(metric 1 crossed_answer)" -ge 2 ] || fail "no crossed answer was counted"
fault "$service" '{}'

echo "- a team that uses another's request id ends nothing of the other's"
list_targets engine-1 drawer-1
wait_for "host-1 to see engine-1 only" sees 1 engine-1 engine-2
resumed=$(metric 1 resumed_stream)
chat 1 shared-id 100 >"$TW_WORK/shared-id.out" &
shared=$!
streams() { grep -q '"t2 "' "$TW_WORK/shared-id.out"; }
wait_for "the first stream to flow" streams
timeout 0.2 curl -sN "http://${callers[0]}/v1/chat/completions" -H "Authorization: Bearer demo-library-key" \
  -H "X-Request-Id: shared-id" -d '{"model":"turmericwinch-llm","stream":true,"max_tokens":2000,
    "messages":[{"role":"user","content":"Which sheet is this?"}]}' >"$TW_WORK/other-id.out" || true
grep -q '"t2 "' "$TW_WORK/other-id.out" || fail "the second stream did not flow"
wait "$shared" || fail "the first stream was cut"
tokens_once "the stream" 100 "$(cat "$TW_WORK/shared-id.out")"
expect "the caller's own id" '"id":"shared-id"' "$(tail -n 4 "$TW_WORK/shared-id.out")"
[ "$(metric 1 resumed_stream)" = "$resumed" ] || fail "another team's stream was ended"

echo "- a key of two teams names two calls at the service"
fault "$service" '{}'
expect "one team" '"execution":1' "$(checkout 1 two-teams)"
expect "the other" '"execution":2' "$(curl -s "http://${callers[0]}/services/drawer-app/checkouts/7" \
  -H "Authorization: Bearer demo-library-key" -H "Idempotency-Key: two-teams" -d '{}')"

echo "- a request that crashes its targets is refused after the second"
list_targets engine-3 engine-4 engine-5 drawer-1
wait_for "host-1 to see the other engines" sees 1 engine-5 engine-2
wait_for "host-2 to see the other engines" sees 2 engine-5 engine-2
for n in 2 3 4; do fault "${engines[n]}" '{"crash_on":"poison"}'; done
alive() {
  local n count=0
  for n in 2 3 4; do
    if curl -sf "http://${engines[n]}/healthz" >/dev/null; then count=$((count + 1)); fi
  done
  echo "$count"
}
poison() {
  curl -s --max-time 20 "http://${callers[$1 - 1]}/v1/chat/completions" -H "$auth" -d '{
    "model":"turmericwinch-llm","max_tokens":4,"messages":[{"role":"user","content":"poison"}]}'
}
expect "poison" '"name":"quarantined".*"ran":"unknown"' "$(poison 1)"
[ "$(alive)" = 1 ] || fail "$(alive) of 3 engines are left"
expect "poison again" '"name":"quarantined".*"ran":"not_run"' "$(poison 1)"
shared() { curl -sf "http://$platform/objects?prefix=quarantine-" | grep -q until_ms; }
wait_for "the verdict to be shared" shared
sleep 6
expect "poison elsewhere" '"name":"quarantined".*"ran":"not_run"' "$(poison 2)"
[ "$(alive)" = 1 ] || fail "the last engine was lost"
tokens_once "the stream" 8 "$(chat 2 innocent 8)"
list_targets engine-2 drawer-1
wait_for "host-1 to see engine-2" sees 1 engine-2 engine-5
wait_for "host-2 to see engine-2" sees 2 engine-2 engine-5

echo "- a caller that goes ends its stream at the engine"
before=$(spent)
timeout 0.5 curl -sN "http://${callers[0]}/v1/chat/completions" -H "$auth" -H "X-Request-Id: gone" \
  -d '{"model":"turmericwinch-llm","stream":true,"max_tokens":2000,
    "messages":[{"role":"user","content":"Which sheet is this?"}]}' >/dev/null || true
cancelled() { [ "$(metric 1 cancelled_stream)" -ge 1 ]; }
wait_for "the stream to be cancelled" cancelled
billed_partly() { local n=$(($(spent) - before)); [ "$n" -gt 6 ] && [ "$n" -lt 1000 ]; }
wait_for "a bill of what was generated" billed_partly

echo "- a host is killed with calls open; retries reach another host"
fault "$service" '{"delay_ms":400}'
pids=()
for n in $(seq 20); do
  checkout 1 "kill-$n" >"$TW_WORK/kill-$n.out" &
  pids+=("$!")
done
sleep 0.2
kill -9 "${host_pids[0]}"
for it in "${pids[@]}"; do wait "$it" || true; done
fault "$service" '{}'
# Claims that were open are unknown or, if none was made, run now.
unknown=0
for n in $(seq 20); do
  answer=$(checkout 2 "kill-$n")
  expect "retry of kill-$n" '"execution":1|"ran":"unknown"' "$answer"
  if grep -q unknown <<<"$answer"; then unknown=$((unknown + 1)); fi
  runs=$(executions "kill-$n")
  [ "${runs:-0}" -le 1 ] || fail "kill-$n ran $runs times"
  if grep -q execution <<<"$answer" && [ "$runs" != 1 ]; then
    fail "kill-$n was answered but did not run"
  fi
done
echo "  20 keys, $unknown unknown, none ran twice"
[ "$unknown" -gt 0 ] || fail "no call was open when the host was killed"

echo "- a drain cuts no stream, takes nothing new and leaves nothing behind"
before=$(spent)
for n in $(seq 10); do
  chat 2 "drain-$n" 100 >"$TW_WORK/drain-$n.out" &
  pids[n - 1]=$!
done
streaming() { [ "$(grep -l '"t1 "' "$TW_WORK"/drain-*.out | wc -l)" = 10 ]; }
wait_for "all streams to flow" streaming
kill -TERM "${host_pids[1]}"
unready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://${operators[1]}/readyz")" = 503 ]; }
wait_for "host-2 to be unready" unready
late=$(curl -s -o /dev/null -w '%{http_code}' "http://${callers[1]}/v1/chat/completions" || true)
[ "$late" = 000 ] || fail "a draining host accepted a connection: $late"
for n in $(seq 10); do
  wait "${pids[n - 1]}" || fail "drain-$n was cut"
  tokens_once "the stream" 100 "$(cat "$TW_WORK/drain-$n.out")"
done
wait "${host_pids[1]}" || fail "host-2 did not end cleanly"
[ "$(spent)" = $((before + 1060)) ] || fail "bills of the drain: $(spent) after $before"
# A holder that gave everything back may be gone from the budget.
left=$("$bin/winch" budget show national-archive-2026 --output json |
  { grep -oE '"host-2_[^}]*"outstanding":[0-9]+' || true; } | { grep -oE '[0-9]+$' || true; })
[ "${left:-0}" = 0 ] || fail "host-2 left $left tokens granted"

echo "- a second signal ends a drain; what was left is logged and dumped"
start host-3 "$bin/turmericwinchd" --host=host-3 --failure-domain=dk-east-a \
  --listen=127.0.0.1:0 --operator-listen=127.0.0.1:0 --flush-interval=50
last=$TW_PID
callers+=("$(daemon_address host-3 callers)")
operators+=("$(daemon_address host-3 operators)")
wait_for "host-3 to be ready" curl -sf "http://${operators[2]}/readyz"
chat 3 cut 2000 >"$TW_WORK/cut.out" &
cut=$!
flows() { grep -q '"t1 "' "$TW_WORK/cut.out"; }
wait_for "the stream to flow" flows
kill -TERM "$last"
wait_for "the drain" grep -q 'event=shutdown_started' "$TW_WORK/host-3.err"
kill -TERM "$last"
code=0
wait "$last" || code=$?
[ "$code" = 1 ] || fail "a drain that was cut short ended with $code"
wait "$cut" || true
expect "the log" 'event=shutdown_cut_short active=1' "$(cat "$TW_WORK/host-3.err")"
expect "the dump" 'event=shutdown_state .*open_reservations\\":1' "$(cat "$TW_WORK/host-3.err")"
echo "system test: passed"
