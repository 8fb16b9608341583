//! Counts the denials of all hosts at once.

use std::cmp::Reverse;
use std::time::Instant;

use crate::hostset::HostSet;
use crate::quorum::Count;
use crate::quorum::Seat;

/// One voter's denials that end at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ballots<'a> {
    pub(crate) seat: Seat,
    pub(crate) until: Instant,
    pub(crate) hosts: &'a HostSet,
}

/// Time until which a majority of each list denies a host, by the slot of the
/// host.
///
/// This is the oldest time in the newest majority of the denials: with ballots
/// in the order of their ends, newest first, the end of the ballot that
/// completes the majority. Each voter denies a host at most once.
pub(crate) fn denial_ends(
    quorum: Count,
    slots: usize,
    mut ballots: Vec<Ballots<'_>>,
) -> Vec<Option<Instant>> {
    let mut ends = vec![None; slots];
    ballots.sort_unstable_by_key(|b| Reverse(b.until));
    let equal = quorum.current == quorum.previous
        && ballots.iter().all(|b| b.seat.current == b.seat.previous);
    let mut current = Tally::new(quorum.current);
    let mut previous = Tally::new(quorum.previous);
    for (word, ends) in ends.chunks_mut(64).enumerate() {
        current.reset();
        previous.reset();
        if equal || quorum.previous == 0 {
            previous.reached = u64::MAX;
        }
        for ballot in &ballots {
            let bits = ballot.hosts.word(word);
            let before = current.reached & previous.reached;
            if ballot.seat.current {
                current.add(bits);
            }
            if ballot.seat.previous && !equal {
                previous.add(bits);
            }
            let mut done = current.reached & previous.reached & !before;
            while done != 0 {
                ends[done.trailing_zeros() as usize] = Some(ballot.until);
                done &= done - 1;
            }
        }
    }
    ends
}

/// Counters of one list for 64 hosts, with one bit of every counter in each
/// plane. Counting all of them takes two steps on average.
struct Tally {
    start: usize,
    planes: Vec<u64>,
    reached: u64,
}

impl Tally {
    /// Counters that overflow when they reach a majority of `all` hosts.
    fn new(all: usize) -> Tally {
        let majority = all / 2 + 1;
        let limit = majority.next_power_of_two();
        let planes = vec![0; limit.trailing_zeros() as usize];
        Tally { start: limit - majority, planes, reached: 0 }
    }

    fn reset(&mut self) {
        self.reached = 0;
        for (p, plane) in self.planes.iter_mut().enumerate() {
            *plane = if self.start >> p & 1 == 1 { u64::MAX } else { 0 };
        }
    }

    /// Counts one denial of each host in `bits`.
    fn add(&mut self, bits: u64) {
        let mut carry = bits;
        for plane in &mut self.planes {
            if carry == 0 {
                return;
            }
            (*plane, carry) = (*plane ^ carry, *plane & carry);
        }
        self.reached |= carry;
    }
}
