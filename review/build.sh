#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs of the standard library; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for it in support/cluster.py [1-5]/case.py; do
    [ -f "$it" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
