//! Names and formats of the platform that the stand-ins speak.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

/// Identifies one attempt of a caller.
pub const REQUEST_ID: &str = "request-id";

/// Milliseconds that a caller waits.
pub const DEADLINE_MS: &str = "deadline-ms";

/// Proof that a backend server ran a request.
pub const RESPONSE_STAMP: &str = "response-stamp";

/// Backend server that must run the request.
pub const EXPECT_INSTANCE: &str = "expect-instance";

/// States that the backend server did not run the request.
pub const NOT_EXECUTED: &str = "not-executed";

/// Proofs of the parts of an answer.
pub const PART_STAMPS: &str = "part-stamps";

/// Number of parts that are missing.
pub const MISSING_PARTS: &str = "missing-parts";

/// Host of all routes.
pub const HOSTNAME: &str = "soak.example";

/// Path of queries over all shards.
pub const QUERY_PATH: &str = "/all/";

/// Path of requests that must not be repeated.
pub const QUOTE_PATH: &str = "/quote/";

/// Number of shards.
pub const SHARD_COUNT: usize = 6;

/// Records in an answer to a query.
pub const TOP_K: usize = 5;

/// Time within which a change must be in force, in milliseconds.
pub const CHANGE_BOUND_MS: u64 = 3_000;

/// Seconds between SIGTERM and SIGKILL.
pub const GRACE_PERIOD_S: u64 = 3;

/// Service of a shard.
pub fn shard_service(index: usize) -> String {
    format!("shard-{index}")
}

/// Configuration in which quotes go to `quotes`.
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

/// Entry of a backend server.
pub fn registry_entry(service: &str, address: SocketAddr, draining: bool, sequence: u64) -> Value {
    json!({ "service": service, "address": address, "zone": "north", "version": "v1",
        "max_concurrency": 4, "state": if draining { "draining" } else { "ready" },
        "warmup_left_ms": 0, "sequence": sequence })
}

/// Settings file of a host.
pub fn host_settings(name: &str, ports: [u16; 3], seeds: &[u16], store: SocketAddr) -> String {
    let seeds: Vec<String> = seeds.iter().map(|p| format!("\"127.0.0.1:{p}\"")).collect();
    let [front, ready, control] = ports;
    format!(
        "node_name = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"north\"\nseeds = [{}]\nbootstrap = false\n\
         [bind_addrs]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\ncontrol = \"127.0.0.1:{control}\"\n\
         [limits]\ncpu_share = 1.0\ncpu_cores = 1\n\
         [bounds]\ndrain_ms = {CHANGE_BOUND_MS}\nconfig_apply_ms = {CHANGE_BOUND_MS}\nevacuate_ms = 5000\ngrace_s = {GRACE_PERIOD_S}\n\
         retry_ratio = 0.2\nretry_slack = 104\nretry_window_s = 10\nwarmup_overshoot = 1.5\nwarmup_slack = 5\n\
         [platform]\naddress = \"{store}\"\n",
        seeds.join(",")
    )
}
