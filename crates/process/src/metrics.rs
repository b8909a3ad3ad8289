//! Counters, gauges and latencies in the Prometheus text format.
//!
//! Latencies are recorded in HDR histograms and exported as summaries. Each
//! metric has at most `MAX_SERIES_PER_METRIC` series; further label sets are
//! counted under the label `other`, which bounds memory.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram as Hdr;

/// Enough for a series for each of 1,800 organisations.
const MAX_SERIES_PER_METRIC: usize = 2_000;
const OVERFLOW_LABEL: &str = "other";
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];
/// Upper bound of recorded latencies (ten minutes); longer ones are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// A latency histogram in microseconds.
#[derive(Debug)]
pub struct Histogram(Hdr<u64>);

impl Default for Histogram {
    fn default() -> Self {
        let hdr = Hdr::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self(hdr.expect("constant bounds are valid"))
    }
}

impl Histogram {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros().max(1) as u64);
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

type Series<T> = BTreeMap<&'static str, BTreeMap<Arc<str>, T>>;

#[derive(Debug, Default)]
struct State {
    counters: Series<u64>,
    gauges: Series<f64>,
    histograms: Series<Histogram>,
}

/// The metrics of a process; clones share the same values.
///
/// # Example
///
/// ```
/// let metrics = chalkrock_process::Metrics::default();
/// metrics.count("requests_total", "pool=\"chat\"", 1);
/// assert!(metrics.render().contains("chalkrock_requests_total{pool=\"chat\"} 1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Metrics(Arc<Mutex<State>>);

impl Metrics {
    /// Increments a counter. `labels` uses the text format, without braces.
    pub fn count(&self, name: &'static str, labels: &str, by: u64) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *series(&mut state.counters, name, labels) += by;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, labels: &str, value: f64) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *series(&mut state.gauges, name, labels) = value;
    }

    /// Records a latency.
    pub fn latency(&self, name: &'static str, labels: &str, latency: Duration) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        series(&mut state.histograms, name, labels).record(latency);
    }

    /// Returns the value of a counter, or 0 if it was never incremented.
    pub fn counter(&self, name: &str, labels: &str) -> u64 {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .counters
            .get(name)
            .and_then(|s| s.get(labels))
            .copied()
            .unwrap_or(0)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        render_values(&mut text, "counter", &state.counters);
        render_values(&mut text, "gauge", &state.gauges);
        for (name, series) in &state.histograms {
            let _ = writeln!(text, "# TYPE chalkrock_{name}_ms summary");
            for (labels, histogram) in series {
                render_summary(&mut text, name, labels, histogram);
            }
        }
        text
    }
}

fn series<'a, T: Default>(all: &'a mut Series<T>, name: &'static str, labels: &str) -> &'a mut T {
    let metric = all.entry(name).or_default();
    let is_within_limit = metric.len() < MAX_SERIES_PER_METRIC || metric.contains_key(labels);
    let labels: Arc<str> = if is_within_limit {
        labels.into()
    } else {
        format!("{OVERFLOW_LABEL}=\"1\"").into()
    };
    metric.entry(labels).or_default()
}

fn render_values<T: std::fmt::Display>(text: &mut String, kind: &str, all: &Series<T>) {
    for (name, series) in all {
        let _ = writeln!(text, "# TYPE chalkrock_{name} {kind}");
        for (labels, value) in series {
            let _ = writeln!(text, "chalkrock_{name}{{{labels}}} {value}");
        }
    }
}

fn render_summary(text: &mut String, name: &str, labels: &str, histogram: &Histogram) {
    let comma = if labels.is_empty() { "" } else { "," };
    for quantile in QUANTILES {
        let value = histogram.quantile_ms(quantile);
        let _ = writeln!(
            text,
            "chalkrock_{name}_ms{{{labels}{comma}quantile=\"{quantile}\"}} {value}"
        );
    }
    let _ = writeln!(
        text,
        "chalkrock_{name}_ms_count{{{labels}}} {}",
        histogram.count()
    );
}
