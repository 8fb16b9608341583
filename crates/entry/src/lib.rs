//! The entry: HTTP interface for callers. It plans queries, asks the gates and
//! merges their replies; it opens no connection to a backend server.

pub mod canary;
pub mod directory;
pub mod entry;
pub mod handlers;
pub mod http;
pub mod query;
pub mod refresh;
pub mod response;
pub mod run;
pub mod settings;
pub mod start;
pub mod validate;
pub mod view;
