//! HTTP interface of one simulated backend server.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use chervil_base::index::HeldVersion;
use chervil_base::message;
use chervil_base::shards::Shard;
use hyper::Method;
use hyper::StatusCode;
use tokio::sync::Notify;
use tokio::time;

use crate::http::Connection;
use crate::http::Handler;
use crate::http::HttpRequest;
use crate::http::HttpResponse;
use crate::http::HttpServer;
use crate::http::ListenMode;
use crate::http::ListenerControl;
use crate::model::Model;
use crate::request::Decision;
use crate::request::Execution;
use crate::request::Load;
use crate::request::RefusalReason;
use crate::request::RequestKind;
use crate::rows::Row;
use crate::rows::shard_rows;

message! {
    /// Response with the rows of a shard.
    #[derive(Eq)]
    pub struct AskBody {
        /// Index version that was read.
        pub version: u64,
        /// Rows in ascending order of their keys.
        pub rows: Vec<Row>,
        /// Whether rows of the shard are missing.
        pub partial: bool,
        /// Load of the server after the request.
        pub load: Load,
        /// Time since the last start of the server, in milliseconds.
        pub uptime_ms: u64,
    }

    /// Response to a non-idempotent request.
    #[derive(Eq)]
    pub struct RunBody {
        /// Idempotency key of the request.
        pub ran: Box<str>,
        /// Name of the server that executed it.
        pub server: Box<str>,
        /// Load of the server after the request.
        pub load: Load,
        /// Time since the last start of the server, in milliseconds.
        pub uptime_ms: u64,
    }

    /// Response when the server does not hold the version or shard.
    #[derive(Eq)]
    pub struct WrongVersionBody {
        /// Versions that it holds.
        pub versions: Vec<HeldVersion>,
    }

    /// Response when a request is refused.
    #[derive(Eq)]
    pub struct RefusalBody {
        /// Why the request was refused.
        pub refused: RefusalReason,
    }
}

/// Name and location of a simulated server.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique in the stand-in.
    pub name: Box<str>,
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Availability zone that it runs in.
    pub zone: Box<str>,
}

/// A simulated server, shared by its own port and the control port.
#[derive(Debug)]
pub struct Server {
    /// Name and location.
    pub identity: Identity,
    model: Mutex<Model>,
    connections: Mutex<Vec<Arc<Connection>>>,
    listener: ListenerControl,
    /// Wakes queued requests when a slot becomes free.
    slot_freed: Notify,
    /// Delay before the first request on a new connection is read.
    connect_delay: Duration,
}

impl Server {
    /// Creates a server that does not listen yet. Each new connection is served
    /// after `connect_delay`.
    pub fn new(identity: Identity, model: Model, connect_delay: Duration) -> Arc<Server> {
        Arc::new(Server {
            identity,
            model: Mutex::new(model),
            connections: Mutex::default(),
            listener: ListenerControl::default(),
            slot_freed: Notify::new(),
            connect_delay,
        })
    }

    /// Starts to listen on `address`.
    pub async fn listen(self: &Arc<Server>, address: SocketAddr) -> io::Result<HttpServer> {
        let handler = ServerHandler { server: self.clone() };
        HttpServer::start(address, self.listener.clone(), Arc::new(handler)).await
    }

    /// Locks the server's state.
    pub fn model(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the server: resets its connections, stays down for `downtime`
    /// and comes back cold.
    pub fn restart(self: &Arc<Server>, downtime: Duration) {
        self.set_mode_for(ListenMode::Down, downtime);
        self.model().restart(Instant::now());
    }

    /// Fails under overload: resets all connections, open and new, for
    /// `duration`, and makes the server cold.
    pub fn overload(self: &Arc<Server>, duration: Duration) {
        self.set_mode_for(ListenMode::Resetting, duration);
        self.model().make_cold();
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.listener.reset_connections();
    }

    /// Takes the server down, which resets its connections, or brings it up.
    pub fn set_down(&self, down: bool) {
        self.listener.set_mode(if down { ListenMode::Down } else { ListenMode::Up });
        if down {
            self.listener.reset_connections();
        }
    }

    /// Makes `share` of the open connections (0 to 1, oldest first) silent and
    /// returns their number.
    pub fn silence(&self, share: f64) -> usize {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let count = (connections.len() as f64 * share.clamp(0.0, 1.0)).round() as usize;
        connections.iter().take(count).for_each(|c| c.silence());
        count
    }

    /// Resets all connections, listens in `mode` for `duration` and then normally.
    fn set_mode_for(self: &Arc<Server>, mode: ListenMode, duration: Duration) {
        self.listener.set_mode(mode);
        self.listener.reset_connections();
        let listener = self.listener.clone();
        tokio::spawn(async move {
            time::sleep(duration).await;
            listener.set_mode(ListenMode::Up);
        });
    }
}

struct ServerHandler {
    server: Arc<Server>,
}

#[async_trait]
impl Handler for ServerHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (&request.method, path.as_slice()) {
            (&Method::POST, ["shard", service, shard]) => {
                let version = request.header("x-index-version").and_then(|v| v.parse().ok());
                match (version, shard.parse()) {
                    (Some(version), Ok(shard)) if *service == &*self.server.identity.service => {
                        self.ask(version, shard, &request.body).await
                    }
                    _ => HttpResponse::Empty(StatusCode::BAD_REQUEST),
                }
            }
            (&Method::POST, ["run", service]) if *service == &*self.server.identity.service => {
                match request.header("idempotency-key") {
                    Some(key) => self.run(key, &request.body).await,
                    None => HttpResponse::Empty(StatusCode::BAD_REQUEST),
                }
            }
            (&Method::GET, ["status"]) => self.status().await,
            _ => HttpResponse::Empty(StatusCode::NOT_FOUND),
        }
    }

    fn on_open(&self, connection: &Arc<Connection>) -> Option<Duration> {
        if !self.server.model().open_connection() {
            return None;
        }
        self.connections().push(connection.clone());
        Some(self.server.connect_delay)
    }

    fn on_close(&self, connection: &Arc<Connection>) {
        self.server.model().close_connection();
        self.connections().retain(|c| !Arc::ptr_eq(c, connection));
    }
}

