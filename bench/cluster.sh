# Functions that start hosts and a stand-in on loopback; source this file.
#
# Required variables: WORK (directory for settings, logs and process IDs), BIN
# (directory of the binaries), HOSTS and ZONES (how many of each), BASE_PORT
# (lowest port). The addresses of all processes are in $WORK/*.toml.
#
# Optional variables: SEED (1), LOG_LEVEL (info), STATSD (address, none by
# default), OPERATOR (bench), BASE_MS (10.0), JITTER_MS (10.0), SERVER_QUEUE (0).

ip=127.0.0.1
secret=loopback-secret-of-this-run

# Host i (from 1) uses the ports from BASE_PORT + 100 + 10 * i.
control_port() { echo "$BASE_PORT"; }
platform_port() { echo $((BASE_PORT + 1)); }
host_port() { echo $((BASE_PORT + 100 + 10 * $1 + $2)); }
agent_port() { host_port "$1" 0; }
gate_port() { host_port "$1" 1; }
entry_port() { host_port "$1" 2; }
admin_port() { # host, process
    case $2 in
    agent) host_port "$1" 3 ;;
    gate) host_port "$1" 4 ;;
    entry) host_port "$1" 5 ;;
    esac
}
zone_of() { echo "z$((($1 - 1) % ZONES + 1))"; }

zone_list() {
    local i list=
    for i in $(seq "$ZONES"); do list="$list${list:+, }\"z$i\""; done
    echo "$list"
}

service() { # name, servers, port offset, shards, slots, connections, connect_ms
    cat <<EOF

[[service]]
name = "$1"
servers = $2
port = $((BASE_PORT + $3))
zones = [$(zone_list)]
shards = $4
replicas = 2
slots = $5
connections = $6
connect_ms = $7
start_cold = true
faults = { base_ms = ${BASE_MS:-10.0}, jitter_ms = ${JITTER_MS:-10.0}, queue = ${SERVER_QUEUE:-0} }
EOF
}

write_standin_settings() {
    local i
    cat <<EOF
control = "$ip:$(control_port)"
seed = ${SEED:-1}

[platform]
listen = "$ip:$(platform_port)"
EOF
    for i in $(seq "$HOSTS"); do
        cat <<EOF

[[platform.host]]
host = "h$i"
zone = "$(zone_of "$i")"
agent = "$ip:$(agent_port "$i")"
gate = "$ip:$(gate_port "$i")"
leaving = false
EOF
    done
    service lookup 3 1000 12 2 50 6
    service billing 3 1100 12 2 50 6
    service quoting 7 1200 14 6 190 1
    service stock 4 1300 8 6 190 1
}

write_node_settings() { # host, process
    cat <<EOF
[node]
host = "h$1"
zone = "$(zone_of "$1")"
admin = "$ip:$(admin_port "$1" "$2")"
log_level = "${LOG_LEVEL:-info}"
EOF
    [ -z "${STATSD:-}" ] || echo "statsd = \"$STATSD\""
}

write_agent_settings() { # host
    local j peers=
    for j in $(seq "$HOSTS"); do
        [ "$j" = "$1" ] || peers="$peers${peers:+, }\"$ip:$(agent_port "$j")\""
    done
    cat <<EOF
listen = "$ip:$(agent_port "$1")"
gate = "$ip:$(gate_port "$1")"
secret = "$secret"
platform = "http://$ip:$(platform_port)"
peers = [$peers]

EOF
    write_node_settings "$1" agent
}

write_server_settings() { # host, gate or entry
    cat <<EOF
listen = "$ip:$("$2_port" "$1")"
secret = "$secret"
agent = "$ip:$(agent_port "$1")"

EOF
    write_node_settings "$1" "$2"
}

write_ctl_settings() {
    local i agents=
    for i in $(seq "$HOSTS"); do agents="$agents${agents:+, }\"$ip:$(agent_port "$i")\""; done
    cat <<EOF
store = "http://$ip:$(platform_port)"
secret = "$secret"
operator = "${OPERATOR:-bench}"
agents = [$agents]
EOF
}

