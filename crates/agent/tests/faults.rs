//! Agents under faults of the store, of peers and of their own host or gate.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_agent::Settings;
use chervil_fakes::FakeHosts;
use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_platform::ListedHost;
use chervil_rpc::server::serve;
use jsonrpsee::ConnectionId;
use jsonrpsee::Extensions;
use jsonrpsee::RpcModule;
use jsonrpsee::types::Params;
use tokio::sync::mpsc;
use tokio::time;

mod common;

use common::Host;
use common::PausableHost;
use common::StoreLink;
use common::WAIT_TIMEOUT;
use common::cluster;
use common::free_address;
use common::settings;
use common::until;
use common::wait_until_settled;
use common::write_member_list;
use common::write_revision;

fn store_down() -> Faults {
    Faults { down: true, ..Faults::default() }
}

fn addresses(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts.iter().map(|h| h.address).collect()
}

/// A cluster of ready hosts that have adopted revision 3.
async fn configured(size: usize, store: &Arc<FakeStore>) -> Vec<Host> {
    let hosts = cluster(size, store).await;
    write_revision(store, 3).await;
    for host in &hosts {
        until(async || host.status().await.ready).await;
    }
    hosts
}

/// Guards against a restarted host that cannot become ready, or that votes too
/// early or never, while the store is down: it must take its state from peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_restarted_while_the_store_is_down_gets_its_state_from_peers() {
    let store = Arc::new(FakeStore::new());
    let mut hosts = configured(3, &store).await;
    store.set_faults(store_down());
    let (name, address) = (hosts[2].name.clone(), hosts[2].address);
    hosts[2].kill();
    until(async || hosts[0].lease().await.down.len() == 1).await;

    let peers = addresses(&hosts[..2]);
    let settings = Settings { listen: address, ..settings(&name, &peers) };
    hosts[2] = Host::run(settings, store.clone()).await;

    until(async || hosts[2].status().await.ready).await;
    let status = hosts[2].status().await;
    assert_eq!((status.revision, status.store_up), (3, false));
    until(async || hosts[0].lease().await.down.is_empty()).await;
    wait_until_settled(&hosts, 3).await;
}

/// Guards against a new host without configured peers that gets no configuration
/// while the store is down, although the platform lists other hosts.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_host_finds_peers_in_the_platforms_host_list() {
    let store = Arc::new(FakeStore::new());
    let hosts = configured(2, &store).await;
    let listed = Arc::new(FakeHosts::default());
    let entry = |h: &Host| ListedHost {
        host: h.name.clone(),
        zone: "z1".into(),
        agent: h.address,
        gate: h.address,
        leaving: false,
    };
    listed.set_hosts(hosts.iter().map(entry).collect());
    store.set_faults(store_down());

    let new = Host::run_with(settings("h9", &[]), store.clone(), listed).await;

    until(async || new.status().await.revision == 3).await;
    store.set_faults(Faults::default());
    until(async || new.lease().await.remaining_ms > 0 && new.status().await.ready).await;
}

/// Guards against a host that reports ready without a configuration, and against
/// retries without backoff while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_store_and_peers_is_not_ready() {
    let store = Arc::new(FakeStore::new());
    store.set_faults(store_down());

    let host = Host::start("h0", store.clone(), &[]).await;
    time::sleep(Duration::from_secs(2)).await;

    assert!(!host.status().await.ready);
    assert_eq!(host.lease().await.remaining_ms, 0);
    // Reads of the member list and of the head are retried with exponential
    // backoff, starting at 250 ms and at 100 ms.
    assert!(host.status().await.store_calls < 20, "{:?}", host.status().await);
}

