#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Writes what was sent, answered and run to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 review/12/case.py
