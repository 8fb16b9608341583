//! Execution of a request by this host, or by another one: a relay, or a helper while this
//! host has lost its links to the backend servers.

use std::sync::Arc;
use std::time::Instant;

use chervil_base::value;
use chervil_route::config::Gather;
use chervil_route::config::Route;

use crate::attempt::RequestSpec;
use crate::core::Core;
use crate::gather;
use crate::gather::GatherOutcome;
use crate::relay;
use crate::relay::Task;
use crate::single;
use crate::single::SingleOutcome;
use crate::single::SingleResult;

value! {
    /// Outcome of a request, and the host that executed it.
    pub struct Executed<Outcome> {
        /// Name of the other host; empty if it was this one.
        pub relay: Box<str>,
        /// Outcome.
        pub outcome: Outcome,
    }
}

/// Executes a scatter-gather query.
pub async fn query(
    core: &Arc<Core>,
    route: &Route,
    gather: &Gather,
    mut spec: RequestSpec,
    soft_deadline: Instant,
) -> Executed<GatherOutcome> {
    let task = Task::Query { gather, soft_deadline };
    let mut outcome = GatherOutcome::OutOfReach { sent: false };
    if !core.has_lost_links() {
        if let Some(passed) = relay::pass_to_relay(core, route, task, &spec).await {
            return passed.into_gathered();
        }
        outcome = gather::run(core, route, gather, spec.clone(), soft_deadline).await;
        spec.is_repeat = true;
    }
    if matches!(outcome, GatherOutcome::OutOfReach { .. })
        && let Some(passed) = relay::pass_to_helper(core, route, task, &spec).await
    {
        return passed.into_gathered();
    }
    Executed { relay: Box::default(), outcome }
}

/// Executes a request to one backend server of a service.
pub async fn single(
    core: &Arc<Core>,
    route: &Route,
    service: &str,
    mut spec: RequestSpec,
) -> Executed<SingleResult> {
    // With lost links it is not counted here.
    let is_counted = !core.has_lost_links();
    let mut result = single::run(core, route, service, spec.clone()).await;
    if let SingleOutcome::OutOfReach { sent } = result.outcome {
        spec.is_repeat = is_counted;
        if let Some(passed) =
            relay::pass_to_helper(core, route, Task::Single { service }, &spec).await
        {
            return passed.into_single();
        }
        if !sent && !core.has_lost_links() {
            result.outcome = SingleOutcome::NotRun;
        }
    }
    Executed { relay: Box::default(), outcome: result }
}
