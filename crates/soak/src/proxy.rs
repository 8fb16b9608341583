//! Loopback proxy that delays, resets, cuts one way or silences connections.

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

/// Delay of each piece on a slow link.
const DELAY: Duration = Duration::from_millis(60);

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    Open,
    /// Bytes pass late.
    Slow,
    /// Connections are reset and new ones closed.
    Reset,
    /// Nothing passes towards the server.
    OneWay,
    /// Nothing passes, and open connections stay silent for good.
    Silent,
}

/// A proxy in front of one server.
#[derive(Clone, Debug)]
pub struct Proxy {
    link: Arc<watch::Sender<Link>>,
    /// Address at which it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy in front of `server`.
    pub async fn start(server: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Arc::new(watch::Sender::new(Link::Open));
        let proxy = Proxy { link: link.clone(), address };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, server, link.subscribe()));
            }
        });
        Ok(proxy)
    }

    /// Changes the state of the link.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn carry(stream: TcpStream, server: SocketAddr, link: watch::Receiver<Link>) {
    if *link.borrow() == Link::Reset {
        return;
    }
    let Ok(target) = TcpStream::connect(server).await else { return };
    let (from, to) = stream.into_split();
    let (back, forth) = target.into_split();
    tokio::select! {
        () = pump(from, forth, link.clone(), true) => {}
        () = pump(back, to, link.clone(), false) => {}
        () = reset(link) => {}
    }
}

async fn reset(mut link: watch::Receiver<Link>) {
    // The sender lives as long as the proxy.
    let _ = link.wait_for(|l| *l == Link::Reset).await;
}

/// Copies one direction. A silenced connection never speaks again.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    towards: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        let state = *link.borrow_and_update();
        match state {
            Link::Slow => time::sleep(DELAY).await,
            Link::Silent => std::future::pending().await,
            Link::OneWay if towards => {
                let _ = link.wait_for(|l| *l != Link::OneWay).await;
            }
            Link::Open | Link::Reset | Link::OneWay => {}
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
