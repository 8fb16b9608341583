#!/usr/bin/env bash
# Measures real processes over loopback.
#
# Usage: bench/run.sh [SCENARIO...]
#
# Starts HOSTS hosts (agent, gate and entry each) and the stand-ins with
# generated settings, applies a sheet, runs the scenarios, and ends only the
# processes that it started. The result is printed and written to
# $WORK/result.json.
#
# Variables: HOSTS (4), ZONES (4), SERVICE (quoting), DURATION in seconds (20),
# LOAD as a share of the slots (0.5), RUN_RATE (5), ZONE (z2), BASE_PORT
# (21000), SERVER_QUEUE (0), BASE_MS (10.0) and JITTER_MS (10.0) of the service
# time, BIN (target/debug), WORK (a new directory), ONLY (naive or tier).
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

# Does what the load generator announces. Marking comes first when a zone goes
# out and when it returns, so that the count of late work errs upwards.
handle() { # event
    case $1 in
    zone-out)
        control "control/zone:$ZONE/mark" '{"on":true}'
        ctl zone out "$ZONE" >>"$WORK/logs/ctl.log" 2>&1 || echo "zone out failed" >&2
        ;;
    zone-in)
        control "control/zone:$ZONE/mark" '{"on":false}'
        ctl zone in "$ZONE" >>"$WORK/logs/ctl.log" 2>&1 || echo "zone in failed" >&2
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
# Open in both directions, so that neither side waits for the other.
exec 3<>"$WORK/events"
only=()
[ -z "${ONLY:-}" ] || only=(--only "$ONLY")
"$BIN/chervil-bench" --settings "$WORK/bench.toml" --events "$WORK/events" \
    --json "$WORK/result.json" "${only[@]}" "$@" &
bench=$!
echo "$bench" >"$WORK/pids/bench"
while kill -0 "$bench" 2>/dev/null; do
    if read -r -t 0.2 line <&3; then handle "$line"; fi
done
status=0
wait "$bench" || status=$?
rm -f "$WORK/pids/bench"
echo "settings, logs and result.json are in $WORK"
exit "$status"
