//! HTTP/1.1 servers whose listener can be closed and whose connections can be
//! reset or made silent at run time, for fault injection.

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

/// Larger request bodies close the connection. Above the store's value limit of
/// 1 MB, so that an oversized value is answered with 413.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Delay between attempts to bind a port again, which fail while another process
/// holds it.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// How a server treats new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListenMode {
    /// Accepts and serves them.
    #[default]
    Up,
    /// Accepts them and closes them with a TCP reset.
    Resetting,
    /// Closes the listener, so that the system refuses them.
    Down,
}

/// Settings that the accept loop and the open connections observe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListenerState {
    mode: ListenMode,
    /// An increment resets the connections that were accepted before it.
    generation: u64,
}

/// Changes how a running server treats its connections; clones share the state.
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
    /// Applies to new connections only; open ones stay open.
    pub fn set_mode(&self, mode: ListenMode) {
        self.state.send_modify(|s| s.mode = mode);
    }

    /// Closes all open connections with a TCP reset.
    pub fn reset_connections(&self) {
        self.state.send_modify(|s| s.generation += 1);
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// Address of the peer.
    pub peer: SocketAddr,
    silent: AtomicBool,
}

impl Connection {
    /// Withholds all further responses; the connection stays open.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Whether responses are withheld.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }
}

/// A request whose body has been read.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Request method.
    pub method: Method,
    /// Path without the query string, still percent-encoded.
    pub path: Box<str>,
    /// Query string without the question mark; empty when absent.
    pub query: Box<str>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Value of a query parameter, still percent-encoded.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Result of a handler.
#[derive(Clone, Debug)]
pub enum HttpResponse {
    /// Status with a JSON body.
    Json(StatusCode, Vec<u8>),
    /// Status without a body.
    Empty(StatusCode),
    /// No response; the connection is closed.
    Close,
}

impl HttpResponse {
    /// Serialises `value` as the body; status 500 if that fails.
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

/// Application logic of an [`HttpServer`].
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: HttpRequest) -> HttpResponse;

    /// Called for each new connection. Returns the delay before its first
    /// request is read, or `None` to reset the connection.
    fn on_open(&self, _connection: &Arc<Connection>) -> Option<Duration> {
        Some(Duration::ZERO)
    }

    /// Called when a connection ends for which `on_open` returned a delay.
    fn on_close(&self, _connection: &Arc<Connection>) {}
}

/// A running server. Dropping it closes the listener and resets the open
/// connections.
#[derive(Debug)]
pub struct HttpServer {
    /// Bound address, with the port that the system chose for port 0.
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
    /// Binds `address` and serves requests with `handler`.
    pub async fn start(
        address: SocketAddr,
        control: ListenerControl,
        handler: Arc<dyn Handler>,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_loop(listener, address, control.clone(), handler));
        Ok(HttpServer { address, control, task })
    }
}

async fn accept_loop(
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
        let Some(bound) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                time::sleep(REBIND_INTERVAL).await;
            }
            continue;
        };
        tokio::select! {
            _ = state.changed() => {}
            accepted = bound.accept() => {
                if let Ok((stream, peer)) = accepted {
                    let connection = Arc::new(Connection { peer, silent: AtomicBool::new(false) });
                    accept(stream, connection, &control, &handler);
                }
            }
        }
    }
}

fn accept(
    stream: TcpStream,
    connection: Arc<Connection>,
    control: &ListenerControl,
    handler: &Arc<dyn Handler>,
) {
    // Like a real server at its connection limit, refuse with a reset rather
    // than with an orderly close.
    let up = control.state.borrow().mode == ListenMode::Up;
    let Some(delay) = up.then(|| handler.on_open(&connection)).flatten() else {
        reset_on_drop(&stream);
        return;
    };
    let _ = stream.set_nodelay(true);
    let guard = ConnectionGuard { connection, handler: handler.clone() };
    tokio::spawn(serve_connection(stream, guard, delay, control.state.subscribe()));
}

/// Makes the stream send a TCP reset instead of a FIN when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Calls [`Handler::on_close`] when the connection ends, for whatever reason.
struct ConnectionGuard {
    connection: Arc<Connection>,
    handler: Arc<dyn Handler>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.handler.on_close(&self.connection);
    }
}

async fn serve_connection(
    stream: TcpStream,
    guard: ConnectionGuard,
    delay: Duration,
    mut state: watch::Receiver<ListenerState>,
) {
    let generation = state.borrow().generation;
    let reset = async move {
        // Fails only if the sender is gone; the connection ends then, too.
        let _ = state.wait_for(|s| s.generation != generation).await;
    };
    tokio::pin!(reset);
    tokio::select! {
        () = time::sleep(delay) => {}
        () = &mut reset => return reset_on_drop(&stream),
    }
    let service = service_fn(|request| serve_request(request, &guard));
    let mut serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let finished = tokio::select! {
        _ = &mut serving => true,
        () = &mut reset => false,
    };
    if !finished {
        reset_on_drop(serving.into_parts().io.inner());
    }
}

/// Makes hyper close the connection without a response.
#[derive(Debug)]
struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response by fault injection")
    }
}

impl std::error::Error for CloseConnection {}

async fn serve_request(
    request: Request<Incoming>,
    guard: &ConnectionGuard,
) -> Result<Response<Full<Bytes>>, CloseConnection> {
    let (head, body) = request.into_parts();
    let body =
        Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| CloseConnection)?.to_bytes();
    let request = HttpRequest {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body,
    };
    let response = guard.handler.handle(request).await;
    if guard.connection.is_silent() {
        return pending::<Result<_, Infallible>>().await.map_err(|_| CloseConnection);
    }
    let (status, body) = match response {
        HttpResponse::Json(status, body) => (status, body),
        HttpResponse::Empty(status) => (status, Vec::new()),
        HttpResponse::Close => return Err(CloseConnection),
    };
    let response = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
    response.body(Full::new(Bytes::from(body))).map_err(|_| CloseConnection)
}
