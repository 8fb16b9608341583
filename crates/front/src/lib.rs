//! Data path of one host: takes requests from callers, sends them to backend
//! servers and answers, by the decisions of `chervil-route`.

pub mod answer;
pub mod attempt;
pub mod client;
pub mod core;
pub mod exchange;
pub mod follow;
pub mod gather;
pub mod handle;
pub mod host;
pub mod journal;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod names;
pub mod outgoing;
pub mod packed;
pub mod peers;
pub mod pool;
pub mod ready;
pub mod registration;
pub mod registry;
pub mod reply;
pub mod single;
pub mod state;
