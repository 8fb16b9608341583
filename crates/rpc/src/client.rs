//! Client connections to other processes, opened on demand and shared.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::HashMap;
use http::header::InvalidHeaderValue;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::ws_client::HeaderMap;
use jsonrpsee::ws_client::HeaderValue;
use jsonrpsee::ws_client::PingConfig;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::sync::Mutex;
use tokio::sync::OnceCell;

use crate::secret::Secret;

/// Largest message between processes, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// Interval of WebSocket pings on an otherwise idle connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// A connection without any traffic for this long is closed.
const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout of one request on an open connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Most requests in progress on one connection.
const MAX_CONCURRENT_REQUESTS: usize = 65_536;

/// Unread results that are buffered for one subscription. A batch yields at
/// most one result for each of its attempts, and a query has at most 65,536
/// attempts.
const SUBSCRIPTION_BUFFER: usize = 65_536;

/// Why a connection to a peer could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The secret contains bytes that a header must not contain.
    #[snafu(display("the shared secret cannot be sent in a header; use printable ASCII only"))]
    Header {
        /// Cause.
        source: InvalidHeaderValue,
    },
    /// The connection failed or was refused.
    #[snafu(display(
        "cannot connect to {address}: {source}; check that the process runs and has the same secret"
    ))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        #[snafu(source(from(RpcError, Box::new)))]
        source: Box<RpcError>,
    },
}

/// Opens a connection to a peer; `timeout` limits the connection attempt.
pub async fn connect(
    address: SocketAddr,
    secret: &Secret,
    timeout: Duration,
) -> Result<WsClient, ConnectError> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&secret.header()).context(HeaderSnafu)?;
    headers.insert("authorization", value);
    let ping = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(INACTIVITY_TIMEOUT)
        .max_failures(1);
    WsClientBuilder::default()
        .set_headers(headers)
        .connection_timeout(timeout)
        .request_timeout(REQUEST_TIMEOUT)
        .max_concurrent_requests(MAX_CONCURRENT_REQUESTS)
        .max_buffer_capacity_per_subscription(SUBSCRIPTION_BUFFER)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .enable_ws_ping(ping)
        .build(format!("ws://{address}"))
        .await
        .context(ConnectSnafu { address })
}

/// Connection that is opened by its first user; later users wait for it.
type ClientCell = Arc<OnceCell<Arc<WsClient>>>;

/// Pool with one shared connection for each peer.
#[derive(Debug)]
pub struct PeerPool {
    secret: Secret,
    timeout: Duration,
    cells: Mutex<HashMap<SocketAddr, ClientCell>>,
}

impl PeerPool {
    /// Creates an empty pool; `timeout` limits each connection attempt.
    pub fn new(secret: Secret, timeout: Duration) -> PeerPool {
        PeerPool { secret, timeout, cells: Mutex::default() }
    }

    /// Returns a live connection, opening one when there is none.
    pub async fn get(&self, address: SocketAddr) -> Result<Arc<WsClient>, ConnectError> {
        let cell = self.live_cell(address).await;
        let client = cell.get_or_try_init(|| async {
            connect(address, &self.secret, self.timeout).await.map(Arc::new)
        });
        client.await.cloned()
    }

    /// Removes the connection to a peer from the pool, so that the next call of
    /// [`PeerPool::get`] opens a new one.
    pub async fn evict(&self, address: SocketAddr) {
        self.cells.lock().await.remove(&address);
    }

    /// Returns the peer's cell, or an empty one when its connection is closed.
    async fn live_cell(&self, address: SocketAddr) -> ClientCell {
        let mut cells = self.cells.lock().await;
        let cell = cells.entry(address).or_default();
        if cell.get().is_some_and(|c| !c.is_connected()) {
            *cell = ClientCell::default();
        }
        cell.clone()
    }
}
