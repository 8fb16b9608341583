//! Accounting of the attempts at a request to one service: which of them may have arrived at
//! a backend server, and which may have run there.
//!
//! Load pattern: servers shed load, so that hosts spend all of their retry budgets, while
//! what some of them send is lost and what they receive is not. Requests arrive there, but
//! neither a reply nor an acknowledgement shows it. Each arrival beyond the first of a request
//! counts against the budget, confirmed or not.

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

    /// The attempts at a request.
    #[derive(Copy, Default)]
    pub struct Attempts {
        in_flight: u32,
        /// Attempts whose request may have arrived, or may still be sent.
        sent: u32,
        /// Finished attempts that count towards the limit of the route.
        executed: u32,
        unconfirmed: bool,
    }
}

impl Attempts {
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
