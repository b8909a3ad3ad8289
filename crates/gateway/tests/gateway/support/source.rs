//! A platform in memory that can be switched off.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chalkrock_core::{Endpoint, EndpointId, PoolId, ZoneId};
use chalkrock_gateway::{
    EndpointChange, EndpointRow, HostRow, ListedEndpoint, PoisonRow, ReceivedBytes, RolloutWrite,
    Row, Source, SourceError, SourceUpdate, Topic, UnreadableRow,
};
use chalkrock_routing::{
    EvacuationRow, RequestFingerprint, RolloutOrder, RolloutOrderRow, RolloutRecord, RolloutStage,
    RulesDocument, StoreVersion,
};
use tokio::sync::watch;

#[derive(Default)]
struct State {
    is_down: bool,
    is_silent: bool,
    /// How long each answer takes.
    answer_ms: u64,
    /// How long rules take on their way to a gateway, alone on its link.
    rules_transfer_ms: u64,
    /// Rules that are on their way, and that ever were.
    transfers: Transfers,
    /// Silences so far: an answer that was due in one never comes.
    silences: u32,
    calls: u32,
    version: u64,
    rules: Option<(u64, RulesDocument)>,
    endpoints: Vec<(u64, EndpointId, Option<ListedEndpoint>)>,
    /// Zones, and whether they are evacuated.
    evacuations: Vec<(u64, ZoneId, bool)>,
    /// Rows that another writer made.
    foreign: Vec<(Topic, UnreadableRow)>,
    hosts: Vec<HostRow>,
    /// Requests that hosts recorded.
    poison: Vec<PoisonRow>,
    /// Orders to move pools to other builds, or that they were taken back.
    orders: Vec<RolloutOrderRow>,
    /// How far rollouts have come, and each stage that was written.
    records: BTreeMap<PoolId, (u64, RolloutRecord)>,
    stages: Vec<RolloutStage>,
    /// The version up to which changes of the rules were taken.
    rules_taken: u64,
}

fn foreign(version: u64, key: &str) -> UnreadableRow {
    UnreadableRow {
        version: StoreVersion(version),
        key: key.into(),
        field: ".".into(),
        found: "another writer's row".into(),
    }
}

/// Transfers of rules, which share one link evenly.
#[derive(Default)]
struct Transfers {
    begun: u32,
    running: u32,
}

/// A transfer that has begun; it ends when this is dropped.
struct Transfer(TestSource);

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.lock().transfers.running -= 1;
    }
}

/// What a platform held.
pub(crate) struct Copied {
    version: u64,
    rules: Option<(u64, RulesDocument)>,
    endpoints: Vec<(u64, EndpointId, Option<ListedEndpoint>)>,
    evacuations: Vec<(u64, ZoneId, bool)>,
    poison: Vec<PoisonRow>,
}

/// A platform that several gateways may share.
#[derive(Clone)]
pub(crate) struct TestSource {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    /// Whether whoever has this handle is cut off.
    is_cut: Arc<AtomicBool>,
}

impl Default for TestSource {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::new(watch::channel(0).0),
            is_cut: Arc::default(),
        }
    }
}

impl TestSource {
    /// Comes back from a copy that an earlier `copy` made: what was written since is
    /// gone, and numbers are given out again.
    pub(crate) fn come_back(&self, copy: Copied) {
        let mut state = self.lock();
        let era = StoreVersion(state.version).era() + 1;
        let in_era = |version: u64| {
            let number = StoreVersion(version).number();
            StoreVersion::in_era(era, number).0
        };
        state.rules = copy.rules.map(|(version, rules)| (in_era(version), rules));
        let endpoints = copy.endpoints.into_iter();
        state.endpoints = endpoints
            .map(|(version, name, row)| (in_era(version), name, row))
            .collect();
        let evacuations = copy.evacuations.into_iter();
        state.evacuations = evacuations
            .map(|(version, zone, is_evacuated)| (in_era(version), zone, is_evacuated))
            .collect();
        state.poison = copy.poison;
        state.version = in_era(copy.version);
        let version = state.version;
        drop(state);
        self.changed.send_replace(version);
    }

