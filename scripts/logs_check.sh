#!/usr/bin/env bash
# Compares docs/LOGS.md with the events that the gateway logs: each event has a
# row, the row names each of its fields, and no row is left without an event.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/LOGS.md
failed=0
fail() {
  echo "logs_check: $*" >&2
  failed=1
}
# One line for each call of LogEvent: the quoted words, the event's name among
# the first two.
calls=$(cat src/libs/gateway/*.cc src/libs/node/attempt_meter.cc src/libs/platform/platform_response.cc platform/*.cc | tr '\n' ' ' |
  grep -oE 'LogEvent\( *kLog[^;]*;')
logged=()
while read -r call; do
  # Names of fields stand behind an opening brace, names of events do not.
  mapfile -t events < <(grep -oE '[^{]"[a-z_]+"' <<<"${call%%\{\{*}" | grep -oE '[a-z_]+')
  mapfile -t fields < <(grep -oE '\{"[a-z_]+",' <<<"$call" | grep -oE '[a-z_]+')
  for event in "${events[@]}"; do
    logged+=("$event")
    row=$(grep -E "^\|.*\`$event\`" "$page" || true)
    if [ -z "$row" ]; then
      fail "event $event has no row in $page"
      continue
    fi
    for field in "${fields[@]}"; do
      grep -qw "$field" <<<"${row##*|*|*|}${row}" || fail "field $field of $event is not in its row"
    done
  done
done <<<"$calls"
while read -r event; do
  printf '%s\n' "${logged[@]}" | grep -qx "$event" || fail "$page has $event, which is not logged"
done < <(grep -E '^\|' "$page" | cut -d'|' -f3 | grep -oE '`[a-z_]+`' | tr -d '`')
[ "${#logged[@]}" -gt 0 ] || fail "no event was found in the sources"
[ "$failed" = 0 ] || exit 1
echo "logs_check: ${#logged[@]} events agree with $page"
