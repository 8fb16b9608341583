//! Service times and faults of a simulated backend server, adjustable at run
//! time.

use chervil_base::message;

message! {
    /// Service times and faults of one backend server.
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Minimum service time, in milliseconds.
        pub base_ms: f64,
        /// Upper bound of the uniformly distributed addition to it, in
        /// milliseconds.
        pub jitter_ms: f64,
        /// Share of requests that are delayed, from 0 to 1.
        pub slow_share: f64,
        /// Delay of these requests, in milliseconds.
        pub slow_ms: f64,
        /// Length of the queue for requests beyond the slots; 0 refuses them.
        pub queue: u32,
        /// Share of responses that are partial, from 0 to 1.
        pub partial_share: f64,
        /// Share of requests that are executed and whose connection is then closed
        /// without a response, from 0 to 1.
        pub reset_share: f64,
        /// Refuses new requests and reports `draining` in the status.
        pub draining: bool,
        /// Reports `draining` as false in the status.
        pub hide_draining: bool,
        /// Number of running requests to report in the status instead of the true
        /// one.
        pub status_running: Option<u32>,
        /// Number of running requests to report in responses instead of the true
        /// one.
        pub reply_running: Option<u32>,
        /// Reports the versions before the last change in the status.
        pub status_frozen: bool,
        /// Never answers status requests.
        pub status_silent: bool,
        /// Concurrent requests that a server handles right after a cold start.
        pub cold_limit: u32,
        /// Served requests after which that number doubles.
        pub warm_after: u32,
        /// Factor on the service time while the server is cold.
        pub cold_factor: f64,
        /// Refuses requests beyond the limit while cold, instead of failing.
        pub cold_refuses: bool,
        /// How long a cold server that failed under load resets connections, in
        /// milliseconds.
        pub fall_ms: u64,
        /// How long a crashed or restarted server stays down, in milliseconds.
        pub restart_ms: u64,
        /// Text in a request body that crashes the server; `None` or an empty
        /// text crashes it never.
        pub crash_marker: Option<Box<str>>,
    }
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            base_ms: 2.0,
            jitter_ms: 2.0,
            slow_share: 0.0,
            slow_ms: 500.0,
            queue: 0,
            partial_share: 0.0,
            reset_share: 0.0,
            draining: false,
            hide_draining: false,
            status_running: None,
            reply_running: None,
            status_frozen: false,
            status_silent: false,
            cold_limit: 1,
            warm_after: 8,
            cold_factor: 2.0,
            cold_refuses: false,
            fall_ms: 1_000,
            restart_ms: 500,
            crash_marker: Some("crash-the-server".into()),
        }
    }
}
