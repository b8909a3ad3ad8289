//! The work in hand at each endpoint, as one host knows it.
//!
//! Endpoints are named by the short hash of their start, so that one that starts anew is
//! a new endpoint.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use chalkrock_core::PoolId;
use chalkrock_core::rendezvous::MemberHash;

use super::median::median;
use super::pool_model::{PoolModel, PromptWork};
use super::report::{MAX_WORK_POOLS, MAX_WORK_ROWS, WorkReport, WorkRow};
use super::slowness::Slowness;

/// Reports are replaced several times within this time.
const MAX_REPORT_AGE_MS: u64 = 1_000;
/// Bounds what one row of another host can claim.
const MAX_OUTSTANDING_TOKENS: u32 = 1_000_000;
/// Hosts whose reports are kept.
const MAX_HOSTS: usize = 1_024;
/// Lasting slowness from which operators are notified.
const LASTING_SLOW_RATIO: f64 = 1.5;
/// Time for which an endpoint has to be slow, or usual again, until operators are notified.
/// One that is slow by turns would fill the log otherwise.
const NOTICE_DELAY_MS: u64 = 3_000;
/// Pools that other hosts can add.
const MAX_POOLS: usize = 256;
/// Part of a prompt that counts as unread until its first event, however long it takes.
const MIN_UNREAD_RATIO: f64 = 0.1;

/// Identifies a prompt that an endpoint reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadId(u64);

/// A prompt of this host, from its send to its first event.
#[derive(Clone, Debug)]
pub struct PromptRead {
    /// The endpoint's pool.
    pub pool: PoolId,
    /// Short hash of the endpoint's start.
    pub endpoint: u32,
    /// What the endpoint has to do.
    pub work: PromptWork,
    /// Whether the endpoint has a free slot, so that its time shows its speed.
    pub has_free_slot: bool,
    /// When it was sent.
    pub sent_at_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct RemoteWork<H> {
    host: H,
    tokens: u32,
    received_at_ms: u64,
}

#[derive(Clone, Debug)]
struct EndpointWork<H> {
    slowness: Slowness,
    remote: Vec<RemoteWork<H>>,
    /// Samples since the last report, in thousandths.
    unreported: Vec<u16>,
    /// What the endpoint reported of itself since the last report, in thousandths.
    unreported_own: Option<u16>,
}

impl<H> Default for EndpointWork<H> {
    fn default() -> Self {
        Self {
            slowness: Slowness::default(),
            remote: Vec::new(),
            unreported: Vec::new(),
            unreported_own: None,
        }
    }
}

impl<H> EndpointWork<H> {
    fn has_unreported(&self) -> bool {
        !self.unreported.is_empty() || self.unreported_own.is_some()
    }
}

/// An endpoint that became lastingly slow, or usual again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlownessChange {
    /// Short hash of the endpoint's start.
    pub endpoint: u32,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Its slowness relative to the pool.
    pub slowness: f64,
}

/// The last report of a host.
#[derive(Clone, Debug)]
struct KnownHost {
    incarnation: u64,
    sequence: u64,
    received_at_ms: u64,
    endpoints: Vec<u32>,
}

/// The work in hand at each endpoint.
#[derive(Clone, Debug)]
pub struct OutstandingWork<H> {
    /// By short hash of the pool's name.
    pools: HashMap<u32, PoolModel>,
    endpoints: HashMap<u32, EndpointWork<H>>,
    hosts: HashMap<H, KnownHost>,
    reads: HashMap<ReadId, PromptRead>,
    /// Endpoints reported as lastingly slow.
    slow: HashSet<u32>,
    /// Since when endpoints differ from what operators know of them.
    differs_since_ms: HashMap<u32, u64>,
    /// Reads by endpoint.
    reading: HashMap<u32, Vec<ReadId>>,
    last_read: u64,
}

impl<H> Default for OutstandingWork<H> {
    fn default() -> Self {
        Self {
            pools: HashMap::new(),
            endpoints: HashMap::new(),
            hosts: HashMap::new(),
            reads: HashMap::new(),
            slow: HashSet::new(),
            differs_since_ms: HashMap::new(),
            reading: HashMap::new(),
            last_read: 0,
        }
    }
}

impl<H: Copy + Eq + Hash> OutstandingWork<H> {
    /// Records that a prompt is sent.
    pub fn begin(&mut self, read: PromptRead) -> ReadId {
        self.last_read += 1;
        let id = ReadId(self.last_read);
        self.reading.entry(read.endpoint).or_default().push(id);
        self.reads.insert(id, read);
        id
    }

