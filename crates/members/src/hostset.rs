//! Compact sets of hosts.

/// Set of hosts, one bit for each slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostSet {
    words: Vec<u64>,
}

impl HostSet {
    /// Adds a host; returns whether it is new.
    pub(crate) fn insert(&mut self, slot: usize) -> bool {
        let (word, bit) = (slot / 64, 1 << (slot % 64));
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        new
    }

    /// Whether the set has no hosts.
    pub(crate) fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Removes the hosts of `other`.
    pub(crate) fn subtract(&mut self, other: &HostSet) {
        for (word, other) in self.words.iter_mut().zip(&other.words) {
            *word &= !other;
        }
    }

    /// Frees unused memory.
    pub(crate) fn shrink(&mut self) {
        self.words.shrink_to_fit();
    }

    /// Bits of 64 slots, of which the first is 64 times `word`.
    pub(crate) fn word(&self, word: usize) -> u64 {
        self.words.get(word).copied().unwrap_or(0)
    }
}

/// Slots in use, and those that are free again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    len: usize,
    free: Vec<usize>,
}

impl Slots {
    /// Number that is greater than any slot.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Slot for another host.
    pub(crate) fn take(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.len += 1;
            self.len - 1
        })
    }

    /// Takes back the slot of a host that is in no set any more.
    pub(crate) fn put(&mut self, slot: usize) {
        self.free.push(slot);
    }
}
