//! Claims and canary requests are forwarded to the host that owns them.
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use std::sync::Arc;
use std::time::SystemTime;

use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::RecordedOutcome;
use chervil_rpc::agent::SettleRequest;

mod common;

use common::Host;
use common::cluster;
use common::until;

/// Number of digests or keys, large enough that each host owns some of them.
const ITEMS: u64 = 16;

fn key(number: u64) -> Box<str> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    format!("{}-test{number:04}key", now.as_secs()).into()
}

fn claim_request(key: &str, nonce: u64) -> ClaimRequest {
    ClaimRequest { key: key.into(), digest: 1, nonce, timeout_ms: 5_000, forwarded: false }
}

async fn claim(host: &Host, key: &str, nonce: u64) -> ClaimReply {
    host.client().claim(claim_request(key, nonce)).await.unwrap()
}

async fn canary(host: &Host, digest: u64, nonce: u64) -> CanaryReply {
    let request = CanaryRequest { digest, nonce, forwarded: false };
    host.client().canary(request).await.unwrap()
}

async fn report(host: &Host, digest: u64, nonce: u64, result: CanaryResult) {
    let report = CanaryReport { digest, nonce, result, forwarded: false };
    host.client().canary_report(report).await.unwrap();
}

/// Guards against backend servers lost to one request on each host, because each
/// host counts only the losses of its own probes.
#[tokio::test(flavor = "multi_thread")]
async fn lost_probes_are_counted_across_hosts() {
    let hosts = cluster(3, &Arc::new(FakeStore::new())).await;

    for digest in 0..ITEMS {
        assert_eq!(canary(&hosts[0], digest, 1).await, CanaryReply::Probe);
        assert_eq!(canary(&hosts[1], digest, 2).await, CanaryReply::Probe);
        let third = canary(&hosts[2], digest, 3).await;
        assert!(matches!(third, CanaryReply::Wait { .. }), "{third:?}");
        report(&hosts[0], digest, 1, CanaryResult::Lost).await;
        report(&hosts[1], digest, 2, CanaryResult::Lost).await;
        assert_eq!(canary(&hosts[2], digest, 4).await, CanaryReply::Suspect);
    }
}

/// Guards against a crashing request that is probed again after the host that
/// owned its digest has died: the successor must know of the losses.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_digest_survives_the_death_of_its_owner() {
    let mut hosts = cluster(3, &Arc::new(FakeStore::new())).await;
    for digest in 0..ITEMS {
        for nonce in [1, 2] {
            assert_eq!(canary(&hosts[0], digest, nonce).await, CanaryReply::Probe);
            report(&hosts[0], digest, nonce, CanaryResult::Lost).await;
        }
    }

    hosts[2].kill();
    let dead = hosts[2].name.clone();
    until(async || hosts[0].lease().await.down == [dead.clone()]).await;

    for digest in 0..ITEMS {
        assert_eq!(canary(&hosts[1], digest, 3).await, CanaryReply::Suspect, "digest {digest}");
    }
}

/// Guards against a key that two hosts grant, and against an outcome that only
/// the host which recorded it returns.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_granted_only_once_across_hosts() {
    let hosts = cluster(3, &Arc::new(FakeStore::new())).await;

    for number in 0..ITEMS {
        let key = key(number);
        let replies = [claim(&hosts[0], &key, 1).await, claim(&hosts[1], &key, 2).await];
        assert_eq!(replies, [ClaimReply::Granted, ClaimReply::Running]);
        let outcome = RecordedOutcome::Done { body: "ok".into() };
        let settled = SettleRequest { key: key.clone(), nonce: 1, outcome, forwarded: false };
        hosts[2].client().settle(settled).await.unwrap();
        let reply = claim(&hosts[1], &key, 3).await;
        assert_eq!(reply, ClaimReply::Done { body: "ok".into() });
    }
}

/// Guards against requests that fail because their owner has died and its peers
/// have not yet noticed.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_serves_requests_itself_when_their_owner_is_dead() {
    let mut hosts = cluster(3, &Arc::new(FakeStore::new())).await;
    hosts[2].kill();

    for number in 0..ITEMS {
        assert_eq!(claim(&hosts[0], &key(number), 1).await, ClaimReply::Granted);
        assert_eq!(canary(&hosts[0], number, 1).await, CanaryReply::Probe);
    }
}

/// Guards against a claim that is granted or that hangs while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_unavailable_while_the_store_is_down() {
    let store = Arc::new(FakeStore::new());
    let hosts = cluster(2, &store).await;
    store.set_faults(Faults { down: true, ..Faults::default() });

    assert_eq!(claim(&hosts[0], &key(0), 1).await, ClaimReply::Unavailable);
    assert!(matches!(claim(&hosts[0], "x", 1).await, ClaimReply::Invalid { .. }));

    store.set_faults(Faults::default());
    until(async || claim(&hosts[0], &key(1), 1).await == ClaimReply::Granted).await;
    let view = hosts[0].view().await;
    assert_eq!(view.members.hosts.len(), 2);
}
