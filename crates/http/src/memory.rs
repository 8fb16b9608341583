//! Limits on the memory of the replies that a host reads at the same time.
//!
//! Load pattern: faulty backend servers send bytes without end, or stop within a large
//! reply, while others send small replies to other callers. The first bytes of each reply count
//! against a limit of their own, so that large replies take no memory from small ones.

use std::mem;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// First bytes of each reply, which hold the whole of most replies.
const SMALL_REPLY_BYTES: usize = 16 * 1024;

/// Limit on the first bytes of all replies: 512 replies that fill theirs.
const MAX_SMALL_BYTES: usize = 8 * 1024 * 1024;

/// Limit on the further bytes of all replies: two of the largest size. With the first bytes, they
/// take 24 MiB; the smallest hosts have 112 MiB for everything.
const MAX_LARGE_BYTES: usize = 16 * 1024 * 1024;

/// Limits for the replies to calls to the registry, and again for those to other hosts: 128 small
/// ones, and one with the largest body of a backend server in base64.
const MAX_SMALL_CALL_BYTES: usize = 2 * 1024 * 1024;

/// Limit on the further bytes of those replies.
pub const MAX_LARGE_CALL_BYTES: usize = 12 * 1024 * 1024;

/// Memory of the replies that a host reads, and of the large bodies that it has not sent yet.
#[derive(Debug)]
pub struct ReplyMemory {
    small: AtomicUsize,
    large: AtomicUsize,
    max_small: usize,
    max_large: usize,
}

impl Default for ReplyMemory {
    /// Memory of replies of backend servers.
    fn default() -> ReplyMemory {
        ReplyMemory::new(MAX_SMALL_BYTES, MAX_LARGE_BYTES)
    }
}

impl ReplyMemory {
    /// Memory with these limits on the first bytes of all replies and on their further bytes.
    pub fn new(max_small: usize, max_large: usize) -> ReplyMemory {
        let (small, large) = (AtomicUsize::new(0), AtomicUsize::new(0));
        ReplyMemory { small, large, max_small, max_large }
    }

    /// Memory of replies to calls to the registry, or to other hosts.
    pub fn for_calls() -> ReplyMemory {
        ReplyMemory::new(MAX_SMALL_CALL_BYTES, MAX_LARGE_CALL_BYTES)
    }

    /// Counts a body like that of a reply that was read, until it is dropped. None if that exceeds
    /// a limit.
    pub fn hold(self: &Arc<Self>, body: Bytes) -> Option<Bytes> {
        let mut memory = MemoryUse::new(self.clone());
        memory.grow(body.len()).then(|| memory.hold(body))
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.small.load(Ordering::Relaxed) + self.large.load(Ordering::Relaxed)
    }
}

/// Memory of one reply, which is given back on drop.
#[derive(Debug)]
pub struct MemoryUse {
    memory: Arc<ReplyMemory>,
    small: usize,
    large: usize,
}

impl MemoryUse {
    /// A reply of which no byte has been read.
    pub fn new(memory: Arc<ReplyMemory>) -> MemoryUse {
        MemoryUse { memory, small: 0, large: 0 }
    }

    /// Bytes of the reply so far.
    pub fn bytes(&self) -> usize {
        self.small + self.large
    }

    /// Counts `bytes` more. Returns false if that exceeds a limit; the reply must be given up
    /// then.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let small = bytes.min(SMALL_REPLY_BYTES - self.small);
        let large = bytes - small;
        self.small += small;
        self.large += large;
        let used_small = self.memory.small.fetch_add(small, Ordering::Relaxed) + small;
        let used_large = self.memory.large.fetch_add(large, Ordering::Relaxed) + large;
        (small == 0 || used_small <= self.memory.max_small)
            && (large == 0 || used_large <= self.memory.max_large)
    }

    /// Counts the reply until `body`, which is its body, is dropped: a caller may read it slowly.
    /// A small reply is no longer counted; the number of requests in progress limits those.
    pub fn hold(&mut self, body: Bytes) -> Bytes {
        if self.large == 0 {
            self.release();
            return body;
        }
        let empty = MemoryUse::new(self.memory.clone());
        Bytes::from_owner(HeldBody { body, _use: mem::replace(self, empty) })
    }

    /// Gives the memory back.
    pub fn release(&mut self) {
        self.memory.small.fetch_sub(self.small, Ordering::Relaxed);
        self.memory.large.fetch_sub(self.large, Ordering::Relaxed);
        (self.small, self.large) = (0, 0);
    }
}

impl Drop for MemoryUse {
    fn drop(&mut self) {
        self.release();
    }
}

/// A body whose memory is counted.
struct HeldBody {
    body: Bytes,
    _use: MemoryUse,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
