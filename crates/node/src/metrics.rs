//! Metrics, sent to a statsd server over UDP.
//!
//! Delivery is best effort: errors of sending are ignored.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed as _;
use cadence::UdpMetricSink;
use snafu::ResultExt as _;
use snafu::Snafu;

/// Metrics that can wait to be sent; further ones are dropped.
const QUEUE_CAPACITY: usize = 16_384;

/// Error of setting up metrics.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The UDP socket cannot be opened.
    #[snafu(display(
        "cannot open a UDP socket for metrics: {source}; check the host's limit on open files"
    ))]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The address of the statsd server cannot be used.
    #[snafu(display("cannot send metrics to {address}: {source}; set `statsd` to IP:PORT"))]
    Sink {
        /// Address of the statsd server.
        address: SocketAddr,
        /// Error of the statsd client.
        source: cadence::MetricError,
    },
}

/// Metrics client of a process.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends to `statsd` and puts `prefix` in front of every
    /// name. Without an address, metrics are discarded.
    pub fn new(prefix: &str, statsd: Option<SocketAddr>) -> Result<Metrics, MetricsError> {
        let Some(address) = statsd else {
            return Ok(Metrics::disabled());
        };
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local).context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = UdpMetricSink::from(address, socket).context(SinkSnafu { address })?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Ok(Metrics { client: Arc::new(StatsdClient::from_sink(prefix, sink)) })
    }

    /// Creates a client that discards all metrics.
    pub fn disabled() -> Metrics {
        Metrics { client: Arc::new(StatsdClient::from_sink("", NopMetricSink)) }
    }

    /// Adds `by` to a counter.
    pub fn count(&self, name: &str, by: i64) {
        let _ = self.client.count(name, by);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration; statsd receives whole milliseconds.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }
}
