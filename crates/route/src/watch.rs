//! Requests that backend servers may still be executing although no host waits for their answers.
//!
//! Load pattern: callers that leave early, hedges that win and answers that leave out a late shard,
//! up to some hundred a second on a host. The connection is closed at once, so that the server
//! can stop, but not every server does: it may execute the request until its deadline, and crash
//! meanwhile.
//!
//! While servers are slow, a host abandons requests at most of them at the same time. Connections
//! that it opens only to watch them would load servers that are late already, so that their number
//! is limited. Requests that have lost a server before do not wait for it.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;

use crate::fleet::BackendKey;

/// Most requests that are watched at one server. Servers execute fewer at a time; the oldest is
/// dropped.
const MAX_PER_SERVER: usize = 64;

/// Most servers at which requests are watched.
const MAX_SERVERS: usize = 2_048;

/// Longest time for which a request is watched, whatever its deadline.
pub const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// Connections a second that a host opens only to watch servers: two for each send of a few
/// callers that leave early.
const CONNECTS_PER_SECOND: f64 = 5.0;

/// Such connections that it may open at once.
const CONNECT_BURST: f64 = 10.0;

/// Pause after a server did not turn out to have crashed, before it is connected to again.
const CONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Time by which a server may exceed the deadline of a request.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

value! {
    /// A request that was sent to a server and whose answer is not awaited any more.
    pub struct Abandoned<Request> {
        /// What the host keeps of the request.
        pub request: Request,
        /// Time at which it was sent.
        pub sent_at: Instant,
        /// Time until which the server may execute it.
        pub until: Instant,
    }
}

impl<Request> Abandoned<Request> {
    /// A request that was sent at `sent_at` with this time left until its deadline.
    pub fn new(request: Request, sent_at: Instant, left: Duration) -> Abandoned<Request> {
        let until = sent_at + (left + DEADLINE_SLACK).min(MAX_WATCH_TIME);
        Abandoned { request, sent_at, until }
    }
}

/// Abandoned requests by the server that may be executing them.
#[derive(Debug)]
pub struct WatchList<Request> {
    servers: HashMap<BackendKey, Vec<Abandoned<Request>>>,
}

impl<Request> Default for WatchList<Request> {
    fn default() -> WatchList<Request> {
        WatchList { servers: HashMap::default() }
    }
}

impl<Request> WatchList<Request> {
    /// Watches a request at a server. Returns false if it, or an older one in its place, is not
    /// watched because there are too many.
    pub fn add(&mut self, server: BackendKey, abandoned: Abandoned<Request>) -> bool {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            return false;
        }
        let requests = self.servers.entry(server).or_default();
        let is_full = requests.len() >= MAX_PER_SERVER;
        if is_full {
            requests.remove(0);
        }
        requests.push(abandoned);
        !is_full
    }

    /// Whether no request is watched.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The servers at which requests are watched.
    pub fn servers(&self) -> Vec<BackendKey> {
        self.servers.keys().copied().collect()
    }

    /// The requests that are watched at a server.
    pub fn requests(&self, server: BackendKey) -> impl Iterator<Item = &Request> {
        self.servers.get(&server).into_iter().flatten().map(|abandoned| &abandoned.request)
    }

    /// Ends the watch of the requests that a server cannot be executing any more, as it was sound
    /// at `sound_at`, and returns them.
    pub fn end_sound(&mut self, server: BackendKey, sound_at: Instant) -> Vec<Abandoned<Request>> {
        let Some(requests) = self.servers.get_mut(&server) else { return Vec::new() };
        let ended = requests.extract_if(.., |r| r.until <= sound_at).collect();
        if requests.is_empty() {
            self.servers.remove(&server);
        }
        ended
    }

    /// Ends the watch at a server and returns its requests, the latest one first.
    pub fn take(&mut self, server: BackendKey) -> Vec<Abandoned<Request>> {
        let mut requests = self.servers.remove(&server).unwrap_or_default();
        requests.reverse();
        requests
    }

    /// Ends the watch at all servers and returns the requests.
    pub fn take_all(&mut self) -> Vec<(BackendKey, Abandoned<Request>)> {
        let servers = std::mem::take(&mut self.servers);
        let with_server = |(server, requests): (BackendKey, Vec<Abandoned<Request>>)| {
            requests.into_iter().map(move |request| (server, request))
        };
        servers.into_iter().flat_map(with_server).collect()
    }

    /// Ends the watch of requests whose server has shown no sign within `timeout` after the time for
    /// which it may have executed them. Returns how many.
    pub fn expire(&mut self, timeout: Duration, now: Instant) -> usize {
        let mut expired = 0;
        self.servers.retain(|_, requests| {
            let before = requests.len();
            requests.retain(|r| r.until + timeout > now);
            expired += before - requests.len();
            !requests.is_empty()
        });
        expired
    }
}

