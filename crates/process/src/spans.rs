//! Distributed tracing: context propagation with `traceparent` over HTTP and
//! tarpc's context between processes, and optional OTLP export over HTTP.

use std::sync::Once;

use axum::http::HeaderMap;
use axum::http::header::{HeaderName, HeaderValue};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{TraceContextExt, TracerProvider};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider};
use serde::Deserialize;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

/// The `spans` section of the settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpanSettings {
    /// The OTLP collector, such as `http://127.0.0.1:4318/v1/traces`.
    pub otlp_url: Option<String>,
}

static STARTED: Once = Once::new();

/// Initialises tracing for the process. Without a collector, trace ids are
/// still propagated and appear in the explanation of a request.
pub fn start_spans(program: &'static str, settings: &SpanSettings) {
    STARTED.call_once(|| {
        let resource = Resource::builder().with_service_name(program).build();
        let mut builder = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOn)));
        if let Some(url) = &settings.otlp_url {
            match SpanExporter::builder()
                .with_http()
                .with_endpoint(url)
                .build()
            {
                Ok(exporter) => builder = builder.with_batch_exporter(exporter),
                Err(error) => log::warn!(target: "spans", "Span export is disabled: {error}."),
            }
        }
        let tracer = builder.build().tracer(program);
        let layer = tracing_opentelemetry::layer().with_tracer(tracer);
        let subscriber = tracing_subscriber::registry().with(layer);
        let _already_set = tracing::subscriber::set_global_default(subscriber);
    });
}

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::try_from(key);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.0.insert(name, value);
        }
    }
}

/// Sets the parent of `span` from the `traceparent` header, if present.
pub fn set_remote_parent(span: &Span, headers: &HeaderMap) {
    let parent = TraceContextPropagator::new().extract(&HeaderExtractor(headers));
    let _not_set = span.set_parent(parent);
}

/// Sets the `traceparent` header of an outgoing request from `span`.
pub fn inject_trace_context(span: &Span, headers: &mut HeaderMap) {
    TraceContextPropagator::new().inject_context(&span.context(), &mut HeaderInjector(headers));
}

/// Returns the trace id of a span as 32 hexadecimal digits.
pub fn trace_id(span: &Span) -> String {
    span.context().span().span_context().trace_id().to_string()
}
