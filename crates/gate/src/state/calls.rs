//! Tasks that use connections; each reports back to the actor.

use std::net::SocketAddr;
use std::time::Instant;

use chervil_backend::link::Connection;
use chervil_node::trace;
use chervil_slots::types::ConnKey;
use chervil_slots::types::WorkKey;
use tokio::task::AbortHandle;
use tracing::Instrument as _;

use super::GateState;
use super::Kind;
use super::Line;
use super::events::Answer;
use super::events::Finished;
use super::events::OpenEnded;
use super::events::Prepared;
use super::events::ProbeEnded;

impl GateState {
    pub(super) fn open(&mut self, conn: ConnKey, address: SocketAddr) {
        let link = self.parts.link.clone();
        let state = self.parts.address.clone();
        let clock = self.parts.clock.clone();
        let timeout = self.parts.open_timeout;
        let task = tokio::spawn(async move {
            let sent = clock.now();
            let result = link.open(address, timeout).await;
            // The actor has stopped when this fails.
            let _ = state.send(OpenEnded { conn, sent, result }).await;
        });
        let line = Line { connection: None, task: Some(task.abort_handle()) };
        self.conns.insert(conn, line);
    }

    pub(super) fn prepare(&mut self, conn: ConnKey, address: SocketAddr) {
        let state = self.parts.address.clone();
        let link = self.parts.link.clone();
        let task = tokio::spawn(async move {
            let result = link.lazy(address);
            // The actor has stopped when this fails.
            let _ = state.send(Prepared { conn, result }).await;
        });
        let line = Line { connection: None, task: Some(task.abort_handle()) };
        self.conns.insert(conn, line);
    }

    pub(super) fn probe(&mut self, conn: ConnKey) {
        let state = self.parts.address.clone();
        let clock = self.parts.clock.clone();
        let timeout = self.parts.open_timeout;
        self.lend(conn, |connection| {
            let task = tokio::spawn(async move {
                let sent = clock.now();
                let result = connection.status(timeout).await;
                // The actor has stopped when this fails.
                let _ = state.send(ProbeEnded { conn, sent, result, connection }).await;
            });
            task.abort_handle()
        });
    }

    pub(super) fn start(&mut self, work: WorkKey, conn: ConnKey) {
        let Some(job) = self.jobs.get(work) else {
            return;
        };
        let waited = self.now().saturating_duration_since(job.accepted);
        self.parts.metrics.time("queue", waited);
        let span = job.span.clone();
        let call = Call::of(job);
        let server = job.server.clone();
        let state = self.parts.address.clone();
        let clock = self.parts.clock.clone();
        let rights = self.parts.rights.clone();
        let run = move |connection: Box<dyn Connection>| async move {
            let sent = clock.now();
            let answer = if rights.allow(&server, sent) {
                call.send(&*connection, sent).await
            } else {
                Answer::NoRight
            };
            // The actor has stopped when this fails.
            let _ = state.send(Finished { work, conn, sent, answer, connection }).await;
        };
        self.lend(conn, |connection| tokio::spawn(run(connection).instrument(span)).abort_handle());
    }

    /// Gives a connection to a task.
    fn lend<F>(&mut self, conn: ConnKey, spawn: F)
    where
        F: FnOnce(Box<dyn Connection>) -> AbortHandle,
    {
        let Some(line) = self.conns.get_mut(conn) else {
            return;
        };
        if let Some(connection) = line.connection.take() {
            line.task = Some(spawn(connection));
        }
    }

    /// Takes a connection back; closes it when the state machine has given it
    /// up.
    pub(super) fn give_back(&mut self, conn: ConnKey, connection: Box<dyn Connection>) {
        match self.conns.get_mut(conn) {
            Some(line) => *line = Line { connection: Some(connection), task: None },
            None => connection.close(),
        }
    }
}

/// Request of one job.
enum Call {
    Ask(std::sync::Arc<chervil_backend::link::AskCall>, Instant),
    Run(std::sync::Arc<chervil_backend::link::RunCall>, Instant),
}

impl Call {
    fn of(job: &super::Job) -> Call {
        match &job.kind {
            Kind::Ask { call, .. } => Call::Ask(call.clone(), job.deadline),
            Kind::Run { call, .. } => Call::Run(call.clone(), job.deadline),
        }
    }

    async fn send(&self, connection: &dyn Connection, now: Instant) -> Answer {
        let trace = trace::traceparent(&tracing::Span::current());
        match self {
            Call::Ask(call, deadline) => {
                let mut call = (**call).clone();
                call.timeout = deadline.saturating_duration_since(now);
                call.trace = trace.or(call.trace);
                match connection.ask(&call).await {
                    Ok(answer) => Answer::Ask(answer),
                    Err(e) => Answer::Failed(e),
                }
            }
            Call::Run(call, deadline) => {
                let mut call = (**call).clone();
                call.timeout = deadline.saturating_duration_since(now);
                call.trace = trace.or(call.trace);
                match connection.run(&call).await {
                    Ok(answer) => Answer::Run(answer),
                    Err(e) => Answer::Failed(e),
                }
            }
        }
    }
}
