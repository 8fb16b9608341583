//! Replication of the registry into the state of a host.
//!
//! A host polls either its upstream, another host that replicates the registry,
//! or the registry itself, so that only a few hosts load the registry. It keeps
//! its state while the registry is unreachable, and can load the first state from
//! a seed host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_route::history::Position;
use chervil_route::outage::Outage;
use chervil_route::pause;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Upstream;
use tokio::time;

use crate::core::Core;
use crate::host::HostSettings;
use crate::journal::Cursor;
use crate::journal::Journal;
use crate::listen::Lifecycle;
use crate::packed;
use crate::packed::PackedError;
use crate::packed::Unpacked;
use crate::peers::PeerClients;
use crate::peers::SyncReply;
use crate::peers::SyncRequest;
use crate::registry;
use crate::registry::Changes;
use crate::registry::Registry;
use crate::registry::RegistryError;
use crate::replica::Batch;
use crate::replica::REGISTRY;
use crate::replica::Replica;

/// Time that the registry holds a poll open until there is a change.
const REGISTRY_WAIT: Duration = Duration::from_millis(300);

/// Time after which a call to the registry fails, in addition to its wait.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time that the upstream holds a poll open until there is an event or newer data, as
/// a fraction of the propagation limit.
const UPSTREAM_WAIT_FRACTION: f64 = 0.15;

/// Time after which a call to another host fails, in addition to its wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(350);

/// Time by which a timer of a busy host may be late.
const TIMER_SLACK: Duration = Duration::from_millis(250);

/// Time for which an upstream that did not reply is not polled.
const FAILED_UPSTREAM_PAUSE: Duration = Duration::from_secs(5);

/// Time for which an upstream with stale data is not polled.
const STALE_UPSTREAM_PAUSE: Duration = Duration::from_millis(700);

/// Pause between two polls of the upstream, so that one reply carries several
/// events.
const UPSTREAM_POLL_PAUSE: Duration = Duration::from_millis(300);

/// Longest backoff of a host that may be the upstream of others.
const MAX_UPSTREAM_BACKOFF: Duration = Duration::from_millis(1_000);

/// Longest backoff of any other host.
const MAX_BACKOFF: Duration = Duration::from_millis(4_000);

/// Time for which a host polls the seeds before the registry when the whole
/// deployment starts for the first time.
const BOOTSTRAP_SEED_TIME: Duration = Duration::from_millis(1_500);

/// Pause after a seed did not provide a usable state.
const SEED_PAUSE: Duration = Duration::from_millis(60);

/// Pause between two polls of the registry, as a fraction of the propagation
/// limit.
const POLL_FRACTION: f64 = 0.2;

/// Time that a new upstream holds the first poll open. A host that does not answer costs
/// little more than [`PEER_TIMEOUT`] until the next one is polled.
const FIRST_POLL_WAIT: Duration = Duration::from_millis(1);

/// Age from which data of the host that reads the registry are stale, as a fraction
/// of the propagation limit.
const STALE_FRACTION: f64 = 0.45;

/// Age that each further host on the way from the registry may add.
const STALE_PER_HOP: Duration = Duration::from_millis(350);

/// Time for which a host polls another upstream after one that serves too many hosts.
const BUSY_UPSTREAM_PAUSE: Duration = Duration::from_secs(2);

/// Interval at which a journal that no host polls any more is cleared.
const JOURNAL_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which idle connections to backend servers are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Heartbeats of a backend server that must fail to reach the registry before its entry can
/// expire. The last one may have come a heartbeat before the outage, and entries live for
/// three of them.
const EXPIRY_HEARTBEATS: u32 = 2;

/// Where the next events come from.
enum Source {
    Registry,
    Upstream(Upstream),
    Seed(SocketAddr),
    /// Nowhere for this time: there is no upstream, and calls to the registry are
    /// in backoff.
    None(Duration),
}