/// Guards against a host that falls behind or stops being ready when only its
/// own connection to the store is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_store_follows_its_peers() {
    let store = Arc::new(FakeStore::new());
    let link = StoreLink::new(&store);
    let first = Host::start("h0", link.clone(), &[]).await;
    let peers = [first.address];
    let second = Host::start("h1", store.clone(), &peers).await;
    let third = Host::start("h2", store.clone(), &peers).await;
    let hosts = [first, second, third];
    wait_until_settled(&hosts, 3).await;
    link.cut();

    write_revision(&store, 5).await;

    until(async || hosts[0].status().await.revision == 5).await;
    time::sleep(Duration::from_secs(4)).await;
    let status = hosts[0].status().await;
    assert!(status.ready && !status.store_up, "{status:?}");
    assert!(status.staleness_ms.is_some_and(|age| age < 3_000), "{status:?}");
}

/// Guards against a host that accepts work under an outdated configuration while
/// it can reach neither the store nor any peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_store_and_all_peers_is_not_ready() {
    let store = Arc::new(FakeStore::new());
    let mut hosts = configured(3, &store).await;

    store.set_faults(store_down());
    hosts[1].kill();
    hosts[2].kill();

    until(async || !hosts[0].status().await.ready).await;
    let status = hosts[0].status().await;
    // Whole milliseconds: a staleness just above the limit of three seconds is stated as 3000.
    assert!(status.staleness_ms.is_some_and(|age| age >= 3_000), "{status:?}");
    assert_eq!(hosts[0].lease().await.remaining_ms, 0);
}

/// Guards against hosts that stop accepting work, or that do not take over from
/// a dead host, because the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_stay_ready_and_take_over_while_the_store_is_down() {
    let store = Arc::new(FakeStore::new());
    let mut hosts = configured(3, &store).await;
    store.set_faults(store_down());
    time::sleep(Duration::from_secs(4)).await;
    assert!(hosts[0].status().await.ready && hosts[1].status().await.ready);

    hosts[2].kill();

    let dead = hosts[2].name.clone();
    for host in &hosts[..2] {
        until(async || host.lease().await.down == [dead.clone()]).await;
        let lease = host.lease().await;
        assert!(lease.remaining_ms > 0 && lease.settled, "{lease:?}");
    }
}

/// Guards against hosts that return to an older configuration or member list
/// after the store has been restored from a backup.
#[tokio::test(flavor = "multi_thread")]
async fn older_data_in_the_store_is_ignored_and_the_member_list_is_restored() {
    let store = Arc::new(FakeStore::new());
    let backup = store.dump();
    let hosts = configured(3, &store).await;
    let epoch = hosts[0].status().await.epoch;

    store.restore(backup);
    time::sleep(Duration::from_secs(2)).await;

    for host in &hosts {
        let status = host.status().await;
        assert_eq!((status.revision, status.epoch), (3, epoch));
    }
    until(async || store.dump().iter().any(|v| &*v.key == "members")).await;
}

/// Guards against a restarted host that votes under an older member list than
/// the one it acknowledged before its restart, because a read of the store was
/// stale.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_does_not_vote_under_a_stale_member_list() {
    let store = Arc::new(FakeStore::new());
    for epoch in [1, 2] {
        write_member_list(&store, epoch, free_address()).await;
    }
    store.set_faults(Faults { stale_reads: 1_000, ..Faults::default() });

    let host = Host::start("h0", store.clone(), &[]).await;
    until(async || host.status().await.epoch == 1).await;
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(host.voting_epoch().await, 0);

    store.set_faults(Faults::default());
    until(async || host.voting_epoch().await == 2).await;
}

/// Guards against a change that is never adopted because the watches of the
/// store do not report it.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_adopted_although_watches_do_not_report_it() {
    let store = Arc::new(FakeStore::new());
    let hosts = configured(3, &store).await;
    store.set_faults(Faults { silent_watches: true, ..Faults::default() });

    write_revision(&store, 9).await;

    for host in &hosts {
        until(async || host.status().await.revision == 9).await;
    }
}

