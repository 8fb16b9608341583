//! Connections to peers, opened on demand and shared.

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

/// Interval of pings on an otherwise idle connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// A connection without any traffic for this long is closed.
const INACTIVE_LIMIT: Duration = Duration::from_millis(1500);

/// Results of one subscription that may wait to be read. A batch yields at
/// most one result for each of its attempts, and a query has at most 65,536.
const SUBSCRIPTION_BUFFER: usize = 65_536;

/// Why a peer could not be connected.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The secret cannot stand in a header.
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

/// Opens a connection to a peer.
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
        .inactive_limit(INACTIVE_LIMIT)
        .max_failures(1);
    WsClientBuilder::default()
        .set_headers(headers)
        .connection_timeout(timeout)
        .request_timeout(Duration::from_secs(30))
        .max_concurrent_requests(65_536)
        .max_buffer_capacity_per_subscription(SUBSCRIPTION_BUFFER)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .enable_ws_ping(ping)
        .build(format!("ws://{address}"))
        .await
        .context(ConnectSnafu { address })
}

type Slot = Arc<OnceCell<Arc<WsClient>>>;

/// One shared connection for each peer.
#[derive(Debug)]
pub struct PeerPool {
    secret: Secret,
    timeout: Duration,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl PeerPool {
    /// Creates an empty set; `timeout` bounds each connection attempt.
    pub fn new(secret: Secret, timeout: Duration) -> PeerPool {
        PeerPool { secret, timeout, slots: Mutex::default() }
    }

    /// Returns a live connection, opening one when there is none.
    pub async fn get(&self, address: SocketAddr) -> Result<Arc<WsClient>, ConnectError> {
        let slot = self.live_slot(address).await;
        let client = slot.get_or_try_init(|| async {
            connect(address, &self.secret, self.timeout).await.map(Arc::new)
        });
        client.await.cloned()
    }

    /// Closes the connection to a peer, so that the next call opens a new one.
    pub async fn evict(&self, address: SocketAddr) {
        self.slots.lock().await.remove(&address);
    }

    async fn live_slot(&self, address: SocketAddr) -> Slot {
        let mut slots = self.slots.lock().await;
        let slot = slots.entry(address).or_default();
        if slot.get().is_some_and(|c| !c.is_connected()) {
            *slot = Slot::default();
        }
        slot.clone()
    }
}
