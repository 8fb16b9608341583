//! Agents of a new installation form a member list and follow configuration
//! changes.

use std::sync::Arc;

use chervil_fakes::FakeStore;

mod common;

use common::cluster;
use common::until;
use common::write_revision;

/// Guards against agents that never agree on a member list, or that do not get
/// a lease once they are in it.
#[tokio::test(flavor = "multi_thread")]
async fn agents_join_the_member_list_and_get_leases() {
    let store = Arc::new(FakeStore::new());

    let hosts = cluster(3, &store).await;

    for host in &hosts {
        let view = host.view().await;
        assert!(view.hosts.iter().all(|h| h.up && !h.leaving), "{view:?}");
        assert!(host.lease().await.down.is_empty());
    }
}

/// Guards against a configuration change that reaches only the hosts that watch
/// the store, or none at all: the other hosts must pull it from them.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_hosts_that_do_not_watch_the_store() {
    let store = Arc::new(FakeStore::new());
    let hosts = cluster(5, &store).await;

    write_revision(&store, 7).await;

    for host in &hosts {
        until(async || host.status().await.revision == 7).await;
        until(async || host.status().await.ready).await;
        let catalog = host.view().await.catalog;
        assert_eq!(catalog.map(|c| c.revision), Some(7));
    }
}
