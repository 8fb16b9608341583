//! TCP ports that serve HTTP/1.1 and can drop, refuse or reset connections.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

/// Largest request body that is read, in bytes; above the store's value limit.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Pause before a port that could not be bound again is tried once more.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// What a port does with new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListenMode {
    /// Serves them.
    #[default]
    Up,
    /// Accepts and resets them.
    Resetting,
    /// Does not listen.
    Down,
}

/// State of a port that its connections follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListenerState {
    mode: ListenMode,
    /// Connections of an older generation are dropped.
    generation: u64,
}

/// Changes how a port treats its connections.
#[derive(Clone, Debug)]
pub struct ListenerControl {
    state: Arc<watch::Sender<ListenerState>>,
}

impl Default for ListenerControl {
    fn default() -> ListenerControl {
        ListenerControl { state: Arc::new(watch::Sender::new(ListenerState::default())) }
    }
}

impl ListenerControl {
    /// Sets what happens to new connections.
    pub fn set_mode(&self, mode: ListenMode) {
        self.state.send_modify(|s| s.mode = mode);
    }

    /// Drops all open connections.
    pub fn reset_connections(&self) {
        self.state.send_modify(|s| s.generation += 1);
    }
}

/// One open connection.
#[derive(Debug)]
pub struct Connection {
    /// Address of the peer.
    pub peer: SocketAddr,
    silent: AtomicBool,
}

impl Connection {
    /// Makes the connection stay open without any further reply.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Whether the connection no longer replies.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }
}

/// A request as handlers see it.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: Box<str>,
    /// Query without the question mark.
    pub query: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Value of a header, when it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Value of a query parameter.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
    }
}

/// What a handler replies.
#[derive(Clone, Debug)]
pub enum HttpResponse {
    /// A status and a JSON body.
    Json(StatusCode, Vec<u8>),
    /// A status without a body.
    Empty(StatusCode),
    /// Nothing; the connection is closed.
    Close,
}

impl HttpResponse {
    /// JSON form of a value.
    pub fn json<T>(status: StatusCode, value: &T) -> HttpResponse
    where
        T: Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(body) => HttpResponse::Json(status, body),
            Err(_) => HttpResponse::Empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

/// What a port serves.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Replies to one request.
    async fn handle(&self, call: HttpRequest) -> HttpResponse;

    /// Admits a new connection; `None` refuses it by a reset.
    fn on_open(&self, _link: &Arc<Connection>) -> Option<Duration> {
        Some(Duration::ZERO)
    }

    /// Notes the end of a connection that was admitted.
    fn on_close(&self, _link: &Arc<Connection>) {}
}

/// A port being served; it stops when it is dropped.
#[derive(Debug)]
pub struct HttpServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    control: ListenerControl,
    task: JoinHandle<()>,
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.control.reset_connections();
        self.task.abort();
    }
}

impl HttpServer {
    /// Listens on `address` and serves `handler`.
    pub async fn start(
        address: SocketAddr,
        control: ListenerControl,
        handler: Arc<dyn Handler>,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(listen(listener, address, control.clone(), handler));
        Ok(HttpServer { address, control, task })
    }
}

async fn listen(
    listener: TcpListener,
    address: SocketAddr,
    control: ListenerControl,
    handler: Arc<dyn Handler>,
) {
    let mut listener = Some(listener);
    let mut state = control.state.subscribe();
    loop {
        if state.borrow_and_update().mode == ListenMode::Down {
            listener = None;
            if state.wait_for(|s| s.mode != ListenMode::Down).await.is_err() {
                return;
            }
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                time::sleep(REBIND_INTERVAL).await;
            }
            continue;
        };
        tokio::select! {
            _ = state.changed() => {}
            accepted = open.accept() => {
                if let Ok((stream, peer)) = accepted {
                    let link = Arc::new(Connection { peer, silent: AtomicBool::new(false) });
                    accept(stream, link, &control, &handler);
                }
            }
        }
    }
}

fn accept(
    stream: TcpStream,
    link: Arc<Connection>,
    control: &ListenerControl,
    handler: &Arc<dyn Handler>,
) {
    // A refused connection must end by a reset, not by an orderly close.
    let up = control.state.borrow().mode == ListenMode::Up;
    let Some(cost) = up.then(|| handler.on_open(&link)).flatten() else {
        reset(&stream);
        return;
    };
    let _ = stream.set_nodelay(true);
    let open = Open { link, handler: handler.clone() };
    tokio::spawn(connection(stream, open, cost, control.state.subscribe()));
}

/// Makes the drop of a stream send a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Tells the handler about the end of a connection, however it ends.
struct Open {
    link: Arc<Connection>,
    handler: Arc<dyn Handler>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.handler.on_close(&self.link);
    }
}

async fn connection(
    stream: TcpStream,
    open: Open,
    cost: Duration,
    mut state: watch::Receiver<ListenerState>,
) {
    let generation = state.borrow().generation;
    let dropped = async move {
        // Fails only when the port is gone, and then the connection ends too.
        let _ = state.wait_for(|s| s.generation != generation).await;
    };
    tokio::pin!(dropped);
    tokio::select! {
        () = time::sleep(cost) => {}
        () = &mut dropped => return reset(&stream),
    }
    let service = service_fn(|request| serve(request, &open));
    let mut served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        _ = &mut served => true,
        () = &mut dropped => false,
    };
    if !ended {
        reset(served.into_parts().io.inner());
    }
}

/// Ends a connection without a reply.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for Closed {}

async fn serve(request: Request<Incoming>, open: &Open) -> Result<Response<Full<Bytes>>, Closed> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| Closed)?.to_bytes();
    let call = HttpRequest {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body,
    };
    let answer = open.handler.handle(call).await;
    if open.link.is_silent() {
        return pending::<Result<_, Infallible>>().await.map_err(|_| Closed);
    }
    let (status, body) = match answer {
        HttpResponse::Json(status, body) => (status, body),
        HttpResponse::Empty(status) => (status, Vec::new()),
        HttpResponse::Close => return Err(Closed),
    };
    let reply = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
    reply.body(Full::new(Bytes::from(body))).map_err(|_| Closed)
}
