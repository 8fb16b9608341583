//! Reverse proxy of one host: accepts requests from callers, forwards them to
//! the backend servers that `chervil-route` selects and returns the replies.
//! Also replicates the registry, from the registry itself or from another host,
//! and serves its events to other hosts.

pub mod answer;
pub mod attempt;
pub mod client;
pub mod core;
pub mod crashes;
pub mod exchange;
pub mod execute;
pub mod exposition;
pub mod follow;
pub mod gather;
pub mod handle;
pub mod head;
pub mod host;
pub mod journal;
pub mod links;
pub mod listen;
pub mod logs;
pub mod losses;
pub mod metrics;
pub mod names;
pub mod outgoing;
pub mod packed;
pub mod peers;
pub mod pool;
pub mod ready;
pub mod registration;
pub mod registry;
pub mod relay;
pub mod relay_service;
pub mod relayed;
pub mod replica;
pub mod reply;
pub mod single;
pub mod state;
pub mod watch;
