//! Connections that are opened ahead of queries.

mod support;

use chervil_front::warm;

use crate::support::Act;
use crate::support::Backend;
use crate::support::config;
use crate::support::entry;
use crate::support::gather;
use crate::support::host;
use crate::support::reply;
use crate::support::route;

async fn part() -> Backend {
    Backend::start(vec![Act::Send(reply(200, "aaaaaaaaaaaaaaa1"))]).await
}

/// Guards against a first query that opens all of its connections itself.
#[tokio::test]
async fn each_shard_gets_one_connection() {
    let (a, spare, b) = (part().await, part().await, part().await);
    let entries = [("a", &a), ("a", &spare), ("b", &b)];
    let entries = entries.iter().enumerate();
    let entries = entries.map(|(i, (s, b))| entry(&format!("i-{i}"), s, b.address)).collect();
    let routes = vec![route("/all/", gather(&["a", "b"], 1.0), true)];
    let shards = warm::shards(&config(1, routes.clone()));
    let host = host(routes, entries).await;

    warm::connect(host.core.clone(), shards.iter().cloned().collect()).await;
    let opened = host.core.pools().idle();
    warm::connect(host.core.clone(), shards.into_iter().collect()).await;

    assert_eq!(opened, 2);
    assert_eq!(host.core.pools().idle(), 2, "connected shards get no second connection");
    assert!([a, spare, b].iter().all(|b| b.seen().is_empty()));
}
