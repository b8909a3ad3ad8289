//! Carries out operators' rollouts: receives the orders, assesses the new build and writes
//! records of the stages.
//!
//! Any host may write a record. Hosts rank each other by capacity, and each waits for those
//! of a better rank, so that the next one writes where the first has failed. Writes are
//! conditional: of two concurrent writes one succeeds, and the other host adopts its record.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_routing::{
    BuildAssessment, BuildSide, HeardHost, HostWait, QuiescenceView, RolloutOrderRow,
    RolloutOrders, RolloutReason, RolloutRecord, RolloutStage, RolloutView, Rollouts,
    StageTransition, StoreVersion, assess_build, next_stage,
};
use tokio::time::Instant;

use crate::clock::ms;
use crate::event_log::Event;
use crate::outage_log::OutageLog;
use crate::peers::PeerTable;
use crate::shared::Shared;
use crate::source::{RolloutWrite, Source};
use crate::store_answers::AnswerScope;

/// Interval at which a host checks whether a rollout's next stage is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a write for each host of a better rank: two rounds of messages and an answer of
/// the store.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Least ratio of hosts with known load to hosts of the last minute, for transitions that
/// depend on the fleet's load: an isolated host would count no requests.
const MIN_KNOWN_HOST_RATIO: f64 = 0.5;
/// Time after the last route has moved from which a rollout that is not done is logged.
const LOGGED_WAIT_MS: u64 = 2_000;
/// Time after the start in which the fleet's load may not be known.
const WARM_UP: Duration = Duration::from_secs(2);

/// A rollout's record with its pool and version, as hosts exchange it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownRecord {
    pub(crate) pool: PoolId,
    pub(crate) record: RolloutRecord,
    pub(crate) version: StoreVersion,
}

impl Shared {
    /// Merges another host's orders. Returns whether any changed.
    pub(crate) fn merge_rollout_orders(&self, orders: &RolloutOrders, from: &str) -> bool {
        self.change_orders(from, |rollouts, draw, now_ms| {
            rollouts.merge_orders(orders, draw, now_ms)
        })
    }

    /// Replaces the orders by a full read. Returns whether any changed.
    pub(crate) fn replace_rollout_orders(&self, orders: RolloutOrders, from: &str) -> bool {
        self.change_orders(from, |rollouts, draw, now_ms| {
            rollouts.replace_orders(orders, draw, now_ms)
        })
    }

    /// Applies orders from a range of the store's history. Returns whether any changed.
    pub(crate) fn apply_rollout_order_changes(
        &self,
        rows: &[RolloutOrderRow],
        until: StoreVersion,
        from: &str,
    ) -> bool {
        self.change_orders(from, |rollouts, draw, now_ms| {
            rollouts.apply_order_changes(rows, until, draw, now_ms)
        })
    }

    /// Changes the orders, and logs them if any changed. Returns whether any did.
    fn change_orders(
        &self,
        from: &str,
        change: impl FnOnce(&mut Rollouts<SocketAddr>, f64, u64) -> bool,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        if !change(&mut fleet.rollouts, rand::random(), now_ms) {
            return false;
        }
        let orders: Vec<_> = fleet
            .rollouts
            .pools()
            .map(|(pool, order)| {
                let is_withdrawn = fleet.rollouts.is_withdrawn(pool);
                (pool.clone(), order.clone(), is_withdrawn)
            })
            .collect();
        drop(fleet);
        for (pool, order, is_withdrawn) in &orders {
            self.event_log.emit(&Event::RolloutOrder {
                pool,
                build: &order.build,
                within_ms: order.within_ms,
                is_withdrawn: *is_withdrawn,
                from,
            });
        }
        true
    }

    /// Merges a record that was written or received. Returns whether it is new.
    pub(crate) fn merge_rollout_record(
        &self,
        known: KnownRecord,
        assessment: Option<&BuildAssessment>,
        from: &str,
    ) -> bool {
        let KnownRecord {
            pool,
            record,
            version,
        } = known;
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let rollouts = &mut fleet.rollouts;
        let is_new = rollouts.merge_record(&pool, record.clone(), version, now_ms);
        drop(fleet);
        if is_new {
            self.log_rollout(&pool, &record, version, assessment, from);
        }
        is_new
    }

