//! One simulated backend server on its own port.

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
    /// Reply with rows of a shard.
    #[derive(Eq)]
    pub struct AskBody {
        /// Index version.
        pub version: u64,
        /// Rows.
        pub rows: Vec<Row>,
        /// Whether rows are missing.
        pub partial: bool,
        /// Load of the server.
        pub load: Load,
        /// Time since the start of the server, in milliseconds.
        pub uptime_ms: u64,
    }

    /// Reply to non-idempotent work.
    #[derive(Eq)]
    pub struct RunBody {
        /// Idempotency key.
        pub ran: Box<str>,
        /// Server that ran it.
        pub server: Box<str>,
        /// Load of the server.
        pub load: Load,
        /// Time since the start of the server, in milliseconds.
        pub uptime_ms: u64,
    }

    /// Reply when the version or shard is not held.
    #[derive(Eq)]
    pub struct WrongVersionBody {
        /// Versions that are held instead.
        pub versions: Vec<HeldVersion>,
    }

    /// Reply when a request is not started.
    #[derive(Eq)]
    pub struct RefusalBody {
        /// Why.
        pub refused: RefusalReason,
    }
}

/// Name and place of a simulated server.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name.
    pub name: Box<str>,
    /// Service.
    pub service: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
}

/// State that the port and the control port share.
#[derive(Debug)]
pub struct Server {
    /// Name and place.
    pub identity: Identity,
    model: Mutex<Model>,
    links: Mutex<Vec<Arc<Connection>>>,
    port: ListenerControl,
    /// Wakes waiting requests when one ends.
    freed: Notify,
    connect_delay: Duration,
}

impl Server {
    /// A server that does not listen yet.
    pub fn new(identity: Identity, model: Model, connect_delay: Duration) -> Arc<Server> {
        Arc::new(Server {
            identity,
            model: Mutex::new(model),
            links: Mutex::default(),
            port: ListenerControl::default(),
            freed: Notify::new(),
            connect_delay,
        })
    }

    /// Listens on `address`.
    pub async fn listen(self: &Arc<Server>, address: SocketAddr) -> io::Result<HttpServer> {
        let handler = ServerHandler { server: self.clone() };
        HttpServer::start(address, self.port.clone(), Arc::new(handler)).await
    }

    /// The server's state.
    pub fn model(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the server; it does not listen for `down`.
    pub fn restart(self: &Arc<Server>, down: Duration) {
        self.interrupt(ListenMode::Down, down);
        self.model().restart(Instant::now());
    }

    /// Resets all connections for `duration` and makes the server cold.
    pub fn overload(self: &Arc<Server>, duration: Duration) {
        self.interrupt(ListenMode::Resetting, duration);
        self.model().make_cold();
    }

    /// Drops all connections.
    pub fn reset_connections(&self) {
        self.port.reset_connections();
    }

    /// Stops or starts listening.
    pub fn set_down(&self, down: bool) {
        self.port.set_mode(if down { ListenMode::Down } else { ListenMode::Up });
        if down {
            self.port.reset_connections();
        }
    }

    /// Makes `share` of the open connections silent; returns their number.
    pub fn silence(&self, share: f64) -> usize {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let count = (links.len() as f64 * share.clamp(0.0, 1.0)).round() as usize;
        links.iter().take(count).for_each(|l| l.silence());
        count
    }

    fn interrupt(self: &Arc<Server>, mode: ListenMode, duration: Duration) {
        self.port.set_mode(mode);
        self.port.reset_connections();
        let port = self.port.clone();
        tokio::spawn(async move {
            time::sleep(duration).await;
            port.set_mode(ListenMode::Up);
        });
    }
}

struct ServerHandler {
    server: Arc<Server>,
}

#[async_trait]
impl Handler for ServerHandler {
    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (&call.method, path.as_slice()) {
            (&Method::POST, ["shard", service, shard]) => {
                let version = call.header("x-index-version").and_then(|v| v.parse().ok());
                match (version, shard.parse()) {
                    (Some(version), Ok(shard)) if *service == &*self.server.identity.service => {
                        self.ask(version, shard, &call.body).await
                    }
                    _ => HttpResponse::Empty(StatusCode::BAD_REQUEST),
                }
            }
            (&Method::POST, ["run", service]) if *service == &*self.server.identity.service => {
                match call.header("idempotency-key") {
                    Some(key) => self.run(key, &call.body).await,
                    None => HttpResponse::Empty(StatusCode::BAD_REQUEST),
                }
            }
            (&Method::GET, ["status"]) => self.status().await,
            _ => HttpResponse::Empty(StatusCode::NOT_FOUND),
        }
    }

