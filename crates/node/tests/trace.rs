//! Export of spans to a collector.

#![allow(clippy::unwrap_used)]

use std::sync::mpsc;
use std::time::Duration;

use chervil_node::trace;
use serde_json::Value;
use tokio::net::TcpListener;
use tracing::info_span;
use warp::Filter as _;

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Collector that passes on what it receives; returns its URL.
async fn collector(received: mpsc::Sender<Value>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/v1/traces", listener.local_addr().unwrap());
    let route = warp::path!("v1" / "traces").and(warp::body::json()).map(move |body: Value| {
        received.send(body).unwrap();
        "{}"
    });
    tokio::spawn(warp::serve(route).incoming(listener).run());
    url
}

/// Guards against spans that are lost at the end of a process, or that do not
/// continue the trace of the hop before.
#[tokio::test(flavor = "multi_thread")]
async fn spans_reach_the_collector_as_part_of_the_callers_trace() {
    let (tx, rx) = mpsc::channel();
    let url = collector(tx).await;
    let traces = trace::init("chervil-test", Some(&url)).unwrap();

    let span = info_span!("query");
    trace::set_parent(&span, Some(PARENT));
    let next = trace::context_of(&span).unwrap();
    drop(span);
    drop(traces);

    let body = rx.recv_timeout(Duration::from_secs(20)).unwrap();
    let span = &body["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    assert_eq!(span["name"], "query");
    assert_eq!(span["traceId"], "0af7651916cd43dd8448eb211c80319c");
    assert_eq!(span["parentSpanId"], "b7ad6b7169203331");
    assert!(next.starts_with("00-0af7651916cd43dd8448eb211c80319c-"), "{next}");
    assert!(next.contains(span["spanId"].as_str().unwrap()), "{next}");
}