    fn log_rollout(
        &self,
        pool: &PoolId,
        record: &RolloutRecord,
        version: StoreVersion,
        evidence: Option<&BuildAssessment>,
        from: &str,
    ) {
        self.event_log.emit(&Event::Rollout {
            pool,
            build: &record.build,
            stage: record.stage,
            reason: record.reason,
            age_ms: record.age_ms,
            version,
            evidence,
            from,
        });
        let stage = format!("stage=\"{}\"", record.stage);
        self.metrics.count("rollout_stages_total", &stage, 1);
    }
}

/// Carries out rollouts until the process ends.
pub(crate) async fn drive_rollouts<S: Source>(
    shared: Arc<Shared>,
    source: Arc<S>,
    peers: Arc<PeerTable>,
) {
    let mut writer = RolloutWriter {
        shared,
        source,
        peers,
        started_at: Instant::now(),
        due_since: HashMap::new(),
        heard: HashMap::new(),
        logged_waits: HashSet::new(),
        outage: OutageLog::new("platform-rollouts"),
    };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        writer.write_due_stages().await;
    }
}

struct RolloutWriter<S> {
    shared: Arc<Shared>,
    source: Arc<S>,
    peers: Arc<PeerTable>,
    started_at: Instant,
    /// The transition to write for each pool, and since when it is due.
    due_since: HashMap<PoolId, (StageTransition, Instant)>,
    /// When other hosts last reported, and whether they report to this one directly.
    heard: HashMap<SocketAddr, (Instant, bool)>,
    /// Pools whose rollout waits, and whether for requests that are known.
    logged_waits: HashSet<(PoolId, bool)>,
    outage: OutageLog,
}

impl<S: Source> RolloutWriter<S> {
    async fn write_due_stages(&mut self) {
        self.update_contact();
        for pool in self.pools() {
            self.advance(&pool).await;
        }
    }

    /// Updates when other hosts last reported, and whether this host receives rollout updates.
    fn update_contact(&mut self) {
        let has_running = self.shared.fleet().rollouts.counts_answers();
        if !has_running {
            self.heard.clear();
            self.set_cut_off(false, 0);
            return;
        }
        let now = Instant::now();
        for (address, host) in self.peers.heard_hosts() {
            let at = now.checked_sub(ms(host.heard_ago_ms)).unwrap_or(now);
            let known = self.heard.entry(address).or_insert((at, false));
            *known = (at.max(known.0), host.is_direct);
        }
        let bound = ms(self.shared.config.follow.bound_ms);
        let has_store_news = now.checked_sub(bound).is_none_or(|since| {
            let subscription = &self.shared.subscription;
            subscription.answered_since(AnswerScope::AnyTopic, since)
        });
        let now_ms = self.shared.clock.now_ms();
        let heard_hosts = 1 + self.shared.fleet().load.recent_host_count(now_ms);
        let known_hosts = 1 + self.heard.len();
        // The writer of a record receives reports of at least half of the hosts.
        let is_minority = heard_hosts as f64 <= MIN_KNOWN_HOST_RATIO * known_hosts as f64;
        self.set_cut_off(!has_store_news && is_minority, heard_hosts);
    }

    fn set_cut_off(&self, is_cut_off: bool, heard_hosts: usize) {
        let mut fleet = self.shared.fleet();
        if !fleet.rollouts.set_cut_off(is_cut_off) {
            return;
        }
        drop(fleet);
        let metrics = &self.shared.metrics;
        metrics.gauge("rollout_cut_off", "", f64::from(u8::from(is_cut_off)));
        self.shared.event_log.emit(&Event::RolloutCutOff {
            is_cut_off,
            heard_hosts,
            known_hosts: 1 + self.heard.len(),
        });
    }

