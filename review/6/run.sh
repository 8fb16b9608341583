#!/usr/bin/env bash
# A host that starts while the store turns it away and the host that it follows is lost misses a
# change of the configuration for good. Writes record.txt beside it. With TROUBLE=0 no host is
# restarted, lost or turned away.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
