//! The platform's header names, configuration and settings formats, and the
//! topology and bounds that the soak gives to the hosts.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

/// Header: id of one attempt of a caller.
pub const REQUEST_ID: &str = "request-id";

/// Header: time in milliseconds that the caller waits for the answer.
pub const DEADLINE_MS: &str = "deadline-ms";

/// Header: proof that a backend server ran the request, `SERVICE.REQUEST_ID`.
pub const RESPONSE_STAMP: &str = "response-stamp";

/// Header: id of the backend server for which the request is meant; any other
/// one refuses it.
pub const EXPECT_INSTANCE: &str = "expect-instance";

/// Header: states that the backend server did not run the request.
pub const NOT_EXECUTED: &str = "not-executed";

/// Header: requests per second that the backend server takes from all hosts together.
pub const SERVER_LIMIT: &str = "server-limit";

/// Header: 1 if the backend server leaves.
pub const SERVER_LEAVING: &str = "server-leaving";

/// Header: seconds for which a backend server that refuses a request wants no other one.
pub const RETRY_AFTER: &str = "retry-after";

/// Header that callers add: port of the host that they sent the request to.
pub const VIA_HOST: &str = "soak-host";

/// Header: comma-separated stamps of the parts that an answer was merged from.
pub const PART_STAMPS: &str = "part-stamps";

/// Header: number of shards whose part is missing from the answer.
pub const MISSING_PARTS: &str = "missing-parts";

/// Host name that all routes match.
pub const HOSTNAME: &str = "soak.example";

/// Path prefix of queries, which are idempotent and go to all shards.
pub const QUERY_PATH: &str = "/all/";

/// Path prefix of quotes, which are not idempotent.
pub const QUOTE_PATH: &str = "/quote/";

/// Number of shards; each one is a service of its own.
pub const SHARD_COUNT: usize = 6;

/// Maximum number of records in the answer to a query.
pub const TOP_K: usize = 5;

/// Time in milliseconds within which a drain, a removal or a new configuration
/// must take effect.
pub const CHANGE_BOUND_MS: u64 = 3_000;

/// Extra requests to a service: a ratio of its requests, and a number on top of that, in any
/// window of [`RETRY_WINDOW_S`].
pub const RETRY_LIMIT: (f64, f64) = (0.2, 12.0);

/// That window in seconds.
pub const RETRY_WINDOW_S: u64 = 10;

/// Time in seconds that a host has to exit after SIGTERM before it is killed.
pub const GRACE_PERIOD_S: u64 = 3;

/// Name of the service that serves a shard.
pub fn shard_service(index: usize) -> String {
    format!("shard-{index}")
}

/// Configuration in which quotes are routed to `quote_service`.
pub fn config(version: u64, quote_service: &str) -> Value {
    let shards: Vec<String> = (0..SHARD_COUNT).map(shard_service).collect();
    let mut names = shards.clone();
    names.extend(["quote-a".to_string(), "quote-b".to_string()]);
    let service = |name: &String| {
        json!({ "name": name, "health_path": "/healthz", "max_connections": 200,
            "protocol": "h1", "tls": false, "warmup_s": 1.0, "warmup_per_s": 0.0 })
    };
    json!({
        "version": version,
        "routes": [
            { "name": "all", "hostname": HOSTNAME, "path_prefix": QUERY_PATH, "type": "idempotent",
              "timeout_ms": 1_500, "target_latency_ms": 200, "priority": 1, "gather": shards,
              "max_attempts": 2, "top_k": TOP_K, "min_coverage": 0.6 },
            { "name": "quote", "hostname": HOSTNAME, "path_prefix": QUOTE_PATH,
              "type": "non_idempotent", "timeout_ms": 1_500, "target_latency_ms": 300,
              "priority": 2, "service": quote_service, "max_attempts": 2 },
        ],
        "services": names.iter().map(service).collect::<Vec<_>>(),
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
    })
}

/// Registry entry of a backend server. `born` changes with each instance.
pub fn registry_entry(
    service: &str,
    address: SocketAddr,
    draining: bool,
    sequence: u64,
    born: Option<u64>,
) -> Value {
    json!({ "service": service, "address": address, "zone": "north", "version": "v1",
        "max_concurrency": 4, "state": if draining { "draining" } else { "ready" },
        "warmup_left_ms": 0, "sequence": sequence, "born": born })
}

/// Contents of a host's settings file. `ports` are those of its front, ready and
/// control listeners, `seeds` the control ports of the seed hosts, `store` is the
/// address of the platform's store, and `cpu_share` decides whether the host is a
/// relay for others.
pub fn host_settings(
    name: &str,
    ports: [u16; 3],
    seeds: &[u16],
    store: SocketAddr,
    cpu_share: f64,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|p| format!("\"127.0.0.1:{p}\"")).collect();
    let [front, ready, control] = ports;
    let (ratio, slack) = RETRY_LIMIT;
    format!(
        "node_name = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"north\"\nseeds = [{}]\nbootstrap = false\n\
         [bind_addrs]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\ncontrol = \"127.0.0.1:{control}\"\n\
         [limits]\ncpu_share = {cpu_share:?}\ncpu_cores = 1\n\
         [bounds]\ndrain_ms = {CHANGE_BOUND_MS}\nconfig_apply_ms = {CHANGE_BOUND_MS}\nevacuate_ms = 5000\ngrace_s = {GRACE_PERIOD_S}\n\
         retry_ratio = {ratio:?}\nretry_slack = {slack:?}\nretry_window_s = {RETRY_WINDOW_S}\nwarmup_overshoot = 1.5\nwarmup_slack = 5\n\
         [platform]\naddress = \"{store}\"\n",
        seeds.join(",")
    )
}
