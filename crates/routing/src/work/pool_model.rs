//! How long the endpoints of a pool usually take to read prompts.

use super::median::RecentMedian;
use super::report::PoolTimes;

/// Values from which the usual times of a pool are taken.
const MODEL_VALUES: usize = 63;
/// Fewer values predict nothing.
const MIN_VALUES: usize = 3;
/// Prompts up to this length show the time without reading.
const SHORT_PROMPT_TOKENS: u32 = 256;
/// Prompts from this length show the reading rate.
const LONG_PROMPT_TOKENS: u32 = 1_024;
/// Time of a copy from another endpoint until it is known.
const ASSUMED_COPY_MS: f64 = 20.0;
/// Values of other hosts are taken until there are this many.
const MAX_MERGED_VALUES: usize = 9;
/// Bounds the rate, in tokens per millisecond, that another host can claim.
const MIN_MERGED_RATE: f64 = 0.1;
const MAX_MERGED_RATE: f64 = 10_000.0;
/// Bounds the time that another host can claim.
const MAX_MERGED_US: u32 = 10_000_000;
const MS_PER_S: f64 = 1_000.0;
const US_PER_MS: f64 = 1_000.0;
/// Shorter times to the first event differ too much by chance to compare endpoints.
const MIN_COMPARED_MS: f64 = 20.0;
/// Shorter intervals between events show when this host woke up, not the endpoint's pace.
const MIN_COMPARED_INTERVAL_MS: f64 = 5.0;

/// What an endpoint has to do before it sends the first event of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptWork {
    /// Tokens of the prompt to read.
    pub read_tokens: u32,
    /// Tokens to copy from another endpoint.
    pub copied_tokens: u32,
    /// Tokens of other requests to read before.
    pub backlog_tokens: u32,
}

/// The usual times of a pool, as medians: on most endpoints at most times.
#[derive(Clone, Debug, Default)]
pub struct PoolModel {
    /// Time to the first event of short prompts.
    short_ms: RecentMedian<MODEL_VALUES>,
    tokens_per_ms: RecentMedian<MODEL_VALUES>,
    copy_ms: RecentMedian<MODEL_VALUES>,
    /// Observed over expected times, which grow together when the pool is full.
    first_event_ratio: RecentMedian<MODEL_VALUES>,
    event_interval_ms: RecentMedian<MODEL_VALUES>,
}

impl PoolModel {
    /// Tokens that the usual endpoint reads in a millisecond, if known.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        self.tokens_per_ms.get(MIN_VALUES)
    }

    /// The usual time to the first event; `None` until enough prompts were read.
    pub fn expected_ms(&self, work: &PromptWork) -> Option<f64> {
        let tokens = f64::from(work.read_tokens) + f64::from(work.backlog_tokens);
        let copy_ms = if work.copied_tokens > 0 {
            self.copy_ms.get(MIN_VALUES).unwrap_or(ASSUMED_COPY_MS)
        } else {
            0.0
        };
        Some(self.short_ms() + copy_ms + tokens / self.tokens_per_ms()?)
    }

    /// Records the time to the first event. Returns the slowness that it shows in
    /// thousandths, if the work was large enough to show any.
    pub fn record_first_event(&mut self, work: &PromptWork, observed_ms: f64) -> Option<u16> {
        let expected_ms = self.expected_ms(work);
        let tokens = work.read_tokens.saturating_add(work.backlog_tokens);
        if work.copied_tokens > 0 {
            if let Some(tokens_per_ms) = self.tokens_per_ms() {
                let read_ms = f64::from(tokens) / tokens_per_ms;
                self.copy_ms.record(observed_ms - self.short_ms() - read_ms);
            }
        } else if tokens <= SHORT_PROMPT_TOKENS {
            self.short_ms.record(observed_ms);
        } else if tokens >= LONG_PROMPT_TOKENS {
            let read_ms = observed_ms - self.short_ms();
            self.tokens_per_ms.record(f64::from(tokens) / read_ms);
        }
        let expected_ms = expected_ms.filter(|expected_ms| *expected_ms >= MIN_COMPARED_MS)?;
        let ratio = observed_ms / expected_ms;
        self.first_event_ratio.record(ratio);
        // The usual time is short too while most prompts take much less than expected.
        let usual_ms = self.first_event_ratio.get(MIN_VALUES)? * expected_ms;
        Some(slowness_permille(observed_ms, usual_ms, MIN_COMPARED_MS))
    }

    /// Records the mean time between events of a stream. Returns the slowness that it
    /// shows in thousandths.
    pub fn record_event_interval(&mut self, interval_ms: f64) -> Option<u16> {
        self.event_interval_ms.record(interval_ms);
        let usual_ms = self.event_interval_ms.get(MIN_VALUES)?;
        let min_ms = MIN_COMPARED_INTERVAL_MS;
        Some(slowness_permille(interval_ms, usual_ms, min_ms))
    }

    /// The usual times of this host, under the short hash of the pool's name; `None` until
    /// enough prompts were read.
    pub fn times(&self, pool: u32) -> Option<PoolTimes> {
        let in_us = |ms: f64| (ms * US_PER_MS) as u32;
        Some(PoolTimes {
            pool,
            tokens_per_s: (self.tokens_per_ms()? * MS_PER_S) as u32,
            short_us: self.short_ms.get(MIN_VALUES).map(in_us),
            copy_us: self.copy_ms.get(MIN_VALUES).map(in_us),
        })
    }

    /// Uses the times of another host as values while this host has few of its own.
    pub fn merge(&mut self, times: &PoolTimes) {
        let tokens_per_ms = f64::from(times.tokens_per_s) / MS_PER_S;
        let in_ms = |us: u32| f64::from(us.min(MAX_MERGED_US)) / US_PER_MS;
        let merge = |values: &mut RecentMedian<MODEL_VALUES>, value: Option<f64>| {
            if let Some(value) = value.filter(|_| values.len() < MAX_MERGED_VALUES) {
                values.record(value);
            }
        };
        merge(
            &mut self.tokens_per_ms,
            Some(tokens_per_ms.clamp(MIN_MERGED_RATE, MAX_MERGED_RATE)),
        );
        merge(&mut self.short_ms, times.short_us.map(in_ms));
        merge(&mut self.copy_ms, times.copy_us.map(in_ms));
    }

    fn short_ms(&self) -> f64 {
        self.short_ms.get(1).unwrap_or(0.0)
    }
}

/// A time relative to the usual one, in thousandths; the cast saturates. Times below
/// `min_ms` count as equal.
fn slowness_permille(observed_ms: f64, usual_ms: f64, min_ms: f64) -> u16 {
    const PERMILLE: f64 = 1_000.0;
    let ratio = observed_ms.max(min_ms) / usual_ms.max(min_ms);
    (ratio * PERMILLE).round() as u16
}