    fn pools(&self) -> Vec<PoolId> {
        let fleet = self.shared.fleet();
        let pools = fleet.rollouts.pools();
        pools.map(|(pool, _)| pool.clone()).collect()
    }

    /// Writes the next stage of a pool's rollout, once it is due and hosts of a better rank
    /// have had time to write it.
    async fn advance(&mut self, pool: &PoolId) {
        self.shared.detect_suspension();
        if !self.shared.has_view() {
            self.due_since.remove(pool);
            return;
        }
        let Some(view) = self.view(pool) else {
            self.rewrite_final_record(pool).await;
            return;
        };
        let next = next_stage(&view).filter(|next| self.is_load_known(next));
        let host_wait = self.host_wait(pool, &view);
        self.log_wait(pool, &view, host_wait);
        let next = next.filter(|next| next.stage != RolloutStage::Done || host_wait.is_none());
        let Some(transition) = next else {
            self.due_since.remove(pool);
            return;
        };
        if !self.has_rank_delay_passed(pool, transition) {
            return;
        }
        if let Some((record, replaces)) = self.next_record(pool, transition, &view) {
            self.write(pool, record, replaces, &view.assessment).await;
        }
    }

    /// Whether the time for hosts of a better rank to write a transition has passed.
    fn has_rank_delay_passed(&mut self, pool: &PoolId, transition: StageTransition) -> bool {
        let now = Instant::now();
        let due = self
            .due_since
            .entry(pool.clone())
            .or_insert((transition, now));
        if due.0 != transition {
            *due = (transition, now);
        }
        let rank = self.peers.writer_rank();
        rank.is_some_and(|rank| due.1.elapsed() >= RANK_DELAY * rank as u32)
    }

    /// Writes the final record of a rollout again if the store was restored from a backup
    /// since, which may lack it. Hosts wait by rank as for any record.
    async fn rewrite_final_record(&mut self, pool: &PoolId) {
        let Some((record, version)) = self.record_before_restore(pool) else {
            self.due_since.remove(pool);
            return;
        };
        let transition = StageTransition {
            stage: record.stage,
            reason: record.reason,
        };
        if self.has_rank_delay_passed(pool, transition) {
            let evidence = BuildAssessment::default();
            self.write(pool, record, version, &evidence).await;
        }
    }

    /// A rollout's record, if it was written before the store was last restored, and the
    /// version that it replaces.
    fn record_before_restore(&self, pool: &PoolId) -> Option<(RolloutRecord, StoreVersion)> {
        let fleet = self.shared.fleet();
        let (record, version) = fleet.rollouts.record(pool)?;
        let is_earlier = version.era() < fleet.endpoints_version.era();
        is_earlier.then(|| (record.clone(), fleet.rollouts.record_version(pool)))
    }

    /// The current state of a rollout, `None` if it has ended.
    fn view(&self, pool: &PoolId) -> Option<RolloutView> {
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let stage = fleet.rollouts.stage(pool);
        if stage.is_some_and(RolloutStage::is_final) {
            return None;
        }
        let (_, order) = fleet.rollouts.order(pool)?;
        let within_ms = order.within_ms;
        let tally = fleet.rollouts.evidence(pool)?.combined_tally();
        let max_service_times_ms = fleet.max_service_times_ms(pool, now_ms);
        let builds = fleet.pool_builds(pool);
        let age_ms = fleet.rollouts.age_ms(pool, now_ms);
        let record = fleet.rollouts.record(pool).map(|(record, _)| record);
        let have_moved = record.is_some_and(|record| record.have_all_moved(age_ms));
        let last_move_ms = record.and_then(|record| record.moves_ms.values().max().copied());
        let moved_ms = age_ms.saturating_sub(last_move_ms.unwrap_or_default());
        let observed_ms = record.map_or(0, |record| age_ms.saturating_sub(record.age_ms));
        let accepts_no_old = have_moved || builds.old_slots == 0;
        let is_idle = accepts_no_old && builds.old_in_progress == 0;
        let old_idle_ms = fleet.rollouts.old_idle_ms(pool, is_idle, now_ms);
        let failures = tally.failures(BuildSide::New);
        let failed_ago_ms = fleet.rollouts.failed_ago_ms(pool, failures, now_ms);
        Some(RolloutView {
            stage,
            age_ms,
            within_ms,
            is_withdrawn: fleet.rollouts.is_withdrawn(pool),
            new_slots: builds.new_slots,
            old_slots: builds.old_slots,
            in_progress: builds.old_in_progress + builds.new_in_progress,
            moved_ms: if have_moved { moved_ms } else { 0 },
            old_idle_ms,
            max_service_times_ms,
            request_rates_per_s: tally.request_rates_per_s(observed_ms),
            new_requests: tally.answers(BuildSide::New) + builds.new_in_progress,
            bound: fleet.rollouts.bound(),
            failed_ago_ms,
            assessment: assess_build(&tally),
        })
    }

