#!/usr/bin/env bash
# Bytes that the host list costs its readers and the other hosts, as processes,
# with a list of ROWS rows of which one changes twice a second; and the time
# until a change is known on all of them, also when the readers of a domain are
# paused and wake, or are killed. TW_ONLY_FAULTS=1: only the latter.
# Usage: measure_host_list.sh BUILD_DIRECTORY ROWS... (default 22 130 2320)
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
shift
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(22 130 2320)
TW_WORK=$(mktemp -d)
. scripts/lib.sh
paused=()
trap 'for it in "${paused[@]}"; do kill -CONT "$it" 2>/dev/null || true; done; stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT
export TURMERICWINCH_OPERATOR_TOKEN=token TURMERICWINCH_FLEET_KEY=key
hosts=12
domains=2
seconds=30

# list ROWS STATE: hosts are 420 of 2,320 rows and name no address; STATE is of
# the first target.
list() {
  awk -v rows="$1" -v state="$2" 'BEGIN {
    hosts = int(rows * 420 / 2320)
    printf "{\"hosts\":["
    for (n = 0; n < hosts; ++n)
      printf "%s{\"name\":\"listed-host-%d\",\"failure_domain\":\"domain-%d\",\"address\":\"\",\"incarnation\":\"1\",\"state\":\"live\"}", n ? "," : "", 1000 + n, n % 7
    printf "],\"targets\":["
    for (n = 0; n < rows - hosts; ++n)
      printf "%s{\"name\":\"target-%d\",\"failure_domain\":\"domain-%d\",\"address\":\"10.1.%d.%d:8000\",\"incarnation\":\"1733300000\",\"class\":\"llm-large\",\"state\":\"%s\"}", n ? "," : "", 10000 + n, n % 7, n / 250, n % 250, n ? "live" : state
    printf "]}" }'
}
put() { curl -sf -X PUT "http://$platform/hosts" --data-binary "@$TW_WORK/$1.json" >/dev/null; }
dump() { curl -sf --max-time 2 "http://${operators[$1]}/dump" -H 'Authorization: Bearer token'; }
# field NAME: NAME of each host's dump, one a line.
field() {
  local n
  for n in ${some:-$(seq 0 $((hosts - 1)))}; do dump "$n" | grep -o "\"$1\":[^,}]*" | head -n 1 | cut -d: -f2; done
}
sum() { awk '{n += $1} END {print n + 0}'; }
platform_bytes() { curl -sf "http://$platform/stats" | grep -o '"bytes_out":[0-9]*' | cut -d: -f2; }
platform_calls() { curl -sf "http://$platform/stats" | grep -oE '"(hosts|host_watch)":[0-9]*' | cut -d: -f2 | sum; }
versions() { field version | sort -u; }
one_version() { [ "$(versions | wc -l)" = 1 ] && [ "$(versions)" -gt "$1" ]; }

# window NAME: figures of `seconds`, with a change each half second if NAME says
# so.
window() {
  local bytes calls sent n
  bytes=$(platform_bytes)
  calls=$(platform_calls)
  sent=$(field bytes_sent | sum)
  local start end
  start=$(date +%s%3N)
  for ((n = 0; n < seconds; ++n)); do
    if [ "$1" = changes ]; then
      put leaving
      sleep 0.5
      put live
      sleep 0.5
    else
      sleep 1
    fi
  done
  end=$(date +%s%3N)
  local puts=0
  # The stand-in answers a PUT with the list; that is not the hosts' traffic.
  [ "$1" = changes ] && puts=$((2 * seconds * list_bytes))
  calls=$(($(platform_calls) - calls - (puts ? 2 * seconds : 0)))
  bytes=$(($(platform_bytes) - bytes - puts))
  sent=$(($(field bytes_sent | sum) - sent))
  awk -v rows="$rows" -v name="$1" -v b="$bytes" -v c="$calls" -v s="$sent" -v ms=$((end - start)) -v readers="$readers" -v hosts="$hosts" 'BEGIN {
    printf "%6d  %-8s  %10.1f  %10.2f  %12.1f\n", rows, name, b * 1000 / ms / readers, c * 1000 / ms / readers, s * 1000 / ms / hosts }'
}

