#!/usr/bin/env bash
# Runs the fault soak with hosts of an earlier build that are replaced one after the other by
# hosts of this one, so that both run side by side.
#
# Usage: bench/upgrade.sh COMMIT [OPTION...]
#
# COMMIT names the earlier build; it is built from the repository's history. The options are
# those of chervil-soak. Needs the whole history, and debug builds of chervillink and
# chervil-soak (cargo build --workspace).
#
# Exits with 1 if a guarantee is violated, or a host could not read what another one said.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 1 ]; then
    sed -n '2,/^set/s/^# \{0,1\}//p' "$0"
    exit 2
fi
if ! COMMIT=$(git rev-parse --quiet --verify "$1^{commit}"); then
    echo "upgrade.sh: $1 is not in the history; fetch all of it (git fetch --unshallow)" >&2
    exit 2
fi
shift
BUILDS=$PWD/target/earlier
SOURCE=$BUILDS/$COMMIT
if [ ! -x "$SOURCE/chervillink" ]; then
    mkdir -p "$SOURCE"
    # All earlier builds share their dependencies. Cargo tells their own sources apart by the
    # time of modification, which must not be that of the commit.
    git archive "$COMMIT" | tar -x -m -C "$SOURCE"
    (cd "$SOURCE" && CARGO_TARGET_DIR=$BUILDS/target cargo build --locked --quiet -p chervillink)
    cp "$BUILDS/target/debug/chervillink" "$SOURCE/chervillink"
fi
exec target/debug/chervil-soak --binary target/debug/chervillink \
    --previous "$SOURCE/chervillink" "$@"
