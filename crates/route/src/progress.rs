//! When a scatter-gather query ends.
//!
//! Load pattern: some shards answer late or not at all. A query that has enough shards
//! waits for the rest only as long as its latency target allows, and one that can no
//! longer get enough ends at once, so that its caller can try again and the servers of
//! the other shards are free.

use std::time::Instant;

use chervil_base::value;

value! {
    /// State of a query.
    #[derive(Copy)]
    pub struct Progress {
        /// Number of shards.
        pub shards: usize,
        /// Shards that have replied.
        pub answered: usize,
        /// Shards that can no longer reply.
        pub exhausted: usize,
        /// Shards that must reply for a valid answer.
        pub required: usize,
    }

    /// Whether a query goes on.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// Until the given time, unless something changes.
        WaitUntil(Instant),
        /// It ends now, with what it has.
        End,
    }
}

impl Progress {
    /// Whether enough shards have replied.
    pub fn has_enough(&self) -> bool {
        self.answered >= self.required
    }

    /// Whether too many shards are exhausted.
    pub fn is_hopeless(&self) -> bool {
        self.shards - self.exhausted < self.required
    }

    /// Decides whether the query goes on. From `soft_deadline` on it ends as soon as it
    /// has enough shards, and at `deadline` in any case.
    pub fn verdict(&self, now: Instant, soft_deadline: Instant, deadline: Instant) -> Verdict {
        let end = if self.has_enough() { soft_deadline.min(deadline) } else { deadline };
        let settled = self.answered + self.exhausted >= self.shards;
        if settled || self.is_hopeless() || now >= end {
            return Verdict::End;
        }
        Verdict::WaitUntil(end)
    }
}
