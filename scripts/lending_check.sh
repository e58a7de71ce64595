#!/usr/bin/env bash
# Three hosts of one failure domain that lend tokens to each other, as separate
# processes: who draws, a paused lender, a killed one with a stream open on its
# tokens, its release, a graceful end, and that every token is found again.
# Usage: lending_check.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
TW_WORK=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT

start platform "$bin/standin_platform"
platform=$(stand_in_address platform)
start engine "$bin/standin_engine" --between-tokens=100000
engine=$(stand_in_address engine)
hosts_json=""
for n in 1 2 3; do
  hosts_json+='{"name":"host-'$n'","failure_domain":"dk-east-a","state":"live"},'
done
curl -sf -X PUT "http://$platform/hosts" -d '{"hosts":['"${hosts_json%,}"'],"targets":[
  {"name":"engine-1","failure_domain":"dk-east-a","address":"'"$engine"'","incarnation":"1","class":"llm-large","state":"live"}]}' >/dev/null

export TURMERICWINCH_PLATFORM=$platform TURMERICWINCH_OPERATOR_TOKEN=token
export TURMERICWINCH_FLEET_KEY=lending-check
"$bin/winch" apply samples/skuffekort | tail -n 1
budget=national-archive-2026
callers=()
operators=()
host_pids=()
peers=""
for n in 1 2 3; do
  start_host "$n" dk-east-a --peer-listen=127.0.0.1:0 --peers="$peers" \
    --flush-interval=100
  peers+="${peers:+,}$(daemon_address "host-$n" peers)"
done
dump() {
  curl -sf -H "Authorization: Bearer token" "http://${operators[$1 - 1]}/dump"
}
knows_all() {
  local n
  for n in 1 2 3; do
    [ "$(dump "$n" | grep -oE '"state":"alive"' | wc -l)" -ge 3 ] || return 1
  done
}
wait_for "the hosts to know each other" knows_all

# chat HOST REQUEST-ID TOKENS
chat() {
  curl -sN --max-time 40 "http://${callers[$1 - 1]}/v1/chat/completions" \
    -H "Authorization: Bearer demo-archive-key" -H "X-Request-Id: $2" -d '{
    "model":"turmericwinch-llm","stream":true,"max_tokens":'"$3"',
    "messages":[{"role":"user","content":"Which sheet is this?"}]}'
}
field() { "$bin/winch" budget show "$budget" --output json | grep -oE "\"$1\":[0-9]+" | head -n 1 | cut -d: -f2; }
spent_is() { [ "$(field spent)" = "$1" ]; }
holders() { "$bin/winch" budget show "$budget" | grep -oE 'host-[0-9]_[0-9a-f.]+' | sort -u; }

echo "- one host draws, the others borrow from it"
for n in 1 2 3; do
  chat "$n" "first-$n" 4 | grep -q 'data: \[DONE\]' || fail "chat on host-$n"
done
# 6 prompt and 4 output tokens each.
wait_for "three bills of 10 tokens" spent_is 30
[ "$(holders | wc -l)" = 1 ] || fail "holders: $(holders | tr '\n' ' ')"
lender=$(holders)
number=$(sed -E 's/^host-([0-9])_.*/\1/' <<<"$lender")
others=()
for n in 1 2 3; do [ "$n" = "$number" ] || others+=("$n"); done
echo "- the lender is paused: another host draws for itself"
kill -STOP "${host_pids[number - 1]}"
chat "${others[1]}" paused 60 | grep -q 'data: \[DONE\]' ||
  fail "no chat while the lender is paused"
kill -CONT "${host_pids[number - 1]}"
two_holders() { [ "$(holders | wc -l)" = 2 ]; }
wait_for "a second holder" two_holders
wait_for "its bill of 66 tokens" spent_is 96
wait_for "the hosts to know each other again" knows_all

echo "- the lender is killed while a host streams on its tokens"
chat "${others[0]}" streaming 60 >"$TW_WORK/streaming.out" &
chat_pid=$!
wait_for "the stream to begin" grep -q '"content":"t1 "' "$TW_WORK/streaming.out"
kill -KILL "${host_pids[number - 1]}"
wait "${host_pids[number - 1]}" 2>/dev/null || true
released=$("$bin/winch" budget release "$lender" --process-ended)
grep -q "host-${others[0]}_" <<<"$released" ||
  fail "the release does not wait for the borrower: $released"
[ "$(field granted)" -gt 0 ] || fail "tokens were freed under an open stream"
wait "$chat_pid" || fail "the stream failed"
grep -q '^data: \[DONE\]' "$TW_WORK/streaming.out" || fail "the stream was cut"

echo "- its borrowers acknowledge, and the row is closed"
gone() { ! "$bin/winch" budget show "$budget" | grep -qF "$lender"; }
for n in $(seq 6); do wait_for "the row of $lender to be closed" gone && break; done
gone || fail "the row of $lender was not closed"
wait_for "the bill of the stream" spent_is 162

echo "- the others go on, and end without leaving a token behind"
for n in "${others[@]}"; do
  chat "$n" "last-$n" 4 | grep -q 'data: \[DONE\]' || fail "chat on host-$n"
done
wait_for "two more bills" spent_is 182
for n in "${others[@]}"; do kill -TERM "${host_pids[n - 1]}"; done
for n in "${others[@]}"; do
  wait "${host_pids[n - 1]}" || fail "host-$n did not end cleanly"
done
left=$("$bin/winch" budget show "$budget" --output json)
grep -q '"spent":182,"granted":0,' <<<"$left" || fail "tokens are left: $left"
bills=$("$bin/winch" bills --output json | grep -o '"request"' | wc -l)
[ "$bills" = 7 ] || fail "$bills bills in place of 7"
stop_all
check_sanitizers
echo "lending check: passed"
