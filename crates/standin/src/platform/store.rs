//! Table, objects, host lists and rate limits of the platform.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::HostList;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::PlatformSettings;

const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// A row of the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Row {
    pub(super) version: u64,
    pub(super) value: String,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Condition {
    Absent,
    Version(u64),
}

/// One write of a batch.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct RowWrite {
    pub(super) key: String,
    pub(super) value: String,
    pub(super) expect: Condition,
}

/// Outcome of a write.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum WriteOutcome {
    Written(u64),
    Conflict(Option<Row>),
}

/// Kind of call, each with its own rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallKind {
    Read,
    Write,
}

#[derive(Debug)]
pub(super) struct Store {
    settings: PlatformSettings,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, Row>,
    objects: HashMap<String, String>,
    host_lists: VecDeque<(Instant, HostList)>,
    reads: VecDeque<Instant>,
    writes: VecDeque<Instant>,
    accepted_writes: u64,
    last_version: u64,
}

impl Store {
    pub(super) fn new(settings: PlatformSettings) -> Self {
        let initial = settings.hosts.clone();
        let mut state = State::default();
        // Backdated by the lag, so that the initial list is visible at once.
        let listed_at = Instant::now() - Duration::from_millis(settings.list_lag_ms);
        state.host_lists.push_back((listed_at, initial));
        Self {
            settings,
            state: Mutex::new(state),
        }
    }

    /// Counts a call against its rate limit, or returns `false` if the limit is reached.
    pub(super) fn admit(&self, kind: CallKind) -> bool {
        let now = Instant::now();
        let mut state = self.state();
        let (calls, limit) = match kind {
            CallKind::Read => (&mut state.reads, self.settings.reads_per_second),
            CallKind::Write => (&mut state.writes, self.settings.writes_per_second),
        };
        while calls
            .front()
            .is_some_and(|at| now.duration_since(*at) >= LIMIT_WINDOW)
        {
            calls.pop_front();
        }
        if calls.len() >= limit as usize {
            return false;
        }
        calls.push_back(now);
        true
    }

    pub(super) fn read(&self, key: &str) -> Option<Row> {
        self.state().rows.get(key).cloned()
    }

    pub(super) fn write(&self, write: RowWrite) -> WriteOutcome {
        self.write_all(vec![write]).remove(0)
    }

    /// Applies each write whose precondition holds, under one lock.
    pub(super) fn write_all(&self, writes: Vec<RowWrite>) -> Vec<WriteOutcome> {
        let mut state = self.state();
        state.accepted_writes += 1;
        writes
            .into_iter()
            .map(|write| write_one(&mut state, write))
            .collect()
    }

    pub(super) fn read_object(&self, key: &str) -> Option<String> {
        self.state().objects.get(key).cloned()
    }

    pub(super) fn write_object(&self, key: String, body: String) {
        let mut state = self.state();
        state.accepted_writes += 1;
        state.objects.insert(key, body);
    }

    pub(super) fn set_hosts(&self, hosts: HostList) {
        self.state().host_lists.push_back((Instant::now(), hosts));
    }

    /// Returns the newest list that is at least as old as the lag.
    pub(super) fn hosts(&self) -> HostList {
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        let now = Instant::now();
        let state = self.state();
        let visible = state
            .host_lists
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    pub(super) fn accepted_writes(&self) -> u64 {
        self.state().accepted_writes
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_one(state: &mut State, write: RowWrite) -> WriteOutcome {
    let current = state.rows.get(&write.key);
    let matches = match (write.expect, current) {
        (Condition::Absent, None) => true,
        (Condition::Version(expected), Some(row)) => row.version == expected,
        _ => false,
    };
    if !matches {
        return WriteOutcome::Conflict(current.cloned());
    }
    state.last_version += 1;
    let version = state.last_version;
    state.rows.insert(
        write.key,
        Row {
            version,
            value: write.value,
        },
    );
    WriteOutcome::Written(version)
}
