//! Execution of requests that other hosts pass to this one.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use chervil_route::attempts::Executions;
use chervil_route::config::Config;
use chervil_route::config::Route;
use chervil_route::config::Target;
use hyper::Response;
use hyper::StatusCode;

use crate::answer;
use crate::answer::Answer;
use crate::attempt::RequestSpec;
use crate::core::Core;
use crate::crashes;
use crate::gather;
use crate::gather::GatherOutcome;
use crate::listen::Lifecycle;
use crate::listen::RelayedQuery;
use crate::logs::Category;
use crate::relayed::Offer;
use crate::relayed::RelayReply;
use crate::relayed::RelayedRequest;
use crate::single;
use crate::single::SingleOutcome;
use crate::single::SingleResult;

/// Most requests that a host executes for other hosts at once. More would take turns for
/// its CPU for longer than most latency targets.
const MAX_RELAYED: usize = 24;

/// Answers an offer: `true` if this host would execute the request.
pub fn answer_offer(core: &Core, lifecycle: &Lifecycle, body: &[u8]) -> Answer {
    let Ok(offer) = serde_json::from_slice::<Offer>(body) else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the offer is malformed\n");
    };
    let accepted = lifecycle.is_ready()
        && lifecycle.relayed() < MAX_RELAYED
        && !core.has_lost_links()
        && matching_route(core, &offer).is_some();
    answer::plain_text(StatusCode::OK, if accepted { "true\n" } else { "false\n" })
}

/// Body of an answer to another host, whose request is in progress until it has been sent.
struct RunningBody {
    json: Vec<u8>,
    _running: RelayedQuery,
}

impl AsRef<[u8]> for RunningBody {
    fn as_ref(&self) -> &[u8] {
        &self.json
    }
}

/// Executes a request of another host. The answer is `null` if this host has another version
/// of the route, or is about to end; nothing has been sent to a backend server then.
pub async fn answer_request(core: &Arc<Core>, lifecycle: &Arc<Lifecycle>, body: &[u8]) -> Answer {
    let request = serde_json::from_slice::<RelayedRequest>(body).ok();
    let Some((request, outgoing)) = request.and_then(|r| r.outgoing().map(|o| (r, o))) else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the query is malformed\n");
    };
    let Some((config, index)) = matching_route(core, &request.offer) else {
        return answer::plain_text(StatusCode::OK, "null\n");
    };
    let route = &config.routes[index];
    let running = lifecycle.track_relayed();
    // The other host may have been suspended since its offer was accepted. Checked after the
    // request is counted, so that a stop either waits for it or is seen here.
    if lifecycle.is_draining() {
        core.metrics.count("relay.late");
        return answer::plain_text(StatusCode::OK, "null\n");
    }
    // Lets the connection notice that the other host has closed it, before anything is
    // sent: this host may have been paused since.
    tokio::task::yield_now().await;
    let timeout = request.timeout().min(route.timeout);
    let digest = request.digest.unwrap_or_else(|| crashes::request_digest(&outgoing, None));
    let mut spec = RequestSpec::new(core, outgoing, digest, timeout, route.idempotent);
    spec.is_repeat = request.repeated;
    let start = core.now();
    let id = spec.request.request_id.clone();
    let reply = match executions(route, &request) {
        Some(executed) => {
            spec.executed = executed;
            execute(core, route, &request, spec).await
        }
        None => {
            core.metrics.count("relay.attempts_used");
            Some(executed_elsewhere(&request))
        }
    };
    let Some(reply) = reply else {
        return answer::plain_text(StatusCode::OK, "null\n");
    };
    log_served(core, &id, route, &reply, start);
    encode(core, reply, running).unwrap_or_else(|problem| {
        if core.log_limiter.allows(Category::Notable, core.now()) {
            spdlog::error!("cannot return the outcome of a request", kv: { problem = &*problem });
        }
        // Not an empty body or "null", which would state that nothing was sent.
        answer::plain_text(StatusCode::INTERNAL_SERVER_ERROR, "the outcome is lost\n")
    })
}

/// Encodes an outcome. The other host may read a large one slowly, so it counts as memory of a
/// reply until it has been sent.
fn encode(core: &Core, reply: RelayReply, running: RelayedQuery) -> Result<Answer, Box<str>> {
    let json = serde_json::to_vec(&reply).map_err(|e| e.to_string())?;
    let body = Bytes::from_owner(RunningBody { json, _running: running });
    match core.reply_memory.hold(body) {
        Some(body) => Ok(Response::new(body.into())),
        None => {
            core.metrics.count("relay.too_large");
            Err("large replies exceed the memory for them; wait until they are read".into())
        }
    }
}

