//! What a host has learned, kept for the other hosts that ask it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::message;
use tokio::sync::watch;

use crate::packed;
use crate::registry::Event;

/// Events that are kept; a host that is further behind gets everything.
const CAPACITY: usize = 2_000;

message! {
    /// Where a host stands in what another host has learned.
    #[derive(Copy, Default)]
    pub struct Cursor {
        /// Start of the other host's process; 0 before the first answer.
        pub boot: u64,
        /// Last event of that process that was taken in.
        pub serial: u64,
        /// Revision of the registry that is known, whoever told it.
        pub revision: u64,
    }
}

/// Events in the order in which a host learned them.
#[derive(Debug)]
pub struct Journal {
    boot: u64,
    inner: Mutex<Inner>,
    serial: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    entries: VecDeque<Entry>,
    serial: u64,
    revision: u64,
    /// Revision from which on the entries are complete.
    floor: u64,
    /// Time at which everything up to the revision was known to be all.
    synced_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Entry {
    serial: u64,
    revision: u64,
    text: Arc<str>,
}

/// What is to be told to a host.
#[derive(Debug)]
pub struct Delta {
    /// Events as JSON; none where the host must get everything.
    pub events: Option<Vec<Arc<str>>>,
    /// Where the host then stands.
    pub cursor: Cursor,
    /// Time since the news were confirmed; none before that.
    pub age: Option<Duration>,
}

impl Journal {
    /// An empty journal of the process that `boot` identifies.
    pub fn new(boot: u64) -> Journal {
        let inner = Inner {
            entries: VecDeque::new(),
            serial: 0,
            revision: 0,
            floor: u64::MAX,
            synced_at: None,
        };
        Journal { boot, inner: Mutex::new(inner), serial: watch::Sender::new(0) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an event.
    pub fn push(&self, event: &Event) {
        let Some(text) = packed::pack(event) else { return };
        let mut inner = self.inner();
        inner.serial += 1;
        let entry = Entry { serial: inner.serial, revision: inner.revision, text };
        inner.entries.push_back(entry);
        if inner.entries.len() > CAPACITY {
            let oldest = inner.entries.pop_front().map_or(0, |e| e.revision);
            inner.floor = inner.floor.max(oldest + 1);
        }
        let serial = inner.serial;
        drop(inner);
        self.serial.send_replace(serial);
    }

    /// Keeps no events, for a host that others do not ask.
    pub fn clear(&self) {
        let mut inner = self.inner();
        inner.serial += 1;
        inner.entries.clear();
        inner.floor = u64::MAX;
    }

    /// Begins a batch of events that ends at a revision.
    pub fn advance(&self, revision: u64) {
        let mut inner = self.inner();
        inner.revision = inner.revision.max(revision);
        if inner.floor == u64::MAX {
            inner.floor = inner.revision;
        }
    }

    /// Takes in that the news were complete at a time.
    pub fn mark_synced(&self, at: Instant) {
        let mut inner = self.inner();
        inner.synced_at = inner.synced_at.max(Some(at));
    }

    /// Time since the news were confirmed; none before that.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.inner().synced_at.map(|c| now.duration_since(c))
    }

    /// Notifies of new events.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.serial.subscribe()
    }

    /// What a host that stands at `cursor` has not learned yet.
    pub fn delta(&self, cursor: Cursor, now: Instant) -> Delta {
        let inner = self.inner();
        let same = cursor.boot == self.boot;
        let first = inner.entries.front().map_or(inner.serial + 1, |e| e.serial);
        let events = if same && cursor.serial + 1 >= first {
            Some(inner.texts(|e| e.serial > cursor.serial))
        } else if cursor.revision > 0 && cursor.revision >= inner.floor {
            // Events may be told twice: each states what holds from then on.
            Some(inner.texts(|e| e.revision >= cursor.revision))
        } else {
            None
        };
        let age = inner.synced_at.map(|c| now.duration_since(c));
        let cursor = Cursor { boot: self.boot, serial: inner.serial, revision: inner.revision };
        Delta { events, cursor, age }
    }
}

impl Inner {
    fn texts<Wanted>(&self, wanted: Wanted) -> Vec<Arc<str>>
    where
        Wanted: Fn(&Entry) -> bool,
    {
        self.entries.iter().filter(|e| wanted(e)).map(|e| e.text.clone()).collect()
    }
}
