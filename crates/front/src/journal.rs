//! Bounded log of the registry events that a host has applied, from which it
//! serves deltas to the hosts that follow it. Events are recorded only while other
//! hosts poll.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::message;
use chervil_base::value;
use chervil_route::history::Position;
use chervil_route::peers::Followers;
use tokio::sync::watch;

use crate::packed;
use crate::registry::Event;

/// Events that are kept. A host that is further behind gets a full snapshot.
const CAPACITY: usize = 2_000;

message! {
    /// Position of a host in the journal of another host.
    #[derive(Copy, Default)]
    pub struct Cursor {
        /// Random id of the other host's process; 0 before its first reply.
        pub boot: u64,
        /// Sequence number of the last event applied from that process.
        pub serial: u64,
        /// Position in the registry's history up to which events are applied, from any
        /// source.
        #[serde(flatten)]
        pub position: Position,
    }
}

/// Events in the order in which a host applied them.
#[derive(Debug)]
pub struct Journal {
    boot: u64,
    inner: Mutex<Inner>,
    /// Counts events and synchronisations.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    records: VecDeque<Record>,
    serial: u64,
    /// Position of the latest batch of events.
    position: Position,
    /// Latest position whose state this host has in full.
    settled: Position,
    /// Hosts that poll for events.
    followers: Followers,
    /// Whether events are recorded.
    recording: bool,
    /// Earliest position from which the records are complete for a host that has followed
    /// another source; `None` while nothing is recorded.
    complete_from: Option<Position>,
    /// Latest time at which `position` was known to be the newest one.
    synced_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Record {
    serial: u64,
    position: Position,
    /// First version of the messages that has events of this kind.
    format: u32,
    json: Arc<str>,
}

value! {
    /// What shows that a delta is complete.
    #[derive(Copy, Eq)]
    pub enum Basis {
        /// The cursor names an event of this journal.
        Serial,
        /// The cursor names a position in the registry's history from which events are kept.
        Position,
        /// Nothing: the host needs a snapshot.
        Snapshot,
    }
}

impl Basis {
    /// Name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Serial => "serial",
            Basis::Position => "position",
            Basis::Snapshot => "snapshot",
        }
    }
}

/// Events that another host has not applied yet.
#[derive(Debug)]
pub struct Delta {
    /// What shows that the events are complete.
    pub basis: Basis,
    /// Encoded events, oldest first; `None` if the journal does not reach back to
    /// the cursor, so that the host needs a snapshot.
    pub events: Option<Vec<Arc<str>>>,
    /// Cursor of the host after these events.
    pub cursor: Cursor,
    /// Latest position whose state this host has in full.
    pub settled: Position,
    /// Time since this host was last in sync with the registry; `None` if it
    /// never was.
    pub age: Option<Duration>,
}