# known_after NAME STATE: lists STATE, and prints the time until the hosts of
# `some` know it.
known_after() {
  local before started n=0
  before=$(versions | sort -n | tail -n 1)
  started=$(date +%s%3N)
  put "$2"
  until one_version "$before" || [ $n -ge 400 ]; do
    sleep 0.1
    n=$((n + 1))
  done
  printf '%6d  %s: %d ms\n' "$rows" "$1" $(($(date +%s%3N) - started))
}

# readers_of DOMAIN: the numbers of its hosts that read the list.
readers_of() {
  local n
  for ((n = $1; n < hosts; n += domains)); do
    if dump "$n" | grep -q '"reads_platform":true'; then printf ' %d' "$n"; fi
  done
}

# faults: the readers of domain-0 are stopped and wake, those of domain-1 are
# killed.
faults() {
  local n readers
  readers=$(readers_of 0)
  some=$(for ((n = 0; n < hosts; ++n)); do [[ " $readers " == *" $n "* ]] || echo "$n"; done)
  for n in $readers; do
    kill -STOP "${pids[n]}"
    paused+=("${pids[n]}")
  done
  known_after "readers$readers of a domain just paused, a change on the others" live
  local newest started
  newest=$(versions)
  some=
  started=$(date +%s%3N)
  for n in $readers; do kill -CONT "${pids[n]}"; done
  paused=()
  wait_for "the woken readers to agree" one_version $((newest - 1))
  printf '%6d  woken, and all agree: %d ms; version %s before and %s after\n' "$rows" \
    $(($(date +%s%3N) - started)) "$newest" "$(versions)"
  readers=$(readers_of 1)
  some=$(for ((n = 0; n < hosts; ++n)); do [[ " $readers " == *" $n "* ]] || echo "$n"; done)
  for n in $readers; do kill -KILL "${pids[n]}"; done
  known_after "readers$readers of another domain just killed, a change on the others" leaving
}

printf '  rows  window    platform_B/s calls/s (each reader)  peer payload sent B/s (each host)\n'
for rows in "${sizes[@]}"; do
  rm -rf "$TW_WORK"/*
  operators=()
  pids=()
  some=
  list "$rows" live >"$TW_WORK/live.json"
  list "$rows" leaving >"$TW_WORK/leaving.json"
  list_bytes=$((($(wc -c <"$TW_WORK/live.json") + $(wc -c <"$TW_WORK/leaving.json")) / 2))
  start platform "$bin/standin_platform"
  platform=$(stand_in_address platform)
  put live
  first=
  for ((n = 0; n < hosts; ++n)); do
    start "host-$n" "$bin/turmericwinchd" --host="host-$n" \
      --failure-domain="domain-$((n % domains))" --listen=127.0.0.1:0 \
      --operator-listen=127.0.0.1:0 --platform="$platform" \
      --peer-listen=127.0.0.1:0 ${first:+--peers="$first"}
    pids[n]=$TW_PID
    operators+=("$(daemon_address "host-$n" operators)")
    [ -n "$first" ] || first=$(daemon_address host-0 peers)
  done
  wait_for "all hosts to have the list" one_version 1
  sleep 20
  readers=$(field reads_platform | grep -c true)
  printf '%6d  list of %d bytes, %d hosts, %d readers\n' "$rows" "$list_bytes" "$hosts" "$readers"
  [ -n "${TW_ONLY_FAULTS:-}" ] || window idle
  [ -n "${TW_ONLY_FAULTS:-}" ] || window changes
  wait_for "all hosts to agree" one_version 1
  before=$(versions)
  started=$(date +%s%3N)
  put leaving
  wait_for "a change to be everywhere" one_version "$before"
  printf '%6d  a change is on all hosts after at most %d ms\n' "$rows" $(($(date +%s%3N) - started))
  printf '%6d  gaps %d, whole lists taken %d, changes taken from peers %d\n' "$rows" \
    "$(field gaps | sum)" "$(field wholes_taken | sum)" "$(field changes_taken | sum)"
  faults
  stop_all
done
