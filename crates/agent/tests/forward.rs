//! Claims and canary requests reach the host that owns them.
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

/// Digests and keys enough that each host is the home of some.
const MANY: u64 = 16;

fn key(number: u64) -> Box<str> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    format!("{}-test{number:04}key", now.as_secs()).into()
}

fn claim_of(key: &str, nonce: u64) -> ClaimRequest {
    ClaimRequest { key: key.into(), digest: 1, nonce, timeout_ms: 5_000, forwarded: false }
}

async fn claim(host: &Host, key: &str, nonce: u64) -> ClaimReply {
    host.client().claim(claim_of(key, nonce)).await.unwrap()
}

async fn ask(host: &Host, digest: u64, nonce: u64) -> CanaryReply {
    let request = CanaryRequest { digest, nonce, forwarded: false };
    host.client().canary(request).await.unwrap()
}

async fn report(host: &Host, digest: u64, nonce: u64, result: CanaryResult) {
    let report = CanaryReport { digest, nonce, result, forwarded: false };
    host.client().canary_report(report).await.unwrap();
}

/// Guards against losses that each host counts for itself.
#[tokio::test(flavor = "multi_thread")]
async fn losses_of_a_digest_are_counted_over_all_hosts() {
    let hosts = cluster(3, &Arc::new(FakeStore::new())).await;

    for digest in 0..MANY {
        assert_eq!(ask(&hosts[0], digest, 1).await, CanaryReply::Probe);
        assert_eq!(ask(&hosts[1], digest, 2).await, CanaryReply::Probe);
        let third = ask(&hosts[2], digest, 3).await;
        assert!(matches!(third, CanaryReply::Wait { .. }), "{third:?}");
        report(&hosts[0], digest, 1, CanaryResult::Lost).await;
        report(&hosts[1], digest, 2, CanaryResult::Lost).await;
        assert_eq!(ask(&hosts[2], digest, 4).await, CanaryReply::Suspect);
    }
}

/// Guards against a suspect that is forgotten with its home host.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_outlives_its_home() {
    let mut hosts = cluster(3, &Arc::new(FakeStore::new())).await;
    for digest in 0..MANY {
        for nonce in [1, 2] {
            assert_eq!(ask(&hosts[0], digest, nonce).await, CanaryReply::Probe);
            report(&hosts[0], digest, nonce, CanaryResult::Lost).await;
        }
    }

    hosts[2].kill();
    let dead = hosts[2].name.clone();
    until(async || hosts[0].lease().await.down == [dead.clone()]).await;

    for digest in 0..MANY {
        assert_eq!(ask(&hosts[1], digest, 3).await, CanaryReply::Suspect, "digest {digest}");
    }
}

/// Guards against a claim that two hosts grant, and against an outcome that
/// only one host knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_granted_once_over_all_hosts() {
    let hosts = cluster(3, &Arc::new(FakeStore::new())).await;

    for number in 0..MANY {
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

/// Guards against requests that fail because their home is dead, before its
/// peers have noticed.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_serves_itself_what_a_dead_home_does_not_answer() {
    let mut hosts = cluster(3, &Arc::new(FakeStore::new())).await;
    hosts[2].kill();

    for number in 0..MANY {
        assert_eq!(claim(&hosts[0], &key(number), 1).await, ClaimReply::Granted);
        assert_eq!(ask(&hosts[0], number, 1).await, CanaryReply::Probe);
    }
}

/// Guards against a claim that is granted, or hangs, while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_refused_while_the_store_is_down() {
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
