//! Connections to backend servers: protocol-independent traits, and their
//! implementation for the HTTP/1.1 protocol of `chervil-standin`.

pub mod connection;
pub mod http;

mod wire;