    /// A copy of what it holds.
    pub(crate) fn copy(&self) -> Copied {
        let state = self.lock();
        Copied {
            version: state.version,
            rules: state.rules.clone(),
            endpoints: state.endpoints.clone(),
            evacuations: state.evacuations.clone(),
            poison: state.poison.clone(),
        }
    }

    /// The same platform for another host, which can be cut off by itself.
    pub(crate) fn for_another(&self) -> Self {
        Self {
            is_cut: Arc::default(),
            ..self.clone()
        }
    }

    /// Cuts off whoever has this handle.
    pub(crate) fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }

    /// Orders to move the tests' pool to a build.
    pub(crate) fn order(&self, build: &str, within_ms: u64) {
        let build = build.into();
        self.put_order(Some(RolloutOrder { build, within_ms }));
    }

    /// Takes the order back.
    pub(crate) fn withdraw(&self) {
        self.put_order(None);
    }

    fn put_order(&self, order: Option<RolloutOrder>) {
        self.change(|state, version| {
            state.orders = vec![RolloutOrderRow {
                version: StoreVersion(version),
                pool: PoolId::from("pool"),
                order,
            }];
        });
    }

    /// The stages of the rollout so far, as they were written.
    pub(crate) fn stages(&self) -> Vec<RolloutStage> {
        self.lock().stages.clone()
    }

    /// The record of the rollout.
    pub(crate) fn rollout(&self) -> Option<RolloutRecord> {
        let state = self.lock();
        let record = state.records.get(&PoolId::from("pool"));
        record.map(|(_, record)| record.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets rules take so long on their way from now on, alone on the link.
    pub(crate) fn set_rules_transfer_ms(&self, transfer_ms: u64) {
        self.lock().rules_transfer_ms = transfer_ms;
    }

    /// How often rules were sent on their way.
    pub(crate) fn rules_transfers(&self) -> u32 {
        self.lock().transfers.begun
    }

    /// Sends an answer on its way, if it holds rules.
    async fn transfer(&self, news: SourceUpdate, arrival: &ReceivedBytes) -> SourceUpdate {
        const STEP_MS: u64 = 10;
        const STEP_BYTES: usize = 1_000;
        let holds_rules = news.rows.iter().any(|row| matches!(row, Row::Rules(_)));
        let transfer_ms = self.lock().rules_transfer_ms;
        if !holds_rules || transfer_ms == 0 {
            return news;
        }
        let _ends_when_dropped = self.begin_transfer();
        let mut left_ms = transfer_ms as f64;
        while left_ms > 0.0 {
            tokio::time::sleep(std::time::Duration::from_millis(STEP_MS)).await;
            arrival.record(STEP_BYTES);
            left_ms -= STEP_MS as f64 / f64::from(self.lock().transfers.running);
        }
        news
    }

    fn begin_transfer(&self) -> Transfer {
        let mut state = self.lock();
        state.transfers.begun += 1;
        state.transfers.running += 1;
        Transfer(self.clone())
    }

    fn change(&self, change: impl FnOnce(&mut State, u64)) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        change(&mut state, version);
        drop(state);
        self.changed.send_replace(version);
    }

    /// Puts rules into force.
    pub(crate) fn set_rules(&self, rules: RulesDocument) {
        self.change(|state, version| {
            state.foreign.retain(|(topic, _)| *topic != Topic::Rules);
            state.rules = Some((version, rules));
        });
    }

    /// Another writer overwrites the rules.
    pub(crate) fn spoil_rules(&self) {
        self.change(|state, version| {
            state.rules = None;
            state
                .foreign
                .push((Topic::Rules, foreign(version, "rules")));
        });
    }

    /// Another writer makes an endpoint's row, or overwrites it.
    pub(crate) fn spoil(&self, name: &str) {
        self.change(|state, version| {
            state
                .endpoints
                .retain(|(_, known, _)| known.as_str() != name);
            state
                .foreign
                .push((Topic::Endpoints, foreign(version, name)));
        });
    }

    /// Whether a gateway has taken the rules that were set last, be it to
    /// disregard them.
    pub(crate) fn are_rules_taken(&self) -> bool {
        let state = self.lock();
        let set = state.rules.as_ref().map(|(version, _)| *version);
        set.is_some_and(|version| state.rules_taken >= version)
    }

    /// Lists an endpoint, new or changed.
    pub(crate) fn list(&self, endpoint: Endpoint) {
        self.list_cold(endpoint, 0);
    }

    /// Lists an endpoint that is cold for so long.
    pub(crate) fn list_cold(&self, endpoint: Endpoint, cold_left_ms: u64) {
        self.change(|state, version| {
            state
                .endpoints
                .retain(|(_, name, _)| *name != endpoint.name);
            let name = endpoint.name.clone();
            state.foreign.retain(|(_, row)| *row.key != *name.as_str());
            let listed = ListedEndpoint {
                endpoint,
                cold_left_ms,
            };
            state.endpoints.push((version, name, Some(listed)));
        });
    }

    /// Evacuates a zone, or takes it back.
    pub(crate) fn evacuate(&self, zone: &str, is_evacuated: bool) {
        self.change(|state, version| {
            let zone = ZoneId::from(zone);
            state.evacuations.retain(|(_, known, _)| *known != zone);
            state.evacuations.push((version, zone, is_evacuated));
        });
    }

    /// Lists an endpoint no longer.
    pub(crate) fn unlist(&self, name: &EndpointId) {
        self.change(|state, version| {
            state.endpoints.retain(|(_, known, _)| known != name);
            state.endpoints.push((version, name.clone(), None));
        });
    }

    /// Answers nothing from now on, or answers again.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.change(|state, _| state.is_down = is_down);
    }

    /// Leaves calls unanswered from now on, those that wait among them for
    /// ever, or answers new ones again.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        let mut state = self.lock();
        state.is_silent = is_silent;
        state.silences += u32::from(is_silent);
    }

    /// Takes so long for each answer from now on.
    pub(crate) fn set_slow(&self, answer_ms: u64) {
        let mut state = self.lock();
        state.answer_ms = answer_ms;
    }

    /// Requests that are recorded to be sent no further.
    pub(crate) fn poison_rows(&self) -> usize {
        self.lock().poison.len()
    }

    /// Calls so far, answered or not.
    pub(crate) fn calls(&self) -> u32 {
        let state = self.lock();
        state.calls
    }

    /// A call arrives; it is never answered if that is in a silence. Returns
    /// how many there were.
    async fn arrive(&self) -> u32 {
        if self.is_cut.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let (is_silent, silences, answer_ms) = {
            let mut state = self.lock();
            state.calls += 1;
            (state.is_silent, state.silences, state.answer_ms)
        };
        if is_silent {
            std::future::pending::<()>().await;
        }
        if answer_ms > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(answer_ms)).await;
        }
        silences
    }

    /// An answer is due: it is lost if a silence came since the call did.
    async fn answer(&self, silences: u32) {
        let is_lost = {
            let state = self.lock();
            state.silences != silences
        };
        if is_lost {
            std::future::pending::<()>().await;
        }
    }

    /// What it holds, unless it is switched off.
    fn answering(&self) -> Result<MutexGuard<'_, State>, SourceError> {
        let state = self.lock();
        if state.is_down {
            return Err(SourceError::Unavailable("switched off".to_owned()));
        }
        Ok(state)
    }

    fn rows(&self, topic: Topic, since: Option<u64>) -> Result<SourceUpdate, SourceError> {
        let state = self.answering()?;
        let era = StoreVersion(state.version).era();
        if since.is_some_and(|since| StoreVersion(since).era() != era) {
            return Err(SourceError::HistoryGone);
        }
        let is_new = |version: u64| since.is_none_or(|since| version > since);
        let mut rows = Vec::new();
        match topic {
            Topic::Rules => {
                if let Some((_, rules)) = state.rules.as_ref().filter(|r| is_new(r.0)) {
                    rows.push(Row::Rules(Box::new(rules.clone())));
                }
                let evacuations = state.evacuations.iter().filter(|row| is_new(row.0));
                let is_whole = since.is_none();
                let named = evacuations.filter(|(_, _, is_evacuated)| *is_evacuated || !is_whole);
                rows.extend(named.map(|(version, zone, is_evacuated)| {
                    Row::Evacuation(EvacuationRow {
                        version: StoreVersion(*version),
                        zone: zone.clone(),
                        is_evacuated: *is_evacuated,
                    })
                }));
                let orders = state.orders.iter().filter(|row| is_new(row.version.0));
                let named = orders.filter(|row| row.order.is_some() || !is_whole);
                rows.extend(named.cloned().map(Row::Rollout));
            }
            Topic::Endpoints => {
                for (version, name, endpoint) in state.endpoints.iter().filter(|e| is_new(e.0)) {
                    let change = match endpoint {
                        Some(listed) => Some(EndpointChange::Listed(listed.clone())),
                        None => since.map(|_| EndpointChange::Gone(name.clone())),
                    };
                    let version = StoreVersion(*version);
                    rows.extend(change.map(|c| Row::Endpoint(EndpointRow { version, change: c })));
                }
            }
        }
        let foreign = state.foreign.iter();
        let foreign = foreign.filter(|(of, row)| *of == topic && is_new(row.version.0));
        rows.extend(foreign.map(|(_, row)| Row::Unreadable(row.clone())));
        Ok(SourceUpdate {
            version: StoreVersion(state.version),
            rows,
        })
    }
}

