//! Membership decisions: votes, the quorum lease, the member list and its
//! changes, and ownership of groups.
//!
//! Nothing here performs I/O or reads a clock; every call takes `now`.

use std::time::Duration;

pub mod change;
mod hostset;
pub mod membership;
pub mod owner;
mod quorum;
pub mod rendezvous;
mod replies;
mod stance;
mod tally;

/// Interval of heartbeats to each host of the member list.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A host not heard for this long is voted down.
pub const DOWN_AFTER: Duration = Duration::from_secs(1);

/// How long a vote binds its voter, from the send time of the heartbeat that
/// it answers.
pub const QUORUM_LEASE: Duration = Duration::from_millis(1200);

/// By how much a candidate counts a vote shorter than its voter does, because
/// their clocks may run at rates that differ by up to 0.8%.
const RATE_MARGIN: Duration = Duration::from_millis(10);

/// A host whose denial ends sooner than this is left out of the `down` list,
/// because the lease of a gate cannot outlast the denials that it rests on.
const MIN_LEASE: Duration = Duration::from_millis(300);
