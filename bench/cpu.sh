#!/usr/bin/env bash
# Measures CPU time per second and resident memory of the entries, gates and
# agents at several query rates, from /proc. Writes CSV to standard output.
#
# Usage: bench/cpu.sh [RATE...]    (queries per second; 0 measures idle hosts)
#
# Variables: HOSTS, ZONES, SERVICE and WORK as in bench/run.sh, BASE_PORT (22000),
# BIN (target/release), SECONDS_EACH (10) for the duration of each rate in
# seconds, and the optional variables of bench/cluster.sh.
set -euo pipefail
cd "$(dirname "$0")/.."

HOSTS=${HOSTS:-4}
ZONES=${ZONES:-4}
SERVICE=${SERVICE:-quoting}
BASE_PORT=${BASE_PORT:-22000}
BIN=${BIN:-target/release}
WORK=${WORK:-$(mktemp -d)}
STEP_S=${SECONDS_EACH:-10}
. bench/cluster.sh

# Total CPU time of all processes of one kind since their start, in milliseconds.
cpu_ms() { # process
    local pid_file pid ticks=0 ticks_per_s
    ticks_per_s=$(getconf CLK_TCK)
    for pid_file in "$WORK"/pids/"$1"*; do
        pid=$(cat "$pid_file")
        ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    done
    echo $((ticks * 1000 / ticks_per_s))
}

# Largest resident set size among the processes of one kind, in KiB.
rss_kib() { # process
    local pid_file
    for pid_file in "$WORK"/pids/"$1"*; do
        awk '/^VmRSS/ {print $2}' "/proc/$(cat "$pid_file")/status"
    done | sort -n | tail -n 1
}

settings() { # rate
    local i entries=
    for i in $(seq "$HOSTS"); do
        entries="$entries${entries:+, }\"$ip:$(entry_port "$i")\""
    done
    printf 'entries = [%s]\ncontrol = "%s"\nservice = "%s"\nduration_s = %s\nrate = %s\nrun_rate = 0\n' \
        "$entries" "$ip:$(control_port)" "$SERVICE" "$STEP_S" "$1"
}

trap stop_all EXIT
start_all >&2
sleep 5
echo "hosts,rate,process,cpu_ms_per_s,rss_kib"
for rate in "${@:-0}"; do
    declare -A cpu_before=()
    for process in entry gate agent; do cpu_before[$process]=$(cpu_ms "$process"); done
    start_ns=$(date +%s%N)
    if [ "$rate" = 0 ]; then
        sleep "$STEP_S"
    else
        settings "$rate" >"$WORK/bench.toml"
        "$BIN/chervil-bench" --settings "$WORK/bench.toml" --only tier steady >&2
    fi
    elapsed_ms=$((($(date +%s%N) - start_ns) / 1000000))
    for process in entry gate agent; do
        used_ms=$(($(cpu_ms "$process") - cpu_before[$process]))
        echo "$HOSTS,$rate,$process,$((used_ms * 1000 / elapsed_ms)),$(rss_kib "$process")"
    done
done
