//! Counters and latency histograms of a host, served as text.

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

/// Longest latency that a histogram tells apart.
const LONGEST_MS: u64 = 60_000;

/// Significant digits of a latency.
const DIGITS: u8 = 2;

/// Quantiles that are served.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

/// Metrics of a host.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    totals: Arc<Totals>,
    /// Requests sent to backend servers since the metrics were last served;
    /// each query sends many.
    sent: AtomicI64,
}

#[derive(Debug, Default)]
struct Totals {
    counters: Mutex<BTreeMap<Box<str>, i64>>,
    timers: Mutex<BTreeMap<Box<str>, Histogram<u64>>>,
}

struct Sink(Arc<Totals>);

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.0.take(metric);
        Ok(metric.len())
    }
}

impl Totals {
    /// Takes in a line `name:value|kind`.
    fn take(&self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else { return };
        let Some((value, kind)) = rest.split_once('|') else { return };
        let Ok(value) = value.parse::<i64>() else { return };
        match kind {
            "c" => add(&mut lock(&self.counters), name, value),
            "ms" => record(&mut lock(&self.timers), name, value.unsigned_abs()),
            _ => {
                lock(&self.counters).insert(name.into(), value);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn add(counters: &mut BTreeMap<Box<str>, i64>, name: &str, by: i64) {
    match counters.get_mut(name) {
        Some(total) => *total += by,
        None => {
            counters.insert(name.into(), by);
        }
    }
}

fn record(timers: &mut BTreeMap<Box<str>, Histogram<u64>>, name: &str, value: u64) {
    if let Some(histogram) = timers.get_mut(name) {
        histogram.saturating_record(value);
        return;
    }
    // The bounds are constants that the histogram accepts.
    if let Ok(mut histogram) = Histogram::new_with_max(LONGEST_MS, DIGITS) {
        histogram.saturating_record(value);
        timers.insert(name.into(), histogram);
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        let totals = Arc::new(Totals::default());
        let client = StatsdClient::from_sink("chervil", Sink(totals.clone()));
        Metrics { client, totals, sent: AtomicI64::new(0) }
    }
}

impl Metrics {
    /// Counts an event. The sink cannot fail.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Sets a gauge. The sink cannot fail.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a latency. The sink cannot fail.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }

    /// Counts a request sent to a backend server.
    pub fn attempt_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a reply that did not come or could not be read.
    pub fn attempt_broken(&self, malformed: bool) {
        self.count(if malformed { "attempts.spoilt" } else { "attempts.broken" });
    }

    /// Counts an attempt for which no connection was free.
    pub fn no_free_connection(&self) {
        self.count("attempts.crowded");
    }

    /// Counts a new connection to a backend server.
    pub fn connection_opened(&self) {
        self.count("connections.opened");
    }

    /// All metrics, one a line.
    pub fn text(&self) -> String {
        // The sink cannot fail.
        let _ = self.client.count("attempts.sent", self.sent.swap(0, Ordering::Relaxed));
        let mut text = String::new();
        for (name, value) in lock(&self.totals.counters).iter() {
            let _ = writeln!(text, "{name} {value}");
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