/// Executions of a request before; `None` if this host must not execute it again. A host of an
/// earlier build does not state those of a request that it may have sent.
fn executions(route: &Route, request: &RelayedRequest) -> Option<Executions> {
    let executed = match &request.executed {
        Some(executed) => executed.clone(),
        None if request.repeated && route.idempotent => return None,
        None => Executions::default(),
    };
    let (shards, required) = route.target.shard_counts();
    executed.allow_more(route.max_attempts, shards, required).then_some(executed)
}

/// The outcome of a request that servers may have executed for other hosts and that this host does
/// not send. The sending host does not look for another one then.
fn executed_elsewhere(request: &RelayedRequest) -> RelayReply {
    match request.service {
        None => RelayReply::from_gathered(GatherOutcome::executed_elsewhere()),
        Some(_) => RelayReply::from_single(SingleResult {
            outcome: SingleOutcome::Unknown { timed_out: false },
            asked: Vec::new(),
        }),
    }
}

/// Executes a request here; it is not passed on again. None if the route does not allow what
/// the request states.
async fn execute(
    core: &Arc<Core>,
    route: &Route,
    request: &RelayedRequest,
    spec: RequestSpec,
) -> Option<RelayReply> {
    let block_time = core.state().crashes.block_time(spec.digest, core.now());
    let was_executed = spec.executed.any();
    match (&route.target, &request.service) {
        // The sending host has not heard of all crashes yet.
        _ if !block_time.is_zero() && was_executed => Some(executed_elsewhere(request)),
        (Target::Gather(_), None) if !block_time.is_zero() => Some(RelayReply::Refused {
            reason: "suspect".into(),
            retry_ms: block_time.as_millis() as u64,
        }),
        (_, Some(_)) if !block_time.is_zero() => Some(RelayReply::NotRun { asked: Vec::new() }),
        (Target::Gather(gather), None) => {
            let soft_deadline = core.now() + request.soft_timeout().min(route.timeout);
            core.metrics.count("relay.served");
            let outcome = gather::run(core, route, gather, spec, soft_deadline).await;
            Some(RelayReply::from_gathered(outcome).for_query_of(request.format))
        }
        (target, Some(service)) if target.has_service(service) => {
            core.metrics.count("relay.served");
            let mut result = single::run(core, route, service, spec).await;
            // Only the servers of this service: another host would fare no better.
            if matches!(result.outcome, SingleOutcome::OutOfReach { sent: false, .. })
                && !core.has_lost_links()
            {
                result.outcome = if was_executed {
                    SingleOutcome::Unknown { timed_out: false }
                } else {
                    SingleOutcome::NotRun
                };
            }
            Some(RelayReply::from_single(result).for_single_of(request.format))
        }
        _ => None,
    }
}

/// Logs a request that was executed for another host, if the log rate allows it.
fn log_served(core: &Core, id: &[u8], route: &Route, reply: &RelayReply, start: Instant) {
    let now = core.now();
    let none: &[Box<str>] = &[];
    let (name, missing, asked, extra) = match reply {
        RelayReply::Merged { missing, extra, .. } if missing.is_empty() => {
            ("answered", none, none, *extra)
        }
        RelayReply::Merged { missing, extra, .. } => ("partial", &**missing, none, *extra),
        RelayReply::Refused { .. } => ("refused", none, none, 0),
        RelayReply::TooFewShards { missing, .. } => ("failed", &**missing, none, 0),
        RelayReply::OutOfReach { .. } => ("out_of_reach", none, none, 0),
        RelayReply::Answered { asked, .. } => ("answered", none, &**asked, 0),
        RelayReply::NotRun { asked } => ("refused", none, &**asked, 0),
        RelayReply::Unknown { asked, .. } => ("unknown", none, &**asked, 0),
    };
    let category = if name == "answered" { Category::Success } else { Category::Notable };
    if core.log_limiter.allows(category, now) {
        spdlog::info!("relayed query", kv: {
            id = &*String::from_utf8_lossy(id),
            route = &*route.name,
            outcome = name,
            missing = missing.join(",").as_str(),
            asked = asked.join(" ").as_str(),
            extra,
            ms = now.duration_since(start).as_secs_f64() * 1e3,
        });
    }
}

/// The configuration in force and the index of the route of a request in it, if the route
/// is the same in the configurations of both hosts.
fn matching_route(core: &Core, offer: &Offer) -> Option<(Arc<Config>, usize)> {
    let state = core.state();
    if state.route_digest(&offer.route) != Some(offer.digest) {
        return None;
    }
    let config = state.config.clone()?;
    let index = config.routes.iter().position(|r| r.name == offer.route)?;
    Some((config, index))
}
