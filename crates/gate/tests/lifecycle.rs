//! Lease, drains, configuration changes, hints and stops of a gate.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_gate::app;
use chervil_rpc::client;
use chervil_rpc::gate::*;
use chervil_rpc::secret::Secret;
use fixture::agent;
use jsonrpsee::ws_client::WsClient;

mod fixture;

async fn refusal(client: &WsClient) -> Option<Refusal> {
    let replies = fixture::ask(client, fixture::batch(1, vec![fixture::item(0, false)])).await;
    match replies[0].result {
        AskResult::Refused { reason, .. } => Some(reason),
        _ => None,
    }
}

/// Guards against a gate that sends work without a lease when its agent hangs,
/// and against one that stays unusable afterwards.
#[tokio::test]
async fn a_hanging_agent_ends_the_right_to_send() {
    let system = fixture::one(2, "").await;
    let (client, agent, gate) = (&system.client, &system.agent, &system.gate);
    fixture::eventually(async || gate.is_ready()).await;

    agent.change(|a| a.hang = true);
    fixture::eventually(async || refusal(client).await == Some(Refusal::NotOwner)).await;
    let arrived = system.arrived();
    assert!(client.index("lookup".into()).await.is_err());
    let reply = client.run(fixture::run_request("k1")).await.unwrap();
    fixture::eventually(async || !gate.is_ready()).await;

    assert_eq!(reply, RunReply::NotRun { reason: Refusal::NotOwner });
    assert_eq!(system.arrived(), arrived);
    agent.change(|a| a.hang = false);
    fixture::eventually(async || refusal(client).await.is_none()).await;
}

/// Guards against new work for servers that drain or that operators took out.
#[tokio::test]
async fn drains_and_configuration_changes_end_new_work() {
    let system = fixture::one(2, "").await;
    let (client, agent) = (&system.client, &system.agent);

    system.faults(|f| f.draining = true);
    fixture::eventually(async || refusal(client).await == Some(Refusal::Draining)).await;
    assert!(client.index("lookup".into()).await.unwrap().is_empty());
    // A status must show the drain before one can end it.
    let seen = system.stats().statuses + 2;
    fixture::eventually(async || system.stats().statuses >= seen).await;
    system.faults(|f| f.draining = false);
    fixture::eventually(async || refusal(client).await.is_none()).await;

    agent.change(|a| {
        a.catalog.revision = 2;
        a.catalog.zones[0].in_service = false;
    });
    fixture::eventually(async || refusal(client).await == Some(Refusal::OutOfService)).await;

    agent.change(|a| {
        a.catalog.revision = 3;
        a.catalog.servers[0].name = "lookup-9".into();
    });
    fixture::eventually(async || refusal(client).await == Some(Refusal::UnknownServer)).await;
}

/// Guards against a server being unused because its status is silent.
#[tokio::test]
async fn a_server_with_a_silent_status_is_asked() {
    let system = fixture::system(1, 2, "[service.faults]\nstatus_silent = true").await;

    fixture::eventually(async || refusal(&system.client).await.is_none()).await;

    assert!(system.arrived() > 0);
}

/// Guards against a takeover that looks like a cold start: the levels reach
/// the next host when they change, and it starts with them.
#[tokio::test]
async fn levels_pass_to_the_next_host() {
    let system = fixture::one(4, "").await;
    let agent = &system.agent;
    let second = app::start(fixture::settings("h2", agent)).await.unwrap();
    let next = client::connect(second.address, &fixture::secret(), fixture::LIMIT).await.unwrap();
    agent.change(|a| a.lease.down = vec!["h2".into()]);
    // The lease is read every 200 ms; the new member must be known as down.
    tokio::time::sleep(Duration::from_millis(500)).await;
    agent.change(|a| {
        let host = agent::host("h2", second.address);
        let member = chervil_rpc::agent::Member { host: host.clone(), up: true, leaving: false };
        a.view.members.hosts.push(host);
        a.view.hosts.push(member);
    });
    let items = (0..40).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&system.client, fixture::batch(1, items)).await;
    agent.change(|a| a.lease.down = vec!["h1".into()]);
    fixture::warm(&next, 1).await;
    system.faults(|f| f.base_ms = 20.0);
    system.standin.cluster.reset_stats();
    let items = (0..8).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&next, fixture::batch(2, items)).await;

    assert_eq!(system.stats().peak_running, 4);
}

/// Guards against a stop that interrupts running work, starts new work, or
/// leaves the agent without a release.
#[tokio::test]
async fn a_stop_finishes_running_work_and_releases() {
    let system = fixture::one(2, "[service.faults]\nbase_ms = 300").await;
    let fixture::System { standin, agent, gate, client } = system;
    let server = &standin.cluster.servers[0];
    let first = fixture::batch(1, vec![fixture::item(0, false)]);
    let mut running = client.ask(first).await.unwrap();
    fixture::eventually(async || server.model().stats().running == 1).await;

    let stop = tokio::spawn(gate.stop());
    fixture::eventually(async || refusal(&client).await == Some(Refusal::Stopping)).await;
    let reply = fixture::next(&mut running).await;
    stop.await.unwrap();

    assert!(matches!(reply.result, AskResult::Rows { .. }));
    assert_eq!(server.model().stats().asks, 1);
    assert_eq!(agent.state.inner.lock().unwrap().releases, 1);
}

/// Guards against peers without the shared secret.
#[tokio::test]
async fn a_peer_with_another_secret_is_refused() {
    let system = fixture::one(2, "").await;
    let other = Secret::try_from(Box::from("another-secret-for-tests")).unwrap();

    let refused = client::connect(system.gate.address, &other, fixture::LIMIT).await;

    assert!(refused.is_err());
    let level = WarmupLevel { server: "lookup-1".into(), level: 1 };
    assert!(system.client.hint(vec![level]).await.is_ok());
}
