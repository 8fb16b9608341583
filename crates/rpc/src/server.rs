//! RPC server that rejects clients without the shared secret.

use std::io;
use std::net::SocketAddr;

use jsonrpsee::Methods;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::client::MAX_MESSAGE_BYTES;
use crate::secret::Secret;

mod auth;

/// Most open connections of one server.
const MAX_CONNECTIONS: u32 = 8192;

/// Most subscriptions on one connection; each batch of a query is one.
const MAX_SUBSCRIPTIONS: u32 = 65_536;

/// Unsent messages that are buffered for one connection.
const MESSAGE_BUFFER: u32 = 65_536;

/// Why a server could not be started.
#[derive(Debug, Snafu)]
#[snafu(display(
    "cannot listen on {address}: {source}; set `listen` to a free address of this host"
))]
pub struct ServeError {
    address: SocketAddr,
    source: io::Error,
}

/// A running server; it stops when [`ServerHandle::stop`] is called or all
/// handles are dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Address that the server listens on, with the port that was bound.
    pub address: SocketAddr,
    /// Stops the server.
    pub handle: ServerHandle,
}

/// Serves `methods` on `address` to clients that present `secret`.
pub async fn serve<M>(
    address: SocketAddr,
    secret: &Secret,
    methods: M,
) -> Result<RunningServer, ServeError>
where
    M: Into<Methods>,
{
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .max_subscriptions_per_connection(MAX_SUBSCRIPTIONS)
        .set_message_buffer_capacity(MESSAGE_BUFFER)
        .enable_ws_ping(PingConfig::new())
        .build();
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(
            tower::ServiceBuilder::new().layer(auth::AuthLayer::new(secret.clone())),
        )
        .build(address)
        .await
        .context(ServeSnafu { address })?;
    let address = server.local_addr().context(ServeSnafu { address })?;
    Ok(RunningServer { address, handle: server.start(methods) })
}
