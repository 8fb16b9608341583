//! Counts the denials of all hosts at once with bit-sliced counters.

use std::cmp::Reverse;
use std::time::Instant;

use crate::hostset::HostSet;
use crate::quorum::ListCounts;
use crate::quorum::Listed;

/// One voter's denials that end at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoterDenials<'a> {
    /// Lists that contain the voter.
    pub(crate) voter: Listed,
    pub(crate) until: Instant,
    pub(crate) hosts: &'a HostSet,
}

/// Time until which a majority of each list denies a host, indexed by the
/// host's slot; `None` for hosts that no majority denies.
///
/// With the denials sorted by their ends, newest first, this is the end of the
/// denial that completes the majority. A voter may deny a host only once.
pub(crate) fn majority_denial_ends(
    sizes: ListCounts,
    slots: usize,
    mut denials: Vec<VoterDenials<'_>>,
) -> Vec<Option<Instant>> {
    let mut ends = vec![None; slots];
    denials.sort_unstable_by_key(|d| Reverse(d.until));
    let same_lists = sizes.current == sizes.previous
        && denials.iter().all(|d| d.voter.current == d.voter.previous);
    let mut current = BitCounters::new(sizes.current);
    let mut previous = BitCounters::new(sizes.previous);
    for (word, ends) in ends.chunks_mut(64).enumerate() {
        current.reset();
        previous.reset();
        if same_lists || sizes.previous == 0 {
            previous.majority = u64::MAX;
        }
        for denial in &denials {
            let bits = denial.hosts.word(word);
            let before = current.majority & previous.majority;
            if denial.voter.current {
                current.add(bits);
            }
            if denial.voter.previous && !same_lists {
                previous.add(bits);
            }
            let mut completed = current.majority & previous.majority & !before;
            while completed != 0 {
                ends[completed.trailing_zeros() as usize] = Some(denial.until);
                completed &= completed - 1;
            }
        }
    }
    ends
}

/// Bit-sliced counters of 64 hosts for one list: plane `p` holds bit `p` of
/// every counter. Adding to all 64 takes two steps on average.
struct BitCounters {
    /// Start value, from which a majority of votes overflows a counter.
    start: usize,
    planes: Vec<u64>,
    /// Hosts whose votes have reached a majority.
    majority: u64,
}

impl BitCounters {
    /// Counters for a list of `size` hosts.
    fn new(size: usize) -> BitCounters {
        let majority = size / 2 + 1;
        let limit = majority.next_power_of_two();
        let planes = vec![0; limit.trailing_zeros() as usize];
        BitCounters { start: limit - majority, planes, majority: 0 }
    }

    fn reset(&mut self) {
        self.majority = 0;
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
        self.majority |= carry;
    }
}
