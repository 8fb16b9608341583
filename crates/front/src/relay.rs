//! Passing of requests to other hosts; see `chervil_route::relay`.
//!
//! A host first offers a request to another host and sends it only once that host has
//! accepted the offer, so that it notices soon that the other host is frozen or out of reach.
//! A request whose offer was not accepted has not been sent. A request that was sent and
//! whose outcome is lost is not sent again: the other host may have used all attempts that
//! the route allows.

use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_route::config::Gather;
use chervil_route::config::Route;
use chervil_route::peers::FORMAT_WITH_EXECUTIONS;
use chervil_route::relay::Relay;
use hyper::Method;
use tokio::time;

use crate::attempt::RequestSpec;
use crate::client::Client;
use crate::core::Core;
use crate::execute::Executed;
use crate::gather::GatherOutcome;
use crate::logs::Category;
use crate::relayed::Offer;
use crate::relayed::RelayReply;
use crate::relayed::RelayedRequest;
use crate::single::SingleOutcome;
use crate::single::SingleResult;

/// Path of offers of a request to another host.
pub const OFFER_PATH: &str = "/relay/offer";

/// Path of requests that are passed to another host.
pub const QUERY_PATH: &str = "/relay/query";

/// Time within which a host must accept an offer: the round trip between zones and a few
/// queries that it starts before this one.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which a host that did not answer an offer or a request is avoided.
const FAILED_RELAY_PAUSE: Duration = Duration::from_secs(3);

/// Time for which a host that declined an offer is avoided, for example because it is
/// stopping or has another version of the route.
const DECLINED_RELAY_PAUSE: Duration = Duration::from_millis(200);

/// The same for a host that is looked for because the links of this one are lost. Many others
/// may have lost theirs.
const DECLINED_HELPER_PAUSE: Duration = Duration::from_secs(1);

/// Most relays to which a query is offered before this host gathers it itself.
const MAX_RELAY_OFFERS: u32 = 2;

/// Most hosts to which a request is offered that this host cannot send to any backend server.
/// With two thirds of the hosts cut off, one in 25 requests finds none.
const MAX_HELPER_OFFERS: u32 = 8;

value! {
    /// What another host has to do.
    #[derive(Copy)]
    pub enum Task<'a> {
        /// Gather a query.
        Query {
            /// Its shards.
            gather: &'a Gather,
            /// Time from which it ends as soon as enough shards have replied.
            soft_deadline: Instant,
        },
        /// Send a request to one backend server of a service.
        Single {
            /// Name of the service.
            service: &'a str,
        },
    }

    /// What became of a request that another host has accepted.
    pub struct Passed {
        relay: Box<str>,
        /// `None` if it is lost.
        reply: Option<RelayReply>,
        timed_out: bool,
    }
}

impl Passed {
    /// The outcome of a query. One that is lost leaves unknown whether the query ran.
    pub fn into_gathered(self) -> Executed<GatherOutcome> {
        let timed_out = self.timed_out;
        let outcome = self.reply.and_then(RelayReply::into_gathered);
        let outcome = outcome.unwrap_or(GatherOutcome::TooFewShards {
            may_have_run: true,
            timed_out,
            missing: Vec::new(),
        });
        Executed { relay: self.relay, outcome }
    }

    /// The outcome of a request to one backend server. One that is lost, or too large to be kept
    /// until the caller has read it, leaves unknown whether the request ran.
    pub fn into_single(self, core: &Core) -> Executed<SingleResult> {
        let timed_out = self.timed_out;
        let outcome = self.reply.and_then(RelayReply::into_single);
        let outcome = outcome.and_then(|result| hold_body(core, result));
        let outcome = outcome.unwrap_or_else(|| {
            let outcome = SingleOutcome::Unknown { timed_out };
            SingleResult { outcome, asked: Vec::new() }
        });
        Executed { relay: self.relay, outcome }
    }
}

/// Counts the body of a reply until it is dropped. None if it does not fit into the memory.
fn hold_body(core: &Core, mut result: SingleResult) -> Option<SingleResult> {
    if let SingleOutcome::Answered(reply) = &mut result.outcome {
        let Some(body) = core.reply_memory.hold(mem::take(&mut reply.body)) else {
            core.metrics.count("relay.too_large");
            if core.log_limiter.allows(Category::Notable, core.now()) {
                spdlog::warn!("reply of another host exceeds the memory for large replies");
            }
            return None;
        };
        reply.body = body;
    }
    Some(result)
}

/// Passes a query to a relay, if this host uses relays, and waits for its outcome. None if no
/// relay has accepted it; it has not been sent then.
pub async fn pass_to_relay(
    core: &Arc<Core>,
    route: &Route,
    task: Task<'_>,
    spec: &mut RequestSpec,
) -> Option<Passed> {
    pass_on(core, route, task, spec, false).await
}

