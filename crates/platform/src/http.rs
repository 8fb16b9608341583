//! Adapters to a platform that offers its services over HTTP.

mod hosts;
mod store;
mod transport;

pub use hosts::HttpHosts;
pub use store::HttpStore;
pub use transport::HttpError;
pub use transport::HttpSettings;