    /// The hosts that may run requests at old endpoints and do not report them.
    fn host_wait(&self, pool: &PoolId, view: &RolloutView) -> Option<HostWait> {
        if view.stage != Some(RolloutStage::Moving) {
            return None;
        }
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        let (record, _) = fleet.rollouts.record(pool)?;
        let moved_ago_ms = view.age_ms.saturating_sub(record.age_ms);
        let planned_ms = record.last_planned_ms(view.within_ms);
        let counted_hosts = fleet.load.recent_host_count(now_ms);
        drop(fleet);
        let hosts = self.heard.values().map(|(at, is_direct)| HeardHost {
            heard_ago_ms: at.elapsed().as_millis() as u64,
            is_direct: *is_direct,
        });
        let hosts: Vec<HeardHost> = hosts.collect();
        let view = QuiescenceView {
            age_ms: view.age_ms,
            moved_ago_ms,
            planned_ms,
            cut_off_delay_ms: self.shared.config.follow.bound_ms,
            max_request_ms: self.max_request_ms(pool),
            counted_hosts,
            hosts: &hosts,
        };
        view.host_wait()
    }

    /// Maximum time that a request of a pool may run, in milliseconds.
    fn max_request_ms(&self, pool: &PoolId) -> u64 {
        let rules = self.shared.rules();
        let routes = rules.iter().flat_map(|rules| &rules.document().routes);
        let uses_pool = routes.filter(|route| {
            let mut backends = route.backends.iter();
            backends.any(|backend| backend.pool == *pool)
        });
        let timeouts_ms = uses_pool.map(|route| route.timeout_ms);
        timeouts_ms.max().unwrap_or_default()
    }

    /// Logs what a rollout waits for once all its routes have moved. Only the first writer
    /// does, once for known requests and once for silent hosts.
    fn log_wait(&mut self, pool: &PoolId, view: &RolloutView, host_wait: Option<HostWait>) {
        let is_first_writer = self.peers.writer_rank() == Some(0);
        if view.stage != Some(RolloutStage::Moving) || !is_first_writer {
            return;
        }
        let fleet = self.shared.fleet();
        let old_in_progress = fleet.pool_builds(pool).old_in_progress;
        let record = fleet
            .rollouts
            .record(pool)
            .map(|(record, _)| record.clone());
        drop(fleet);
        let record = record.filter(|record| {
            let until_ms = view.age_ms.saturating_sub(LOGGED_WAIT_MS);
            until_ms >= record.age_ms && record.have_all_moved(until_ms)
        });
        let Some(record) = record else {
            return;
        };
        let waits_for_requests = old_in_progress > 0;
        let is_waiting = waits_for_requests || host_wait.is_some();
        let wait = (pool.clone(), waits_for_requests);
        if !is_waiting || !self.logged_waits.insert(wait) {
            return;
        }
        self.shared.event_log.emit(&Event::RolloutWaits {
            pool,
            build: &record.build,
            age_ms: view.age_ms,
            old_in_progress,
            silent_hosts: host_wait.map_or(0, |wait| wait.hosts),
            remaining_ms: host_wait.map_or(0, |wait| wait.remaining_ms),
        });
    }

