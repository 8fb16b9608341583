#!/usr/bin/env bash
# A request that crashes its servers, from a consumer that leaves before they crash. Writes
# record.txt beside it. With TROUBLE=0 the consumer waits for its answers.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