    /// Records the first event of a prompt's answer.
    pub fn record_first_event(&mut self, id: ReadId, observed_ms: f64, now_ms: u64) {
        let Some(read) = self.end(id) else {
            return;
        };
        if !read.has_free_slot {
            return;
        }
        let model = self.pools.entry(pool_hash(&read.pool)).or_default();
        if let Some(slowness) = model.record_first_event(&read.work, observed_ms) {
            self.record_slowness(read.endpoint, slowness, now_ms);
        }
    }

    /// Ends a prompt without an event.
    pub fn end(&mut self, id: ReadId) -> Option<PromptRead> {
        let read = self.reads.remove(&id)?;
        if let Some(reading) = self.reading.get_mut(&read.endpoint) {
            reading.retain(|other| *other != id);
            if reading.is_empty() {
                self.reading.remove(&read.endpoint);
            }
        }
        Some(read)
    }

    /// Records the mean time between some events of a stream.
    pub fn record_event_interval(
        &mut self,
        pool: &PoolId,
        endpoint: u32,
        interval_ms: f64,
        now_ms: u64,
    ) {
        let model = self.pools.entry(pool_hash(pool)).or_default();
        if let Some(slowness) = model.record_event_interval(interval_ms) {
            self.record_slowness(endpoint, slowness, now_ms);
        }
    }

    fn record_slowness(&mut self, endpoint: u32, slowness_permille: u16, now_ms: u64) {
        /// Bounds the samples of one endpoint between two reports.
        const MAX_UNREPORTED: usize = 32;
        let work = self.endpoints.entry(endpoint).or_default();
        work.slowness.record(slowness_permille, now_ms);
        if work.unreported.len() < MAX_UNREPORTED {
            work.unreported.push(slowness_permille);
        }
    }

    /// Records the slowness that an endpoint itself reports.
    pub fn record_reported_slowness(&mut self, endpoint: u32, permille: u16, now_ms: u64) {
        let work = self.endpoints.entry(endpoint).or_default();
        work.slowness.record_reported(permille, now_ms);
        work.unreported_own = Some(permille);
    }

    /// The slowness of an endpoint; 1 is usual and unknown.
    pub fn slowness(&self, endpoint: u32, now_ms: u64) -> f64 {
        let work = self.endpoints.get(&endpoint);
        work.map_or(1.0, |work| work.slowness.ratio(now_ms))
    }

    /// The slowness of the slowest endpoint; 1 if none is known.
    pub fn largest_slowness(&self, now_ms: u64) -> f64 {
        let all = self.endpoints.values();
        let all = all.map(|work| work.slowness.ratio(now_ms));
        all.fold(1.0, f64::max)
    }

    /// Number of endpoints that are lastingly slow.
    pub fn slow_count(&self) -> usize {
        self.slow.len()
    }

    /// The endpoints that have been slow, or usual again, for three seconds, once each.
    pub fn take_slowness_changes(&mut self, now_ms: u64) -> Vec<SlownessChange> {
        let lasting = |endpoint: u32| {
            let work = self.endpoints.get(&endpoint);
            work.map_or(1.0, |work| work.slowness.lasting_ratio(now_ms))
        };
        let known = self.endpoints.keys().chain(&self.slow);
        let known: HashSet<u32> = known.copied().collect();
        let differing = known.into_iter().filter_map(|endpoint| {
            let slowness = lasting(endpoint);
            let was_slow = self.slow.contains(&endpoint);
            let is_slow = slowness >= LASTING_SLOW_RATIO;
            (is_slow != was_slow).then_some(SlownessChange {
                endpoint,
                is_slow,
                slowness,
            })
        });
        let differing: Vec<SlownessChange> = differing.collect();
        let since_ms = std::mem::take(&mut self.differs_since_ms);
        let mut changes = Vec::new();
        for change in differing {
            let since_ms = since_ms.get(&change.endpoint).copied().unwrap_or(now_ms);
            if now_ms.saturating_sub(since_ms) >= NOTICE_DELAY_MS {
                changes.push(change);
            } else {
                self.differs_since_ms.insert(change.endpoint, since_ms);
            }
        }
        for change in &changes {
            if change.is_slow {
                self.slow.insert(change.endpoint);
            } else {
                self.slow.remove(&change.endpoint);
            }
        }
        changes
    }

