//! Metrics, sent to a statsd server over UDP.

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

/// Metrics that may wait to be sent; more are dropped.
const QUEUE_CAPACITY: usize = 16_384;

/// Why metrics cannot be set up.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No socket can be opened.
    #[snafu(display("cannot open a UDP socket for metrics: {source}; check the host's limits"))]
    Socket {
        /// Cause.
        source: io::Error,
    },
    /// The address is not usable.
    #[snafu(display("cannot send metrics to {address}: {source}; set `statsd` to IP:PORT"))]
    Sink {
        /// Address of the statsd server.
        address: SocketAddr,
        /// Cause.
        source: cadence::MetricError,
    },
}

/// Metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Metrics that go to `statsd`, or nowhere when there is none.
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

    /// Metrics that go nowhere.
    pub fn disabled() -> Metrics {
        Metrics { client: Arc::new(StatsdClient::from_sink("", NopMetricSink)) }
    }

    /// Adds to a counter. Metrics are best effort, so that errors are ignored.
    pub fn count(&self, name: &str, by: i64) {
        let _ = self.client.count(name, by);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }
}