impl Source for TestSource {
    async fn read(
        &self,
        topic: Topic,
        arrival: &ReceivedBytes,
    ) -> Result<SourceUpdate, SourceError> {
        self.arrive().await;
        let news = self.rows(topic, None)?;
        Ok(self.transfer(news, arrival).await)
    }

    async fn changes(
        &self,
        topic: Topic,
        since: StoreVersion,
        wait_ms: u64,
        arrival: &ReceivedBytes,
    ) -> Result<SourceUpdate, SourceError> {
        let silences = self.arrive().await;
        if topic == Topic::Rules {
            let mut state = self.lock();
            state.rules_taken = state.rules_taken.max(since.0);
        }
        let mut changed = self.changed.subscribe();
        let news = self.rows(topic, Some(since.0))?;
        if !news.rows.is_empty() {
            return Ok(self.transfer(news, arrival).await);
        }
        let wait = std::time::Duration::from_millis(wait_ms);
        let _nothing_may_change = tokio::time::timeout(wait, changed.changed()).await;
        self.answer(silences).await;
        let news = self.rows(topic, Some(since.0))?;
        Ok(self.transfer(news, arrival).await)
    }

    async fn join(&self, own: &HostRow) -> Result<Vec<HostRow>, SourceError> {
        let mut state = self.answering()?;
        state
            .hosts
            .retain(|row| row.peer_address != own.peer_address);
        state.hosts.push(own.clone());
        Ok(state.hosts.clone())
    }

