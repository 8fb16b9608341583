//! Decisions of one host: route matching, backend server selection, hedging,
//! retry budgets, limits that backend servers name, merging of shard results,
//! detection of degraded backend servers and of requests that crash them, and the
//! choice of the upstream for registry updates, and outages of the registry.
//!
//! The crate performs no I/O and does not read the clock; callers pass in the
//! current time.

pub mod admission;
pub mod attempts;
pub mod budget;
pub mod config;
pub mod crashes;
pub mod degradation;
pub mod fleet;
pub mod health;
pub mod history;
pub mod latency;
pub mod links;
pub mod merge;
pub mod obstacle;
pub mod outage;
pub mod pause;
pub mod peers;
pub mod progress;
pub mod relay;
pub mod restore;
pub mod retry_after;
pub mod round_robin;
pub mod server_limit;
pub mod server_pause;
pub mod stop;
pub mod warmup;
pub mod watch;
