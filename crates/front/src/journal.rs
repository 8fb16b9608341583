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
    /// Sequence number of the latest event, or of the start of the latest recording.
    serial: u64,
    /// Position of the latest batch of events.
    position: Position,
    /// Latest position whose state this host has in full.
    settled: Position,
    /// Position from which on the events state each change, not only what changed in sum.
    exact_from: Position,
    /// Hosts that poll for events.
    followers: Followers,
    /// `None` while no host polls.
    recording: Option<Recording>,
    /// Latest time at which `position` was known to be the newest one.
    synced_at: Option<Instant>,
}

/// The events since a point in time, without a gap.
#[derive(Debug)]
struct Recording {
    /// Oldest first.
    records: VecDeque<Record>,
    /// Sequence number before the first record. Cursors of this process with a lower one are from
    /// before the recording, or from before an event that is no longer kept.
    complete_after: u64,
    /// Earliest position after which no record is missing.
    complete_from: Position,
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
        /// The cursor names an event of the present recording, or its start.
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
    /// Position from which on the events state each change, not only what changed in sum.
    pub exact_from: Position,
    /// Time since this host was last in sync with the registry; `None` if it
    /// never was.
    pub age: Option<Duration>,
}

impl Journal {
    /// Empty journal of the process with the random id `boot`.
    pub fn new(boot: u64) -> Journal {
        let inner = Inner {
            serial: 0,
            position: Position::default(),
            settled: Position::default(),
            exact_from: Position::default(),
            followers: Followers::default(),
            recording: None,
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
        if admitted && inner.recording.is_none() && inner.position > Position::default() {
            inner.start_recording();
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
        if inner.recording.take().is_some() {
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
        if self.inner().recording.is_none() {
            return;
        }
        let Some(json) = packed::pack(event) else { return };
        self.inner().record(event.format(), json);
        self.changes.send_modify(|c| *c += 1);
    }

    /// Starts a batch of events that reaches up to `position`.
    pub fn advance(&self, position: Position) {
        let mut inner = self.inner();
        if position.era > inner.position.era {
            // The records say what changed in the state of this host. A host with another
            // state from before the restore needs a snapshot.
            inner.exact_from = inner.exact_from.max(position);
        }
        inner.position = inner.position.max(position);
    }

    /// Records that the events up to `position` state what changed in sum, as those do that bring
    /// a host to a full state. A host that has followed another source and has applied a part of
    /// these changes needs a snapshot.
    pub fn require_exact_from(&self, position: Position) {
        let mut inner = self.inner();
        inner.exact_from = inner.exact_from.max(position);
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
        let recording = inner.recording.as_ref();
        let basis = recording.map_or(Basis::Snapshot, |r| inner.basis(self.boot, r, cursor));
        let events = recording.and_then(|recording| {
            let readable = recording.records.iter().filter(|r| r.format <= format);
            let json = |r: &Record| r.json.clone();
            match basis {
                Basis::Serial => {
                    Some(readable.filter(|r| r.serial > cursor.serial).map(json).collect())
                }
                // Some events may be sent twice, which is harmless: each states what holds from
                // then on.
                Basis::Position => {
                    Some(readable.filter(|r| r.position >= cursor.position).map(json).collect())
                }
                Basis::Snapshot => None,
            }
        });
        let age = inner.synced_at.map(|at| now.duration_since(at));
        let cursor = Cursor { boot: self.boot, serial: inner.serial, position: inner.position };
        Delta { basis, events, cursor, settled: inner.settled, exact_from: inner.exact_from, age }
    }
}

impl Inner {
    /// Starts to record under a new sequence number: what was applied since the latest one may
    /// not have been recorded, so that no cursor handed out so far is complete.
    fn start_recording(&mut self) {
        self.serial += 1;
        self.recording = Some(Recording {
            records: VecDeque::new(),
            complete_after: self.serial,
            // Events of the current position may have been applied before.
            complete_from: self.position.next(),
        });
    }

    fn record(&mut self, format: u32, json: Arc<str>) {
        let Some(recording) = &mut self.recording else { return };
        self.serial += 1;
        let record = Record { serial: self.serial, position: self.position, format, json };
        recording.records.push_back(record);
        if recording.records.len() > CAPACITY
            && let Some(dropped) = recording.records.pop_front()
        {
            recording.complete_after = dropped.serial;
            recording.complete_from = recording.complete_from.max(dropped.position.next());
        }
    }

    /// What shows that the records after a cursor are complete. A cursor of another process, or
    /// of another recording, counts by its position only.
    fn basis(&self, boot: u64, recording: &Recording, cursor: Cursor) -> Basis {
        let serials = recording.complete_after..=self.serial;
        if cursor.boot == boot && serials.contains(&cursor.serial) {
            Basis::Serial
        } else if cursor.position > Position::default()
            && cursor.position >= recording.complete_from.max(self.exact_from)
        {
            Basis::Position
        } else {
            Basis::Snapshot
        }
    }
}
