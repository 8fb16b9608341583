//! Connections to one backend server.

use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;

use crate::types::ConnKey;
use crate::types::ServerKey;
use crate::types::WorkKey;

/// Time in which a closed connection still counts at the server.
const CLOSE_LINGER: Duration = Duration::from_millis(20);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnState {
    /// Being opened.
    Opening,
    /// Ready for a request.
    Idle,
    /// Runs an item.
    Busy(WorkKey),
    /// Runs an item that has stalled; closed when the item ends.
    Aside(WorkKey),
    /// Runs a status request.
    Probing,
}

/// One connection.
#[derive(Clone, Debug)]
pub(crate) struct Conn {
    pub(crate) server: ServerKey,
    pub(crate) state: ConnState,
    /// When the server last replied on it, or when opening began.
    pub(crate) proven: Instant,
}

/// All connections of a gate.
pub(crate) type Conns = SlotMap<ConnKey, Conn>;

/// Keys of the connections to one backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    keys: Vec<ConnKey>,
    closed: Vec<Instant>,
}

impl Pool {
    /// Adds a connection that is being opened.
    pub(crate) fn open(&mut self, conns: &mut Conns, server: ServerKey, now: Instant) -> ConnKey {
        let key = conns.insert(Conn { server, state: ConnState::Opening, proven: now });
        self.keys.push(key);
        key
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, conns: &mut Conns, key: ConnKey, now: Instant) {
        conns.remove(key);
        self.keys.retain(|k| *k != key);
        self.closed.push(now);
    }

    /// Keys of all connections.
    pub(crate) fn keys(&self) -> &[ConnKey] {
        &self.keys
    }

    /// Whether there is no connection.
    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Connections that count at the server, including those being opened and
    /// those just closed.
    pub(crate) fn used(&mut self, now: Instant) -> usize {
        self.closed.retain(|c| *c + CLOSE_LINGER > now);
        self.keys.len() + self.closed.len()
    }

    /// Number of connections that are being opened since `since` or later.
    pub(crate) fn opening(&self, conns: &Conns, since: Option<Instant>) -> usize {
        let opening = self.keys.iter().map(|k| &conns[*k]);
        let opening = opening.filter(|c| c.state == ConnState::Opening);
        opening.filter(|c| since.is_none_or(|s| c.proven >= s)).count()
    }

    /// Whether a status request is under way.
    pub(crate) fn is_asking(&self, conns: &Conns) -> bool {
        let mut states = self.keys.iter().map(|k| conns[*k].state);
        states.any(|s| matches!(s, ConnState::Opening | ConnState::Probing))
    }

    /// Idle connections that proved themselves no later than `proven`; when
    /// one of that age is found dead, these are in doubt.
    pub(crate) fn doubtful(&self, conns: &Conns, proven: Instant) -> Vec<ConnKey> {
        self.idle(conns).filter(|k| conns[*k].proven <= proven).collect()
    }

    /// Idle connection that proved itself last, if that was after `after`.
    pub(crate) fn newest(&self, conns: &Conns, after: Option<Instant>) -> Option<ConnKey> {
        let idle = self.idle(conns).filter(|k| after.is_none_or(|a| conns[*k].proven > a));
        idle.max_by_key(|k| conns[*k].proven)
    }

    /// Idle connection that proved itself longest ago.
    pub(crate) fn oldest(&self, conns: &Conns) -> Option<ConnKey> {
        self.idle(conns).min_by_key(|k| conns[*k].proven)
    }

    /// Idle connections.
    pub(crate) fn idle<'a>(&'a self, conns: &'a Conns) -> impl Iterator<Item = ConnKey> + 'a {
        self.keys.iter().copied().filter(|k| conns[*k].state == ConnState::Idle)
    }
}