    fn on_open(&self, link: &Arc<Connection>) -> Option<Duration> {
        if !self.server.model().open_connection() {
            return None;
        }
        self.links().push(link.clone());
        Some(self.server.connect_delay)
    }

    fn on_close(&self, link: &Arc<Connection>) {
        self.server.model().close_connection();
        self.links().retain(|l| !Arc::ptr_eq(l, link));
    }
}

impl ServerHandler {
    fn links(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.server.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask(&self, version: u64, shard: Shard, body: &[u8]) -> HttpResponse {
        let plan = match self.work(RequestKind::Ask { version, shard }, body).await {
            Ok(plan) => plan,
            Err(answer) => return answer,
        };
        let mut rows = shard_rows(&self.server.identity.service, version, shard);
        if plan.partial {
            rows.truncate(rows.len() / 2);
        }
        let model = self.server.model();
        let (load, uptime_ms) = (model.load(), model.uptime_ms(Instant::now()));
        let partial = plan.partial;
        HttpResponse::json(StatusCode::OK, &AskBody { version, rows, partial, load, uptime_ms })
    }

    async fn run(&self, key: &str, body: &[u8]) -> HttpResponse {
        if let Err(answer) = self.work(RequestKind::Run { key }, body).await {
            return answer;
        }
        let model = self.server.model();
        let reply = RunBody {
            ran: key.into(),
            server: self.server.identity.name.clone(),
            load: model.load(),
            uptime_ms: model.uptime_ms(Instant::now()),
        };
        HttpResponse::json(StatusCode::OK, &reply)
    }

    async fn status(&self) -> HttpResponse {
        if self.server.model().faults.status_silent {
            pending::<()>().await;
        }
        let status = self.server.model().status(Instant::now());
        HttpResponse::json(StatusCode::OK, &status)
    }

    /// Decides on a request; one that waits is decided on again.
    async fn start(&self, work: RequestKind<'_>, body: &[u8]) -> Decision {
        let mut waiting: Option<Waiting> = None;
        loop {
            let freed = self.server.freed.notified();
            tokio::pin!(freed);
            // A request that ends between the decision and the wait must not
            // be missed.
            freed.as_mut().enable();
            let start = {
                let mut model = self.server.model();
                match waiting.take() {
                    Some(mut w) => {
                        w.left = true;
                        model.retry_queued(w.incarnation)
                    }
                    None => model.admit(work, body, Instant::now()),
                }
            };
            if start != Decision::Queue {
                return start;
            }
            let incarnation = self.server.model().incarnation();
            waiting = Some(Waiting { server: self.server.clone(), incarnation, left: false });
            freed.await;
        }
    }

    /// Runs a request to its end, or says what to reply instead.
    async fn work(&self, work: RequestKind<'_>, body: &[u8]) -> Result<Execution, HttpResponse> {
        match self.start(work, body).await {
            Decision::Run(plan) => {
                let running = Running { server: self.server.clone(), plan: Some(plan.clone()) };
                time::sleep(plan.service_time).await;
                running.finish();
                if plan.reset { Err(HttpResponse::Close) } else { Ok(plan) }
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
            Decision::Crash(down) => {
                self.server.restart(down);
                Err(HttpResponse::Close)
            }
        }
    }
}

/// Counts a request as waiting until it leaves or is dropped.
struct Waiting {
    server: Arc<Server>,
    incarnation: u64,
    left: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.left {
            self.server.model().leave_queue(self.incarnation);
        }
    }
}

/// Counts a request as running; a drop before its end is a cancellation.
struct Running {
    server: Arc<Server>,
    plan: Option<Execution>,
}

impl Running {
    fn finish(mut self) {
        if let Some(plan) = self.plan.take() {
            self.server.model().finish(&plan);
            self.server.freed.notify_waiters();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(plan) = self.plan.take() {
            self.server.model().cancel(&plan);
            self.server.freed.notify_waiters();
        }
    }
}
