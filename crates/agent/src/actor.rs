//! The actor that owns the agent's state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::clock::Clock;
use chervil_node::metrics::Metrics;
use chervil_node::shutdown::Lifecycle;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::PullReply;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xtra::Address;
use xtra::Context;
use xtra::Handler;

use crate::state::Source;
use crate::state::State;
use crate::view::ViewState;

/// Owner of the state; every message is handled at the time of its handling.
#[derive(xtra::Actor)]
pub(crate) struct AgentActor {
    pub(crate) state: State,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view_state: watch::Sender<Arc<ViewState>>,
    pub(crate) pulls: mpsc::Sender<Source>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) metrics: Metrics,
}

/// Address of the actor.
pub(crate) type AgentAddress = Address<AgentActor>;

/// Updates stands and returns the heartbeats to be sent.
pub(crate) struct Tick;

/// Heartbeat and the agents that get it.
pub(crate) struct Round {
    pub(crate) heartbeat: Heartbeat,
    pub(crate) targets: Vec<SocketAddr>,
}

/// A heartbeat of a peer arrived.
pub(crate) struct HeartbeatReceived(pub(crate) Heartbeat);

/// The answer to a heartbeat arrived.
pub(crate) struct Answered {
    pub(crate) address: SocketAddr,
    pub(crate) sent: Instant,
    pub(crate) reply: HeartbeatReply,
}

/// Something newer than the state may have arrived.
pub(crate) struct Offer(pub(crate) PullReply);

/// The configuration's head was read by a call that began at this time.
pub(crate) struct HeadRead(pub(crate) Instant);

/// The member list was read from the store, or written to it.
pub(crate) struct ListRead {
    pub(crate) list: MemberList,
    /// Whether the store certainly had no later list.
    pub(crate) confirmed: bool,
}

/// Asks for a result computed from the state.
pub(crate) struct Ask<F>(pub(crate) F);

/// What the upkeep of the member list needs to know.
pub(crate) struct Upkeep {
    pub(crate) me: MemberHost,
    pub(crate) list: Arc<MemberList>,
    pub(crate) member: bool,
    pub(crate) learned: bool,
    pub(crate) settled: bool,
    pub(crate) coordinator: bool,
    pub(crate) joining: Vec<MemberHost>,
    pub(crate) denied: Vec<Box<str>>,
    pub(crate) delistable: Vec<Box<str>>,
    pub(crate) uptime: Duration,
}

impl AgentActor {
    fn publish(&mut self, now: Instant) {
        let last = self.view_state.borrow().clone();
        self.lifecycle.set_ready(self.state.is_ready(now));
        if let Some(next) = self.state.view_state(&last, now) {
            if next.ready != last.ready {
                spdlog::info!("readiness changed", kv: { ready = next.ready });
            }
            self.view_state.send_replace(Arc::new(next));
        }
    }

    fn pull(&self, source: Option<Source>) {
        if let Some(source) = source {
            // A full queue means that a pull is due already.
            let _ = self.pulls.try_send(source);
        }
    }
}

impl Handler<Tick> for AgentActor {
    type Return = Round;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) -> Round {
        let now = self.clock.now();
        self.state.membership.tick(now);
        self.publish(now);
        self.metrics.gauge("revision", self.state.revision());
        self.metrics.gauge("epoch", self.state.membership.list().epoch);
        self.metrics.gauge("ready", self.state.is_ready(now).into());
        self.metrics.gauge("lease", self.state.membership.holds_lease(now).into());
        if let Some(age) = self.state.fresh_age(now) {
            self.metrics.time("fresh", age);
        }
        Round { heartbeat: self.state.heartbeat(now), targets: self.state.targets() }
    }
}

impl Handler<HeartbeatReceived> for AgentActor {
    type Return = HeartbeatReply;

    async fn handle(
        &mut self,
        message: HeartbeatReceived,
        _: &mut Context<Self>,
    ) -> HeartbeatReply {
        let (reply, source) = self.state.on_heartbeat(&message.0, self.clock.now());
        self.pull(source);
        reply
    }
}

impl Handler<Answered> for AgentActor {
    type Return = ();

    async fn handle(&mut self, m: Answered, _: &mut Context<Self>) {
        let source = self.state.on_reply(m.address, m.sent, &m.reply, self.clock.now());
        self.pull(source);
    }
}

impl Handler<Offer> for AgentActor {
    type Return = Result<bool, Box<str>>;

    async fn handle(&mut self, offer: Offer, _: &mut Context<Self>) -> Self::Return {
        let now = self.clock.now();
        let result = self.state.adopt(&offer.0, now);
        match &result {
            Ok(true) => {
                spdlog::info!("configuration adopted", kv: { revision = self.state.revision() });
            }
            Ok(false) => {}
            Err(e) => spdlog::warn!("configuration not adopted", kv: { error = &**e }),
        }
        self.publish(now);
        result
    }
}

impl Handler<HeadRead> for AgentActor {
    type Return = ();

    async fn handle(&mut self, read: HeadRead, _: &mut Context<Self>) {
        self.state.set_fresh(read.0);
        self.publish(self.clock.now());
    }
}

impl Handler<ListRead> for AgentActor {
    type Return = ();

    async fn handle(&mut self, read: ListRead, _: &mut Context<Self>) {
        let now = self.clock.now();
        let ListRead { list, confirmed } = read;
        if self.state.adopt_list(&list, now) {
            spdlog::info!("member list adopted", kv: { epoch = list.epoch, hosts = list.hosts.len() });
        }
        if confirmed && list.epoch >= self.state.membership.list().epoch {
            self.state.membership.confirm_list();
        }
        self.publish(now);
    }
}

impl<F, R> Handler<Ask<F>> for AgentActor
where
    F: FnOnce(&mut State, Instant) -> R + Send + 'static,
    R: Send + 'static,
{
    type Return = R;

    async fn handle(&mut self, ask: Ask<F>, _: &mut Context<Self>) -> R {
        let now = self.clock.now();
        (ask.0)(&mut self.state, now)
    }
}
