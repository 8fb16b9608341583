//! Counters of the simulated servers and of the simulated platform.

use std::collections::BTreeMap;

use chervil_base::message;

message! {
    /// Counters of one backend server since the last reset.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct ServerStats {
        /// Slots of the server.
        pub slots: u32,
        /// Requests running now.
        pub running: u32,
        /// Connections open now.
        pub connections: u32,
        /// Most requests at one time, counting those that wait or are refused
        /// as excess.
        pub peak_running: u32,
        /// Most of them beyond the slots.
        pub peak_over_slots: u32,
        /// Most connections at one time.
        pub peak_connections: u32,
        /// Connections opened.
        pub opened: u64,
        /// Connections refused because of the limit.
        pub over_connections: u64,
        /// Requests for shards.
        pub asks: u64,
        /// Requests for non-idempotent work.
        pub runs: u64,
        /// Status requests.
        pub statuses: u64,
        /// Requests that ran to their end.
        pub served: u64,
        /// Requests beyond the slots.
        pub over_slots: u64,
        /// Requests refused as busy.
        pub busy: u64,
        /// Requests refused because of a cold start.
        pub cold: u64,
        /// Requests refused because the server drains.
        pub draining: u64,
        /// Requests for a version or shard that the server does not hold.
        pub wrong_version: u64,
        /// Requests whose connection closed while they ran.
        pub cancelled: u64,
        /// Replies delayed on purpose.
        pub delayed: u64,
        /// Partial replies.
        pub partial: u64,
        /// Requests beyond what the cold server bears; each made it fail.
        pub falls: u64,
        /// Crashes by a marked request.
        pub crashes: u64,
        /// Requests received after the server was marked as out.
        pub after_out: u64,
        /// Those of them that came more than 3 s after the mark.
        pub after_out_late: u64,
        /// Age of the youngest request received after the mark, in
        /// milliseconds after the mark.
        pub last_after_out_ms: u64,
        /// Most runs of one idempotency key.
        pub peak_key_runs: u32,
    }

    /// Counters of the simulated platform since the last reset.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct PlatformStats {
        /// Reads.
        pub gets: u64,
        /// Writes.
        pub puts: u64,
        /// Writes that another write preceded.
        pub conflicts: u64,
        /// Deletions.
        pub deletes: u64,
        /// Watches.
        pub watches: u64,
        /// Watches waiting now.
        pub waiting: u64,
        /// Lists of keys.
        pub lists: u64,
        /// Reads of the host list.
        pub hosts: u64,
    }

    /// All counters of a stand-in.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct Stats {
        /// By name of the server.
        pub servers: BTreeMap<Box<str>, ServerStats>,
        /// Idempotency keys that ran more than once on any server, with the
        /// number of runs.
        pub repeated_keys: BTreeMap<Box<str>, u32>,
        /// Idempotency keys that ran at least once.
        pub keys: u64,
        /// Platform, when this process simulates it.
        pub platform: Option<PlatformStats>,
    }
}

impl PlatformStats {
    /// Calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.gets + self.puts + self.deletes + self.watches + self.lists + self.hosts
    }
}