/// Keeps the state of a host in sync with the registry.
pub struct Follower {
    core: Arc<Core>,
    registry: Arc<dyn Registry>,
    journal: Arc<Journal>,
    peers: PeerClients,
    seeds: Vec<SocketAddr>,
    /// End of the time in which the seeds are polled before the registry.
    seeds_first_until: Option<Instant>,
    seed_index: usize,
    propagation_limit: Duration,
    heartbeat: Duration,
    replica: Replica,
    cursor: Cursor,
    /// Latest position in the registry's history that this host has applied. Older data are
    /// not applied, not even as a full state.
    applied: Position,
    /// Latest position whose state the source of the latest data has in full.
    source_settled: Position,
    /// Latest position whose state this host has in full. Data of hosts that have less are
    /// not applied.
    settled: Position,
    /// Whether polling for changes suffices; otherwise the full state is needed.
    has_state: bool,
    outage: Outage,
    own_name: Box<str>,
    /// The host that answered the last poll, if any.
    followed: Option<Box<str>>,
    /// Whether other hosts have polled this one recently.
    has_followers: bool,
    journal_check_at: Instant,
}

impl Follower {
    /// Follower that counts at least `min_hosts` hosts in the deployment.
    pub fn new(
        core: Arc<Core>,
        registry: Arc<dyn Registry>,
        lifecycle: Arc<Lifecycle>,
        journal: Arc<Journal>,
        settings: &HostSettings,
        min_hosts: u32,
    ) -> Follower {
        let own = settings.peer.address;
        let seeds: Vec<SocketAddr> = settings.seeds.iter().copied().filter(|s| *s != own).collect();
        // The seeds themselves go to the registry at once.
        let seeds_first = settings.bootstrap && seeds.len() == settings.seeds.len();
        Follower {
            seeds_first_until: seeds_first.then(|| core.now() + BOOTSTRAP_SEED_TIME),
            journal_check_at: core.now(),
            replica: Replica::new(
                core.clone(),
                lifecycle,
                journal.clone(),
                min_hosts,
                settings.heartbeat,
            ),
            peers: PeerClients::new(&core),
            core,
            registry,
            journal,
            seeds,
            seed_index: 0,
            propagation_limit: settings.propagation_limit,
            heartbeat: settings.heartbeat,
            cursor: Cursor::default(),
            applied: Position::default(),
            source_settled: Position::default(),
            settled: Position::default(),
            has_state: false,
            outage: Outage::default(),
            own_name: settings.name.clone(),
            followed: None,
            has_followers: false,
        }
    }

