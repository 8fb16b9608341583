#!/usr/bin/env bash
# Runs chervil-bench against real processes on loopback.
#
# Usage: bench/run.sh [SCENARIO...]
#
# Starts HOSTS hosts (one agent, gate and entry each) and a stand-in with
# generated settings, applies a sheet, runs the scenarios (all by default), and
# stops only the processes that it started. The result is printed and written to
# $WORK/result.json.
#
# Variables, with defaults: HOSTS (4), ZONES (4), SERVICE (quoting), DURATION of
# a phase in seconds (20), LOAD as a share of the slots (0.5), RUN_RATE in
# non-idempotent requests per second (5), ZONE that is taken out (z2), BASE_PORT
# (21000), SERVER_QUEUE (0) for requests that wait at a server beyond its slots,
# BASE_MS (10.0) and JITTER_MS (10.0) of the service time, BIN (target/debug),
# WORK (a new directory), ONLY (naive or tier; both by default), SEED (1), and
# LOG_LEVEL, STATSD and OPERATOR of bench/cluster.sh.
set -euo pipefail
cd "$(dirname "$0")/.."

HOSTS=${HOSTS:-4}
ZONES=${ZONES:-4}
SERVICE=${SERVICE:-quoting}
ZONE=${ZONE:-z2}
BASE_PORT=${BASE_PORT:-21000}
BIN=${BIN:-target/debug}
WORK=${WORK:-$(mktemp -d)}
. bench/cluster.sh

write_bench_settings() {
    local i entries= admins=
    for i in $(seq "$HOSTS"); do
        entries="$entries${entries:+, }\"$ip:$(entry_port "$i")\""
        admins="$admins${admins:+, }\"$ip:$(admin_port "$i" entry)\""
    done
    cat <<EOF
entries = [$entries]
admins = [$admins]
control = "$ip:$(control_port)"
service = "$SERVICE"
duration_s = ${DURATION:-20}
load = ${LOAD:-0.5}
run_rate = ${RUN_RATE:-5}
zone = "$ZONE"
seed = ${SEED:-1}
EOF
}

# Carries out a change that chervil-bench announces. Servers are marked before
# their zone goes out, so that the count of late requests errs upwards, and
# unmarked before it returns, so that no request after the return is counted.
handle() { # event
    case $1 in
    zone-out)
        control "control/zone:$ZONE/mark" '{"on":true}'
        ctl zone out "$ZONE" >>"$WORK/logs/ctl.log" 2>&1 ||
            echo "chervilctl zone out $ZONE failed; see $WORK/logs/ctl.log" >&2
        ;;
    zone-in)
        control "control/zone:$ZONE/mark" '{"on":false}'
        ctl zone in "$ZONE" >>"$WORK/logs/ctl.log" 2>&1 ||
            echo "chervilctl zone in $ZONE failed; see $WORK/logs/ctl.log" >&2
        ;;
    rolling-restart) rolling_restart ;;
    esac
}

finish() {
    stop bench
    stop_all
}

trap finish EXIT
start_all
write_bench_settings >"$WORK/bench.toml"
mkfifo "$WORK/events"
# Opened for reading and writing, since opening a FIFO for one of them blocks
# until the other end is open.
exec 3<>"$WORK/events"
only_args=()
[ -z "${ONLY:-}" ] || only_args=(--only "$ONLY")
"$BIN/chervil-bench" --settings "$WORK/bench.toml" --events "$WORK/events" \
    --json "$WORK/result.json" "${only_args[@]}" "$@" &
bench_pid=$!
echo "$bench_pid" >"$WORK/pids/bench"
while kill -0 "$bench_pid" 2>/dev/null; do
    if read -r -t 0.2 event <&3; then handle "$event"; fi
done
status=0
wait "$bench_pid" || status=$?
rm -f "$WORK/pids/bench"
echo "settings, logs and result.json are in $WORK"
exit "$status"
