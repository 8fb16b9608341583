//! Claims through the HTTP store client against the simulated platform.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_base::clock::SystemClock;
use chervil_claim::ClaimSettings;
use chervil_claim::Claims;
use chervil_platform::HttpSettings;
use chervil_platform::HttpStore;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_standin::cluster::Standin;
use chervil_standin::platform::PlatformFaults;
use chervil_standin::settings::Settings;
use futures::future::join_all;

async fn platform() -> Standin {
    let text = "control = \"127.0.0.1:0\"\n[platform]\nlisten = \"127.0.0.1:0\"";
    let settings: Settings = toml::from_str(text).unwrap();
    Standin::start(&settings).await.unwrap()
}

fn host(standin: &Standin, seed: u64) -> Claims {
    let url = format!("http://{}", standin.platform.unwrap());
    let store = Arc::new(HttpStore::new(&HttpSettings::new(&url)).unwrap());
    let settings = ClaimSettings { write_interval: Duration::ZERO, ..ClaimSettings::default() };
    Claims::new(store, Arc::new(SystemClock), settings, seed)
}

fn set_faults(standin: &Standin, faults: PlatformFaults) {
    standin.cluster.platform.as_ref().unwrap().set_faults(faults);
}

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs()
}

fn request(now: u64, key: u32, nonce: u64) -> ClaimRequest {
    let key = format!("{now}-{key}").into();
    ClaimRequest { key, digest: 1, nonce, timeout_ms: 20_000, forwarded: false }
}

// Guards against a store client that reports a write as successful or failed when
// its request or reply was lost, so that the outcome is unknown.
#[tokio::test]
async fn each_key_is_granted_once_when_replies_and_requests_are_lost() {
    let standin = platform().await;
    let now = now();
    let hosts = [host(&standin, 1), host(&standin, 2)];
    set_faults(
        &standin,
        PlatformFaults { lost_replies: 8, lost_requests: 8, ..PlatformFaults::default() },
    );

    let claims = (0..40).flat_map(|key| {
        let claim = |i: usize| hosts[i].claim(request(now, key, u64::from(key) * 2 + i as u64));
        [claim(0), claim(1)]
    });
    let replies = join_all(claims).await;

    for pair in replies.chunks(2) {
        let granted = pair.iter().filter(|r| **r == ClaimReply::Granted).count();
        assert_eq!(granted, 1, "{pair:?}");
    }
}

// Guards against a claim that is granted during an outage, or refused but written
// so that it blocks the key afterwards.
#[tokio::test]
async fn outage_refuses_claims_and_leaves_the_key_free() {
    let standin = platform().await;
    let now = now();
    let host = host(&standin, 1);
    set_faults(&standin, PlatformFaults { down: true, ..PlatformFaults::default() });
    // The platform closes its port shortly after the fault is set.
    let mut nonce = 1;
    while host.claim(request(now, nonce, 1)).await != ClaimReply::Unavailable {
        nonce += 1;
    }

    let refused = host.claim(request(now, 0, 1)).await;
    set_faults(&standin, PlatformFaults::default());
    let mut granted = host.claim(request(now, 0, 2)).await;
    while granted == ClaimReply::Unavailable {
        granted = host.claim(request(now, 0, 2)).await;
    }

    assert_eq!((refused, granted), (ClaimReply::Unavailable, ClaimReply::Granted));
}
