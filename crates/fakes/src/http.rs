//! The platform's HTTP interface on top of the fakes.

use std::convert::Infallible;
use std::future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::HashMap;
use chervil_platform::HostList as _;
use chervil_platform::Store as _;
use chervil_platform::StoreError;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use warp::Filter as _;
use warp::http::Method;
use warp::http::Response;
use warp::http::StatusCode;
use warp::hyper::body::Bytes;
use warp::path::FullPath;

use crate::FakeHosts;
use crate::FakeStore;

type Query = HashMap<Box<str>, Box<str>>;
type HttpResponse = Response<String>;

/// Serves the fakes on a loopback port until the returned task is aborted.
///
/// A call that fails with [`StoreError::Unknown`] is never answered, so that the
/// client times out. [`StoreError::Unavailable`] is answered with 503.
pub async fn serve(
    store: Arc<FakeStore>,
    hosts: Arc<FakeHosts>,
) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let query = warp::query::<Query>().or(warp::any().map(Query::default)).unify();
    let call = warp::method().and(warp::path::full()).and(query).and(warp::body::bytes());
    let route = call.then(move |method: Method, path: FullPath, query: Query, body: Bytes| {
        let (store, hosts) = (store.clone(), hosts.clone());
        async move {
            match handle(&store, &hosts, &method, path.as_str(), &query, &body).await {
                Ok(reply) => reply,
                Err(StoreError::Conflict { current }) => {
                    json_response(StatusCode::CONFLICT, &json!({ "current": current }))
                }
                Err(StoreError::Unknown) => match future::pending::<Infallible>().await {},
                Err(StoreError::TooLarge { .. }) => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
                Err(StoreError::Unavailable) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
    });
    Ok((address, tokio::spawn(warp::serve(route).incoming(listener).run())))
}

async fn handle(
    store: &FakeStore,
    hosts: &FakeHosts,
    method: &Method,
    path: &str,
    query: &Query,
    body: &Bytes,
) -> Result<HttpResponse, StoreError> {
    if path == "/hosts" {
        return Ok(json_response(StatusCode::OK, &json!(hosts.hosts().await?)));
    }
    if path == "/list" {
        let prefix = query.get("prefix").map_or("", |p| p);
        return Ok(json_response(StatusCode::OK, &json!(store.list(prefix).await?)));
    }
    let Some(key) = path.strip_prefix("/kv/") else {
        return Ok(empty_response(StatusCode::NOT_FOUND));
    };
    let param = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
    if *method == Method::PUT {
        let value = String::from_utf8_lossy(body);
        let revision = store.put_if(key, param("if_revision"), &value).await?;
        return Ok(json_response(StatusCode::OK, &json!({ "revision": revision })));
    }
    if *method == Method::DELETE {
        store.delete_if(key, param("if_revision")).await?;
        return Ok(json_response(StatusCode::OK, &json!({})));
    }
    if query.contains_key("after") {
        let wait = Duration::from_millis(param("wait_ms"));
        let found = store.watch(key, param("after"), wait).await?;
        return Ok(found.map_or_else(
            || empty_response(StatusCode::NO_CONTENT),
            |f| json_response(StatusCode::OK, &json!(f)),
        ));
    }
    let found = store.get(key).await?;
    Ok(found.map_or_else(
        || empty_response(StatusCode::NOT_FOUND),
        |f| json_response(StatusCode::OK, &json!(f)),
    ))
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> HttpResponse {
    let mut response = Response::new(body.to_string());
    *response.status_mut() = status;
    response
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(String::new());
    *response.status_mut() = status;
    response
}
