//! HTTP endpoints for health checks: `/ready` and `/live`.

use std::io;
use std::net::SocketAddr;

use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use warp::Filter as _;
use warp::http::StatusCode;

use crate::shutdown::Lifecycle;

/// Error of binding the address of the admin endpoints.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}; set `admin` to a free address"))]
pub struct AdminError {
    address: SocketAddr,
    source: io::Error,
}

/// Serves the admin endpoints on `address` until the returned task is aborted.
/// `/ready` answers 503 unless `lifecycle` is ready; `/live` always answers 200.
pub async fn serve(
    address: SocketAddr,
    lifecycle: Lifecycle,
) -> Result<JoinHandle<()>, AdminError> {
    let listener = TcpListener::bind(address).await.context(AdminSnafu { address })?;
    let ready = warp::path!("ready").map(move || {
        if lifecycle.is_ready() {
            warp::reply::with_status("ready\n", StatusCode::OK)
        } else {
            warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE)
        }
    });
    let live = warp::path!("live").map(|| warp::reply::with_status("live\n", StatusCode::OK));
    let routes = warp::get().and(ready.or(live));
    Ok(tokio::spawn(warp::serve(routes).incoming(listener).run()))
}
