# Shell functions shared by the scripts. Source it; it starts nothing.

TW_PIDS=()

# start NAME COMMAND...: runs COMMAND in the background, its output in
# $TW_WORK/NAME.out and .err; sets TW_PID.
start() {
  local name=$1
  shift
  "$@" >"$TW_WORK/$name.out" 2>"$TW_WORK/$name.err" &
  TW_PID=$!
  TW_PIDS+=("$TW_PID")
}

# stop_all: ends every process that start() began, the last one first, so that
# daemons can still flush to the stand-in of the platform.
stop_all() {
  local n
  for ((n = ${#TW_PIDS[@]} - 1; n >= 0; --n)); do
    kill -TERM "${TW_PIDS[n]}" 2>/dev/null || true
    wait "${TW_PIDS[n]}" 2>/dev/null || true
  done
  TW_PIDS=()
}

# wait_for DESCRIPTION COMMAND...: repeats COMMAND until it succeeds.
wait_for() {
  local what=$1 n
  shift
  for n in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "gave up waiting for $what" >&2
  return 1
}

# stand_in_address NAME: the address that a stand-in printed.
stand_in_address() {
  wait_for "$1 to listen" test -s "$TW_WORK/$1.out"
  head -n 1 "$TW_WORK/$1.out"
}

# daemon_address NAME FIELD: the address that a daemon logged as FIELD.
daemon_address() {
  wait_for "$1 to start" grep -q 'event=started' "$TW_WORK/$1.err"
  sed -n "s/.*event=started.* $2=\([0-9.:]*\).*/\1/p" "$TW_WORK/$1.err" | head -n 1
}

# start_host N DOMAIN FLAG...: starts host-N on ports of the kernel's choice and
# waits until it is ready; adds it to host_pids, callers and operators.
start_host() {
  local name=host-$1 domain=$2
  shift 2
  start "$name" "$bin/turmericwinchd" --host="$name" --failure-domain="$domain" \
    --listen=127.0.0.1:0 --operator-listen=127.0.0.1:0 "$@"
  host_pids+=("$TW_PID")
  callers+=("$(daemon_address "$name" callers)")
  operators+=("$(daemon_address "$name" operators)")
  wait_for "$name to be ready" curl -sf "http://${operators[-1]}/readyz"
}

# fail TEXT...: ends the script, with the hosts' last lines.
fail() {
  echo "$(basename "$0" .sh): $*" >&2
  tail -q -n 5 "$TW_WORK"/host-*.err >&2 || true
  exit 1
}

# expect WHAT PATTERN TEXT: fails unless TEXT has a line of PATTERN.
expect() { grep -qE "$2" <<<"$3" || fail "$1: expected $2 in: $3"; }

# tokens_once WHAT COUNT TEXT: each token of a stream once, in order, and its end.
tokens_once() {
  local want got
  want=$(for ((n = 0; n < $2; ++n)); do echo "t$n"; done)
  got=$(grep -oE '"content":"t[0-9]+ "' <<<"$3" | grep -oE 't[0-9]+')
  [ "$want" = "$got" ] || fail "$1: tokens were not seen once each: $got"
  expect "$1" '^data: \[DONE\]' "$3"
}

# fault ADDRESS JSON: sets the faults of a stand-in.
fault() { curl -sf -X PUT "http://$1/faults" -d "$2" >/dev/null; }

# check_sanitizers: fails if a process reported a fault of memory or threads.
check_sanitizers() {
  if grep -lE 'Sanitizer|runtime error' "$TW_WORK"/*.err; then
    grep -hE -A 12 'Sanitizer|runtime error' "$TW_WORK"/*.err | head -60
    return 1
  fi
}
