//! Metrics in the text format of Prometheus.

use hdrhistogram::Histogram;
use prometheus::Encoder as _;
use prometheus::TextEncoder;
use prometheus::proto::Bucket;
use prometheus::proto::Counter;
use prometheus::proto::Gauge;
use prometheus::proto::Metric;
use prometheus::proto::MetricFamily;
use prometheus::proto::MetricType;

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [u64; 12] = [5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 8_000, 15_000];

/// Collects metrics and encodes them.
#[derive(Default)]
pub struct Exposition {
    families: Vec<MetricFamily>,
}

impl Exposition {
    /// Adds a counter.
    pub fn counter(&mut self, name: &str, value: i64) {
        let mut counter = Counter::default();
        counter.set_value(value as f64);
        let mut metric = Metric::default();
        metric.set_counter(counter);
        self.add(format!("{}_total", metric_name(name)), name, MetricType::COUNTER, metric);
    }

    /// Adds a gauge.
    pub fn gauge(&mut self, name: &str, value: i64) {
        let mut gauge = Gauge::default();
        gauge.set_value(value as f64);
        let mut metric = Metric::default();
        metric.set_gauge(gauge);
        self.add(metric_name(name), name, MetricType::GAUGE, metric);
    }

    /// Adds a histogram of latencies in milliseconds, as seconds.
    pub fn latency(&mut self, name: &str, latencies: &Histogram<u64>) {
        let bucket = |bound: &u64| {
            let mut bucket = Bucket::default();
            bucket.set_upper_bound(*bound as f64 / 1e3);
            bucket.set_cumulative_count(latencies.count_between(0, *bound));
            bucket
        };
        let mut histogram = prometheus::proto::Histogram::default();
        histogram.set_bucket(BUCKETS_MS.iter().map(bucket).collect());
        histogram.set_sample_count(latencies.len());
        histogram.set_sample_sum(latencies.mean() * latencies.len() as f64 / 1e3);
        let mut metric = Metric::default();
        metric.set_histogram(histogram);
        self.add(format!("{}_seconds", metric_name(name)), name, MetricType::HISTOGRAM, metric);
    }

    fn add(&mut self, full_name: String, name: &str, kind: MetricType, metric: Metric) {
        let mut family = MetricFamily::default();
        family.set_name(full_name);
        family.set_help(help(name).into());
        family.set_field_type(kind);
        family.set_metric(vec![metric]);
        self.families.push(family);
    }

    /// The text, with a HELP and a TYPE line for each metric.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.families, &mut text) {
            let error = error.to_string();
            spdlog::error!("cannot encode the metrics", kv: { error = error.as_str() });
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

/// Name without characters that the format does not allow.
fn metric_name(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect()
}

/// Meaning of a metric. Metrics that are not listed are described by their name.
fn help(name: &str) -> &str {
    match name {
        "chervil.attempts.broken" => "Requests to backend servers without a reply",
        "chervil.attempts.crowded" => "Requests that found no free connection",
        "chervil.attempts.sent" => "Requests sent to backend servers",
        "chervil.attempts.spoilt" => "Requests to backend servers with an invalid reply",
        "chervil.backends" => "Known backend servers",
        "chervil.config.version" => "Version of the configuration in force",
        "chervil.connections.idle" => "Idle connections to backend servers",
        "chervil.connections.opened" => "Connections to backend servers opened",
        "chervil.hosts" => "Known hosts",
        "chervil.limits.named" => "Answers in which a backend server named a limit",
        "chervil.log.dropped" => "Log lines dropped by the rate limit",
        "chervil.pauses" => "Pauses of the process",
        "chervil.registry.failed" => "Failed calls to the registry",
        "chervil.relay.accepted" => "Queries passed to a relay",
        "chervil.relay.declined" => "Offers that a relay declined",
        "chervil.relay.lost" => "Queries whose outcome a relay did not return",
        "chervil.relay.served" => "Queries gathered for other hosts",
        "chervil.relay.silent" => "Offers that a relay did not answer",
        "chervil.retries.denied" => "Retries and hedges that the budget of a service denied",
        "chervil.retries.granted" => "Retries and hedges that the budget of a service granted",
        "chervil.reports.lost" => "Reports that the upstream did not take",
        "chervil.request" => "Time to answer a request",
        "chervil.requests.answered" => "Requests answered in full",
        "chervil.requests.failed" => "Requests that failed",
        "chervil.requests.no_route" => "Requests without a route",
        "chervil.requests.partial" => "Queries answered without all shards",
        "chervil.requests.refused" => "Requests refused, which have not run",
        "chervil.requests.rejected" => "Requests that ended before they were routed",
        "chervil.requests.unknown" => "Requests that may have run and have no answer",
        other => other,
    }
}
