#!/usr/bin/env bash
# Starts three hosts and a stand-in (simulated backend servers and platform) on
# loopback, applies a sheet, sends a query and a non-idempotent request, prints
# the answers and stops every process that it started.
#
# Variables: KEEP, if not empty, keeps the directory of settings and logs.
# CARGO_TARGET_DIR (target) is Cargo's target directory.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --workspace --bins --quiet
bin="${CARGO_TARGET_DIR:-target}/debug"
dir=$(mktemp -d)
pids=()

stop() {
    local code=$?
    set +e
    # In reverse start order: entries stop before the gates that they use.
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill "${pids[i]}" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    if [ "$code" -ne 0 ]; then tail -n 5 "$dir"/*.log; fi
    [ -n "${KEEP:-}" ] || rm -rf "$dir"
    exit "$code"
}
trap stop EXIT

start() { # log name, command
    local name=$1
    shift
    "$@" >"$dir/$name.log" 2>&1 &
    pids+=($!)
}

# Polls a URL until a GET succeeds, up to 200 times with pauses of 0.1 s.
await() { # URL
    for _ in $(seq 200); do
        if curl -sf -o /dev/null "$1"; then return; fi
        sleep 0.1
    done
    echo "demo: no successful reply from $1 within 20 s; the last lines of each log follow" >&2
    return 1
}

secret=demo-secret-0123456789

cat >"$dir/standin.toml" <<TOML
control = "127.0.0.1:27000"

[platform]
listen = "127.0.0.1:27001"

[[service]]
name = "splice-lookup"
servers = 6
port = 27010
zones = ["z1", "z2", "z3"]
shards = 12
replicas = 2
slots = 2
connections = 50
connect_ms = 6
TOML

for n in 1 2 3; do
    node="[node]
host = \"host-$n\"
zone = \"z$n\"
log_level = \"warn\""
    cat >"$dir/agent-$n.toml" <<TOML
listen = "127.0.0.1:2711$n"
gate = "127.0.0.1:2712$n"
secret = "$secret"
platform = "http://127.0.0.1:27001"

$node
admin = "127.0.0.1:2714$n"
TOML
    cat >"$dir/gate-$n.toml" <<TOML
listen = "127.0.0.1:2712$n"
agent = "127.0.0.1:2711$n"
secret = "$secret"

$node
admin = "127.0.0.1:2715$n"
TOML
    cat >"$dir/entry-$n.toml" <<TOML
listen = "127.0.0.1:2713$n"
agent = "127.0.0.1:2711$n"
secret = "$secret"

$node
admin = "127.0.0.1:2716$n"
TOML
done

cat >"$dir/ctl.toml" <<TOML
store = "http://127.0.0.1:27001"
secret = "$secret"
operator = "demo"
agents = ["127.0.0.1:27111", "127.0.0.1:27112", "127.0.0.1:27113"]
TOML

echo "== start the stand-in and three hosts"
start standin "$bin/chervil-standin" --settings "$dir/standin.toml"
await http://127.0.0.1:27000/stats
for n in 1 2 3; do start "agent-$n" "$bin/chervil-agent" --settings "$dir/agent-$n.toml"; done
for n in 1 2 3; do start "gate-$n" "$bin/chervil-gate" --settings "$dir/gate-$n.toml"; done
for n in 1 2 3; do start "entry-$n" "$bin/chervil-entry" --settings "$dir/entry-$n.toml"; done

echo "== apply the sheet"
"$bin/chervil-standin" --settings "$dir/standin.toml" --sheet 2026-12-04T06:00:00Z >"$dir/sheet.csv"
for n in 1 2 3; do await "http://127.0.0.1:2714$n/live"; done
"$bin/chervilctl" apply "$dir/sheet.csv" --settings "$dir/ctl.toml"
for n in 1 2 3; do await "http://127.0.0.1:2716$n/ready"; done
"$bin/chervilctl" status --settings "$dir/ctl.toml"

echo "== query all shards of a service"
ask() {
    curl -s -D "$dir/headers" -H 'x-timeout-ms: 2000' -d '{"match":"hawser"}' \
        http://127.0.0.1:27131/query/splice-lookup >"$dir/answer"
}
# Retries, since the backend servers are cold and the gates have only just taken
# ownership of them.
for _ in $(seq 50); do
    ask
    if grep -q '^HTTP/1.1 200' "$dir/headers"; then break; fi
    sleep 0.2
done
grep -iE '^(HTTP|x-)' "$dir/headers"
head -c 300 "$dir/answer"
echo
grep -q '^HTTP/1.1 200' "$dir/headers"
grep -qi '^x-coverage: 12/12' "$dir/headers"

echo "== send a non-idempotent request twice with one idempotency key"
key="$(date +%s)-demo$(printf %08d "$RANDOM")"
for port in 27132 27133; do
    curl -s -D "$dir/headers" -H "idempotency-key: $key" -H 'x-timeout-ms: 2000' \
        -d '{"invoice":1}' "http://127.0.0.1:$port/run/splice-lookup"
    echo
    head -n 1 "$dir/headers"
done
grep -q '^HTTP/1.1 200' "$dir/headers"

echo "== stop"
