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
    let mut was_sent = false;
    if !core.has_lost_links() {
        if let Some(passed) = relay::pass_to_relay(core, route, task, &mut spec).await {
            return passed.into_gathered();
        }
        match gather::run(core, route, gather, spec.clone(), soft_deadline).await {
            GatherOutcome::OutOfReach { sent, executed } => {
                was_sent = sent;
                spec.executed = executed;
                spec.is_repeat = true;
            }
            outcome => return Executed { relay: Box::default(), outcome },
        }
    }
    if let Some(passed) = relay::pass_to_helper(core, route, task, &mut spec).await {
        return passed.into_gathered();
    }
    let sent = was_sent || spec.executed.any();
    let outcome = GatherOutcome::OutOfReach { sent, executed: spec.executed };
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
    if let SingleOutcome::OutOfReach { sent, executed } = result.outcome {
        spec.is_repeat = is_counted;
        spec.executed = executed;
        let task = Task::Single { service };
        if let Some(passed) = relay::pass_to_helper(core, route, task, &mut spec).await {
            let mut passed = passed.into_single(core);
            // A host of an earlier build passes each status on.
            let outcome = passed.outcome.outcome;
            passed.outcome.outcome = single::withhold_denial(core, route, &spec, outcome);
            return passed;
        }
        let sent = sent || spec.executed.any();
        result.outcome = if sent || core.has_lost_links() {
            SingleOutcome::OutOfReach { sent, executed: spec.executed }
        } else {
            SingleOutcome::NotRun
        };
    }
    Executed { relay: Box::default(), outcome: result }
}
