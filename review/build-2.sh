#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library
# (review/lib-2), so that there is nothing to compile: this checks that they can be run.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys
if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
import ast
import pathlib
for path in sorted(pathlib.Path("review").glob("lib-2/*.py")) + sorted(
    path for n in range(6, 11) for path in pathlib.Path("review").glob(f"{n}/*.py")
):
    ast.parse(path.read_text(), str(path))
PY
test -x target/release/chervillink || echo "run the build of the deploy file first"
