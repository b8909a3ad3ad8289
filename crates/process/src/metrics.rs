//! Counters and latencies in the Prometheus text format.
//!
//! Latencies are kept by hdrhistogram and shown as summaries. The number of
//! series is bounded by `SERIES_MAX` a metric: what comes later is counted
//! under the label `other`, so that a flood of names can't fill the memory.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram as Hdr;

/// Series that one metric may have: 1,800 organisations fit.
const SERIES_MAX: usize = 2_000;
const OTHER: &str = "other";
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];
/// Highest latency kept, in microseconds: ten minutes.
const LATENCY_MAX_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// A latency histogram in microseconds.
#[derive(Debug)]
pub struct Histogram(Hdr<u64>);

impl Default for Histogram {
    fn default() -> Self {
        let hdr = Hdr::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS);
        Self(hdr.expect("constant bounds are valid"))
    }
}

impl Histogram {
    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros().max(1) as u64);
    }

    /// The latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// How many latencies were added.
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

/// The metrics of a process. Cheap to clone.
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
    /// Adds to a counter. `labels` is as in the text format, without braces.
    pub fn count(&self, name: &'static str, labels: &str, by: u64) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *series(&mut state.counters, name, labels) += by;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, labels: &str, value: f64) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *series(&mut state.gauges, name, labels) = value;
    }

    /// Adds a latency.
    pub fn latency(&self, name: &'static str, labels: &str, latency: Duration) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        series(&mut state.histograms, name, labels).record(latency);
    }

    /// The value of a counter, 0 if it was never added to.
    pub fn counter(&self, name: &str, labels: &str) -> u64 {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .counters
            .get(name)
            .and_then(|s| s.get(labels))
            .copied()
            .unwrap_or(0)
    }

    /// All metrics in the Prometheus text format.
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
    let of_name = all.entry(name).or_default();
    let known = of_name.len() < SERIES_MAX || of_name.contains_key(labels);
    let labels: Arc<str> = if known {
        labels.into()
    } else {
        format!("{OTHER}=\"1\"").into()
    };
    of_name.entry(labels).or_default()
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
