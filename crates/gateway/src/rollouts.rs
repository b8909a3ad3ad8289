//! Carries out operators' rollouts: takes their orders, counts what comes of the new
//! build, and writes how far it has come.
//!
//! Any host may write. Hosts rank each other by strength, and each waits a while for
//! those before it: so one writes while it lives, and the next one does where it does
//! not. Records are written under a condition, so that two that write at once agree on
//! what was first; who comes second takes what is there.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_routing::{
    BuildAssessment, RolloutOrderRow, RolloutOrders, RolloutReason, RolloutRecord, RolloutStage,
    RolloutView, Rollouts, StageTransition, StoreVersion, assess_build, next_stage,
};
use tokio::time::Instant;

use crate::event_log::Event;
use crate::outage_log::OutageLog;
use crate::peers::PeerTable;
use crate::shared::Shared;
use crate::source::{RolloutWrite, Source};

/// How often a host looks whether a rollout goes on.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How long a host gives each one before it to write: two rounds of messages and an
/// answer of the store.
const PLACE_DELAY: Duration = Duration::from_millis(400);
/// Pause after the platform did not take a record.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The part of the hosts of the last minute that has to be heard before a host goes by
/// what runs in the fleet: one that is cut off hears of nothing that runs.
const HEARD_PART: f64 = 0.5;
/// Time after a start in which a host may not have heard what runs.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// What of a rollout a host told the others of, or read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownRecord {
    pub(crate) pool: PoolId,
    pub(crate) record: RolloutRecord,
    pub(crate) version: StoreVersion,
}

impl Shared {
    /// Takes orders that were read whole or passed on. Returns whether they are news.
    pub(crate) fn merge_rollout_orders(&self, orders: &RolloutOrders, from: &str) -> bool {
        self.change_orders(from, |rollouts, draw, now_ms| {
            rollouts.merge_orders(orders, draw, now_ms)
        })
    }

    /// Takes orders as they were read whole. Returns whether they are news.
    pub(crate) fn replace_rollout_orders(&self, orders: RolloutOrders, from: &str) -> bool {
        self.change_orders(from, |rollouts, draw, now_ms| {
            rollouts.replace_orders(orders, draw, now_ms)
        })
    }

    /// Takes the orders of a part of the store's history.
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

    /// Changes the orders and logs them, if that is news. Returns whether it is.
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

    /// Takes a record that was written, found or passed on. Returns whether it is news.
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
        let is_news = rollouts.merge_record(&pool, record.clone(), version, now_ms);
        drop(fleet);
        if is_news {
            self.log_rollout(&pool, &record, version, assessment, from);
        }
        is_news
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
        outage: OutageLog::new("platform-rollouts"),
    };
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        writer.look().await;
    }
}

struct RolloutWriter<S> {
    shared: Arc<Shared>,
    source: Arc<S>,
    peers: Arc<PeerTable>,
    started_at: Instant,
    /// What is to be written, and since when.
    due_since: HashMap<PoolId, (StageTransition, Instant)>,
    outage: OutageLog,
}

impl<S: Source> RolloutWriter<S> {
    async fn look(&mut self) {
        for pool in self.pools() {
            self.go_on(&pool).await;
        }
    }

    fn pools(&self) -> Vec<PoolId> {
        let fleet = self.shared.fleet();
        let pools = fleet.rollouts.pools();
        pools.map(|(pool, _)| pool.clone()).collect()
    }

    /// Writes the next stage of a pool's rollout, if it is due and for this host to do.
    async fn go_on(&mut self, pool: &PoolId) {
        self.shared.detect_suspension();
        if !self.shared.has_view() {
            self.due_since.remove(pool);
            return;
        }
        let Some(view) = self.view(pool) else {
            self.confirm(pool).await;
            return;
        };
        let next = next_stage(&view).filter(|next| self.may_go_by_load(next));
        let Some(decision) = next else {
            self.due_since.remove(pool);
            return;
        };
        if !self.is_this_hosts_turn(pool, decision) {
            return;
        }
        if let Some((record, replaces)) = self.record(pool, decision, &view) {
            self.write(pool, record, replaces, &view.assessment).await;
        }
    }

    /// Whether those before this host had their time to write a decision.
    fn is_this_hosts_turn(&mut self, pool: &PoolId, decision: StageTransition) -> bool {
        let now = Instant::now();
        let due = self
            .due_since
            .entry(pool.clone())
            .or_insert((decision, now));
        if due.0 != decision {
            *due = (decision, now);
        }
        let place = self.peers.writer_rank();
        place.is_some_and(|place| due.1.elapsed() >= PLACE_DELAY * place as u32)
    }

