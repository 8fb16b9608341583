//! A host's copy of the configuration.

use chervil_config::Adopted;
use chervil_fakes::FakeStore;

mod common;

use common::apply;
use common::change;
use common::pull;
use common::sheet;

/// Guards against records that are lost or mixed up on the way to a host.
#[tokio::test]
async fn an_applied_sheet_reaches_a_host_whole() {
    let store = FakeStore::new();
    let mut host = Adopted::new();

    let result = change(&store, &apply(sheet(6, 300, 2)), "a").await;
    let grew = pull(&store, &mut host).await;

    assert_eq!(common::revision(&result), 1);
    assert!(grew);
    let mut expected = sheet(6, 300, 2).catalog;
    expected.revision = 1;
    assert_eq!(host.catalog(), expected);
}
