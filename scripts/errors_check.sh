#!/usr/bin/env bash
# Wrong settings, wrong configuration and wrong requests, given to the
# programs: each gets a sentence and a number of docs/RESULT-CODES.md.
# Usage: errors_check.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT
checked=0

fail() {
  echo "$1" >&2
  exit 1
}

# program EXIT TEXT COMMAND...: COMMAND exits with EXIT and says each line of TEXT.
program() {
  local expected=$1 text=$2 code=0 line
  shift 2
  timeout 20 "$@" >"$TW_WORK/out" 2>&1 || code=$?
  [ "$code" = "$expected" ] || fail "$*: exit $code in place of $expected: $(cat "$TW_WORK/out")"
  while IFS= read -r line; do
    grep -qF -- "$line" "$TW_WORK/out" || fail "$*: does not say '$line': $(cat "$TW_WORK/out")"
  done <<<"$text"
  checked=$((checked + 1))
}

daemon=("$bin/turmericwinchd" --host=h --failure-domain=d --platform=127.0.0.1:1 --listen=127.0.0.1:0 --operator-listen=127.0.0.1:0 --operator-token=t)
program 2 'error 602 settings_invalid
--host
--traffic-threads
--log-level
--bogus' "$bin/turmericwinchd" --traffic-threads=0 --log-level=loud --bogus
program 2 'error 602 settings_invalid
is not IP:PORT' "${daemon[@]}" --platform=nowhere
program 2 'error 602 settings_invalid
cannot listen on' "${daemon[@]}" --listen=192.0.2.1:1
program 0 'flush-interval = 1000 ms  (default)' "${daemon[@]}" --print-settings
program 0 'TURMERICWINCH_FLUSH_INTERVAL' "$bin/turmericwinchd" --help
program 2 'error 602 settings_invalid
not one of table, json' "$bin/winch" history --output=xml
program 2 'error 100 bad_request
no such verb' "$bin/winch" aply x
program 2 "'apply' needs DIRECTORY" "$bin/winch" apply
program 0 '--dry-run' "$bin/winch" apply --help
program 5 'error 500 platform_unavailable' "$bin/winch" history --platform=127.0.0.1:1
program 6 'error 700 peer_unavailable' "$bin/winch" dump --daemon=127.0.0.1:1

# set OBJECTS: a directory with these objects beside the sample of one firm.
set_of() {
  rm -rf "$TW_WORK/set"
  cp -r samples/skuffekort "$TW_WORK/set"
  printf '%s' "$1" >"$TW_WORK/set/extra.json"
}
invalid() {
  set_of "$1"
  program 2 "error 600 config_invalid
$2" "$bin/winch" validate "$TW_WORK/set"
}
invalid '[' 'extra.json'
invalid '[{"kind":"Tem","name":"a"}]' 'Team'
invalid '[{"kind":"Budget","name":"b","team":"national-archiv","tokens":1}]' 'national-archive'
invalid '[{"kind":"Budget","name":"b","team":"national-archive","tokens":-1},{"kind":"Team","name":"UPPER","key_hashes":[]}]' 'Budget/b
object 2.name
fault(s)'
invalid '[{"kind":"Budget","name":"national-archive-2026","team":"national-archive","tokens":1}]' 'national-archive-2026'
program 2 'error 600 config_invalid' "$bin/winch" validate "$TW_WORK/none"

start platform "$bin/standin_platform"
platform=$(stand_in_address platform)
start service "$bin/standin_service"
service=$(stand_in_address service)
curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":[],"targets":[
  {"name":"drawer-1","failure_domain":"dk-east-a","address":"'"$service"'","incarnation":"1","class":"drawer-app","state":"live"}]}' >/dev/null
export TURMERICWINCH_PLATFORM=$platform TURMERICWINCH_OPERATOR_TOKEN=token
"$bin/winch" apply samples/skuffekort >/dev/null
start host "$bin/turmericwinchd" --host=host --failure-domain=dk-east-a \
  --listen=127.0.0.1:0 --operator-listen=127.0.0.1:0
caller=$(daemon_address host callers)
operators=$(daemon_address host operators)
wait_for "the host to be ready" curl -sf "http://$operators/readyz"

# request STATUS CODE FLAGS...: the caller's request gets this status and number,
# a sentence, and what became of it.
request() {
  local status=$1 code=$2 got
  shift 2
  got=$(curl -s -o "$TW_WORK/body" -w '%{http_code}' --max-time 20 "$@")
  [ "$got" = "$status" ] || fail "$*: status $got in place of $status: $(cat "$TW_WORK/body")"
  grep -q "\"code\":$code,.*\"message\":\"..*\"ran\":\"not_run\"" "$TW_WORK/body" ||
    fail "$*: not result $code: $(cat "$TW_WORK/body")"
  checked=$((checked + 1))
}
auth='Authorization: Bearer demo-archive-key'
chat=http://$caller/v1/chat/completions
drawer=http://$caller/services/drawer-app
message='"messages":[{"role":"user","content":"x"}]'
request 401 101 "$chat" -d '{}'
request 401 101 "$chat" -d '{}' -H 'Authorization: Bearer nobody'
request 404 102 "http://$caller/nothing" -H "$auth"
request 404 102 "$chat" -H "$auth" -d '{"model":"none",'"$message"'}'
request 404 102 "http://$caller/services/none/x" -H "$auth"
request 400 100 "$chat" -H "$auth" -d '{"model":'
request 400 100 "$chat" -H "$auth" -d '{"model":"turmericwinch-llm"}'
request 400 100 "$chat" -H "$auth" -d '{"model":"turmericwinch-llm","max_tokens":-5,'"$message"'}'
request 400 100 "$chat" -H "$auth" -d '{"model":"turmericwinch-llm","max_tokens":1000000000,'"$message"'}'
request 405 104 "$chat" -H "$auth"
request 413 103 "$drawer/checkouts/1" -H "$auth" -H 'Idempotency-Key: k0' --data-binary @<(head -c 5000000 /dev/zero)
request 400 106 "$drawer/checkouts/1" -H "$auth" -d '{"sheet":1}'
curl -sf "$drawer/checkouts/1" -H "$auth" -H 'Idempotency-Key: k1' -d '{"sheet":1}' >/dev/null
request 422 107 "$drawer/checkouts/1" -H "$auth" -H 'Idempotency-Key: k1' -d '{"sheet":2}'
request 403 108 "$drawer/seals/1" -X POST -H 'Authorization: Bearer demo-library-key' -H 'Idempotency-Key: k2'
request 503 300 "$chat" -H "$auth" -d '{"model":"turmericwinch-llm","max_tokens":4,'"$message"'}'
request 401 101 "http://$operators/dump"
program 3 'error 101 unauthorized' "$bin/winch" dump --daemon="$operators" --operator-token=wrong
program 3 'error 102 not_found' "$bin/winch" explain nothing --daemons="$operators"
program 3 'error 102 not_found
national-archive-2026' "$bin/winch" budget show national-archiv-2026
program 2 'error 100 bad_request' "$bin/winch" budget top-up national-archive-2026 many
runs=$(curl -sf "http://$service/stats")
[ "$runs" = '{"k1":1}' ] || fail "wrong requests ran: $runs"
stop_all
check_sanitizers
echo "errors check: passed, $checked wrong inputs"
