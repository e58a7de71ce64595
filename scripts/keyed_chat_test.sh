#!/usr/bin/env bash
# Chats with an Idempotency-Key over real processes: one run, one bill and one
# answer for each key, on the host that runs it, on another one, and after the
# first was killed.
# Usage: keyed_chat_test.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT

start platform "$bin/standin_platform"
platform=$(stand_in_address platform)
start engine "$bin/standin_engine" --between-tokens=10000
engine=$(stand_in_address engine)
start service "$bin/standin_service"
service=$(stand_in_address service)
curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[
  {"name":"host-1","failure_domain":"dk-east-a","state":"live"},
  {"name":"host-2","failure_domain":"dk-east-a","state":"live"}],"targets":[
  {"name":"engine-1","failure_domain":"dk-east-a","address":"'"$engine"'","incarnation":"1","class":"llm-large","state":"live"},
  {"name":"drawer-1","failure_domain":"dk-east-a","address":"'"$service"'","incarnation":"1","class":"drawer-app","state":"live"}]}' >/dev/null
export TURMERICWINCH_PLATFORM=$platform TURMERICWINCH_OPERATOR_TOKEN=token
# A short deadline, so that the end of `in_progress` can be seen.
mkdir "$TW_WORK/set"
for it in samples/skuffekort/*.json; do
  sed -e 's/"deadline_ms": 60000/"deadline_ms": 3000/' "$it" >"$TW_WORK/set/$(basename "$it")"
done
"$bin/winch" apply "$TW_WORK/set" | tail -n 1
callers=()
operators=()
host_pids=()
for n in 1 2; do
  start_host "$n" dk-east-a --flush-interval=50
done

auth="Authorization: Bearer demo-archive-key"
# chat HOST KEY TOKENS [STREAM] [CURL-FLAG...]: under the key's name as its id.
chat() {
  curl -sN --max-time 20 "${@:5}" "http://${callers[$1 - 1]}/v1/chat/completions" \
    -H "$auth" -H "Idempotency-Key: $2" -H "X-Request-Id: $2" \
    -d '{"model":"turmericwinch-llm","stream":'"${4:-true}"',
    "max_tokens":'"$3"',"messages":[{"role":"user","content":"Which sheet is this?"}]}'
}
# runs ID: how often the engine ran the caller's request.
runs() {
  curl -sf "http://$engine/stats" | grep -oE '"runs":\{[^}]*\}' |
    { grep -oE "\"$1\":[0-9]+" || echo :0; } | cut -d: -f2
}
spent() {
  "$bin/winch" budget show national-archive-2026 --output json |
    grep -oE '"spent":[0-9]+' | head -n 1 | cut -d: -f2
}
spent_is() { [ "$(spent)" = "$1" ]; }
# has_tokens FILE: whether a stream has begun.
has_tokens() { grep -q '"t1 "' "$1"; }
# once KEY: the key ran once.
once() { [ "$(runs "$1")" = 1 ] || fail "$1 ran $(runs "$1") times"; }

echo "- a retry while the first streams, on the same host: one run, one bill"
chat 1 join 60 >"$TW_WORK/join-1" &
first=$!
wait_for "the first stream to flow" has_tokens "$TW_WORK/join-1"
chat 1 join 60 >"$TW_WORK/join-2" &
second=$!
expect "another body" '"name":"key_reused".*"ran":"not_run"' "$(chat 1 join 61)"
expect "another host" '"name":"in_progress".*"ran":"unknown"' "$(chat 2 join 60)"
wait "$first" || fail "the first stream was cut"
wait "$second" || fail "the joined stream was cut"
tokens_once "the first" 60 "$(cat "$TW_WORK/join-1")"
tokens_once "the joined" 60 "$(cat "$TW_WORK/join-2")"
once join
wait_for "one bill of 66 tokens" spent_is 66

echo "- a retry once it is done: the whole answer, on this host and another"
tokens_once "this host" 60 "$(chat 1 join 60)"
tokens_once "another host" 60 "$(chat 2 join 60)"
expect "another body" '"name":"key_reused".*"ran":"not_run"' "$(chat 2 join 61)"
expect "header" '[Ii]dempotent-[Rr]eplayed: true' "$(chat 2 join 60 true -D -)"
once join

echo "- a whole chat"
chat 1 whole 30 false >"$TW_WORK/whole-1" &
first=$!
whole_runs() { [ "$(runs whole)" = 1 ]; }
wait_for "the run to start" whole_runs
expect "joined" '"id":"whole".*"completion_tokens":30' "$(chat 1 whole 30 false)"
wait "$first"
expect "first" '"id":"whole".*"completion_tokens":30' "$(cat "$TW_WORK/whole-1")"
expect "another host" '"id":"whole".*"completion_tokens":30' "$(chat 2 whole 30 false)"
once whole
wait_for "one more bill of 36 tokens" spent_is 102

echo "- a caller that goes and comes again gets the whole answer"
timeout 0.3 cat <(chat 1 gone 60 true --max-time 0.3) >/dev/null || true
tokens_once "the retry" 60 "$(chat 1 gone 60)"
once gone
wait_for "one more bill of 66 tokens" spent_is 168

echo "- an answer too long for the claim is kept where it ran"
tokens_once "first" 200 "$(chat 1 long 200)"
tokens_once "this host" 200 "$(chat 1 long 200)"
expect "another host" '"name":"outcome_unknown".*"ran":"ran"' "$(chat 2 long 200)"
once long
wait_for "one more bill of 206 tokens" spent_is 374

echo "- a chat that failed without an answer may run again"
fault "$engine" '{"bad_json":true}'
expect "failure" '"name":"target_failed"' "$(chat 1 again 4 false)"
fault "$engine" '{}'
answered() { chat 2 again 4 false | grep -q '"completion_tokens":4'; }
wait_for "the retry to run" answered
wait_for "one more bill of 10 tokens" spent_is 384

echo "- the platform is away: a key is refused as not run, others are served"
fault "$platform" '{"down":true}'
expect "with a key" '"name":"claim_unavailable".*"ran":"not_run"' "$(chat 1 away 4)"
expect "without" '^data: \[DONE\]' "$(curl -sN "http://${callers[0]}/v1/chat/completions" \
  -H "$auth" -d '{"model":"turmericwinch-llm","stream":true,"max_tokens":4,
    "messages":[{"role":"user","content":"Which sheet is this?"}]}')"
fault "$platform" '{}'
[ "$(runs away)" = 0 ] || fail "a chat that was not run ran"
away_runs() { chat 2 away 4 | grep -q '^data: \[DONE\]'; }
wait_for "the refused chat to run" away_runs
once away

echo "- a read with a key is claimed too"
read_drawer() {
  curl -s "http://${callers[$1 - 1]}/services/drawer-app/drawers/1" -H "$auth" -H "Idempotency-Key: read"
}
expect "first" '"execution":1' "$(read_drawer 1)"
expect "another host" '"execution":1' "$(read_drawer 2)"

echo "- the first host is killed while it streams: never a second run"
chat 1 killed 200 >"$TW_WORK/killed" &
first=$!
wait_for "the stream to flow" has_tokens "$TW_WORK/killed"
kill -9 "${host_pids[0]}"
wait "$first" || true
expect "at once" '"name":"in_progress".*"ran":"unknown"' "$(chat 2 killed 200)"
is_unknown() { chat 2 killed 200 | grep -q '"name":"outcome_unknown".*"ran":"unknown"'; }
wait_for "the attempt's deadline to pass" is_unknown
once killed
check_sanitizers
echo "keyed chat test: passed"