write_settings() {
    local i
    mkdir -p "$WORK/logs" "$WORK/pids"
    write_standin_settings >"$WORK/standin.toml"
    write_ctl_settings >"$WORK/ctl.toml"
    for i in $(seq "$HOSTS"); do
        write_agent_settings "$i" >"$WORK/agent-$i.toml"
        write_server_settings "$i" gate >"$WORK/gate-$i.toml"
        write_server_settings "$i" entry >"$WORK/entry-$i.toml"
    done
}

start() { # binary, name of the settings file
    "$BIN/chervil-$1" --settings "$WORK/$2.toml" >>"$WORK/logs/$2.log" 2>&1 &
    echo $! >"$WORK/pids/$2"
}

# Sends SIGTERM to one process and waits for its exit.
stop() { # name of the settings file
    local pid file="$WORK/pids/$1" status=0
    [ -f "$file" ] || return 0
    pid=$(cat "$file")
    rm -f "$file"
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || status=$?
    [ "$status" = 0 ] || echo "$1 exited with status $status; see $WORK/logs" >&2
}

stop_all() {
    local i
    for i in $(seq "$HOSTS"); do stop "entry-$i"; done
    for i in $(seq "$HOSTS"); do stop_host "$i" agent gate; done
    stop standin
}

# On shutdown the agent and the gate of a host wait for each other, so both get
# SIGTERM before the script waits for either.
stop_host() { # host, processes
    local i=$1 process
    shift
    for process in "$@"; do
        [ ! -f "$WORK/pids/$process-$i" ] || kill -TERM "$(cat "$WORK/pids/$process-$i")" || true
    done
    for process in "$@"; do stop "$process-$i"; done
}

wait_for() { # URL
    local i
    for i in $(seq 300); do
        if curl -sf -o "$WORK/reply" "$1"; then return 0; fi
        sleep 0.1
    done
    echo "no successful reply from $1 within 30 s; see $WORK/logs" >&2
    return 1
}

wait_ready() { # host, process
    wait_for "http://$ip:$(admin_port "$1" "$2")/ready"
}

start_host() { # host
    start agent "agent-$1"
    start gate "gate-$1"
    start entry "entry-$1"
}

start_all() {
    local i
    write_settings
    if curl -s -o /dev/null "http://$ip:$(control_port)/servers"; then
        echo "port $(control_port) is in use; set BASE_PORT to another range" >&2
        return 1
    fi
    start standin standin
    wait_for "http://$ip:$(control_port)/servers"
    for i in $(seq "$HOSTS"); do start_host "$i"; done
    for i in $(seq "$HOSTS"); do wait_for "http://$ip:$(admin_port "$i" agent)/live"; done
    apply_sheet
    for i in $(seq "$HOSTS"); do wait_ready "$i" entry; done
}

ctl() { "$BIN/chervilctl" --settings "$WORK/ctl.toml" "$@"; }

apply_sheet() {
    local i
    "$BIN/chervil-standin" --settings "$WORK/standin.toml" \
        --sheet "$(date -u +%Y-%m-%dT%H:%M:%SZ)" >"$WORK/sheet.csv"
    # Retries, since the agents create the member list only after they start.
    for i in $(seq 20); do
        if ctl apply "$WORK/sheet.csv" >"$WORK/logs/ctl.log" 2>&1; then return 0; fi
        sleep 0.5
    done
    cat "$WORK/logs/ctl.log" >&2
    return 1
}

# Sends a command to the stand-in's control port.
control() { # path, JSON body
    curl -sf -X POST -d "$2" "http://$ip:$(control_port)/$1" >/dev/null
}

# Restarts the hosts one at a time, each with a graceful shutdown.
rolling_restart() {
    local i
    for i in $(seq "$HOSTS"); do
        stop "entry-$i"
        stop_host "$i" agent gate
        start_host "$i"
        wait_ready "$i" entry
    done
}
