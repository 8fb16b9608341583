//! Loopback TCP proxy that injects network faults: delays, resets, one-way
//! partitions and black holes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time;

/// Delay of each chunk that is read on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);

/// Network fault on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// No fault.
    Open,
    /// Each chunk is delayed in both directions.
    Slow,
    /// Open connections are dropped and new ones closed at once.
    Reset,
    /// One-way partition: bytes to the server are held back until the mode
    /// changes; bytes from the server pass.
    OneWay,
    /// The same in the other direction: requests arrive, and replies are held back.
    OneWayBack,
    /// Bytes are swallowed, and a connection on which some were swallowed stays
    /// silent in that direction even after the mode changes.
    Blackhole,
}

/// Proxy in front of one server.
#[derive(Clone, Debug)]
pub struct Proxy {
    mode: Arc<watch::Sender<LinkMode>>,
    /// Address at which it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy in front of `server`.
    pub async fn start(server: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(LinkMode::Open));
        let proxy = Proxy { mode: mode.clone(), address };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, server, mode.subscribe()));
            }
        });
        Ok(proxy)
    }

    /// Sets the network fault on the link.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(stream: TcpStream, server: SocketAddr, mode: watch::Receiver<LinkMode>) {
    if *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(upstream) = TcpStream::connect(server).await else { return };
    let (client_read, client_write) = stream.into_split();
    let (server_read, server_write) = upstream.into_split();
    tokio::select! {
        () = copy_direction(client_read, server_write, mode.clone(), true) => {}
        () = copy_direction(server_read, client_write, mode.clone(), false) => {}
        () = wait_for_reset(mode) => {}
    }
}

async fn wait_for_reset(mut mode: watch::Receiver<LinkMode>) {
    // Fails only if the sender is dropped, but it lives as long as the proxy.
    let _ = mode.wait_for(|m| *m == LinkMode::Reset).await;
}

/// Copies bytes in one direction until either side closes. Once a chunk is read
/// in `LinkMode::Blackhole`, this never completes.
async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    to_server: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        let current = *mode.borrow_and_update();
        match current {
            LinkMode::Slow => time::sleep(SLOW_LINK_DELAY).await,
            LinkMode::Blackhole => std::future::pending().await,
            LinkMode::OneWay if to_server => {
                let _ = mode.wait_for(|m| *m != LinkMode::OneWay).await;
            }
            LinkMode::OneWayBack if !to_server => {
                let _ = mode.wait_for(|m| *m != LinkMode::OneWayBack).await;
            }
            LinkMode::Open | LinkMode::Reset | LinkMode::OneWay | LinkMode::OneWayBack => {}
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
