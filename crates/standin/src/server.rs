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

use crate::model::Model;
use crate::port::Answer;
use crate::port::Call;
use crate::port::Handler;
use crate::port::Link;
use crate::port::Mode;
use crate::port::Port;
use crate::port::PortControl;
use crate::rows::Row;
use crate::rows::shard_rows;
use crate::work::Load;
use crate::work::Plan;
use crate::work::Refused;
use crate::work::Start;
use crate::work::Work;

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
    pub struct RefusedBody {
        /// Why.
        pub refused: Refused,
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
    links: Mutex<Vec<Arc<Link>>>,
    port: PortControl,
    /// Wakes waiting requests when one ends.
    freed: Notify,
    connect_cost: Duration,
}

impl Server {
    /// A server that does not listen yet.
    pub fn new(identity: Identity, model: Model, connect_cost: Duration) -> Arc<Server> {
        Arc::new(Server {
            identity,
            model: Mutex::new(model),
            links: Mutex::default(),
            port: PortControl::default(),
            freed: Notify::new(),
            connect_cost,
        })
    }

    /// Listens on `address`.
    pub async fn listen(self: &Arc<Server>, address: SocketAddr) -> io::Result<Port> {
        let handler = ServerHandler { server: self.clone() };
        Port::serve(address, self.port.clone(), Arc::new(handler)).await
    }

    /// The server's state.
    pub fn model(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the server; it does not listen for `down`.
    pub fn restart(self: &Arc<Server>, down: Duration) {
        self.interrupt(Mode::Down, down);
        self.model().restart(Instant::now());
    }

    /// Resets all connections for `duration` and makes the server cold.
    pub fn fall(self: &Arc<Server>, duration: Duration) {
        self.interrupt(Mode::Resetting, duration);
        self.model().chill();
    }

    /// Drops all connections.
    pub fn drop_connections(&self) {
        self.port.drop_all();
    }

    /// Stops or starts listening.
    pub fn set_down(&self, down: bool) {
        self.port.set_mode(if down { Mode::Down } else { Mode::Up });
        if down {
            self.port.drop_all();
        }
    }

    /// Makes `share` of the open connections silent; returns their number.
    pub fn silence(&self, share: f64) -> usize {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let count = (links.len() as f64 * share.clamp(0.0, 1.0)).round() as usize;
        links.iter().take(count).for_each(|l| l.silence());
        count
    }

    fn interrupt(self: &Arc<Server>, mode: Mode, duration: Duration) {
        self.port.set_mode(mode);
        self.port.drop_all();
        let port = self.port.clone();
        tokio::spawn(async move {
            time::sleep(duration).await;
            port.set_mode(Mode::Up);
        });
    }
}

struct ServerHandler {
    server: Arc<Server>,
}

#[async_trait]
impl Handler for ServerHandler {
    async fn handle(&self, call: Call) -> Answer {
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (&call.method, path.as_slice()) {
            (&Method::POST, ["shard", service, shard]) => {
                let version = call.header("x-index-version").and_then(|v| v.parse().ok());
                match (version, shard.parse()) {
                    (Some(version), Ok(shard)) if *service == &*self.server.identity.service => {
                        self.ask(version, shard, &call.body).await
                    }
                    _ => Answer::Empty(StatusCode::BAD_REQUEST),
                }
            }
            (&Method::POST, ["run", service]) if *service == &*self.server.identity.service => {
                match call.header("idempotency-key") {
                    Some(key) => self.run(key, &call.body).await,
                    None => Answer::Empty(StatusCode::BAD_REQUEST),
                }
            }
            (&Method::GET, ["status"]) => self.status().await,
            _ => Answer::Empty(StatusCode::NOT_FOUND),
        }
    }

    fn open(&self, link: &Arc<Link>) -> Option<Duration> {
        if !self.server.model().open() {
            return None;
        }
        self.links().push(link.clone());
        Some(self.server.connect_cost)
    }

    fn close(&self, link: &Arc<Link>) {
        self.server.model().close();
        self.links().retain(|l| !Arc::ptr_eq(l, link));
    }
}

impl ServerHandler {
    fn links(&self) -> MutexGuard<'_, Vec<Arc<Link>>> {
        self.server.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask(&self, version: u64, shard: Shard, body: &[u8]) -> Answer {
        let plan = match self.work(Work::Ask { version, shard }, body).await {
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
        Answer::json(StatusCode::OK, &AskBody { version, rows, partial, load, uptime_ms })
    }

    async fn run(&self, key: &str, body: &[u8]) -> Answer {
        if let Err(answer) = self.work(Work::Run { key }, body).await {
            return answer;
        }
        let model = self.server.model();
        let reply = RunBody {
            ran: key.into(),
            server: self.server.identity.name.clone(),
            load: model.load(),
            uptime_ms: model.uptime_ms(Instant::now()),
        };
        Answer::json(StatusCode::OK, &reply)
    }

    async fn status(&self) -> Answer {
        if self.server.model().faults.status_silent {
            pending::<()>().await;
        }
        let status = self.server.model().status(Instant::now());
        Answer::json(StatusCode::OK, &status)
    }

    /// Decides on a request; one that waits is decided on again.
    async fn start(&self, work: Work<'_>, body: &[u8]) -> Start {
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
                        model.resume(w.incarnation)
                    }
                    None => model.start(work, body, Instant::now()),
                }
            };
            if start != Start::Wait {
                return start;
            }
            let incarnation = self.server.model().incarnation();
            waiting = Some(Waiting { server: self.server.clone(), incarnation, left: false });
            freed.await;
        }
    }

    /// Runs a request to its end, or says what to reply instead.
    async fn work(&self, work: Work<'_>, body: &[u8]) -> Result<Plan, Answer> {
        match self.start(work, body).await {
            Start::Run(plan) => {
                let running = Running { server: self.server.clone(), plan: Some(plan.clone()) };
                time::sleep(plan.time).await;
                running.finish();
                if plan.reset { Err(Answer::Close) } else { Ok(plan) }
            }
            Start::Wait => Err(Answer::Close),
            Start::Refuse(refused) => {
                let body = RefusedBody { refused };
                Err(Answer::json(StatusCode::SERVICE_UNAVAILABLE, &body))
            }
            Start::WrongVersion => {
                let versions = self.server.model().versions().to_vec();
                Err(Answer::json(StatusCode::CONFLICT, &WrongVersionBody { versions }))
            }
            Start::Fall(duration) => {
                self.server.fall(duration);
                Err(Answer::Close)
            }
            Start::Crash(down) => {
                self.server.restart(down);
                Err(Answer::Close)
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
            self.server.model().leave(self.incarnation);
        }
    }
}

/// Counts a request as running; a drop before its end is a cancellation.
struct Running {
    server: Arc<Server>,
    plan: Option<Plan>,
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
