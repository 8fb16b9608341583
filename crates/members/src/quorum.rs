//! Majorities of the member list, joint with the list before during a change.

use std::time::Instant;

use chervil_base::value;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a host in a [`Membership`](crate::membership::Membership).
    pub(crate) struct HostKey;
}

value! {
    /// Lists that a host belongs to.
    #[derive(Copy, Default)]
    pub(crate) struct Seat {
        pub(crate) current: bool,
        pub(crate) previous: bool,
    }

    /// Numbers of hosts in the list in force and in the list before, which may
    /// be empty.
    #[derive(Copy, Default)]
    pub(crate) struct Count {
        pub(crate) current: usize,
        pub(crate) previous: usize,
    }

    /// Times of the hosts of each list.
    #[derive(Default)]
    pub(crate) struct Times {
        current: Vec<Instant>,
        previous: Vec<Instant>,
    }
}

impl Seat {
    /// Whether the host belongs to either list.
    pub(crate) fn is_taken(self) -> bool {
        self.current || self.previous
    }
}

impl Count {
    /// Counts a host.
    pub(crate) fn add(&mut self, seat: Seat) {
        self.current += usize::from(seat.current);
        self.previous += usize::from(seat.previous);
    }

    /// Whether `part` has a majority of each list.
    pub(crate) fn is_majority(self, part: Count) -> bool {
        let major = |all: usize, part: usize| all == 0 || part > all / 2;
        self.current > 0 && major(self.current, part.current) && major(self.previous, part.previous)
    }

    /// Whether `part`, counted without the host of `me`, shares a host with
    /// every majority of each list.
    ///
    /// A majority may consist of that host and half of the others, so that at
    /// least half of the list, rounded up, is needed from the others.
    pub(crate) fn meets_majorities(self, part: Count, me: Seat) -> bool {
        let enough = |all: usize, part: usize, seated: bool| {
            part >= all.div_ceil(2).min(all - usize::from(seated))
        };
        enough(self.current, part.current, me.current)
            && enough(self.previous, part.previous, me.previous)
    }

    /// Oldest time in the newest majority of each list; `None` without one.
    pub(crate) fn newest(self, times: &mut Times) -> Option<Instant> {
        let current = newest_majority(self.current, &mut times.current)?;
        if self.previous == 0 {
            return Some(current);
        }
        Some(current.min(newest_majority(self.previous, &mut times.previous)?))
    }
}

impl Times {
    /// Adds a host's time.
    pub(crate) fn add(&mut self, seat: Seat, at: Instant) {
        if seat.current {
            self.current.push(at);
        }
        if seat.previous {
            self.previous.push(at);
        }
    }
}

fn newest_majority(all: usize, times: &mut [Instant]) -> Option<Instant> {
    let oldest = all / 2;
    if times.len() <= oldest {
        return None;
    }
    let (_, time, _) = times.select_nth_unstable_by(oldest, |a, b| b.cmp(a));
    Some(*time)
}
