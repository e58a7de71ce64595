#!/usr/bin/env bash
# Time until a published generation is in force on every host, as processes:
# with all well, with hosts killed, paused and cut off from the platform; and
# the calls to the platform while all start, and start again, at once.
# Usage: measure_convergence.sh BUILD_DIRECTORY HOSTS... (default 8 32)
# TW_TARGETS: targets in the host list (default 100). TW_DAEMON_FLAGS: further
# flags of the daemons. TW_ONLY_STARTS=1: nothing but the starts.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "$1" && pwd)/bin
shift
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8 32)
TW_WORK=$(mktemp -d)
. scripts/lib.sh
paused=()
trap 'for it in "${paused[@]}"; do kill -CONT "$it" 2>/dev/null || true; done; stop_all; [ -n "${TW_KEEP:-}" ] || rm -rf "$TW_WORK"' EXIT
export TURMERICWINCH_OPERATOR_TOKEN=token TURMERICWINCH_FLEET_KEY=key
peer_port=17000
domains=7

# host_ip N: each host has its own loopback address.
host_ip() { echo "127.1.$(($1 / 200)).$(($1 % 200 + 1))"; }

start_host() {
  start "host-$1" "$bin/turmericwinchd" --host="host-$1" \
    --failure-domain="domain-$(($1 % domains))" --listen="$(host_ip "$1"):17080" \
    --operator-listen="$(host_ip "$1"):17081" --platform="$2" \
    --peer-listen="$(host_ip "$1"):$peer_port" \
    --peers="$(host_ip 0):$peer_port,$(host_ip 1):$peer_port,$(host_ip 2):$peer_port" \
    ${TW_DAEMON_FLAGS:-}
  host_pids[$1]=$TW_PID
}

dump() { curl -sf --max-time 2 "http://$(host_ip "$1"):17081/dump" -H 'Authorization: Bearer token'; }

# publish N: changes the sample set and publishes it; prints the time in ms.
publish() {
  sed -i "s/\"tokens\": *[0-9]*/\"tokens\": $((1000000 + $1))/" "$TW_WORK/config/teams.json"
  TURMERICWINCH_PLATFORM=$platform "$bin/winch" apply "$TW_WORK/config" >/dev/null
  date +%s%3N
}

# in_force_on N: how many hosts logged generation N.
in_force_on() { grep -l "event=config_in_force.* generation=$1 " "$TW_WORK"/host-*.err 2>/dev/null | wc -l; }

# row NAME GENERATION EXPECTED START: waits and prints one line of the table.
row() {
  local n=0
  while [ "$(in_force_on "$2")" -lt "$3" ] && [ $n -lt 300 ]; do
    sleep 0.1
    n=$((n + 1))
  done
  local now reached
  now=$(date +%s%3N)
  reached=$(in_force_on "$2")
  printf '%5d  %-34s %8d of %3d  %6d ms\n' "$hosts" "$1" "$reached" "$3" $((now - $4))
}

# calls DUTY: calls to the platform that the hosts counted for DUTY.
calls() {
  local n
  for ((n = 0; n < hosts; ++n)); do dump "$n" 2>/dev/null || true; echo; done |
    grep -o "\"$1\":{\"read\":[0-9]*,\"write\":[0-9]*,\"watch\":[0-9]*" |
    grep -o '[0-9]*' | awk '{n += $1} END {print n + 0}'
}

# put_list: the host list of the hosts and TW_TARGETS targets.
put_list() {
  {
    printf '{"hosts":['
    for ((n = 0; n < hosts; ++n)); do
      [ "$n" = 0 ] || printf ','
      printf '{"name":"host-%d","failure_domain":"domain-%d","address":"%s:%d","state":"live"}' \
        "$n" $((n % domains)) "$(host_ip "$n")" "$peer_port"
    done
    printf '],"targets":['
    for ((n = 0; n < ${TW_TARGETS:-100}; ++n)); do
      [ "$n" = 0 ] || printf ','
      printf '{"name":"target-%d","failure_domain":"domain-%d","address":"127.2.%d.%d:8000","incarnation":"1","class":"llm-large","state":"live"}' \
        "$n" $((n % domains)) $((n / 250)) $((n % 250 + 1))
    done
    printf ']}'
  } >"$TW_WORK/list.json"
  curl -sf -X PUT "http://$platform/hosts" --data-binary "@$TW_WORK/list.json" >/dev/null
}

# sample_calls: notes the platform's calls each second, until print_calls.
sample_calls() {
  while :; do
    echo "$(date +%s%3N) $(curl -s --max-time 2 "http://$platform/stats")"
    sleep 0.9
  done >"$TW_WORK/stats" &
  sampler=$!
}

