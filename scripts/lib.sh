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

# check_sanitizers: fails if a process reported a fault of memory or threads.
check_sanitizers() {
  if grep -lE 'Sanitizer|runtime error' "$TW_WORK"/*.err; then
    grep -hE -A 12 'Sanitizer|runtime error' "$TW_WORK"/*.err | head -60
    return 1
  fi
}
