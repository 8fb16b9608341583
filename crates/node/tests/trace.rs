//! Export of spans to an OTLP collector.

#![allow(clippy::unwrap_used)]

use std::sync::mpsc;
use std::time::Duration;

use chervil_node::trace;
use serde_json::Value;
use tokio::net::TcpListener;
use tracing::info_span;
use warp::Filter as _;

/// `traceparent` header of the previous hop.
const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Starts a collector that sends each export that it receives to `exports`, and
/// returns its URL.
async fn start_collector(exports: mpsc::Sender<Value>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/v1/traces", listener.local_addr().unwrap());
    let route = warp::path!("v1" / "traces").and(warp::body::json()).map(move |body: Value| {
        exports.send(body).unwrap();
        "{}"
    });
    tokio::spawn(warp::serve(route).incoming(listener).run());
    url
}

/// A span that is still buffered when the process exits must be exported, and
/// it must be part of the trace of the previous hop, not start a new one.
#[tokio::test(flavor = "multi_thread")]
async fn dropping_the_guard_exports_spans_as_children_of_the_previous_hop() {
    let (tx, rx) = mpsc::channel();
    let url = start_collector(tx).await;
    let traces = trace::init("chervil-test", Some(&url)).unwrap();

    let span = info_span!("query");
    trace::set_parent(&span, Some(PARENT));
    let next = trace::traceparent(&span).unwrap();
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
