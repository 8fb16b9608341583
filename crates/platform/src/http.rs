//! Clients of the platform's HTTP interface.

mod hosts;
mod store;
mod transport;

pub use hosts::HttpHosts;
pub use store::HttpStore;
pub use transport::HttpError;
pub use transport::HttpSettings;
