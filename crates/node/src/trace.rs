//! Distributed tracing: one span per hop, with propagation of the W3C trace
//! context.

use std::thread;

use opentelemetry::global;
use opentelemetry::propagation::Extractor;
use opentelemetry::propagation::Injector;
use opentelemetry::trace::TracerProvider as _;
use opentelemetry_otlp::ExporterBuildError;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use snafu::ResultExt as _;
use snafu::Snafu;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt as _;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Header of the W3C trace context.
const TRACEPARENT: &str = "traceparent";

/// Error of setting up tracing.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The exporter cannot be built.
    #[snafu(display("cannot export traces: {source}; set `otlp` to the collector's URL"))]
    Exporter {
        /// Error of the exporter.
        source: ExporterBuildError,
    },
    /// The thread that builds the exporter panicked.
    #[snafu(display("cannot start the trace exporter; check the host's limit on threads"))]
    ExporterThread,
    /// The process already has a global tracing subscriber.
    #[snafu(display("tracing is already initialized in this process; call `trace::init` once"))]
    AlreadyInitialized,
}

/// Guard of the trace exporter; exports the remaining spans when it is dropped.
#[derive(Debug)]
pub struct TraceGuard {
    provider: Option<SdkTracerProvider>,
}

impl Drop for TraceGuard {
    fn drop(&mut self) {
        if let Some(provider) = self.provider.take() {
            // The guard may be dropped inside an async runtime, where the exporter
            // must not block.
            let _ = thread::spawn(move || provider.shutdown()).join();
        }
    }
}

/// Sets up tracing for `service`, with export to the OTLP collector at the URL
/// `otlp`. Without a collector no span is recorded.
pub fn init(service: &'static str, otlp: Option<&str>) -> Result<TraceGuard, TraceError> {
    global::set_text_map_propagator(TraceContextPropagator::new());
    let Some(endpoint) = otlp else {
        return Ok(TraceGuard { provider: None });
    };
    let endpoint = endpoint.to_owned();
    // The blocking HTTP client must not be created inside an async runtime.
    let exporter =
        thread::spawn(move || SpanExporter::builder().with_http().with_endpoint(endpoint).build());
    let exporter =
        exporter.join().ok().ok_or(TraceError::ExporterThread)?.context(ExporterSnafu)?;
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_resource(Resource::builder().with_service_name(service).build())
        .build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer(service));
    let initialized = tracing_subscriber::registry().with(layer).try_init();
    initialized.map_err(|_| TraceError::AlreadyInitialized)?;
    Ok(TraceGuard { provider: Some(provider) })
}

/// Value of the `traceparent` header that passes the trace context of `span` to
/// the next hop; `None` if the span is not recorded.
pub fn traceparent(span: &Span) -> Option<Box<str>> {
    let mut carrier = Carrier(None);
    global::get_text_map_propagator(|p| p.inject_context(&span.context(), &mut carrier));
    carrier.0
}

/// Makes `span` a child of the span of the previous hop, whose `traceparent`
/// header is `context`.
pub fn set_parent(span: &Span, context: Option<&str>) {
    if let Some(context) = context {
        let carrier = Carrier(Some(context.into()));
        let parent = global::get_text_map_propagator(|p| p.extract(&carrier));
        // Fails only without a collector, and then no span is recorded.
        let _ = span.set_parent(parent);
    }
}

/// Carries the `traceparent` header between the propagator and this module.
struct Carrier(Option<Box<str>>);

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT {
            self.0 = Some(value.into());
        }
    }
}

impl Extractor for Carrier {
    fn get(&self, key: &str) -> Option<&str> {
        if key == TRACEPARENT { self.0.as_deref() } else { None }
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}
