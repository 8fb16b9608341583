//! Queries of callers, end to end through real RPC.

mod support;

use support::System;

#[tokio::test]
async fn a_query_returns_every_shard_of_one_version() {
    // Guards against a broken path from HTTP through planning to the gates.
    let system = System::start().await;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!(reply.status, 200, "{:?}", reply.json);
    assert_eq!(reply.coverage.as_deref(), Some("12/12"));
    assert_eq!(reply.json["version"], 7);
    let rows = reply.json["rows"].as_array().unwrap();
    assert_eq!(rows.len(), 24);
    assert!(rows.is_sorted_by_key(|r| r["key"].as_str().unwrap().to_owned()));
    assert!(rows.iter().all(|r| r["value"]["version"] == 7));
}
