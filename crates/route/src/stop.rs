//! Which requests a host takes that is about to stop.
//!
//! Load pattern: callers send on over open connections, and over connections that the load
//! balancer opened before it noticed the stop, until the process is gone. A request that is
//! still running then would be cut off, and its caller could not tell whether it ran. A caller
//! that is refused at once has time to go to another host.

use std::time::Duration;

/// Typical latencies that must be left for a request. Fewer than one in a hundred replies of
/// working servers take longer.
const LATENCY_FACTOR: u32 = 4;

/// Whether a request is taken `left` before the host stops. It may take up to `timeout`, and
/// takes `typical` mostly.
pub fn admits(left: Duration, timeout: Duration, typical: Duration) -> bool {
    timeout <= left || typical * LATENCY_FACTOR <= left
}