# print_calls: the busiest second since sample_calls.
print_calls() {
  kill "$sampler"
  wait "$sampler" 2>/dev/null || true
  awk -v hosts="$hosts" '
    function of(kind, part) {
      if (!match($0, "\"" kind "\":[0-9]+")) return 0
      part = substr($0, RSTART, RLENGTH); sub(/.*:/, "", part); return part + 0 }
    { reads = of("hosts") + of("host_watch") + of("list") + of("read") + of("watch")
      writes = of("create") + of("update") + of("delete"); bytes = of("bytes_out")
      if (NR > 1 && $1 > at) {
        s = ($1 - at) / 1000
        if ((reads - r) / s > most_r) most_r = (reads - r) / s
        if ((writes - w) / s > most_w) most_w = (writes - w) / s
      } else { first_r = reads; first_b = bytes }
      at = $1; r = reads; w = writes }
    END { printf "%5d  platform calls: most %.0f reads and watches, %.0f writes in a second; %d reads, %d KB in all\n",
      hosts, most_r, most_w, r - first_r, (bytes - first_b) / 1024 }' "$TW_WORK/stats"
}

# start_all NAME GENERATION: starts all hosts at once, and prints the calls of
# the 12 seconds from then.
start_all() {
  local n started
  sample_calls
  started=$(date +%s%3N)
  for ((n = 0; n < hosts; ++n)); do start_host "$n" "$platform"; done
  row "$1" "$2" "$hosts" "$started"
  while [ $(($(date +%s%3N) - started)) -lt 12000 ]; do sleep 0.5; done
  print_calls
}

# outage: the platform is down for 20 seconds; prints the calls of the 10
# seconds after it.
outage() {
  curl -sf -X PUT "http://$platform/faults" -d '{"down":true}' >/dev/null
  sleep 20
  sample_calls
  curl -sf -X PUT "http://$platform/faults" -d '{}' >/dev/null
  sleep 10
  printf '%5d  after an outage of 20 s:\n' "$hosts"
  print_calls
}

printf 'hosts  %-34s %15s  %9s\n' case 'in force on' time
for hosts in "${sizes[@]}"; do
  declare -A host_pids=()
  rm -rf "$TW_WORK"/*
  cp -r samples/skuffekort "$TW_WORK/config"
  start platform "$bin/standin_platform"
  platform=$(stand_in_address platform)
  publish 0 >/dev/null
  put_list
  start_all 'all start at once' 1
  for it in "${host_pids[@]}"; do kill -KILL "$it"; done
  for it in "${host_pids[@]}"; do wait "$it" 2>/dev/null || true; done
  rm -f "$TW_WORK"/host-*.err
  start_all 'all killed, all start again' 1
  outage
  if [ -n "${TW_ONLY_STARTS:-}" ]; then
    stop_all
    continue
  fi
  before=($(calls config) $(calls hosts))
  counted=$(date +%s%3N)
  row 'all well' 2 "$hosts" "$(publish 1)"
  row 'all well, again' 3 "$hosts" "$(publish 2)"
  sleep 10
  after=($(calls config) $(calls hosts))
  seconds=$((($(date +%s%3N) - counted) / 1000))
  printf '%5d  platform calls in %d s: %d for configuration, %d for the host list\n' \
    "$hosts" "$seconds" $((after[0] - before[0])) $((after[1] - before[1]))
  # Hosts 3 and 4 die without notice.
  kill -KILL "${host_pids[3]}" "${host_pids[4]}"
  row 'two hosts just killed' 4 $((hosts - 2)) "$(publish 3)"
  # Every watcher of the platform pauses for a while.
  watchers=()
  for ((n = 0; n < hosts; ++n)); do
    if dump "$n" 2>/dev/null | grep -q '"watching_platform":true'; then watchers+=("$n"); fi
  done
  half=${watchers[@]:0:$(((${#watchers[@]} + 1) / 2))}
  stopped=0
  for n in $half; do
    kill -STOP "${host_pids[$n]}"
    paused+=("${host_pids[$n]}")
    stopped=$((stopped + 1))
  done
  published=$(publish 4)
  row "$stopped of ${#watchers[@]} watchers just paused" 5 $((hosts - 2 - stopped)) "$published"
  resumed=$(date +%s%3N)
  for n in $half; do kill -CONT "${host_pids[$n]}"; done
  paused=()
  row 'the paused ones, from waking' 5 $((hosts - 2)) "$resumed"
  # A host restarts at the same address, cut off from the platform.
  started=$(date +%s%3N)
  rm -f "$TW_WORK/host-3.err"
  start_host 3 127.0.0.1:1 # nothing listens there
  row 'start cut off from the platform' 5 $((hosts - 1)) "$started"
  row 'one host cut off from the platform' 6 $((hosts - 1)) "$(publish 5)"
  printf '%5d  largest resident size: %d KB\n' "$hosts" \
    "$(for it in "${host_pids[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$it/status" 2>/dev/null || true; done | sort -n | tail -n 1)"
  stop_all
done
