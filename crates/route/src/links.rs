//! Whether a host reaches the backend servers at all.
//!
//! Load pattern: a host is cut off from all backend servers, while callers, the registry and
//! other hosts reach it. Each attempt by itself looks as if its server were slow or down.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

value! {
    /// What a host knows of its links to the backend servers.
    #[derive(Copy, Default)]
    pub struct Links {
        /// Time of the latest sign of any backend server: a reply or an accepted connection.
        last_sign: Option<Instant>,
    }
}

impl Links {
    /// Records a sign of a backend server.
    pub fn record_sign(&mut self, now: Instant) {
        self.last_sign = self.last_sign.max(Some(now));
    }

    /// Time since the latest sign of any backend server; `None` before the first one.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.last_sign.map(|sign| now.saturating_duration_since(sign))
    }
}
