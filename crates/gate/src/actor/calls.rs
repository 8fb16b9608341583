//! Tasks that open connections and run requests on them. Each sends its result to the
//! actor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use chervil_backend::connection::AskCall;
use chervil_backend::connection::Connection;
use chervil_backend::connection::RunCall;
use chervil_node::trace;
use chervil_slots::types::ConnKey;
use chervil_slots::types::WorkKey;
use tokio::task::AbortHandle;
use tracing::Instrument as _;

use super::Conn;
use super::GateActor;
use super::Job;
use super::JobKind;
use super::results::LazyOpened;
use super::results::OpenFinished;
use super::results::ProbeFinished;
use super::results::WorkFinished;
use super::results::WorkResult;

impl GateActor {
    pub(super) fn open(&mut self, conn: ConnKey, address: SocketAddr) {
        let connector = self.deps.connector.clone();
        let actor = self.deps.actor.clone();
        let clock = self.deps.clock.clone();
        let timeout = self.deps.open_timeout;
        let task = tokio::spawn(async move {
            let sent_at = clock.now();
            let result = connector.open(address, timeout).await;
            // Fails if the actor has stopped.
            let _ = actor.send(OpenFinished { conn, sent_at, result }).await;
        });
        let opening = Conn { connection: None, task: Some(task.abort_handle()) };
        self.conns.insert(conn, opening);
    }

    pub(super) fn open_lazy(&mut self, conn: ConnKey, address: SocketAddr) {
        let actor = self.deps.actor.clone();
        let connector = self.deps.connector.clone();
        let task = tokio::spawn(async move {
            let result = connector.open_lazy(address);
            // Fails if the actor has stopped.
            let _ = actor.send(LazyOpened { conn, result }).await;
        });
        let opening = Conn { connection: None, task: Some(task.abort_handle()) };
        self.conns.insert(conn, opening);
    }

    pub(super) fn probe(&mut self, conn: ConnKey) {
        let actor = self.deps.actor.clone();
        let clock = self.deps.clock.clone();
        let timeout = self.deps.open_timeout;
        self.spawn_with_conn(conn, |connection| {
            let task = tokio::spawn(async move {
                let sent_at = clock.now();
                let result = connection.status(timeout).await;
                // Fails if the actor has stopped.
                let _ = actor.send(ProbeFinished { conn, sent_at, result, connection }).await;
            });
            task.abort_handle()
        });
    }

    pub(super) fn start(&mut self, work: WorkKey, conn: ConnKey) {
        let Some(job) = self.jobs.get(work) else {
            return;
        };
        let queue_time = self.now().saturating_duration_since(job.accepted_at);
        self.deps.metrics.time("queue", queue_time);
        let span = job.span.clone();
        let call = Call::new(job);
        let server = job.server.clone();
        let actor = self.deps.actor.clone();
        let clock = self.deps.clock.clone();
        let fence = self.deps.fence.clone();
        let run = move |connection: Box<dyn Connection>| async move {
            let sent_at = clock.now();
            let result = if fence.allows(&server, sent_at) {
                call.send(&*connection, sent_at).await
            } else {
                WorkResult::OwnershipLost
            };
            // Fails if the actor has stopped.
            let _ = actor.send(WorkFinished { work, conn, sent_at, result, connection }).await;
        };
        self.spawn_with_conn(conn, |connection| {
            tokio::spawn(run(connection).instrument(span)).abort_handle()
        });
    }

    /// Moves an idle connection into the task that `spawn` starts.
    fn spawn_with_conn<F>(&mut self, conn: ConnKey, spawn: F)
    where
        F: FnOnce(Box<dyn Connection>) -> AbortHandle,
    {
        let Some(conn) = self.conns.get_mut(conn) else {
            return;
        };
        if let Some(connection) = conn.connection.take() {
            conn.task = Some(spawn(connection));
        }
    }

    /// Takes a connection back from its task, and closes it if the scheduler no longer
    /// holds it.
    pub(super) fn return_conn(&mut self, conn: ConnKey, connection: Box<dyn Connection>) {
        match self.conns.get_mut(conn) {
            Some(conn) => *conn = Conn { connection: Some(connection), task: None },
            None => connection.close(),
        }
    }
}

/// Request of a job, and its deadline.
enum Call {
    Ask(Arc<AskCall>, Instant),
    Run(Arc<RunCall>, Instant),
}

impl Call {
    fn new(job: &Job) -> Call {
        match &job.kind {
            JobKind::Ask { call, .. } => Call::Ask(call.clone(), job.deadline),
            JobKind::Run { call, .. } => Call::Run(call.clone(), job.deadline),
        }
    }

    /// Sends the request at `now`, with the time left until the deadline as timeout.
    async fn send(&self, connection: &dyn Connection, now: Instant) -> WorkResult {
        let traceparent = trace::traceparent(&tracing::Span::current());
        match self {
            Call::Ask(call, deadline) => {
                let mut call = (**call).clone();
                call.timeout = deadline.saturating_duration_since(now);
                call.traceparent = traceparent.or(call.traceparent);
                match connection.ask(&call).await {
                    Ok(response) => WorkResult::Ask(response),
                    Err(e) => WorkResult::Failed(e),
                }
            }
            Call::Run(call, deadline) => {
                let mut call = (**call).clone();
                call.timeout = deadline.saturating_duration_since(now);
                call.traceparent = traceparent.or(call.traceparent);
                match connection.run(&call).await {
                    Ok(response) => WorkResult::Run(response),
                    Err(e) => WorkResult::Failed(e),
                }
            }
        }
    }
}
