//! Counts the bytes of heartbeats.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chervil_node::metrics::Metrics;
use serde::Serialize;

/// JSON-RPC envelope and WebSocket header of a request, in bytes:
/// `{"jsonrpc":"2.0","id":123456,"method":"agent_heartbeat","params":[]}` and 8.
const REQUEST_ENVELOPE: u64 = 76;

/// The same of an answer: `{"jsonrpc":"2.0","id":123456,"result":}` and 4.
const ANSWER_ENVELOPE: u64 = 43;

/// Bytes that this host has sent in heartbeats and answers to heartbeats,
/// without the headers of TCP and IP.
#[derive(Debug)]
pub(crate) struct Traffic {
    sent: AtomicU64,
    metrics: Metrics,
}

impl Traffic {
    pub(crate) fn new(metrics: Metrics) -> Traffic {
        Traffic { sent: 0.into(), metrics }
    }

    /// Counts the same heartbeat to a number of peers.
    pub(crate) fn requests<T>(&self, heartbeat: &T, peers: u64)
    where
        T: Serialize,
    {
        self.count((size(heartbeat) + REQUEST_ENVELOPE) * peers);
    }

    /// Counts an answer.
    pub(crate) fn answer<T>(&self, reply: &T)
    where
        T: Serialize,
    {
        self.count(size(reply) + ANSWER_ENVELOPE);
    }

    /// Bytes sent so far.
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
        self.metrics.count("heartbeat.bytes", bytes as i64);
    }
}

/// Writer that keeps nothing but the number of bytes.
#[derive(Default)]
struct Counter(u64);

impl Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn size<T>(message: &T) -> u64
where
    T: Serialize,
{
    let mut counter = Counter::default();
    // Messages of this crate always serialize, and the counter accepts all.
    let _ = serde_json::to_writer(&mut counter, message);
    counter.0
}
