//! Counters, gauges and latency histograms of a host, served as text.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::MetricSink;
use cadence::StatsdClient;
use cadence::Timed as _;
use hdrhistogram::Histogram;

use crate::exposition::Exposition;

/// Highest latency, in milliseconds, that a histogram resolves. Longer ones are
/// recorded as this value.
const MAX_LATENCY_MS: u64 = 60_000;

/// Precision of a latency in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles of each histogram, with the suffix of the metric name.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

/// Metrics of a host.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    totals: Arc<Totals>,
    /// Requests sent to backend servers since the metrics were last served. Kept
    /// in an atomic, since each query sends many.
    attempts_sent: AtomicI64,
}

#[derive(Debug, Default)]
struct Totals {
    counters: Mutex<BTreeMap<Box<str>, i64>>,
    gauges: Mutex<BTreeMap<Box<str>, i64>>,
    timers: Mutex<BTreeMap<Box<str>, Histogram<u64>>>,
}

/// Sink of the statsd client that aggregates in memory.
struct Sink(Arc<Totals>);

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.0.record(metric);
        Ok(metric.len())
    }
}

impl Totals {
    /// Records a statsd line `name:value|kind`; ignores a malformed one.
    fn record(&self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else { return };
        let Some((value, kind)) = rest.split_once('|') else { return };
        let Ok(value) = value.parse::<i64>() else { return };
        match kind {
            "c" => add_count(&mut lock(&self.counters), name, value),
            "ms" => record_latency(&mut lock(&self.timers), name, value.unsigned_abs()),
            _ => {
                lock(&self.gauges).insert(name.into(), value);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn add_count(counters: &mut BTreeMap<Box<str>, i64>, name: &str, by: i64) {
    match counters.get_mut(name) {
        Some(total) => *total += by,
        None => {
            counters.insert(name.into(), by);
        }
    }
}

fn record_latency(timers: &mut BTreeMap<Box<str>, Histogram<u64>>, name: &str, ms: u64) {
    if let Some(histogram) = timers.get_mut(name) {
        histogram.saturating_record(ms);
        return;
    }
    // Cannot fail: the histogram accepts these constants.
    if let Ok(mut histogram) = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS) {
        histogram.saturating_record(ms);
        timers.insert(name.into(), histogram);
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        let totals = Arc::new(Totals::default());
        let client = StatsdClient::from_sink("chervil", Sink(totals.clone()));
        Metrics { client, totals, attempts_sent: AtomicI64::new(0) }
    }
}

impl Metrics {
    /// Increments a counter. The sink never fails.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Adds to a counter. The sink never fails.
    pub fn add(&self, name: &str, count: u64) {
        let _ = self.client.count(name, count);
    }

    /// Sets a gauge. The sink never fails.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a latency. The sink never fails.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }

    /// Counts a request sent to a backend server.
    pub fn attempt_sent(&self) {
        self.attempts_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt without a usable reply: a malformed one, or none because
    /// the connection broke.
    pub fn attempt_broken(&self, malformed: bool) {
        self.count(if malformed { "attempts.spoilt" } else { "attempts.broken" });
    }

    /// Counts an attempt that was not sent because this host's share of the backend
    /// server's connection limit was in use.
    pub fn no_free_connection(&self) {
        self.count("attempts.crowded");
    }

    /// Counts a new connection to a backend server.
    pub fn connection_opened(&self) {
        self.count("connections.opened");
    }

    /// Adds the attempts since the last call to their counter.
    fn update_counters(&self) {
        // The sink never fails.
        let _ = self.client.count("attempts.sent", self.attempts_sent.swap(0, Ordering::Relaxed));
    }

    /// All metrics in the text format of Prometheus.
    pub fn prometheus_text(&self) -> String {
        self.update_counters();
        let mut exposition = Exposition::default();
        for (name, value) in lock(&self.totals.counters).iter() {
            exposition.counter(name, *value);
        }
        for (name, value) in lock(&self.totals.gauges).iter() {
            exposition.gauge(name, *value);
        }
        for (name, latencies) in lock(&self.totals.timers).iter() {
            exposition.latency(name, latencies);
        }
        exposition.text()
    }

    /// All metrics, one per line.
    pub fn text(&self) -> String {
        self.update_counters();
        let mut text = String::new();
        for values in [&self.totals.counters, &self.totals.gauges] {
            for (name, value) in lock(values).iter() {
                let _ = writeln!(text, "{name} {value}");
            }
        }
        for (name, histogram) in lock(&self.totals.timers).iter() {
            let _ = writeln!(text, "{name}.count {}", histogram.len());
            for (label, quantile) in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}.{label}_ms {value}");
            }
        }
        text
    }
}
