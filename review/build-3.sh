#!/usr/bin/env bash
# Builds what the scripts in review/11 to review/15 start besides the programs
# of the deploy file. Their stand-ins are Python, so there is nothing to
# compile: checks that Python reads them.
set -euo pipefail
cd "$(dirname "$0")"
for it in 11/standins.py 1[1-5]/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
