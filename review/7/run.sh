#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=review/7
program=build-review-2/case-${folder##*/}
trouble=on
if [ "${TROUBLE:-1}" = 0 ]; then trouble=off; fi
[ -x "$program" ] && [ -x target/bin/turmericwinch_gateway ] || exit 2
timeout -k 5 118 "$program" "$folder" "$trouble"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
