//! Counters and gauges of the simulated servers and platform.

use std::collections::BTreeMap;

use chervil_base::message;

message! {
    /// Counters of one backend server since the last reset. Requests are queries
    /// of a shard and non-idempotent requests.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct ServerStats {
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Requests that are executing now.
        pub running: u32,
        /// Connections open now.
        pub connections: u32,
        /// Most concurrent requests, including queued ones and the one that was
        /// refused because it exceeded a limit.
        pub peak_running: u32,
        /// How far `peak_running` exceeded the slots.
        pub peak_over_slots: u32,
        /// Most open connections.
        pub peak_connections: u32,
        /// Accepted connections.
        pub opened: u64,
        /// Connections refused because of the connection limit.
        pub over_connections: u64,
        /// Queries of a shard.
        pub asks: u64,
        /// Non-idempotent requests.
        pub runs: u64,
        /// Status requests.
        pub statuses: u64,
        /// Requests that were executed to the end.
        pub served: u64,
        /// Requests that arrived while all slots were in use.
        pub over_slots: u64,
        /// Requests refused as busy.
        pub busy: u64,
        /// Requests refused because they exceeded the limit of the cold server.
        pub cold: u64,
        /// Requests refused because the server was draining.
        pub draining: u64,
        /// Queries of a version or shard that the server does not hold.
        pub wrong_version: u64,
        /// Requests whose caller closed the connection during execution.
        pub cancelled: u64,
        /// Requests delayed by `slow_ms`.
        pub delayed: u64,
        /// Partial responses.
        pub partial: u64,
        /// Failures of the cold server under requests beyond its limit.
        pub falls: u64,
        /// Crashes caused by a request that contains the crash marker.
        pub crashes: u64,
        /// Requests received while the server was marked as out of service.
        pub after_out: u64,
        /// Of these, the ones received more than 3 s after the mark.
        pub after_out_late: u64,
        /// Time from the mark to the last request received since, in
        /// milliseconds.
        pub last_after_out_ms: u64,
        /// Most executions of one idempotency key.
        pub peak_key_runs: u32,
    }

    /// Counters of the simulated platform since the last reset.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct PlatformStats {
        /// Reads of a key.
        pub gets: u64,
        /// Writes of a key, whatever their result.
        pub puts: u64,
        /// Writes and deletions whose expected revision did not match.
        pub conflicts: u64,
        /// Deletions of a key, whatever their result.
        pub deletes: u64,
        /// Watches started.
        pub watches: u64,
        /// Watches that are open now.
        pub waiting: u64,
        /// Listings of keys.
        pub lists: u64,
        /// Reads of the host list.
        pub hosts: u64,
    }

    /// All counters of a stand-in since the last reset.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct Stats {
        /// Counters by the name of the server.
        pub servers: BTreeMap<Box<str>, ServerStats>,
        /// Idempotency keys that were executed more than once, on one server or
        /// several, with the number of executions.
        pub repeated_keys: BTreeMap<Box<str>, u32>,
        /// Idempotency keys that were executed at least once.
        pub keys: u64,
        /// Counters of the platform; `None` if this process does not simulate it.
        pub platform: Option<PlatformStats>,
    }
}

impl PlatformStats {
    /// Sum of the calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.gets + self.puts + self.deletes + self.watches + self.lists + self.hosts
    }
}
