//! Behavior of a simulated backend server that can change at run time.

use chervil_base::message;

message! {
    /// Service time and faults of one backend server.
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Shortest service time, in milliseconds.
        pub base_ms: f64,
        /// Random part of the service time, in milliseconds.
        pub jitter_ms: f64,
        /// Share of replies that are delayed, from 0 to 1.
        pub slow_share: f64,
        /// Delay of those replies, in milliseconds.
        pub slow_ms: f64,
        /// Requests beyond the slots that wait instead of being refused.
        pub queue: u32,
        /// Share of replies that are partial, from 0 to 1.
        pub partial_share: f64,
        /// Share of requests that lose their connection while they run.
        pub reset_share: f64,
        /// Refuses new work and says so in the status.
        pub draining: bool,
        /// Keeps `draining` out of the status.
        pub hide_draining: bool,
        /// Running requests that the status claims, instead of the true number.
        pub status_running: Option<u32>,
        /// Running requests that replies claim, instead of the true number.
        pub reply_running: Option<u32>,
        /// Age of the versions in the status: it still shows those from before
        /// the last change.
        pub status_frozen: bool,
        /// Status requests get no reply.
        pub status_silent: bool,
        /// Requests that a cold server bears at once.
        pub cold_limit: u32,
        /// Good replies after which that number doubles.
        pub warm_after: u32,
        /// Factor on the service time of a cold server.
        pub cold_factor: f64,
        /// Refuses excess work while cold instead of failing.
        pub cold_refuses: bool,
        /// Time for which a server that failed resets connections, in
        /// milliseconds.
        pub fall_ms: u64,
        /// Time for which a crashed server does not listen, in milliseconds.
        pub restart_ms: u64,
        /// A request whose body contains this text crashes the server.
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
