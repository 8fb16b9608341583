//! The entry serves callers over HTTP. It plans queries, sends sub-requests to
//! the gates and merges their replies. Only gates connect to backend servers.

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
