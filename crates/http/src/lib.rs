//! Reading of HTTP/1.1 replies: their grammar, and limits on the memory that they take. Used by
//! all clients of backend servers, of the registry and of other hosts.

pub mod body;
pub mod error;
pub mod grammar;
pub mod memory;
pub mod reader;
