//! Quorum lease, drains, catalog changes, warm-up hints and shutdown of a gate.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_gate::app;
use chervil_rpc::client;
use chervil_rpc::gate::*;
use chervil_rpc::secret::Secret;
use fixture::agent;
use jsonrpsee::ws_client::WsClient;

mod fixture;

/// Asks for one shard; returns the reason if the gate or the server refused it.
async fn refusal(client: &WsClient) -> Option<Refusal> {
    let replies = fixture::ask(client, fixture::batch(1, vec![fixture::item(0, false)])).await;
    match replies[0].result {
        AskResult::Refused { reason, .. } => Some(reason),
        _ => None,
    }
}

/// Guards against a gate that sends requests after its quorum lease has expired because
/// the agent hangs, and against one that does not recover when the agent replies again.
#[tokio::test]
async fn work_is_refused_while_the_agent_hangs() {
    let system = fixture::single_server(2, "").await;
    let (client, agent, gate) = (&system.client, &system.agent, &system.gate);
    fixture::eventually(async || gate.is_ready()).await;

    agent.update(|a| a.lease_hangs = true);
    fixture::eventually(async || refusal(client).await == Some(Refusal::NotOwner)).await;
    let received = system.requests_received();
    assert!(client.index("lookup".into()).await.is_err());
    let reply = client.run(fixture::run_request("k1")).await.unwrap();
    fixture::eventually(async || !gate.is_ready()).await;

    assert_eq!(reply, RunReply::NotRun { reason: Refusal::NotOwner });
    assert_eq!(system.requests_received(), received);
    agent.update(|a| a.lease_hangs = false);
    fixture::eventually(async || refusal(client).await.is_none()).await;
}

/// Guards against new work for servers that are draining, out of service or removed from
/// the catalog.
#[tokio::test]
async fn new_work_is_refused_after_drains_and_catalog_changes() {
    let system = fixture::single_server(2, "").await;
    let (client, agent) = (&system.client, &system.agent);

    system.set_faults(|f| f.draining = true);
    fixture::eventually(async || refusal(client).await == Some(Refusal::Draining)).await;
    assert!(client.index("lookup".into()).await.unwrap().is_empty());
    // The drain ends only if a status reply has shown it before.
    let expected = system.stats().statuses + 2;
    fixture::eventually(async || system.stats().statuses >= expected).await;
    system.set_faults(|f| f.draining = false);
    fixture::eventually(async || refusal(client).await.is_none()).await;

    agent.update(|a| {
        a.catalog.revision = 2;
        a.catalog.zones[0].in_service = false;
    });
    fixture::eventually(async || refusal(client).await == Some(Refusal::OutOfService)).await;

    agent.update(|a| {
        a.catalog.revision = 3;
        a.catalog.servers[0].name = "lookup-9".into();
    });
    fixture::eventually(async || refusal(client).await == Some(Refusal::UnknownServer)).await;
}

/// Guards against a server that gets no work only because it does not reply to status
/// requests.
#[tokio::test]
async fn server_without_status_replies_gets_work() {
    let system = fixture::start_system(1, 2, "[service.faults]\nstatus_silent = true").await;

    fixture::eventually(async || refusal(&system.client).await.is_none()).await;

    assert!(system.requests_received() > 0);
}

/// Guards against a takeover that looks like a cold start: the owner must send changed
/// warm-up levels to its successor, which must start with them.
#[tokio::test]
async fn warmup_levels_pass_to_the_next_owner() {
    let system = fixture::single_server(4, "").await;
    let agent = &system.agent;
    let second = app::start(fixture::settings("h2", agent)).await.unwrap();
    let successor =
        client::connect(second.address, &fixture::secret(), fixture::TIMEOUT).await.unwrap();
    agent.update(|a| a.lease.down = vec!["h2".into()]);
    // The gate reads the lease every 200 ms; it must know that h2 is down before h2
    // becomes a member.
    tokio::time::sleep(Duration::from_millis(500)).await;
    agent.update(|a| {
        let host = agent::host("h2", second.address);
        let member = chervil_rpc::agent::Member { host: host.clone(), up: true, leaving: false };
        a.view.members.hosts.push(host);
        a.view.hosts.push(member);
    });
    let items = (0..40).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&system.client, fixture::batch(1, items)).await;
    agent.update(|a| a.lease.down = vec!["h1".into()]);
    fixture::wait_for_index(&successor, 1).await;
    system.set_faults(|f| f.base_ms = 20.0);
    system.standin.cluster.reset_stats();
    let items = (0..8).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&successor, fixture::batch(2, items)).await;

    assert_eq!(system.stats().peak_running, 4);
}

/// Guards against a shutdown that interrupts running work, starts new work or does not
/// send the release to the agent.
#[tokio::test]
async fn shutdown_finishes_running_work_and_releases() {
    let system = fixture::single_server(2, "[service.faults]\nbase_ms = 300").await;
    let fixture::System { standin, agent, gate, client } = system;
    let server = &standin.cluster.servers[0];
    let first = fixture::batch(1, vec![fixture::item(0, false)]);
    let mut running = client.ask(first).await.unwrap();
    fixture::eventually(async || server.model().stats().running == 1).await;

    let stop = tokio::spawn(gate.stop());
    fixture::eventually(async || refusal(&client).await == Some(Refusal::Stopping)).await;
    let reply = fixture::next_reply(&mut running).await;
    stop.await.unwrap();

    assert!(matches!(reply.result, AskResult::Rows { .. }));
    assert_eq!(server.model().stats().asks, 1);
    assert_eq!(agent.shared.state.lock().unwrap().releases, 1);
}

/// Guards against clients that connect without the shared secret.
#[tokio::test]
async fn a_peer_with_another_secret_is_refused() {
    let system = fixture::single_server(2, "").await;
    let other = Secret::try_from(Box::from("another-secret-for-tests")).unwrap();

    let refused = client::connect(system.gate.address, &other, fixture::TIMEOUT).await;

    assert!(refused.is_err());
    let level = WarmupLevel { server: "lookup-1".into(), level: 1 };
    assert!(system.client.hint(vec![level]).await.is_ok());
}
