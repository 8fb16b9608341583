//! Detection of requests that crash the backend servers executing them.
//!
//! Load pattern: a caller sends such a request again and again, each time to another host, and
//! each time it takes down a server of each shard, or more with retries. No host sees enough
//! of it, so that hosts share the crashes that they see, and count them together.
//!
//! Servers also crash for other reasons, many at the same time, and take down the requests
//! that they execute. Such a request is lost once; one that causes the crashes is lost each
//! time that it is sent.
//!
//! A server may also crash when nobody waits for its answer any more: the caller has left, a hedge
//! was faster, or the answer went out without that shard. It may execute such requests for as
//! long as their deadlines allow, many at a time, so that a crash for another reason hits more of
//! them. They count against a request only if it happens again: if a server crashes that got the
//! request after an earlier crash was known.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::message;
use chervil_base::value;

/// Number of crashes after which a request is blocked.
const CRASH_LIMIT: usize = 3;

/// Most crashes that count against a request each time that its caller sends it, however many
/// servers it was sent to.
pub const MAX_CRASHES_PER_SEND: u32 = 2;

/// Time without another crash after which the crashes of a request are
/// forgotten.
pub const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of tracked requests; the one with the oldest crash is evicted.
const CAPACITY: usize = 4_096;

/// Maximum number of crashes that are kept for a request. More change nothing.
const MAX_CRASHES: usize = 16;

/// Time within which a host may see the same crash several times.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

message! {
    /// What a crash shows about a request that the server was executing.
    #[derive(Copy, Default, Eq)]
    pub enum Loss {
        /// No host was waiting for the answer any more.
        Abandoned,
        /// The same, and an earlier crash was known when the request was sent.
        Repeated,
        /// A host was waiting for the answer. Also what a later version adds.
        #[default]
        #[serde(other)]
        Awaited,
    }

    /// A backend server crashed while it executed a request.
    #[derive(Copy, Eq)]
    pub struct CrashRecord {
        /// Digest of the request.
        pub digest: u64,
        /// Identifies the crash: the same on all hosts that saw it.
        pub crash: u64,
        /// Versions before it was added count each crash as awaited.
        #[serde(default)]
        pub loss: Loss,
    }
}

value! {
    /// How a host saw that a server crashed.
    #[derive(Copy, Eq)]
    pub enum Sighting {
        /// It was waiting for the answer.
        Awaited,
        /// It had sent the request at this time, and was not waiting any more.
        AbandonedSince(Instant),
    }
}

value! {
    /// Backend server crashes by request digest, as seen by all hosts.
    #[derive(Default)]
    pub struct CrashTracker {
        requests: HashMap<u64, RequestCrashes>,
    }

    struct RequestCrashes {
        crashes: Vec<Crash>,
        last: Instant,
    }

    #[derive(Copy)]
    struct Crash {
        id: u64,
        loss: Loss,
        seen_at: Instant,
        /// Whether the request has not been answered in full since.
        counts: bool,
    }
}

value! {
    /// What a host knows of a server that disconnected while it executed a request.
    ///
    /// Load pattern: a host whose links are cut may see refused connections from all servers, and
    /// a request that crashes all servers of a host looks the same to it.
    #[derive(Copy, Default)]
    pub struct Evidence {
        /// Whether its port refuses connections.
        pub refuses: bool,
        /// Whether the links to all servers were lost meanwhile.
        pub links_lost: bool,
        /// Whether the registry shows that the instance has ended.
        pub has_ended: bool,
    }
}

impl Evidence {
    /// Whether it shows that the server has crashed.
    pub fn shows_crash(&self) -> bool {
        self.refuses && (!self.links_lost || self.has_ended)
    }
}

impl CrashTracker {
    /// Whether the request has crashed too many backend servers to be sent again.
    pub fn is_blocked(&self, digest: u64, now: Instant) -> bool {
        !self.block_time(digest, now).is_zero()
    }

    /// Time until a blocked request may be sent again; zero if it is not blocked.
    pub fn block_time(&self, digest: u64, now: Instant) -> Duration {
        let Some(request) = self.requests.get(&digest) else { return Duration::ZERO };
        if !request.is_proven() {
            return Duration::ZERO;
        }
        CRASH_RETENTION.saturating_sub(now.saturating_duration_since(request.last))
    }

