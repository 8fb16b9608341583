#!/bin/sh
# The stand-ins of the scripts are Python files without dependencies; this checks that they compile.
# The hosts are the program that the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for file in review/lib/*.py review/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
test -x target/release/chervillink || { echo "build the program of deploy/system.toml first" >&2; exit 1; }