    /// Keeps the state in sync until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let pause = match self.next_source() {
                Source::Registry => self.poll_registry().await,
                Source::Upstream(upstream) => self.poll_upstream(&upstream).await,
                Source::Seed(address) => self.poll_seed(address).await,
                Source::None(pause) => pause,
            };
            self.expire();
            if !pause.is_zero() {
                time::sleep(pause).await;
            }
        }
    }

    /// If the full state is needed, it comes from the registry, or from a seed
    /// during the bootstrap time and while the registry is failing. Changes come
    /// from the upstream, or from the registry if there is none.
    fn next_source(&mut self) -> Source {
        let now = self.core.now();
        let seeds_first = self.seeds_first_until.is_some_and(|until| now < until);
        let retry_at = self.outage.retry_at(now);
        if !self.has_state {
            if !self.seeds.is_empty() && (seeds_first || retry_at.is_some()) {
                self.seed_index += 1;
                return Source::Seed(self.seeds[self.seed_index % self.seeds.len()]);
            }
        } else if let Some(upstream) = self.core.state().peers.upstream(now) {
            return Source::Upstream(upstream);
        }
        match retry_at {
            // Not longer than a stale upstream is avoided: it may be usable again.
            Some(at) => Source::None(at.duration_since(now).min(STALE_UPSTREAM_PAUSE)),
            None => Source::Registry,
        }
    }

    /// Whether the source of the latest data has held some back. It passes them on later;
    /// another source must send its full state, since they are from before the cursor.
    fn lacks_events(&self) -> bool {
        self.source_settled < self.cursor.position
    }

    /// Whether data of the registry would take this host back: to an earlier era, or, if they are
    /// the full state in place of what this host has, to an earlier position.
    fn is_from_before(&self, position: Position, full: bool) -> bool {
        position.era < self.applied.era || (full && self.has_state && position < self.applied)
    }

    /// Age from which data of a host are stale; `depth` is the number of hosts
    /// between it and the registry.
    fn stale_after(&self, depth: u32) -> Duration {
        self.propagation_limit.mul_f64(STALE_FRACTION) + STALE_PER_HOP * depth
    }

    async fn poll_registry(&mut self) -> Duration {
        let polled_at = self.core.now();
        let position = self.cursor.position;
        let full = !self.has_state || self.lacks_events();
        let call = async {
            if full {
                self.registry.list().await
            } else {
                self.registry.changes(position.revision, REGISTRY_WAIT).await
            }
        };
        let timeout = REGISTRY_WAIT + REGISTRY_TIMEOUT;
        match registry::within(timeout, call).await {
            Ok(changes) if self.is_from_before(changes.position, full) => {
                let reason = "it states a position before that of this host's state";
                self.registry_failed(&RegistryError::Unreadable { reason: reason.into() });
                Duration::ZERO
            }
            Ok(changes) if !full && changes.position.era != position.era => {
                spdlog::warn!(
                    "registry was restored from an older copy; listing it again",
                    kv: { era = changes.position.era, previous = position.era }
                );
                self.has_state = false;
                Duration::ZERO
            }
            Ok(changes) => {
                self.apply_changes(changes, polled_at, full);
                self.propagation_limit.mul_f64(POLL_FRACTION)
            }
            Err(RegistryError::HistoryLost) => {
                spdlog::warn!(
                    "registry no longer keeps changes since this revision; listing it again",
                    kv: { revision = position.revision, era = position.era }
                );
                self.has_state = false;
                Duration::ZERO
            }
            // They would be too large again; a list comes in pages.
            Err(RegistryError::TooLarge) if !full => {
                spdlog::warn!(
                    "changes since this revision are too large; listing the registry again",
                    kv: { revision = position.revision, era = position.era }
                );
                self.has_state = false;
                Duration::ZERO
            }
            Err(error) => {
                self.registry_failed(&error);
                Duration::ZERO
            }
        }
    }

    fn apply_changes(&mut self, changes: Changes, polled_at: Instant, full: bool) {
        let Changes { events, position, read_until } = changes;
        self.hold_removals(polled_at);
        self.advance(REGISTRY, position, if full { read_until } else { Position::default() });
        self.replica.apply_events(Batch { source: REGISTRY.into(), position, events, full });
        self.cursor = Cursor { boot: 0, serial: 0, position };
        self.source_settled = position;
        self.mark_synced(polled_at);
        self.has_state = true;
    }

    /// Holds removals back if a call to the registry that began at `polled_at` ends an outage in
    /// which entries can have expired: a single failed call must not delay the removal of a server
    /// that leaves. A host that gets its data from another one relies on that one to hold
    /// removals back, and takes over its hold.
    fn hold_removals(&mut self, polled_at: Instant) {
        let synced_at = self.core.state().synced_at;
        let outage = self.record_contact(REGISTRY, polled_at);
        if outage.is_some_and(|o| o >= self.heartbeat * EXPIRY_HEARTBEATS) {
            self.replica.hold_removals(self.core.now());
        } else if self.lacks_events()
            && let Some(at) = synced_at
        {
            self.replica.hold_removals(at);
        }
    }

    /// Starts to apply data of a source that reach up to `position`, and that may state what
    /// changed before `exact_from` in sum.
    fn advance(&mut self, source: &str, position: Position, exact_from: Position) {
        let Position { era, revision } = position;
        if era > self.applied.era {
            let previous = self.applied.revision;
            spdlog::info!("registry history", kv: { era, revision, previous, source });
            self.core.metrics.count("registry.eras");
        }
        self.journal.advance(position);
        self.journal.require_exact_from(exact_from);
        self.applied = self.applied.max(position);
    }

    fn registry_failed(&mut self, error: &RegistryError) {
        self.core.metrics.count("registry.failed");
        let now = self.core.now();
        let max_backoff = if self.has_followers { MAX_UPSTREAM_BACKOFF } else { MAX_BACKOFF };
        if self.outage.record_failure(max_backoff, now) {
            let error = error.to_string();
            spdlog::warn!("registry lost", kv: { error = error.as_str() });
        }
    }

    /// Records that the registry was reachable at `at`, as data of `source` show. Returns how
    /// long the outage was that this ends, if any.
    fn record_contact(&mut self, source: &str, at: Instant) -> Option<Duration> {
        let synced_at = self.core.state().synced_at;
        let outage = self.outage.record_contact(synced_at, at)?;
        let ms = outage.as_millis() as u64;
        let revision = self.cursor.position.revision;
        spdlog::info!("registry back", kv: { revision, outage_ms = ms, source });
        Some(outage)
    }

    async fn poll_upstream(&mut self, upstream: &Upstream) -> Duration {
        let stale = self.stale_after(upstream.depth);
        let is_followed = self.followed.take().is_some_and(|f| f == upstream.host);
        let wait = if is_followed {
            self.propagation_limit.mul_f64(UPSTREAM_WAIT_FRACTION)
        } else {
            FIRST_POLL_WAIT
        };
        let is_other_source = self.replica.source() != &*upstream.host;
        let cursor =
            if is_other_source && self.lacks_events() { Cursor::default() } else { self.cursor };
        let result = self.request_events(upstream.address, cursor, wait, stale).await;
        let now = self.core.now();
        let (problem, pause) = match result {
            Ok(reply) if is_recent(&reply, stale) && self.is_not_behind(&reply) => {
                match self.apply_reply(&upstream.host, reply, now) {
                    Ok(()) => {
                        self.followed = Some(upstream.host.clone());
                        return if is_followed { UPSTREAM_POLL_PAUSE } else { Duration::ZERO };
                    }
                    Err(_) => ("unreadable", FAILED_UPSTREAM_PAUSE),
                }
            }
            Ok(_) => ("old news", STALE_UPSTREAM_PAUSE),
            Err(RegistryError::Refused { .. }) => ("busy", BUSY_UPSTREAM_PAUSE),
            Err(_) => ("no answer", FAILED_UPSTREAM_PAUSE),
        };
        spdlog::info!(
            "no fresh registry data from this host; using another source for a while",
            kv: { host = &*upstream.host, problem }
        );
        self.core.state().peers.avoid(&upstream.host, now + pause);
        Duration::ZERO
    }

    /// Requests the full state from a seed. While the registry is failing, a stale state is
    /// accepted too, since it is better than none, but not one that is behind this host's.
    async fn poll_seed(&mut self, address: SocketAddr) -> Duration {
        let stale = self.stale_after(0);
        let result = self.request_events(address, self.cursor, Duration::ZERO, stale).await;
        let now = self.core.now();
        match result {
            Ok(reply)
                if !reply.events.is_empty()
                    && self.is_not_behind(&reply)
                    && (is_recent(&reply, stale) || self.outage.is_ongoing()) =>
            {
                let age = reply.age_ms.map_or("unknown".into(), |a| a.to_string());
                let seed = address.to_string();
                spdlog::info!("registry state loaded from a seed host", kv: {
                    seed = seed.as_str(),
                    age_ms = age.as_str(),
                });
                match self.apply_reply(&seed, reply, now) {
                    Ok(()) => Duration::ZERO,
                    Err(_) => SEED_PAUSE,
                }
            }
            Ok(_) | Err(_) => SEED_PAUSE,
        }
    }

    async fn request_events(
        &mut self,
        address: SocketAddr,
        cursor: Cursor,
        wait: Duration,
        stale: Duration,
    ) -> Result<SyncReply, RegistryError> {
        let synced_at = self.core.state().synced_at;
        let age = synced_at.map(|at| self.core.now().duration_since(at).as_millis() as u64);
        let request = SyncRequest {
            host: self.own_name.clone(),
            cursor,
            wait_ms: wait.as_millis() as u64,
            stale_ms: stale.as_millis() as u64,
            age_ms: age,
            format: FORMAT,
        };
        let start = self.core.boot_time();
        let call = self.peers.sync(address, &request);
        let timeout = wait + PEER_TIMEOUT;
        let reply = registry::within(timeout, call).await;
        // After a pause of this process, a reply that was sent long ago would look fresh.
        if self.core.boot_time().saturating_sub(start) > timeout + TIMER_SLACK {
            return Err(RegistryError::timed_out(timeout));
        }
        reply
    }

    /// Whether a reply does not take this host back: neither to an earlier position, nor to
    /// a state from which changes are missing that this host has.
    fn is_not_behind(&self, reply: &SyncReply) -> bool {
        reply.cursor.position >= self.applied && reply.settled_position() >= self.settled
    }

    /// Applies the events of another host. Nothing is applied if one cannot be
    /// decoded.
    fn apply_reply(
        &mut self,
        source: &str,
        reply: SyncReply,
        now: Instant,
    ) -> Result<(), PackedError> {
        let settled = reply.settled_position();
        let unpacked = packed::unpack_list(&reply.events).inspect_err(|error| {
            let error = error.to_string();
            spdlog::error!(
                "cannot decode registry events of another host; ignoring its reply",
                kv: { error = error.as_str() }
            );
        })?;
        let Unpacked { events, skipped } = unpacked;
        if let Some(kind) = skipped.first() {
            self.core.metrics.count("events.unknown");
            let (kind, events) = (&**kind, skipped.len());
            spdlog::debug!("skipping events of another host's later version", kv: { kind, events, source });
        }
        let synced_at = reply.age_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        if let Some(at) = synced_at {
            self.record_contact(source, at);
        }
        let position = reply.cursor.position;
        self.advance(source, position, reply.exact_from());
        self.cursor = reply.cursor;
        self.source_settled = settled;
        let batch = Batch { source: source.into(), position, events, full: reply.full };
        let is_complete = self.replica.apply_events(batch);
        self.has_state = true;
        if !is_complete {
            // The next poll requests the full state.
            self.cursor = Cursor::default();
            return Ok(());
        }
        if let Some(at) = synced_at {
            self.mark_synced(at);
        }
        Ok(())
    }

    fn mark_synced(&self, at: Instant) {
        self.journal.mark_synced(at);
        let mut state = self.core.state();
        state.synced_at = state.synced_at.max(Some(at));
    }

    /// Lets the replica expire what is over, settles the position if nothing is held back,
    /// and stops recording events when no other host polls this one any more.
    fn expire(&mut self) {
        let now = self.core.now();
        self.replica.expire(now);
        if self.replica.is_settled() {
            self.settled = self.settled.max(self.source_settled);
            self.journal.settle(self.settled);
        }
        if now >= self.journal_check_at {
            self.journal_check_at = now + JOURNAL_CHECK_INTERVAL;
            self.has_followers = self.journal.is_polled(now);
            if !self.has_followers {
                self.journal.stop_recording();
            }
        }
    }
}

fn is_recent(reply: &SyncReply, stale: Duration) -> bool {
    reply.age_ms.is_some_and(|a| Duration::from_millis(a) < stale)
}

/// Shows at a fixed interval that the process runs, to detect pauses.
pub async fn watch_for_pauses(core: Arc<Core>) {
    loop {
        core.tick();
        time::sleep(pause::TICK_INTERVAL).await;
    }
}

/// Periodically closes connections to backend servers that have been idle for
/// too long.
pub async fn prune_connections(core: Arc<Core>) {
    loop {
        time::sleep(PRUNE_INTERVAL).await;
        let now = core.now();
        core.pools().prune(now);
    }
}
