//! Messages between chervillink's own processes, and how they travel:
//! JSON-RPC over WebSocket, with a shared secret presented at the handshake.

pub mod agent;
pub mod client;
pub mod gate;
pub mod secret;
pub mod server;