/// Passes a request to another host because this one has lost its links to the backend
/// servers, and waits for its outcome. None if no host has accepted it; it has not been sent
/// then.
pub async fn pass_to_helper(
    core: &Arc<Core>,
    route: &Route,
    task: Task<'_>,
    spec: &mut RequestSpec,
) -> Option<Passed> {
    pass_on(core, route, task, spec, true).await
}

/// Offers a request to other hosts until one has its outcome. What those did that give it back is
/// recorded in `spec`.
async fn pass_on(
    core: &Arc<Core>,
    route: &Route,
    task: Task<'_>,
    spec: &mut RequestSpec,
    lost: bool,
) -> Option<Passed> {
    let digest = core.state().route_digest(&route.name)?;
    let offer = Offer { route: route.name.clone(), digest };
    let max_offers = if lost { MAX_HELPER_OFFERS } else { MAX_RELAY_OFFERS };
    for _ in 0..max_offers {
        if spec.time_left(core).is_zero() {
            return None;
        }
        let relay = choose(core, task, spec.executed.any(), lost)?;
        let client = core.relays().get(relay.address);
        if !accepts(core, &client, &relay, &offer, lost).await {
            continue;
        }
        let request = RelayedRequest::new(offer.clone(), spec, task, core.now());
        match send(core, &client, &request, spec).await {
            // The other host took another version of the route after it had accepted the
            // offer, and has sent nothing.
            Sent::Declined => {
                avoid(core, &relay, "another version of the route", DECLINED_RELAY_PAUSE)
            }
            // It has counted the request, and spent an extra one for each that it had sent. A host
            // of an earlier build does not state executions; without a send there are none.
            Sent::Done(RelayReply::OutOfReach { sent, executed })
                if !sent || (spec.idempotent && executed.is_some()) =>
            {
                avoid(core, &relay, "links lost", DECLINED_HELPER_PAUSE);
                spec.is_repeat = true;
                spec.executed = executed.unwrap_or_default();
                let (shards, required) = route.target.shard_counts();
                if !spec.executed.allow_more(route.max_attempts, shards, required) {
                    return None;
                }
            }
            Sent::Done(reply) => {
                let (relay, reply) = (relay.host, Some(reply));
                return Some(Passed { relay, reply, timed_out: false });
            }
            Sent::Lost { timed_out } => {
                core.metrics.count("relay.lost");
                avoid(core, &relay, "outcome lost", FAILED_RELAY_PAUSE);
                return Some(Passed { relay: relay.host, reply: None, timed_out });
            }
        }
    }
    None
}

/// The host to which a request is offered next.
///
/// A query that a relay gave back after it was executed is gathered by this host.
fn choose(core: &Core, task: Task<'_>, was_executed: bool, lost: bool) -> Option<Relay> {
    let (mut state, now) = (core.state(), core.now());
    match task {
        _ if lost => {
            let min_format = if was_executed { FORMAT_WITH_EXECUTIONS } else { 0 };
            state.choose_helper(matches!(task, Task::Query { .. }), min_format, now)
        }
        Task::Query { gather, .. } if !was_executed => state.choose_relay(gather, now),
        Task::Query { .. } | Task::Single { .. } => None,
    }
}

/// Whether another host accepts the offer of a request in time.
async fn accepts(core: &Core, client: &Client, relay: &Relay, offer: &Offer, lost: bool) -> bool {
    let accept = client.call::<_, bool>(Method::POST, OFFER_PATH, Some(offer));
    match time::timeout(ACCEPT_TIMEOUT, accept).await {
        Ok(Ok(true)) => {
            core.metrics.count("relay.accepted");
            core.state().record_accepted_offer(&relay.host, core.now());
            true
        }
        Ok(Ok(false)) => {
            core.metrics.count("relay.declined");
            let pause = if lost { DECLINED_HELPER_PAUSE } else { DECLINED_RELAY_PAUSE };
            avoid(core, relay, "declined", pause);
            false
        }
        Ok(Err(_)) | Err(_) => {
            core.metrics.count("relay.silent");
            avoid(core, relay, "no answer to an offer", FAILED_RELAY_PAUSE);
            false
        }
    }
}

/// What became of an accepted offer.
enum Sent {
    /// The other host has not executed the request.
    Declined,
    /// Its reply.
    Done(RelayReply),
    /// The outcome is lost.
    Lost { timed_out: bool },
}

async fn send(core: &Core, client: &Client, request: &RelayedRequest, spec: &RequestSpec) -> Sent {
    let call = client.call::<_, Option<RelayReply>>(Method::POST, QUERY_PATH, Some(request));
    match time::timeout(spec.time_left(core), call).await {
        Ok(Ok(None)) => Sent::Declined,
        Ok(Ok(Some(reply))) => Sent::Done(reply),
        Ok(Err(_)) => Sent::Lost { timed_out: false },
        Err(_) => Sent::Lost { timed_out: true },
    }
}

fn avoid(core: &Core, relay: &Relay, problem: &'static str, pause: Duration) {
    spdlog::info!("avoiding a relay for a while", kv: { host = &*relay.host, problem });
    let now = core.now();
    core.state().avoid_relay(&relay.host, now + pause, now);
}
