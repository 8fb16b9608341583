//! The entry: HTTP interface for callers. It plans queries, asks the gates and
//! merges their replies; it opens no connection to a backend server.

pub mod caller;
pub mod canary;
pub mod directory;
pub mod entry;
pub mod http;
pub mod once;
pub mod query;
pub mod refresh;
pub mod respond;
pub mod routes;
pub mod settings;
pub mod start;
pub mod view;
