//! Rate limits that backend servers name in their answers.
//!
//! Load pattern: a backend server in need names the rate of requests that it takes from all
//! hosts together, a fraction of what it gets. Each host has a fixed share of that rate and
//! keeps to it, so that hosts need not coordinate for each request. The rest of the load
//! goes to other backend servers.
//!
//! A host whose share allows a request only every few seconds gets a short slot for each.
//! Hosts start at different phases, and a slot that is not used passes, so that hosts
//! that were idle do not all send at the same moment. A process that has just started has
//! saved nothing.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;

/// Fraction of the named rate that hosts use. The rest covers requests that arrive closer
/// together than they were sent.
const RATE_UTILIZATION: f64 = 0.95;

/// Time for which a host can save its share, and length of the slot of a host whose share
/// is less than a request in that time.
const SAVING_TIME: Duration = Duration::from_millis(1_500);

/// Shortest time for which a limit holds after it was last named, unless an answer shows
/// before then that it has ended. A server that few requests reach names it seldom.
const MEMORY: Duration = Duration::from_secs(30);

/// Time after which a limit that is named again is passed on to other hosts again.
const REFRESH: Duration = Duration::from_secs(1);

/// Longest wait for a request that a limit allows.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Lowest rate of a host, in requests per second; a host that has no share in a limit has a
/// rate of 0.
const MIN_RATE: f64 = 1e-3;

value! {
    /// Limit of one backend server as one host knows it.
    #[derive(Copy)]
    pub struct ServerLimit {
        /// Requests per second from all hosts together, as last named.
        rate: f64,
        /// Time at which the limit was last named; `None` if there is no limit.
        heard_at: Option<Instant>,
        /// Tokens at the start of a limit, and its memory beyond the shortest; they differ
        /// between hosts.
        phase: f64,
        /// Requests that this host had saved at `updated_at`.
        tokens: f64,
        updated_at: Instant,
    }

    /// Limits that were passed on to other hosts recently.
    #[derive(Default)]
    pub struct Announcements {
        last: HashMap<Box<str>, (f64, Instant)>,
    }
}

/// Time until a query that can do without `spare` of its shards can be served, if the limits
/// allow it no request to too many shards now; `waits` are those of the limited shards.
pub fn wait_for_shards(mut waits: Vec<Duration>, spare: usize) -> Option<Duration> {
    waits.sort_unstable();
    waits.len().checked_sub(spare + 1).map(|last| waits[last])
}

/// Whether a shard is given up at once because limits allow it no request now: waiting would
/// only take the place of a later query. A request in flight may still be answered.
pub fn gives_up_shard(limit_wait: Option<Duration>, in_flight: u32) -> bool {
    limit_wait.is_some() && in_flight == 0
}

impl Announcements {
    /// Whether to pass on now that the backend server with this id has named a limit: it is
    /// new, has changed or was last passed on a while ago.
    pub fn announce(&mut self, id: &str, rate: f64, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REFRESH;
        if self.last.get(id).is_some_and(|(r, at)| *r == rate && is_recent(*at)) {
            return false;
        }
        self.last.retain(|_, (_, at)| is_recent(*at));
        self.last.insert(id.into(), (rate, now));
        true
    }

    /// Forgets a limit that has ended, so that it is passed on when it is named again.
    pub fn forget(&mut self, id: &str) {
        self.last.remove(id);
    }
}

impl ServerLimit {
    /// No limit. `phase` (0 to 1) must differ between hosts.
    pub fn none(phase: f64, now: Instant) -> ServerLimit {
        let (rate, tokens) = (0.0, 0.0);
        ServerLimit { rate, heard_at: None, phase, tokens, updated_at: now }
    }

    /// Whether a limit is in force.
    pub fn is_limited(&self, now: Instant) -> bool {
        // Limits must not lapse on all hosts at once: all would send before the first answer.
        let memory = MEMORY.mul_f64(1.0 + self.phase);
        self.heard_at.is_some_and(|at| now.saturating_duration_since(at) < memory)
    }

    /// The rate in force, in requests per second from all hosts together.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        self.is_limited(now).then_some(self.rate)
    }

    /// Records that the backend server has named a limit of `rate` requests per second.
    /// Returns whether there was none before.
    pub fn name(&mut self, rate: f64, share: f64, now: Instant) -> bool {
        let is_new = !self.is_limited(now);
        if is_new {
            self.tokens = self.phase;
            self.updated_at = now;
        } else {
            self.advance(share, now);
        }
        (self.rate, self.heard_at) = (rate, Some(now));
        is_new
    }

    /// Records an answer, to a request that was sent at `sent_at`, that names no limit.
    /// Returns whether that ends a limit; one that was named since then stays.
    pub fn lift(&mut self, sent_at: Instant, now: Instant) -> bool {
        let ends = self.is_limited(now) && self.heard_at.is_some_and(|at| at < sent_at);
        if ends {
            self.heard_at = None;
        }
        ends
    }

    /// Ends the limit, because another host got an answer that names none.
    pub fn end(&mut self) {
        self.heard_at = None;
    }

    /// Whether this host, which has the fraction `share` of the limit, may send a request.
    pub fn may_send(&self, share: f64, now: Instant) -> bool {
        !self.is_limited(now) || self.available(share, now) >= 1.0
    }

    /// Time until this host may send a request.
    pub fn wait(&self, share: f64, now: Instant) -> Duration {
        if self.may_send(share, now) {
            return Duration::ZERO;
        }
        let rate = self.host_rate(share);
        if rate < MIN_RATE {
            return MAX_WAIT;
        }
        let missing = 1.0 - self.available(share, now);
        Duration::from_secs_f64((missing / rate).min(MAX_WAIT.as_secs_f64()))
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, share: f64, now: Instant) {
        if self.is_limited(now) {
            self.advance(share, now);
            self.tokens -= 1.0;
        }
    }

    /// Takes back a request that was counted and then not sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    fn host_rate(&self, share: f64) -> f64 {
        self.rate * RATE_UTILIZATION * share
    }

    fn advance(&mut self, share: f64, now: Instant) {
        self.tokens = self.available(share, now);
        self.updated_at = self.updated_at.max(now);
    }

    /// Requests that this host may send at once.
    fn available(&self, share: f64, now: Instant) -> f64 {
        let rate = self.host_rate(share);
        let elapsed = now.saturating_duration_since(self.updated_at);
        let earned = self.tokens + rate * elapsed.as_secs_f64();
        let savings = rate * SAVING_TIME.as_secs_f64();
        if savings >= 1.0 || earned < 1.0 {
            return earned.min(savings.max(1.0));
        }
        // The slot begins when a whole request is earned, and comes again with each further
        // one.
        let since_slot = (earned - 1.0).fract();
        if since_slot <= savings { 1.0 + since_slot } else { since_slot }
    }
}
