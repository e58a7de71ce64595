# Runs one case: starts the gateways with the command of the deploy file, then
# the case's program with its stand-ins. Source it and call run_case.
# run_case PROGRAM GATEWAYS: exits with the program's code.
run_case() {
  local here root work record program=$1 count=$2 n line word code pids=() ports command
  here=$(pwd)
  record=${RECORD:-$here/record.txt}
  root=$(cd ../.. && pwd)
  program=$root/review/bin/$program
  [ -x "$program" ] && [ -x "$root/target/bin/turmericwinch_gateway" ] ||
    { echo "build the deploy file and run review/build.sh first" >&2; exit 2; }
  work=$(mktemp -d)
  trap 'for it in "${pids[@]}"; do kill -KILL "$it" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$work"' EXIT
  mapfile -t ports < <("$root/review/bin/free_ports" $((1 + count * 4)))
  local store=${ports[0]} gateways=() zones="zone-a,zone-b"
  line=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
  for ((n = 0; n < count; ++n)); do
    local first=$((1 + n * 4)) zone=zone-a
    ((n % 2)) && zone=zone-b
    command=$line
    command=${command//'{{node_name}}'/edge-$zone-$((n + 1))}
    command=${command//'{{zone}}'/$zone}
    command=${command//'{{#zones}}{{@}}{{,}}{{/zones}}'/$zones}
    command=${command//'{{listen.frontend}}'/127.0.0.1:${ports[first]}}
    command=${command//'{{listen.readiness}}'/127.0.0.1:${ports[first + 1]}}
    command=${command//'{{ip}}:{{port_range.0}}'/127.0.0.1:${ports[first + 2]}}
    command=${command//'{{ip}}:{{port_range.1}}'/127.0.0.1:${ports[first + 3]}}
    command=${command//'{{platform.address}}'/127.0.0.1:$store}
    command=${command//'{{platform.reads_per_s}}'/2000}
    command=${command//'{{platform.writes_per_s}}'/400}
    command=${command//'{{limits.link_mbps}}'/1000.0}
    command=${command//'{{bounds.retry_budget_ratio}}'/0.2}
    command=${command//'{{bounds.budget_slack}}'/58}
    [[ $command == *'{{'* ]] && { echo "unknown field in: $command" >&2; exit 2; }
    read -ra words <<<"$command"
    (cd "$root" && exec "${words[@]}") >"$work/gateway-$n.log" 2>&1 &
    pids+=($!)
    gateways+=("${ports[first]}:${ports[first + 1]}")
  done
  "$program" "$store" "$record" "${gateways[@]}" &
  pids+=($!)
  code=0
  wait "${pids[-1]}" || code=$?
  for ((n = 0; n < count; ++n)); do
    kill -0 "${pids[n]}" 2>/dev/null || echo "gateway $n ended by itself" >>"$record"
  done
  [ -z "${KEEP_LOGS:-}" ] || cp "$work"/gateway-*.log "$KEEP_LOGS"
  [ "$code" -le 1 ] || code=2
  exit "$code"
}