    /// Writes the last word of a rollout again where the store came back from a copy
    /// since, which may lack it. Each host waits its turn as for any word.
    async fn confirm(&mut self, pool: &PoolId) {
        let Some((record, version)) = self.unconfirmed(pool) else {
            self.due_since.remove(pool);
            return;
        };
        let decision = StageTransition {
            stage: record.stage,
            reason: record.reason,
        };
        if self.is_this_hosts_turn(pool, decision) {
            let evidence = BuildAssessment::default();
            self.write(pool, record, version, &evidence).await;
        }
    }

    /// The record of a rollout, if it was written before the store came back from a copy.
    fn unconfirmed(&self, pool: &PoolId) -> Option<(RolloutRecord, StoreVersion)> {
        let fleet = self.shared.fleet();
        let (record, version) = fleet.rollouts.record(pool)?;
        let is_earlier = version.era() < fleet.endpoints_version.era();
        is_earlier.then(|| (record.clone(), version))
    }

    /// What is known of a rollout now; `None` where it has come to its end.
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
        let is_idle = have_moved && builds.old_in_progress == 0;
        let old_idle_ms = fleet.rollouts.old_idle_ms(pool, is_idle, now_ms);
        Some(RolloutView {
            stage,
            age_ms,
            within_ms,
            is_withdrawn: fleet.rollouts.is_withdrawn(pool),
            new_slots: builds.new_slots,
            old_slots: builds.old_slots,
            in_progress: builds.old_in_progress + builds.new_in_progress,
            old_idle_ms,
            max_service_times_ms,
            assessment: assess_build(&tally),
        })
    }

    /// Whether this host knows what runs in the fleet, where a decision rests on it.
    fn may_go_by_load(&self, decision: &StageTransition) -> bool {
        if !matches!(decision.stage, RolloutStage::Moving | RolloutStage::Done) {
            return true;
        }
        let now_ms = self.shared.clock.now_ms();
        let heard = 1 + self.shared.fleet().load.recent_host_count(now_ms);
        let recent = self.peers.recent().len();
        let hears_most = heard as f64 >= HEARD_PART * recent as f64;
        hears_most && self.started_at.elapsed() >= SETTLED_AFTER
    }

    async fn write(
        &mut self,
        pool: &PoolId,
        record: RolloutRecord,
        replaces: StoreVersion,
        evidence: &BuildAssessment,
    ) {
        let written = self.source.write_rollout(pool, &record, replaces).await;
        self.due_since.remove(pool);
        let written = match written {
            Ok(written) => written,
            Err(error) => {
                self.outage.failed(&self.shared, &error);
                tokio::time::sleep(RETRY_PAUSE).await;
                return;
            }
        };
        self.outage.worked(&self.shared);
        self.take_written(pool, record, written, evidence);
        self.shared.publish_now.notify_one();
    }

    /// Takes what is in force after a write.
    fn take_written(
        &self,
        pool: &PoolId,
        own: RolloutRecord,
        written: RolloutWrite,
        assessment: &BuildAssessment,
    ) {
        match written {
            RolloutWrite::Written(version) => {
                let known = KnownRecord {
                    pool: pool.clone(),
                    record: own,
                    version,
                };
                self.shared
                    .merge_rollout_record(known, Some(assessment), "own");
            }
            RolloutWrite::Conflict { version, record } => {
                let now_ms = self.shared.clock.now_ms();
                let mut fleet = self.shared.fleet();
                let rollouts = &mut fleet.rollouts;
                let is_news = rollouts.record_stored(pool, record.clone(), version, now_ms);
                drop(fleet);
                if let Some(record) = record.filter(|_| is_news) {
                    self.shared
                        .log_rollout(pool, &record, version, None, "platform");
                }
            }
        }
    }

    fn record(
        &self,
        pool: &PoolId,
        decision: StageTransition,
        view: &RolloutView,
    ) -> Option<(RolloutRecord, StoreVersion)> {
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        let (order, given) = fleet.rollouts.order(pool)?;
        let known = fleet.rollouts.record(pool).map(|(record, _)| record);
        let from = if decision.reason == RolloutReason::Ordered {
            fleet.builds_from(pool, &given.build)
        } else {
            known?.from.clone()
        };
        let record = RolloutRecord {
            order,
            build: given.build.clone(),
            from,
            stage: decision.stage,
            reason: decision.reason,
            age_ms: fleet.rollouts.age_ms(pool, now_ms),
            moves_ms: if decision.stage == RolloutStage::Moving {
                view.moves_ms()
            } else {
                BTreeMap::new()
            },
        };
        Some((record, fleet.rollouts.record_version(pool)))
    }
}
