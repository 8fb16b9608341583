//! Membership decisions: votes, quorum leases, changes of the member list and
//! ownership of groups.
//!
//! The crate performs no I/O and reads no clock: calls take the current time
//! as `now`.

use std::time::Duration;

pub mod change;
mod host_vote;
mod hostset;
pub mod membership;
pub mod owner;
mod quorum;
pub mod rendezvous;
mod tally;
mod voter;

/// Interval at which a host sends a heartbeat to each host of the member list.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a heartbeat after which a voter denies a host.
pub const DOWN_AFTER: Duration = Duration::from_secs(1);

/// Time for which a vote binds its voter, counted from the send time of the
/// heartbeat that it answers.
pub const QUORUM_LEASE: Duration = Duration::from_millis(1200);

/// Safety margin by which a candidate counts a vote shorter than its voter
/// does: their clocks may run at rates that differ by up to 0.8%.
const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(10);

/// Shortest remaining time of a denial for which the host is put on the `down`
/// list of a lease. The lease ends with the first of the denials it relies on,
/// so a denial about to end would cut it too short.
const MIN_LEASE: Duration = Duration::from_millis(300);
