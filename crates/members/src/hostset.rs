//! Bit sets of hosts and the allocation of their bits.

/// Bit set of hosts, indexed by slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostSet {
    words: Vec<u64>,
}

impl HostSet {
    /// Adds the host of `slot`; returns whether it was absent.
    pub(crate) fn insert(&mut self, slot: usize) -> bool {
        let (word, bit) = (slot / 64, 1 << (slot % 64));
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        new
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Removes all hosts that are in `other`.
    pub(crate) fn subtract(&mut self, other: &HostSet) {
        for (word, other) in self.words.iter_mut().zip(&other.words) {
            *word &= !other;
        }
    }

    pub(crate) fn shrink_to_fit(&mut self) {
        self.words.shrink_to_fit();
    }

    /// Bits of the slots from `64 * word` to `64 * word + 63`.
    pub(crate) fn word(&self, word: usize) -> u64 {
        self.words.get(word).copied().unwrap_or(0)
    }
}

/// Allocator of slots; freed slots are reused first.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotAllocator {
    capacity: usize,
    free: Vec<usize>,
}

impl SlotAllocator {
    /// Number of slots ever allocated; every slot is below it.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Allocates a slot for a new host.
    pub(crate) fn allocate(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.capacity += 1;
            self.capacity - 1
        })
    }

    /// Frees a slot. The caller must remove it from every [`HostSet`], because
    /// the next host gets it.
    pub(crate) fn free(&mut self, slot: usize) {
        self.free.push(slot);
    }
}