/// Guards against an agent that, after a pause of its process, still grants the
/// lease from before the pause although its groups have been taken over.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_loses_its_lease_during_a_pause() {
    let store = Arc::new(FakeStore::new());
    let mut hosts = vec![Host::start("h0", store.clone(), &[]).await];
    hosts.push(Host::start("h1", store.clone(), &[hosts[0].address]).await);
    let paused = PausableHost::start("h2", store.clone(), &[hosts[0].address]).await;
    let observer = Host::attach("h2", paused.address).await;
    until(async || {
        let lease = observer.lease().await;
        lease.settled && lease.remaining_ms > 0 && hosts[0].lease().await.settled
    })
    .await;

    paused.pause(Duration::from_secs(4));
    until(async || hosts[0].lease().await.down == [observer.name.clone()]).await;
    drop(observer);
    // The connection is accepted only after the pause.
    let observer = Host::attach("h2", paused.address).await;
    let lease = observer.lease().await;

    assert_eq!(lease.remaining_ms, 0, "{lease:?}");
    until(async || observer.lease().await.remaining_ms > 0).await;
    drop(observer);
    paused.stop();
}

/// Guards against groups that no host serves because the gate of their owner is
/// dead while its agent still sends heartbeats.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_a_dead_gate_is_taken_over() {
    let store = Arc::new(FakeStore::new());
    let hosts = cluster(3, &store).await;

    hosts[1].kill_gate();

    until(async || hosts[0].lease().await.down == [hosts[1].name.clone()]).await;
    let view = hosts[0].view().await;
    assert!(view.hosts.iter().any(|m| m.host.host == hosts[1].name && !m.up));
}

/// Guards against a planned shutdown that ends before the gate has finished its
/// work, and against released groups that are taken over only after the lease
/// duration.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_shutdown_waits_for_the_gate_and_hands_its_groups_over() {
    let store = Arc::new(FakeStore::new());
    let mut hosts = configured(3, &store).await;
    let name = hosts[2].name.clone();

    let ended = hosts[2].shutdown();
    let leaving = async || {
        let view = hosts[0].view().await;
        view.hosts.iter().any(|m| m.host.host == name && m.leaving && m.up)
    };
    until(leaving).await;
    assert!(!hosts[2].status().await.ready);
    time::sleep(Duration::from_millis(500)).await;
    assert!(!ended.is_finished(), "the shutdown ended before the gate released its groups");
    assert!(hosts[0].lease().await.down.is_empty());

    hosts[2].release().await;
    until(async || hosts[0].lease().await.down == [name.clone()]).await;
    ended.await.unwrap();
}

/// Guards against dead hosts that stay in the member list, where they increase
/// the number of votes needed for a majority.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_stays_down_is_removed_from_the_member_list() {
    let store = Arc::new(FakeStore::new());
    let mut hosts = Vec::new();
    for i in 0..4 {
        let mut settings = settings(&format!("h{i}"), &addresses(&hosts));
        settings.tunables.remove_ms = 1_500;
        hosts.push(Host::run(settings, store.clone()).await);
    }
    wait_until_settled(&hosts, 4).await;

    hosts[3].kill();

    wait_until_settled(&hosts[..3], 3).await;
    assert!(hosts[0].lease().await.down.is_empty());
}

/// Guards against heartbeats that are sent for ever on an open connection that
/// no longer responds.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_move_to_a_new_connection_when_one_hangs() {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut module = RpcModule::new(sender);
    let hang =
        |_: Params<'static>, sender: Arc<mpsc::UnboundedSender<ConnectionId>>, e: Extensions| {
            let _ = sender.send(*e.get::<ConnectionId>().unwrap());
            pending::<()>()
        };
    module.register_async_method("agent_heartbeat", hang).unwrap();
    let secret = settings("h0", &[]).secret;
    let peer = serve(free_address(), &secret, module).await.unwrap();

    let store = Arc::new(FakeStore::new());
    write_member_list(&store, 1, peer.address).await;

    let _host = Host::start("h0", store, &[]).await;

    let first = time::timeout(WAIT_TIMEOUT, receiver.recv()).await.unwrap();
    let other = async { while receiver.recv().await == first {} };
    time::timeout(WAIT_TIMEOUT, other).await.unwrap();
}
