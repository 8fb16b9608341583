//! Pool of the connections to one backend server.

use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;

use crate::types::ConnKey;
use crate::types::ServerKey;
use crate::types::WorkKey;

/// Time for which the server may still count a connection after it was closed.
const CLOSE_LINGER: Duration = Duration::from_millis(20);

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnState {
    /// Being opened.
    Opening,
    /// Ready for a request.
    Idle,
    /// Runs an item.
    Busy(WorkKey),
    /// Runs an item that a later attempt replaces; closed when the item ends, as
    /// the connection itself may have stalled.
    Retiring(WorkKey),
    /// Runs a status request.
    Probing,
}

/// One connection.
#[derive(Clone, Debug)]
pub(crate) struct Conn {
    pub(crate) server: ServerKey,
    pub(crate) state: ConnState,
    /// When the server last replied on the connection, or when opening it began.
    pub(crate) verified_at: Instant,
}

/// All connections of a gate.
pub(crate) type Conns = SlotMap<ConnKey, Conn>;

/// Connections to one backend server, in the order in which they were opened.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    keys: Vec<ConnKey>,
    /// When connections were closed that the server may still count.
    closed_at: Vec<Instant>,
}

impl Pool {
    /// Adds a connection in the state [`ConnState::Opening`].
    pub(crate) fn add_opening(
        &mut self,
        conns: &mut Conns,
        server: ServerKey,
        now: Instant,
    ) -> ConnKey {
        let key = conns.insert(Conn { server, state: ConnState::Opening, verified_at: now });
        self.keys.push(key);
        key
    }

    /// Removes a connection; the server may count it for [`CLOSE_LINGER`] more.
    pub(crate) fn remove(&mut self, conns: &mut Conns, key: ConnKey, now: Instant) {
        conns.remove(key);
        self.keys.retain(|k| *k != key);
        self.closed_at.push(now);
    }

    /// Keys of all connections, in any state.
    pub(crate) fn keys(&self) -> &[ConnKey] {
        &self.keys
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of connections that the server may count: all open ones, those
    /// being opened and those closed within [`CLOSE_LINGER`].
    pub(crate) fn occupied(&mut self, now: Instant) -> usize {
        self.closed_at.retain(|c| *c + CLOSE_LINGER > now);
        self.keys.len() + self.closed_at.len()
    }

    /// Number of connections being opened; with `since`, only those on which opening
    /// began at that time or later.
    pub(crate) fn count_opening(&self, conns: &Conns, since: Option<Instant>) -> usize {
        let opening = self.keys.iter().map(|k| &conns[*k]);
        let opening = opening.filter(|c| c.state == ConnState::Opening);
        opening.filter(|c| since.is_none_or(|s| c.verified_at >= s)).count()
    }

    /// Whether a status request is in flight. Opening a connection includes one.
    pub(crate) fn is_status_pending(&self, conns: &Conns) -> bool {
        let mut states = self.keys.iter().map(|k| conns[*k].state);
        states.any(|s| matches!(s, ConnState::Opening | ConnState::Probing))
    }

    /// Idle connections on which the server last replied at `verified_at` or
    /// earlier. When a connection with that time turns out to be dead, these may be
    /// dead, too.
    pub(crate) fn stale_idle(&self, conns: &Conns, verified_at: Instant) -> Vec<ConnKey> {
        self.idle(conns).filter(|k| conns[*k].verified_at <= verified_at).collect()
    }

    /// Idle connection on which the server replied last; with `after`, only if that
    /// was later than `after`.
    pub(crate) fn newest_idle(&self, conns: &Conns, after: Option<Instant>) -> Option<ConnKey> {
        let idle = self.idle(conns).filter(|k| after.is_none_or(|a| conns[*k].verified_at > a));
        idle.max_by_key(|k| conns[*k].verified_at)
    }

    /// Idle connection on which the server has not replied for the longest time.
    pub(crate) fn oldest_idle(&self, conns: &Conns) -> Option<ConnKey> {
        self.idle(conns).min_by_key(|k| conns[*k].verified_at)
    }

    pub(crate) fn idle<'a>(&'a self, conns: &'a Conns) -> impl Iterator<Item = ConnKey> + 'a {
        self.keys.iter().copied().filter(|k| conns[*k].state == ConnState::Idle)
    }
}