    async fn poison(&self) -> Result<Vec<PoisonRow>, SourceError> {
        let state = self.answering()?;
        Ok(state.poison.clone())
    }

    async fn record_poison(
        &self,
        add: &[PoisonRow],
        remove: &[RequestFingerprint],
    ) -> Result<(), SourceError> {
        let mut state = self.answering()?;
        let is_kept = |row: &PoisonRow| {
            !remove.contains(&row.request) && add.iter().all(|added| added.request != row.request)
        };
        state.poison.retain(is_kept);
        state.poison.extend(add);
        Ok(())
    }

    async fn write_rollout(
        &self,
        pool: &PoolId,
        record: &RolloutRecord,
        replaces: StoreVersion,
    ) -> Result<RolloutWrite, SourceError> {
        self.arrive().await;
        let mut state = self.answering()?;
        let known = state.records.get(pool);
        if let Some((version, there)) = known.filter(|(version, _)| *version != replaces.0) {
            return Ok(RolloutWrite::Conflict {
                version: StoreVersion(*version),
                record: Some(there.clone()),
            });
        }
        state.version += 1;
        let version = state.version;
        state
            .records
            .insert(pool.clone(), (version, record.clone()));
        state.stages.push(record.stage);
        Ok(RolloutWrite::Written(StoreVersion(version)))
    }
}
