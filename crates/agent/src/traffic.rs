//! Counts the bytes sent in heartbeats and in replies to them.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chervil_node::metrics::Metrics;
use serde::Serialize;

/// JSON-RPC envelope and WebSocket frame header of a request, in bytes: 68 for
/// `{"jsonrpc":"2.0","id":123456,"method":"agent_heartbeat","params":[]}` and 8
/// for the header with its masking key.
const REQUEST_OVERHEAD_BYTES: u64 = 76;

/// JSON-RPC envelope and WebSocket frame header of a reply, in bytes: 39 for
/// `{"jsonrpc":"2.0","id":123456,"result":}` and 4 for the header.
const REPLY_OVERHEAD_BYTES: u64 = 43;

/// Counter of the bytes that this host has sent in heartbeats and in replies to
/// them, without TCP and IP headers.
#[derive(Debug)]
pub(crate) struct Traffic {
    sent: AtomicU64,
    metrics: Metrics,
}

impl Traffic {
    pub(crate) fn new(metrics: Metrics) -> Traffic {
        Traffic { sent: 0.into(), metrics }
    }

    /// Counts a heartbeat that is sent to `peers` peers.
    pub(crate) fn count_requests<T>(&self, heartbeat: &T, peers: u64)
    where
        T: Serialize,
    {
        self.add((json_size(heartbeat) + REQUEST_OVERHEAD_BYTES) * peers);
    }

    /// Counts a reply to a heartbeat.
    pub(crate) fn count_reply<T>(&self, reply: &T)
    where
        T: Serialize,
    {
        self.add(json_size(reply) + REPLY_OVERHEAD_BYTES);
    }

    /// Bytes sent so far.
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
        self.metrics.count("heartbeat.bytes", bytes as i64);
    }
}

/// Writer that counts the bytes and discards them.
#[derive(Default)]
struct ByteCounter(u64);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Length of a message as JSON, in bytes.
fn json_size<T>(message: &T) -> u64
where
    T: Serialize,
{
    let mut counter = ByteCounter::default();
    // Cannot fail: these messages can always be serialized, and the counter
    // accepts every write.
    let _ = serde_json::to_writer(&mut counter, message);
    counter.0
}