/// Limits the rate of connections that are opened only to watch servers.
#[derive(Debug)]
pub struct ConnectBudget {
    connects: f64,
    refilled_at: Option<Instant>,
}

impl Default for ConnectBudget {
    fn default() -> ConnectBudget {
        ConnectBudget { connects: CONNECT_BURST, refilled_at: None }
    }
}

impl ConnectBudget {
    /// Spends a connection. Returns false if none is left.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let time = now.saturating_duration_since(refilled_at).as_secs_f64();
        self.connects = (self.connects + time * CONNECTS_PER_SECOND).min(CONNECT_BURST);
        let may_spend = self.connects >= 1.0;
        if may_spend {
            self.connects -= 1.0;
        }
        may_spend
    }
}

value! {
    /// What the connections to a server show of it.
    #[derive(Copy, Eq)]
    pub enum LinkState {
        /// An idle connection is open.
        Open,
        /// All open connections are executing requests.
        Busy,
        /// There is none, or the server has closed the idle ones.
        Closed,
    }

    /// What the registry says of a server.
    #[derive(Copy, Eq)]
    pub enum Presence {
        /// It is listed.
        Present,
        /// It is listed, and resets new connections.
        AtLimit,
        /// It leaves, as planned.
        Leaving,
        /// Its entry was removed, or is another instance's.
        Gone,
    }

    /// What a host sees of a server that it watches.
    #[derive(Copy, Eq)]
    pub struct Observation {
        /// What the connections show.
        pub link: LinkState,
        /// What the registry says.
        pub presence: Presence,
        /// Whether its crash is being confirmed.
        pub is_suspected: bool,
        /// Whether a request that is watched at it has lost a server before.
        pub has_lost_server: bool,
    }

    /// What a host does about a server that it watches.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// The server is sound: the watch of requests past their deadlines ends.
        EndSound,
        /// Nothing for now.
        Wait,
        /// Nothing, as no connection may be opened only to watch a server.
        WaitForConnect,
        /// The watch at the server ends without a result.
        Drop,
        /// The server is connected to. A refusal leads to the search for its crash.
        Connect,
    }

    /// The watch over one server.
    pub struct ServerWatch {
        /// Time from which it may be connected to.
        connect_at: Instant,
        /// Whether it has said that it leaves: its end is no crash then.
        leaves: bool,
        /// Whether it has been connected to after its entry was removed.
        is_last_check: bool,
    }
}

impl ServerWatch {
    /// The watch over a server that may be connected to.
    pub fn new(now: Instant) -> ServerWatch {
        ServerWatch { connect_at: now, leaves: false, is_last_check: false }
    }

    /// What to do about the server now.
    pub fn next(
        &mut self,
        observation: Observation,
        connects: &mut ConnectBudget,
        now: Instant,
    ) -> Step {
        let Observation { link, presence, is_suspected, has_lost_server } = observation;
        self.leaves |= presence == Presence::Leaving;
        match link {
            LinkState::Open => {
                self.connect_at = now;
                Step::EndSound
            }
            // The attempt that is being executed shows a crash.
            LinkState::Busy => Step::Wait,
            LinkState::Closed if is_suspected => Step::Wait,
            // Its end is planned, or it is gone and not known to have crashed.
            LinkState::Closed if self.leaves || self.is_last_check => Step::Drop,
            LinkState::Closed if presence == Presence::AtLimit || self.connect_at > now => {
                Step::Wait
            }
            LinkState::Closed if !has_lost_server && !connects.try_spend(now) => {
                Step::WaitForConnect
            }
            LinkState::Closed => {
                self.connect_at = now + CONNECT_PAUSE;
                self.is_last_check = presence == Presence::Gone;
                Step::Connect
            }
        }
    }
}
