//! Actor that owns the agent's state.

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
use chervil_rpc::agent::StateDelta;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xtra::Address;
use xtra::Context;
use xtra::Handler;

use crate::state::PullSource;
use crate::state::State;
use crate::view::ViewState;

/// Actor that owns the agent's state.
///
/// It reads the clock when it handles a message, so the time for which a
/// message was queued counts.
#[derive(xtra::Actor)]
pub(crate) struct AgentActor {
    pub(crate) state: State,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view_state: watch::Sender<Arc<ViewState>>,
    /// Queue of peers to pull newer state from.
    pub(crate) pull_sources: mpsc::Sender<PullSource>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) metrics: Metrics,
}

/// Address of the actor.
pub(crate) type AgentAddress = Address<AgentActor>;

/// Updates the votes on all hosts and returns the heartbeat to send.
pub(crate) struct Tick;

/// Heartbeat and the agents to send it to.
pub(crate) struct HeartbeatRound {
    pub(crate) heartbeat: Heartbeat,
    pub(crate) targets: Vec<SocketAddr>,
}

/// A peer has sent a heartbeat.
pub(crate) struct HeartbeatReceived(pub(crate) Heartbeat);

/// A peer has replied to a heartbeat.
pub(crate) struct HeartbeatAnswered {
    /// Agent that replied.
    pub(crate) address: SocketAddr,
    /// When the heartbeat was sent.
    pub(crate) sent: Instant,
    pub(crate) reply: HeartbeatReply,
}

/// Applies a delta, if it is newer than the state; returns whether the
/// configuration changed, or why the delta was rejected.
pub(crate) struct ApplyDelta(pub(crate) StateDelta);

/// The head of the configuration was read from the store by a call that began
/// at this time.
pub(crate) struct HeadRead(pub(crate) Instant);

/// The member list was read from the store or written to it.
pub(crate) struct ListRead {
    pub(crate) list: MemberList,
    /// Whether it was verified that the store had no later list.
    pub(crate) confirmed: bool,
}

/// Runs a function on the state at the current time and returns its result.
pub(crate) struct WithState<F>(pub(crate) F);

/// Snapshot of the membership state for the reconciliation of the member list.
pub(crate) struct MembershipSnapshot {
    /// This host.
    pub(crate) me: MemberHost,
    /// Member list in force.
    pub(crate) list: Arc<MemberList>,
    pub(crate) is_member: bool,
    /// Whether this host may rely on the list and vote: the list is no older
    /// than any that the host's former process acknowledged.
    pub(crate) confirmed: bool,
    /// Whether a majority has held the list for the lease duration.
    pub(crate) settled: bool,
    /// Whether this host is the one that writes changes of the list.
    pub(crate) is_coordinator: bool,
    /// Hosts to be added to the list.
    pub(crate) joining: Vec<MemberHost>,
    /// Hosts that have been down long enough to be removed from the list.
    pub(crate) removable: Vec<Box<str>>,
    /// Hosts that are removed only if the platform no longer lists them.
    pub(crate) removable_if_delisted: Vec<Box<str>>,
    pub(crate) uptime: Duration,
}

impl AgentActor {
    fn publish(&mut self, now: Instant) {
        let last = self.view_state.borrow().clone();
        self.lifecycle.set_ready(self.state.is_ready(now));
        if let Some(next) = self.state.next_view_state(&last, now) {
            if next.ready != last.ready {
                spdlog::info!("readiness changed", kv: { ready = next.ready });
            }
            self.view_state.send_replace(Arc::new(next));
        }
    }

    fn request_pull(&self, source: Option<PullSource>) {
        if let Some(source) = source {
            // Fails if the queue is full, that is, if a pull is due already.
            let _ = self.pull_sources.try_send(source);
        }
    }
}

impl Handler<Tick> for AgentActor {
    type Return = HeartbeatRound;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) -> HeartbeatRound {
        let now = self.clock.now();
        self.state.membership.tick(now);
        self.publish(now);
        self.metrics.gauge("revision", self.state.revision());
        self.metrics.gauge("epoch", self.state.membership.list().epoch);
        self.metrics.gauge("ready", self.state.is_ready(now).into());
        self.metrics.gauge("lease", self.state.membership.holds_lease(now).into());
        if let Some(age) = self.state.staleness(now) {
            self.metrics.time("fresh", age);
        }
        HeartbeatRound { heartbeat: self.state.heartbeat(now), targets: self.state.targets() }
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
        self.request_pull(source);
        reply
    }
}

impl Handler<HeartbeatAnswered> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: HeartbeatAnswered, _: &mut Context<Self>) {
        let source =
            self.state.on_reply(message.address, message.sent, &message.reply, self.clock.now());
        self.request_pull(source);
    }
}

impl Handler<ApplyDelta> for AgentActor {
    type Return = Result<bool, Box<str>>;

    async fn handle(&mut self, message: ApplyDelta, _: &mut Context<Self>) -> Self::Return {
        let now = self.clock.now();
        let result = self.state.apply_delta(&message.0, now);
        match &result {
            Ok(true) => {
                spdlog::info!("configuration adopted", kv: { revision = self.state.revision() });
            }
            Ok(false) => {}
            Err(e) => spdlog::warn!(
                "offered configuration rejected; the revision in force stays",
                kv: { error = &**e }
            ),
        }
        self.publish(now);
        result
    }
}

impl Handler<HeadRead> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: HeadRead, _: &mut Context<Self>) {
        self.state.record_head_read(message.0);
        self.publish(self.clock.now());
    }
}

impl Handler<ListRead> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: ListRead, _: &mut Context<Self>) {
        let now = self.clock.now();
        let ListRead { list, confirmed } = message;
        if self.state.adopt_list(&list, now) {
            spdlog::info!("member list adopted", kv: { epoch = list.epoch, hosts = list.hosts.len() });
        }
        if confirmed && list.epoch >= self.state.membership.list().epoch {
            self.state.membership.confirm_list();
        }
        self.publish(now);
    }
}

impl<F, R> Handler<WithState<F>> for AgentActor
where
    F: FnOnce(&mut State, Instant) -> R + Send + 'static,
    R: Send + 'static,
{
    type Return = R;

    async fn handle(&mut self, message: WithState<F>, _: &mut Context<Self>) -> R {
        let now = self.clock.now();
        (message.0)(&mut self.state, now)
    }
}
