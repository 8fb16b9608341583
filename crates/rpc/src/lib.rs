//! Messages between chervillink's own processes and their transport: JSON-RPC
//! over WebSocket, with a shared secret checked during the handshake.

pub mod agent;
pub mod client;
pub mod gate;
pub mod secret;
pub mod server;