    /// Whether this host knows the fleet's load, if the transition depends on it.
    fn is_load_known(&self, transition: &StageTransition) -> bool {
        if !matches!(transition.stage, RolloutStage::Moving | RolloutStage::Done) {
            return true;
        }
        let now_ms = self.shared.clock.now_ms();
        let known_hosts = 1 + self.shared.fleet().load.recent_host_count(now_ms);
        let recent = self.peers.recent().len();
        let is_known = known_hosts as f64 >= MIN_KNOWN_HOST_RATIO * recent as f64;
        is_known && self.started_at.elapsed() >= WARM_UP
    }

    async fn write(
        &mut self,
        pool: &PoolId,
        record: RolloutRecord,
        replaces: StoreVersion,
        evidence: &BuildAssessment,
    ) {
        let result = self.source.write_rollout(pool, &record, replaces).await;
        self.due_since.remove(pool);
        self.logged_waits.retain(|(logged, _)| logged != pool);
        let result = match result {
            Ok(result) => result,
            Err(error) => {
                self.outage.failed(&self.shared, &error);
                tokio::time::sleep(RETRY_PAUSE).await;
                return;
            }
        };
        self.outage.worked(&self.shared);
        self.apply_write(pool, record, result, evidence);
        self.shared.publish_now.notify_one();
    }

    /// Adopts the record that is in force after a write.
    fn apply_write(
        &self,
        pool: &PoolId,
        proposed: RolloutRecord,
        result: RolloutWrite,
        assessment: &BuildAssessment,
    ) {
        match result {
            RolloutWrite::Written(version) => {
                let known = KnownRecord {
                    pool: pool.clone(),
                    record: proposed,
                    version,
                };
                self.shared
                    .merge_rollout_record(known, Some(assessment), "own");
            }
            RolloutWrite::Conflict { version, record } => {
                let now_ms = self.shared.clock.now_ms();
                let mut fleet = self.shared.fleet();
                let rollouts = &mut fleet.rollouts;
                let is_new = rollouts.record_stored(pool, record.clone(), version, now_ms);
                // All hosts may have been lost since the record was written.
                if let (Some(record), Some(clock)) = (&record, self.source.clock())
                    && let Some(age_ms) = record.age_by_store_ms(clock)
                {
                    rollouts.merge_age(pool, record.order, age_ms, now_ms);
                }
                drop(fleet);
                if let Some(record) = record.filter(|_| is_new) {
                    self.shared
                        .log_rollout(pool, &record, version, None, "platform");
                }
            }
        }
    }

    fn next_record(
        &self,
        pool: &PoolId,
        transition: StageTransition,
        view: &RolloutView,
    ) -> Option<(RolloutRecord, StoreVersion)> {
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        let (order, ordered) = fleet.rollouts.order(pool)?;
        let current = fleet.rollouts.record(pool).map(|(record, _)| record);
        let from = if transition.reason == RolloutReason::Ordered {
            let mut from = fleet.builds_from(pool, &ordered.build);
            from.extend(fleet.rollouts.unproven(pool));
            from
        } else {
            current?.from.clone()
        };
        let age_ms = fleet.rollouts.age_ms(pool, now_ms);
        let clock = self.source.clock().filter(|clock| clock.era == order.era());
        let known_at_ms = current.and_then(|current| current.ordered_at_store_ms);
        let ordered_at_store_ms =
            known_at_ms.or_else(|| Some(clock?.now_ms.saturating_sub(age_ms)));
        let planned_ms = match current {
            Some(current) => current.planned_ms.clone(),
            None => view.moves_ms(),
        };
        let record = RolloutRecord {
            order,
            build: ordered.build.clone(),
            from,
            stage: transition.stage,
            reason: transition.reason,
            age_ms,
            moves_ms: if transition.stage == RolloutStage::Moving {
                view.moves_ms()
            } else {
                BTreeMap::new()
            },
            planned_ms,
            ordered_at_store_ms,
            unproven: fleet.rollouts.unproven(pool),
        };
        Some((record, fleet.rollouts.record_version(pool)))
    }
}