    /// Tokens that an endpoint still has to read, over the fleet.
    pub fn outstanding_tokens(&self, pool: &PoolId, endpoint: u32, now_ms: u64) -> u32 {
        let slowness = self.slowness(endpoint, now_ms);
        let rate = self.tokens_per_ms(pool).map(|rate| rate / slowness);
        let remote = self.endpoints.get(&endpoint);
        let remote = remote.into_iter().flat_map(|work| &work.remote);
        let remote_tokens = remote.filter_map(|work| {
            let age_ms = now_ms.saturating_sub(work.received_at_ms);
            (age_ms <= MAX_REPORT_AGE_MS).then(|| {
                let read_tokens = rate.unwrap_or(0.0) * age_ms as f64;
                (f64::from(work.tokens) - read_tokens).max(0.0)
            })
        });
        let tokens = remote_tokens.sum::<f64>() + self.local_tokens(endpoint, rate, now_ms);
        tokens as u32
    }

    fn tokens_per_ms(&self, pool: &PoolId) -> Option<f64> {
        let model = self.pools.get(&pool_hash(pool));
        model.and_then(PoolModel::tokens_per_ms)
    }

    /// Unread tokens of this host's prompts at an endpoint, which reads them at a rate.
    fn local_tokens(&self, endpoint: u32, rate: Option<f64>, now_ms: u64) -> f64 {
        let reading = self.reading.get(&endpoint).into_iter().flatten();
        let reads = reading.filter_map(|id| self.reads.get(id));
        let unread = reads.map(|read| {
            let tokens = f64::from(read.work.read_tokens);
            let age_ms = now_ms.saturating_sub(read.sent_at_ms) as f64;
            let all_tokens = tokens + f64::from(read.work.backlog_tokens);
            let left = all_tokens - rate.unwrap_or(0.0) * age_ms;
            left.clamp(MIN_UNREAD_RATIO * tokens, tokens)
        });
        unread.sum()
    }

    /// The usual time to the first event in a pool, if known.
    pub fn usual_ms(&self, pool: &PoolId, work: &PromptWork) -> Option<f64> {
        self.pools.get(&pool_hash(pool))?.expected_ms(work)
    }

    /// The expected time to the first event at an endpoint with a free slot, if known. The
    /// endpoint's outstanding tokens count as the backlog.
    pub fn expected_ttft_ms(
        &self,
        pool: &PoolId,
        endpoint: u32,
        work: &PromptWork,
        now_ms: u64,
    ) -> Option<f64> {
        let usual_ms = self.usual_ms(pool, work)?;
        Some(usual_ms * self.slowness(endpoint, now_ms))
    }

    /// Time that an endpoint needs for the prompts in hand; 0 if unknown.
    pub fn backlog_ms(&self, pool: &PoolId, endpoint: u32, now_ms: u64) -> f64 {
        let Some(rate) = self.tokens_per_ms(pool) else {
            return 0.0;
        };
        let tokens = f64::from(self.outstanding_tokens(pool, endpoint, now_ms));
        tokens / rate * self.slowness(endpoint, now_ms)
    }

    /// Median time that endpoints of a pool need for the prompts in hand; 0 if unknown.
    pub fn expected_wait_ms(
        &self,
        pool: &PoolId,
        endpoints: impl Iterator<Item = u32>,
        now_ms: u64,
    ) -> f64 {
        let wait_ms = endpoints.map(|endpoint| self.backlog_ms(pool, endpoint, now_ms));
        median(wait_ms).unwrap_or(0.0)
    }

    /// Tokens of this host's prompts without a first event.
    pub fn local_outstanding_tokens(&self) -> u64 {
        let tokens = self.reads.values();
        tokens.map(|read| u64::from(read.work.read_tokens)).sum()
    }