    /// Records that a backend server crashed that was executing the request; `server`
    /// identifies the instance. Returns the record for other hosts, or `None` if this crash
    /// is known already.
    pub fn record_crash(
        &mut self,
        digest: u64,
        server: u64,
        sighting: Sighting,
        now: Instant,
    ) -> Option<CrashRecord> {
        let known = self.requests.get(&digest).map_or(&[][..], |r| &r.crashes);
        let mut crash = server;
        // An instance that crashes again under the same identity.
        while let Some(earlier) = known.iter().find(|c| c.id == crash) {
            if now.saturating_duration_since(earlier.seen_at) < SAME_CRASH_TIME {
                return None;
            }
            crash = crash.wrapping_add(1);
        }
        let loss = match sighting {
            Sighting::Awaited => Loss::Awaited,
            Sighting::AbandonedSince(sent_at) => {
                let is_repeated = known.iter().any(|c| c.counts && c.seen_at < sent_at);
                if is_repeated { Loss::Repeated } else { Loss::Abandoned }
            }
        };
        let record = CrashRecord { digest, crash, loss };
        self.add(record, now).then_some(record)
    }

    /// Adds a crash that this or another host saw. Returns whether it was not known.
    pub fn add(&mut self, record: CrashRecord, now: Instant) -> bool {
        let CrashRecord { digest, crash: id, loss } = record;
        if self.requests.len() >= CAPACITY && !self.requests.contains_key(&digest) {
            let oldest = self.requests.iter().min_by_key(|(_, r)| r.last).map(|(d, _)| *d);
            oldest.and_then(|d| self.requests.remove(&d));
        }
        let new = || RequestCrashes { crashes: Vec::new(), last: now };
        let request = self.requests.entry(digest).or_insert_with(new);
        if now.saturating_duration_since(request.last) >= CRASH_RETENTION {
            request.crashes.clear();
        }
        if let Some(known) = request.crashes.iter_mut().find(|c| c.id == id) {
            let says_more = known.loss == Loss::Abandoned && loss != Loss::Abandoned;
            if says_more {
                known.loss = loss;
            }
            return says_more;
        }
        if request.crashes.len() >= MAX_CRASHES {
            request.crashes.retain(|c| c.counts);
        }
        if request.crashes.len() >= MAX_CRASHES && loss != Loss::Abandoned {
            let replaceable = request.crashes.iter().rposition(|c| c.loss == Loss::Abandoned);
            replaceable.map(|index| request.crashes.remove(index));
        }
        if request.crashes.len() >= MAX_CRASHES {
            return false;
        }
        request.crashes.push(Crash { id, loss, seen_at: now, counts: true });
        request.last = now;
        true
    }

    /// Forgets the crashes of a request that has been answered in full by servers none of
    /// which crashed.
    pub fn acquit(&mut self, digest: u64) {
        if let Some(request) = self.requests.get_mut(&digest) {
            request.crashes.iter_mut().for_each(|c| c.counts = false);
        }
    }

    /// Number of crashes that count against a request.
    pub fn count(&self, digest: u64) -> usize {
        let request = self.requests.get(&digest);
        request.map_or(0, |r| r.crashes.iter().filter(|c| c.counts).count())
    }

    /// The crashes that count, for a host that has just started.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let is_recent =
            |r: &RequestCrashes| now.saturating_duration_since(r.last) < CRASH_RETENTION;
        let requests = self.requests.iter().filter(|(_, r)| is_recent(r));
        let record = |digest: u64, c: &Crash| CrashRecord { digest, crash: c.id, loss: c.loss };
        requests
            .flat_map(|(d, r)| r.crashes.iter().filter(|c| c.counts).map(|c| record(*d, c)))
            .collect()
    }
}

impl RequestCrashes {
    /// Whether the crashes show that the request causes them.
    fn is_proven(&self) -> bool {
        let counted = |loss| self.crashes.iter().filter(|c| c.counts && c.loss == loss).count();
        let (awaited, repeated) = (counted(Loss::Awaited), counted(Loss::Repeated));
        let all = awaited + repeated + counted(Loss::Abandoned);
        awaited >= CRASH_LIMIT || (all >= CRASH_LIMIT && repeated > 0)
    }
}
