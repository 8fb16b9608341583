//! Lease, drains, configuration changes, hints and stops of a gate.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_gate::app;
use chervil_rpc::client;
use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::GateRpcClient as _;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use chervil_rpc::gate::WarmupLevel;
use chervil_rpc::secret::Secret;
use fixture::agent;
use fixture::agent::FakeAgent;
use fixture::backend::FakeBackend;
use jsonrpsee::ws_client::WsClient;

mod fixture;

async fn system(slots: u32) -> (FakeBackend, FakeAgent) {
    let backend = FakeBackend::start(slots).await;
    let servers = vec![agent::server("lookup-1", backend.address, slots, 10)];
    let agent = FakeAgent::start(servers, vec![agent::host("h1", agent::nowhere())]).await;
    (backend, agent)
}

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
    let (backend, agent) = system(2).await;
    let (gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;
    fixture::eventually(async || gate.is_ready()).await;

    agent.change(|a| a.hang = true);
    fixture::eventually(async || refusal(&client).await == Some(Refusal::NotOwner)).await;
    let started = backend.state().started;
    let reply = client.run(fixture::run_request("k1")).await.unwrap();
    fixture::eventually(async || !gate.is_ready()).await;

    assert_eq!(reply, RunReply::NotRun { reason: Refusal::NotOwner });
    assert_eq!(backend.state().started, started);
    agent.change(|a| a.hang = false);
    fixture::eventually(async || refusal(&client).await.is_none()).await;
}

/// Guards against new work for servers that drain or that operators took out.
#[tokio::test]
async fn drains_and_configuration_changes_end_new_work() {
    let (backend, agent) = system(2).await;
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;

    backend.state().draining = true;
    fixture::eventually(async || refusal(&client).await == Some(Refusal::Draining)).await;
    assert!(client.index("lookup".into()).await.unwrap().is_empty());
    backend.state().draining = false;
    fixture::eventually(async || refusal(&client).await.is_none()).await;

    agent.change(|a| {
        a.catalog.revision = 2;
        a.catalog.zones[0].in_service = false;
    });
    fixture::eventually(async || refusal(&client).await == Some(Refusal::OutOfService)).await;

    agent.change(|a| {
        a.catalog.revision = 3;
        a.catalog.servers.clear();
    });
    fixture::eventually(async || refusal(&client).await == Some(Refusal::UnknownServer)).await;
}

/// Guards against a server being unused because its status is silent.
#[tokio::test]
async fn a_server_with_a_silent_status_is_asked() {
    let (backend, agent) = system(2).await;
    backend.state().mute = true;
    let (_gate, client) = fixture::start(&agent).await;

    fixture::eventually(async || refusal(&client).await.is_none()).await;

    assert!(backend.state().started > 0);
}

/// Guards against a takeover that looks like a cold start: the levels reach
/// the next host when they change, and it starts with them.
#[tokio::test]
async fn levels_pass_to_the_next_host() {
    let backend = FakeBackend::start(4).await;
    let servers = vec![agent::server("lookup-1", backend.address, 4, 10)];
    let agent = FakeAgent::start(servers, vec![agent::host("h1", agent::nowhere())]).await;
    let (_first, client) = fixture::start(&agent).await;
    let second = app::start(fixture::settings("h2", &agent)).await.unwrap();
    let next = client::connect(second.address, &fixture::secret(), fixture::LIMIT).await.unwrap();
    fixture::warm(&client, 1).await;
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
    fixture::ask(&client, fixture::batch(1, items)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    agent.change(|a| a.lease.down = vec!["h1".into()]);
    fixture::warm(&next, 1).await;
    backend.state().delay = Duration::from_millis(20);
    backend.state().peak = 0;
    let items = (0..8).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&next, fixture::batch(2, items)).await;

    assert_eq!(backend.state().peak, 4);
}

/// Guards against a stop that interrupts running work, starts new work, or
/// leaves the agent without a release.
#[tokio::test]
async fn a_stop_finishes_running_work_and_releases() {
    let (backend, agent) = system(2).await;
    backend.state().delay = Duration::from_millis(300);
    let (gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;
    let first = fixture::batch(1, vec![fixture::item(0, false)]);
    let mut running = client.ask(first).await.unwrap();
    fixture::eventually(async || backend.state().running == 1).await;

    let stop = tokio::spawn(gate.stop());
    fixture::eventually(async || refusal(&client).await == Some(Refusal::Stopping)).await;
    let reply = fixture::next(&mut running).await;
    stop.await.unwrap();

    assert!(matches!(reply.result, AskResult::Rows { .. }));
    assert_eq!(backend.state().started, 1);
    assert_eq!(agent.state.inner.lock().unwrap().releases, 1);
}

/// Guards against peers without the shared secret.
#[tokio::test]
async fn a_peer_with_another_secret_is_refused() {
    let (_backend, agent) = system(2).await;
    let (gate, client) = fixture::start(&agent).await;
    let other = Secret::try_from(Box::from("another-secret-for-tests")).unwrap();

    let refused = client::connect(gate.address, &other, fixture::LIMIT).await;

    assert!(refused.is_err());
    let level = WarmupLevel { server: "lookup-1".into(), level: 1 };
    assert!(client.hint(vec![level]).await.is_ok());
}
