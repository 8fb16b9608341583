//! HTTP endpoints for readiness probes and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::answer;
use crate::answer::Answer;
use crate::core::Core;
use crate::listen::Lifecycle;

/// Answers readiness probes: status 200 while the host accepts requests, else
/// 503.
pub async fn serve_ready(listener: TcpListener, lifecycle: Arc<Lifecycle>) {
    loop {
        // Accepting fails when file descriptors run out; the next call waits for
        // a free one.
        let Ok((stream, _)) = listener.accept().await else { continue };
        let lifecycle = lifecycle.clone();
        tokio::spawn(serve_connection(stream, move |_| {
            if lifecycle.is_ready() {
                answer::plain_text(StatusCode::OK, "ready\n")
            } else {
                answer::plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
        }));
    }
}

/// Path of the metrics in the text format of Prometheus.
const PROMETHEUS_PATH: &str = "/prometheus";

/// Content type of that format.
const PROMETHEUS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves the metrics of the host: in the text format of Prometheus at
/// [`PROMETHEUS_PATH`], and one per line at any other path.
pub async fn serve_metrics(listener: TcpListener, core: Arc<Core>) {
    loop {
        // Accepting fails when file descriptors run out; the next call waits for
        // a free one.
        let Ok((stream, _)) = listener.accept().await else { continue };
        let core = core.clone();
        tokio::spawn(serve_connection(stream, move |path| metrics_text(&core, path)));
    }
}

/// Updates the gauges and returns all metrics, in the format that belongs to the path.
fn metrics_text(core: &Core, path: &str) -> Answer {
    let idle = core.pools().idle_count();
    let state = core.state();
    let metrics = &core.metrics;
    metrics.gauge("connections.idle", idle as u64);
    metrics.gauge("backends", state.fleet.len() as u64);
    metrics.gauge("hosts", u64::from(state.hosts()));
    metrics.gauge("config.version", state.config.as_ref().map_or(0, |c| c.version));
    metrics.gauge("log.dropped", core.log_limiter.dropped());
    drop(state);
    if path != PROMETHEUS_PATH {
        return Response::new(Full::new(Bytes::from(metrics.text())));
    }
    let mut answer = Response::new(Full::new(Bytes::from(metrics.prometheus_text())));
    let content_type = HeaderValue::from_static(PROMETHEUS_TYPE);
    answer.headers_mut().insert(header::CONTENT_TYPE, content_type);
    answer
}

async fn serve_connection<Respond>(stream: TcpStream, respond: Respond)
where
    Respond: Fn(&str) -> Answer,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = respond(request.uri().path());
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    // Errors are ignored: the client broke the connection.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
