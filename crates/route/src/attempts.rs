//! Accounting of the attempts at a request to one service: which of them may have arrived at
//! a backend server, and which may have run there.
//!
//! Load pattern: servers shed load, so that hosts spend all of their retry budgets, while
//! what some of them send is lost and what they receive is not. Requests arrive there, but
//! neither a reply nor an acknowledgement shows it. Each arrival beyond the first of a request
//! counts against the budget, confirmed or not.
//!
//! A request that is passed to another host stays the same attempt of its caller. The route limits
//! its executions over all hosts that have it, so that each states those before its own.

use chervil_base::message;
use chervil_base::value;

value! {
    /// How an attempt ended, as far as the backend server is concerned.
    #[derive(Copy, Eq)]
    pub enum End {
        /// No byte was sent.
        Unsent,
        /// The server received the request and did not execute it.
        NotRun,
        /// The request was sent, and nothing shows whether it arrived. It may have run.
        Unconfirmed,
        /// The server executed the request, or it is unknown whether it did.
        MayHaveRun,
    }

    /// The attempts of one host at a request.
    #[derive(Copy, Default)]
    pub struct Attempts {
        in_flight: u32,
        /// Attempts whose request may have arrived, or may still be sent.
        sent: u32,
        /// Executions that count towards the limit of the route: of finished attempts, and of
        /// those that other hosts made before.
        executed: u32,
        unconfirmed: bool,
    }
}

message! {
    /// How often backend servers may have executed a request by now, over all hosts that had it:
    /// for each shard of a query, or for the one service. Empty if none did.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Executions {
        by_shard: Box<[u32]>,
    }
}

impl FromIterator<u32> for Executions {
    fn from_iter<Counts>(counts: Counts) -> Executions
    where
        Counts: IntoIterator<Item = u32>,
    {
        Executions { by_shard: counts.into_iter().collect() }
    }
}

impl Executions {
    /// Executions at the backend servers of a shard.
    pub fn of(&self, shard: usize) -> u32 {
        self.by_shard.get(shard).copied().unwrap_or_default()
    }

    /// Whether any server may have executed the request.
    pub fn any(&self) -> bool {
        self.by_shard.iter().any(|executed| *executed > 0)
    }

    /// Whether a host may go on with a request of a route that allows `max` executions at each
    /// of `shards` shards and needs replies of `required` of them.
    pub fn allow_more(&self, max: u32, shards: usize, required: usize) -> bool {
        (0..shards).filter(|shard| self.of(*shard) < max).count() >= required
    }
}

impl Attempts {
    /// Attempts at a request that may have been executed `executed` times for other hosts.
    pub fn after(executed: u32) -> Attempts {
        Attempts { executed, ..Attempts::default() }
    }

    /// Executions to state to another host that gets the request now; `sends` attempts of this
    /// host were sent. One that is in flight may still be executed.
    pub fn executions(&self, sends: u32) -> u32 {
        let ended = self.sent - self.in_flight;
        self.executed + sends.saturating_sub(ended)
    }

    /// Counts an attempt that begins.
    pub fn start(&mut self) {
        self.in_flight += 1;
        self.sent += 1;
    }

    /// Counts an attempt that has ended.
    pub fn finish(&mut self, end: End) {
        self.in_flight -= 1;
        match end {
            End::Unsent => self.sent -= 1,
            End::NotRun => {}
            End::Unconfirmed => self.unconfirmed = true,
            End::MayHaveRun => self.executed += 1,
        }
    }

    /// Attempts that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the next attempt is an extra request, since an earlier one may have arrived.
    pub fn is_next_extra(&self) -> bool {
        self.sent > 0
    }

    /// Whether the route, which allows `max` executions, allows another attempt.
    pub fn allow_another(&self, max: u32) -> bool {
        self.executed + self.in_flight < max
    }

    /// Whether a server may have executed the request, or may still do so.
    pub fn may_have_run(&self) -> bool {
        self.unconfirmed || self.executed + self.in_flight > 0
    }
}