impl Journal {
    /// Empty journal of the process with the random id `boot`.
    pub fn new(boot: u64) -> Journal {
        let inner = Inner {
            records: VecDeque::new(),
            serial: 0,
            position: Position::default(),
            settled: Position::default(),
            followers: Followers::default(),
            recording: false,
            complete_from: None,
            synced_at: None,
        };
        Journal { boot, inner: Mutex::new(inner), changes: watch::Sender::new(0) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a poll of another host, and starts recording if it is the first one.
    /// Returns false if too many hosts poll this one already.
    pub fn admit(&self, host: &str, now: Instant) -> bool {
        let mut inner = self.inner();
        let admitted = inner.followers.admit(host, now);
        if admitted && !inner.recording && inner.position > Position::default() {
            inner.recording = true;
            // Events of the current position may have been applied before.
            inner.complete_from = Some(inner.position.next());
            let (serial, Position { era, revision }) = (inner.serial, inner.position);
            spdlog::info!(
                "recording registry events for other hosts",
                kv: { follower = host, serial, revision, era }
            );
        }
        admitted
    }

    /// Whether any host has polled recently.
    pub fn is_polled(&self, now: Instant) -> bool {
        !self.inner().followers.is_empty(now)
    }

    /// Stops recording and drops all events. A host with a cursor from before then
    /// needs a snapshot.
    pub fn stop_recording(&self) {
        let mut inner = self.inner();
        if inner.recording {
            // No cursor handed out so far may match the records that follow.
            inner.serial += 1;
            inner.records.clear();
            inner.recording = false;
            inner.complete_from = None;
            let (serial, Position { era, revision }) = (inner.serial, inner.position);
            spdlog::info!(
                "no host polls this one any more; registry events are not recorded",
                kv: { serial, revision, era }
            );
        }
    }

    /// Appends an event and wakes the subscribers; does nothing while nothing is
    /// recorded.
    pub fn push(&self, event: &Event) {
        if !self.inner().recording {
            return;
        }
        let Some(json) = packed::pack(event) else { return };
        let mut inner = self.inner();
        inner.serial += 1;
        let format = event.format();
        let record = Record { serial: inner.serial, position: inner.position, format, json };
        inner.records.push_back(record);
        if inner.records.len() > CAPACITY {
            let dropped = inner.records.pop_front().map(|r| r.position.next());
            inner.complete_from = inner.complete_from.max(dropped);
        }
        drop(inner);
        self.changes.send_modify(|c| *c += 1);
    }

    /// Starts a batch of events that reaches up to `position`.
    pub fn advance(&self, position: Position) {
        let mut inner = self.inner();
        if inner.recording && position.era > inner.position.era {
            // The records say what changed in the state of this host. A host with another
            // state from before the restore needs a snapshot.
            inner.complete_from = Some(position);
        }
        inner.position = inner.position.max(position);
    }

    /// Records that this host's state is that of the registry at `position`. Until then,
    /// hosts that have this state in full use other sources.
    pub fn settle(&self, position: Position) {
        let mut inner = self.inner();
        inner.settled = inner.settled.max(position);
    }

    /// Records that this host was in sync with the registry at `at`, and wakes the
    /// subscribers.
    pub fn mark_synced(&self, at: Instant) {
        let mut inner = self.inner();
        inner.synced_at = inner.synced_at.max(Some(at));
        drop(inner);
        self.changes.send_modify(|c| *c += 1);
    }

    /// Receiver that changes with each event and each synchronisation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Events that a host at `cursor` has not applied yet, without those that its version of the
    /// messages, `format`, does not have.
    pub fn delta(&self, cursor: Cursor, format: u32, now: Instant) -> Delta {
        let inner = self.inner();
        let same_process = cursor.boot == self.boot;
        let first = inner.records.front().map_or(inner.serial + 1, |r| r.serial);
        let (basis, events) = if !inner.recording {
            (Basis::Snapshot, None)
        } else if same_process && cursor.serial + 1 >= first {
            let events = inner.select(|r| r.serial > cursor.serial && r.format <= format);
            (Basis::Serial, Some(events))
        } else if cursor.position > Position::default()
            && inner.complete_from.is_some_and(|from| cursor.position >= from)
        {
            // The cursor is of another process, so only its position counts. Some
            // events may be sent twice, which is harmless: each states what holds
            // from then on.
            let events = inner.select(|r| r.position >= cursor.position && r.format <= format);
            (Basis::Position, Some(events))
        } else {
            (Basis::Snapshot, None)
        };
        let age = inner.synced_at.map(|at| now.duration_since(at));
        let cursor = Cursor { boot: self.boot, serial: inner.serial, position: inner.position };
        Delta { basis, events, cursor, settled: inner.settled, age }
    }
}

impl Inner {
    fn select<Wanted>(&self, wanted: Wanted) -> Vec<Arc<str>>
    where
        Wanted: Fn(&Record) -> bool,
    {
        self.records.iter().filter(|r| wanted(r)).map(|r| r.json.clone()).collect()
    }
}
