//! Majorities under joint consensus: during a change of the member list, a
//! majority of both the current and the previous list is required.

use std::time::Instant;

use chervil_base::value;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a host in a [`Membership`](crate::membership::Membership).
    pub(crate) struct HostKey;
}

value! {
    /// Which of the two lists contain a host.
    #[derive(Copy, Default)]
    pub(crate) struct Listed {
        pub(crate) current: bool,
        pub(crate) previous: bool,
    }

    /// Number of hosts per list. `previous` is 0 when there is no previous
    /// list.
    #[derive(Copy, Default)]
    pub(crate) struct ListCounts {
        pub(crate) current: usize,
        pub(crate) previous: usize,
    }

    /// Times of votes per list, at most one for each host.
    #[derive(Default)]
    pub(crate) struct VoteTimes {
        current: Vec<Instant>,
        previous: Vec<Instant>,
    }
}

impl Listed {
    /// Whether at least one of the lists contains the host.
    pub(crate) fn any(self) -> bool {
        self.current || self.previous
    }
}

impl ListCounts {
    /// Counts one host in each list that contains it.
    pub(crate) fn add(&mut self, listed: Listed) {
        self.current += usize::from(listed.current);
        self.previous += usize::from(listed.previous);
    }

    /// Whether `votes` is a majority of each list of this size.
    pub(crate) fn is_majority(self, votes: ListCounts) -> bool {
        let major = |size: usize, votes: usize| size == 0 || votes > size / 2;
        self.current > 0
            && major(self.current, votes.current)
            && major(self.previous, votes.previous)
    }

    /// Whether `peers`, which leaves out the local host, has a host in common
    /// with every possible majority of each list.
    ///
    /// A majority may consist of the local host and half of the others, so
    /// `peers` needs at least half of the list, rounded up.
    pub(crate) fn intersects_majorities(self, peers: ListCounts, local: Listed) -> bool {
        let enough = |size: usize, peers: usize, has_local: bool| {
            peers >= size.div_ceil(2).min(size - usize::from(has_local))
        };
        enough(self.current, peers.current, local.current)
            && enough(self.previous, peers.previous, local.previous)
    }

    /// Latest time that the votes of a majority of each list reach; `None` when
    /// a list has too few votes.
    pub(crate) fn majority_time(self, times: &mut VoteTimes) -> Option<Instant> {
        let current = list_majority_time(self.current, &mut times.current)?;
        if self.previous == 0 {
            return Some(current);
        }
        Some(current.min(list_majority_time(self.previous, &mut times.previous)?))
    }
}

impl VoteTimes {
    /// Adds a host's time to each list that contains the host.
    pub(crate) fn add(&mut self, listed: Listed, at: Instant) {
        if listed.current {
            self.current.push(at);
        }
        if listed.previous {
            self.previous.push(at);
        }
    }
}

/// Oldest of the newest `size / 2 + 1` times.
fn list_majority_time(size: usize, times: &mut [Instant]) -> Option<Instant> {
    let oldest = size / 2;
    if times.len() <= oldest {
        return None;
    }
    let (_, time, _) = times.select_nth_unstable_by(oldest, |a, b| b.cmp(a));
    Some(*time)
}
