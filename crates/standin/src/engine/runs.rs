//! State of an engine: slots, prefix cache, counts and load reports.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::EngineSettings;
use super::answer::Answer;
use crate::prefix_cache::{PrefixCache, prefix_hashes};

/// Maximum number of answers retained for resumption.
const MAX_ANSWERS: usize = 4_096;
/// Maximum number of load samples retained for delayed reports.
const MAX_LOAD_SAMPLES: usize = 1_024;

/// Counts since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests accepted.
    pub started: u64,
    /// Requests completed.
    pub finished: u64,
    /// Requests whose caller disconnected.
    pub cancelled: u64,
    /// Requests with at least half of the prompt cached.
    pub warm: u64,
    /// Requests refused because the engine is leaving or by a fault.
    pub refused: u64,
    /// Requests currently running or waiting.
    pub in_progress: usize,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LoadReport {
    /// Requests running or waiting.
    pub(super) in_progress: usize,
    /// Maximum number of requests running concurrently.
    pub(super) slots: usize,
    /// Whether the engine rejects new requests.
    pub(super) leaving: bool,
}

#[derive(Debug)]
pub(super) struct Runs {
    pub(super) settings: EngineSettings,
    slots: Arc<Semaphore>,
    leaving: AtomicBool,
    started: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    refused: AtomicU64,
    warm: AtomicU64,
    in_progress: AtomicUsize,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    cache: PrefixCache,
    run_counts: HashMap<String, u32>,
    answers: HashMap<String, Arc<Answer>>,
    answer_order: VecDeque<String>,
    load_samples: VecDeque<(Instant, usize)>,
}

/// A request in progress, counted as cancelled if dropped before [`Run::finish`].
#[derive(Debug)]
pub(super) struct Run {
    runs: Arc<Runs>,
    finished: bool,
    _slot: Option<OwnedSemaphorePermit>,
}

impl Runs {
    pub(super) fn new(settings: EngineSettings) -> Arc<Self> {
        let cache = PrefixCache::new(settings.cache_bytes);
        Arc::new(Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            settings,
            leaving: AtomicBool::new(false),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            warm: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
            state: Mutex::new(State {
                cache,
                run_counts: HashMap::new(),
                answers: HashMap::new(),
                answer_order: VecDeque::new(),
                load_samples: VecDeque::new(),
            }),
        })
    }

    /// Begins a request, or returns `None` if the engine is leaving.
    pub(super) fn begin(self: &Arc<Self>, request: &str) -> Option<Run> {
        if self.leaving.load(Ordering::SeqCst) {
            return None;
        }
        self.started.fetch_add(1, Ordering::SeqCst);
        self.change_load(1);
        *self
            .state()
            .run_counts
            .entry(request.to_owned())
            .or_default() += 1;
        Some(Run {
            runs: self.clone(),
            finished: false,
            _slot: None,
        })
    }

    pub(super) fn count_refusal(&self) {
        self.refused.fetch_add(1, Ordering::SeqCst);
    }

    /// Adds a prompt to the cache and returns how many of its bytes were already cached.
    pub(super) fn cache_prompt(&self, messages: &[String]) -> usize {
        let prefixes = prefix_hashes(messages.iter().map(String::as_str));
        let total: usize = prefixes.iter().map(|(_, bytes)| bytes).sum();
        let mut state = self.state();
        let cached = state.cache.look_up(&prefixes);
        state.cache.insert(&prefixes);
        if cached * 2 >= total && cached > 0 {
            self.warm.fetch_add(1, Ordering::SeqCst);
        }
        cached
    }

    pub(super) fn store_answer(&self, request: &str, answer: Arc<Answer>) {
        let mut state = self.state();
        state.answers.insert(request.to_owned(), answer);
        state.answer_order.push_back(request.to_owned());
        if state.answer_order.len() > MAX_ANSWERS
            && let Some(oldest) = state.answer_order.pop_front()
        {
            state.answers.remove(&oldest);
        }
    }

    pub(super) fn find_answer(&self, request: &str) -> Option<Arc<Answer>> {
        self.state().answers.get(request).cloned()
    }

    pub(super) fn run_count(&self, request: &str) -> u32 {
        self.state().run_counts.get(request).copied().unwrap_or(0)
    }

    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    pub(super) fn counts(&self) -> EngineCounts {
        EngineCounts {
            started: self.started.load(Ordering::SeqCst),
            finished: self.finished.load(Ordering::SeqCst),
            cancelled: self.cancelled.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            warm: self.warm.load(Ordering::SeqCst),
            in_progress: self.in_progress.load(Ordering::SeqCst),
        }
    }

    /// Returns the load as of `report_lag_ms` ago. Leaving is reported without lag.
    pub(super) fn report(&self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let now = Instant::now();
        let state = self.state();
        let sample = state
            .load_samples
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag);
        LoadReport {
            in_progress: sample.map_or(0, |(_, load)| *load),
            slots: self.settings.slots,
            leaving: self.leaving.load(Ordering::SeqCst),
        }
    }

    fn change_load(&self, delta: isize) {
        let mut state = self.state();
        let load = self
            .in_progress
            .load(Ordering::SeqCst)
            .saturating_add_signed(delta);
        self.in_progress.store(load, Ordering::SeqCst);
        state.load_samples.push_back((Instant::now(), load));
        if state.load_samples.len() > MAX_LOAD_SAMPLES {
            state.load_samples.pop_front();
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Run {
    /// Waits for a free batch slot.
    pub(super) async fn acquire_slot(&mut self) {
        self._slot = self.runs.slots.clone().acquire_owned().await.ok();
    }

    /// Counts the request as finished.
    pub(super) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.runs.change_load(-1);
        let counter = if self.finished {
            &self.runs.finished
        } else {
            &self.runs.cancelled
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}