    /// Builds the report of this host; `None` if nothing is outstanding and nothing was
    /// compared. The endpoints with most tokens come first; samples beyond the bound wait.
    pub fn take_report(
        &mut self,
        incarnation: u64,
        sequence: u64,
        now_ms: u64,
    ) -> Option<WorkReport> {
        let mut named: HashSet<u32> = self.reading.keys().copied().collect();
        let compared = self.endpoints.iter();
        let compared = compared.filter(|(_, work)| work.has_unreported());
        named.extend(compared.map(|(endpoint, _)| *endpoint));
        let outstanding = |endpoint: u32| {
            let read = self.reading.get(&endpoint)?.first()?;
            let pool = &self.reads.get(read)?.pool;
            let rate = self.tokens_per_ms(pool)?;
            let rate = rate / self.slowness(endpoint, now_ms);
            Some(self.local_tokens(endpoint, Some(rate), now_ms) as u32)
        };
        let mut rows: Vec<WorkRow> = named
            .into_iter()
            .map(|endpoint| WorkRow {
                endpoint,
                outstanding_tokens: outstanding(endpoint).unwrap_or(0),
                slowness_permille: None,
                reported_permille: None,
            })
            .collect();
        rows.sort_by_key(|row| (std::cmp::Reverse(row.outstanding_tokens), row.endpoint));
        rows.truncate(MAX_WORK_ROWS);
        for row in &mut rows {
            if let Some(work) = self.endpoints.get_mut(&row.endpoint) {
                let samples = std::mem::take(&mut work.unreported);
                let typical = median(samples.into_iter().map(f64::from));
                row.slowness_permille = typical.map(|permille| permille as u16);
                row.reported_permille = work.unreported_own.take();
            }
        }
        rows.retain(|row| {
            let has_slowness = row.slowness_permille.is_some() || row.reported_permille.is_some();
            row.outstanding_tokens > 0 || has_slowness
        });
        if rows.is_empty() {
            return None;
        }
        let pools = self.pools.iter();
        let pools = pools.filter_map(|(pool, model)| model.times(*pool));
        Some(WorkReport {
            incarnation,
            sequence,
            rows,
            pools: pools.take(MAX_WORK_POOLS).collect(),
        })
    }

    /// Merges the report of another host unless a newer one is known. Endpoints that are
    /// not listed are ignored.
    pub fn merge(
        &mut self,
        host: H,
        report: &WorkReport,
        is_listed: impl Fn(u32) -> bool,
        now_ms: u64,
    ) {
        let known = self.hosts.get(&host);
        let is_stale = known.is_some_and(|known| {
            (report.incarnation, report.sequence) <= (known.incarnation, known.sequence)
        });
        if is_stale || known.is_none() && self.hosts.len() >= MAX_HOSTS {
            return;
        }
        self.forget_work(host);
        for times in report.pools.iter().take(MAX_WORK_POOLS) {
            if self.pools.len() < MAX_POOLS || self.pools.contains_key(&times.pool) {
                self.pools.entry(times.pool).or_default().merge(times);
            }
        }
        let mut endpoints = Vec::new();
        for row in report.rows.iter().take(MAX_WORK_ROWS) {
            if !is_listed(row.endpoint) || endpoints.contains(&row.endpoint) {
                continue;
            }
            endpoints.push(row.endpoint);
            let work = self.endpoints.entry(row.endpoint).or_default();
            if let Some(slowness) = row.slowness_permille {
                work.slowness.record(slowness, now_ms);
            }
            if let Some(slowness) = row.reported_permille {
                work.slowness.record_reported(slowness, now_ms);
            }
            if row.outstanding_tokens > 0 {
                work.remote.push(RemoteWork {
                    host,
                    tokens: row.outstanding_tokens.min(MAX_OUTSTANDING_TOKENS),
                    received_at_ms: now_ms,
                });
            }
        }
        self.hosts.insert(
            host,
            KnownHost {
                incarnation: report.incarnation,
                sequence: report.sequence,
                received_at_ms: now_ms,
                endpoints,
            },
        );
    }

    fn forget_work(&mut self, host: H) {
        let named = self
            .hosts
            .get_mut(&host)
            .map(|known| std::mem::take(&mut known.endpoints));
        for endpoint in named.into_iter().flatten() {
            if let Some(work) = self.endpoints.get_mut(&endpoint) {
                work.remote.retain(|remote| remote.host != host);
            }
        }
    }

    /// Drops what has expired, and endpoints that are not listed.
    pub fn expire(&mut self, is_listed: impl Fn(u32) -> bool, now_ms: u64) {
        let is_silent =
            |known: &KnownHost| now_ms.saturating_sub(known.received_at_ms) > MAX_REPORT_AGE_MS;
        let silent: Vec<H> = self
            .hosts
            .iter()
            .filter(|(_, known)| is_silent(known))
            .map(|(host, _)| *host)
            .collect();
        for host in silent {
            self.forget_work(host);
            self.hosts.remove(&host);
        }
        self.endpoints.retain(|endpoint, work| {
            let is_empty = work.remote.is_empty() && !work.has_unreported();
            is_listed(*endpoint) && !(is_empty && work.slowness.is_expired(now_ms))
        });
    }
}

fn pool_hash(pool: &PoolId) -> u32 {
    MemberHash::of(pool.as_str()).short()
}
