#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the program of the deploy file. Their stand-ins
# are Python scripts that use the standard library only, so that there is nothing to compile; checks that
# they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