impl ServerHandler {
    fn connections(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.server.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask(&self, version: u64, shard: Shard, body: &[u8]) -> HttpResponse {
        let execution = match self.execute(RequestKind::Ask { version, shard }, body).await {
            Ok(execution) => execution,
            Err(response) => return response,
        };
        let mut rows = shard_rows(&self.server.identity.service, version, shard);
        if execution.partial {
            rows.truncate(rows.len() / 2);
        }
        let model = self.server.model();
        let (load, uptime_ms) = (model.load(), model.uptime_ms(Instant::now()));
        let partial = execution.partial;
        HttpResponse::json(StatusCode::OK, &AskBody { version, rows, partial, load, uptime_ms })
    }

    async fn run(&self, key: &str, body: &[u8]) -> HttpResponse {
        if let Err(response) = self.execute(RequestKind::Run { key }, body).await {
            return response;
        }
        let model = self.server.model();
        let body = RunBody {
            ran: key.into(),
            server: self.server.identity.name.clone(),
            load: model.load(),
            uptime_ms: model.uptime_ms(Instant::now()),
        };
        HttpResponse::json(StatusCode::OK, &body)
    }

    async fn status(&self) -> HttpResponse {
        if self.server.model().faults.status_silent {
            pending::<()>().await;
        }
        let status = self.server.model().status(Instant::now());
        HttpResponse::json(StatusCode::OK, &status)
    }

    /// Decides about a request, after it has been queued if it has to wait.
    async fn admit(&self, kind: RequestKind<'_>, body: &[u8]) -> Decision {
        let mut queued: Option<QueuedGuard> = None;
        loop {
            let slot_freed = self.server.slot_freed.notified();
            tokio::pin!(slot_freed);
            // Registers before the decision, so that a slot freed between the
            // decision and the wait is not missed.
            slot_freed.as_mut().enable();
            let decision = {
                let mut model = self.server.model();
                match queued.take() {
                    Some(mut guard) => {
                        guard.released = true;
                        model.retry_queued(guard.incarnation)
                    }
                    None => model.admit(kind, body, Instant::now()),
                }
            };
            if decision != Decision::Queue {
                return decision;
            }
            let incarnation = self.server.model().incarnation();
            let server = self.server.clone();
            queued = Some(QueuedGuard { server, incarnation, released: false });
            slot_freed.await;
        }
    }

    /// Admits and executes a request. Returns the response as an error if the
    /// request is refused or its connection is closed.
    async fn execute(&self, kind: RequestKind<'_>, body: &[u8]) -> Result<Execution, HttpResponse> {
        match self.admit(kind, body).await {
            Decision::Run(execution) => {
                let server = self.server.clone();
                let running = RunningGuard { server, execution: Some(execution.clone()) };
                time::sleep(execution.service_time).await;
                running.finish();
                if execution.reset { Err(HttpResponse::Close) } else { Ok(execution) }
            }
            Decision::Queue => Err(HttpResponse::Close),
            Decision::Refuse(refused) => {
                let body = RefusalBody { refused };
                Err(HttpResponse::json(StatusCode::SERVICE_UNAVAILABLE, &body))
            }
            Decision::WrongVersion => {
                let versions = self.server.model().versions().to_vec();
                Err(HttpResponse::json(StatusCode::CONFLICT, &WrongVersionBody { versions }))
            }
            Decision::Overload(duration) => {
                self.server.overload(duration);
                Err(HttpResponse::Close)
            }
            Decision::Crash(downtime) => {
                self.server.restart(downtime);
                Err(HttpResponse::Close)
            }
        }
    }
}

/// Removes a request from the queue on drop, unless [`Model::retry_queued`]
/// has taken it over (`released`).
struct QueuedGuard {
    server: Arc<Server>,
    incarnation: u64,
    released: bool,
}

impl Drop for QueuedGuard {
    fn drop(&mut self) {
        if !self.released {
            self.server.model().leave_queue(self.incarnation);
        }
    }
}

/// Occupies a slot. Dropping it before `finish` counts as a cancellation, which
/// happens when the caller closes the connection.
struct RunningGuard {
    server: Arc<Server>,
    execution: Option<Execution>,
}

impl RunningGuard {
    fn finish(mut self) {
        if let Some(execution) = self.execution.take() {
            self.server.model().finish(&execution);
            self.server.slot_freed.notify_waiters();
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if let Some(execution) = self.execution.take() {
            self.server.model().cancel(&execution);
            self.server.slot_freed.notify_waiters();
        }
    }
}
