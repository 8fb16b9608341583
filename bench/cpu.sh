#!/usr/bin/env bash
# Measures the processor time of each kind of process per second, at several
# query rates, from /proc. Output: CSV on standard output.
#
# Usage: bench/cpu.sh [RATE...]    (queries per second; 0 measures idle hosts)
#
# Variables: those of bench/run.sh; SECONDS_EACH (10) is the length of one step.
set -euo pipefail
cd "$(dirname "$0")/.."

HOSTS=${HOSTS:-4}
ZONES=${ZONES:-4}
SERVICE=${SERVICE:-quoting}
BASE_PORT=${BASE_PORT:-22000}
BIN=${BIN:-target/release}
WORK=${WORK:-$(mktemp -d)}
STEP=${SECONDS_EACH:-10}
. bench/cluster.sh

# Processor time of all processes of one kind, in milliseconds.
cpu_ms() { # process
    local file pid total=0 tick
    tick=$(getconf CLK_TCK)
    for file in "$WORK"/pids/"$1"*; do
        pid=$(cat "$file")
        total=$((total + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    done
    echo $((total * 1000 / tick))
}

# Largest resident memory of the processes of one kind, in KiB.
rss_kib() { # process
    local file
    for file in "$WORK"/pids/"$1"*; do
        awk '/^VmRSS/ {print $2}' "/proc/$(cat "$file")/status"
    done | sort -n | tail -n 1
}

settings() { # rate
    local i entries=
    for i in $(seq "$HOSTS"); do
        entries="$entries${entries:+, }\"$ip:$(entry_port "$i")\""
    done
    printf 'entries = [%s]\ncontrol = "%s"\nservice = "%s"\nduration_s = %s\nrate = %s\nrun_rate = 0\n' \
        "$entries" "$ip:$(control_port)" "$SERVICE" "$STEP" "$1"
}

trap stop_all EXIT
start_all >&2
sleep 5
echo "hosts,rate,process,cpu_ms_per_s,rss_kib"
for rate in "${@:-0}"; do
    declare -A before=()
    for process in entry gate agent; do before[$process]=$(cpu_ms "$process"); done
    start=$(date +%s%N)
    if [ "$rate" = 0 ]; then
        sleep "$STEP"
    else
        settings "$rate" >"$WORK/bench.toml"
        "$BIN/chervil-bench" --settings "$WORK/bench.toml" --only tier steady >&2
    fi
    millis=$((($(date +%s%N) - start) / 1000000))
    for process in entry gate agent; do
        used=$(($(cpu_ms "$process") - before[$process]))
        echo "$HOSTS,$rate,$process,$((used * 1000 / millis)),$(rss_kib "$process")"
    done
done
