//! The record of a rollout in the store, which all hosts go by.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chalkrock_core::BuildVersion;
use serde::{Deserialize, Serialize};

use crate::StoreVersion;
use crate::rollout::stage::RolloutStage;

/// Why a rollout entered its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutReason {
    /// An operator ordered it.
    Ordered,
    /// The answers of the new build are no worse.
    Sound,
    /// Nothing runs on the old endpoints any more, or there are none.
    Moved,
    /// The answers of the new build are worse.
    Bad,
    /// There were too few answers to decide.
    Undecided,
    /// The new build has no endpoints.
    NoEndpoints,
    /// An operator withdrew the order.
    Withdrawn,
}

/// A rollout's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The store version of its order.
    pub order: StoreVersion,
    /// The build to move to.
    pub build: BuildVersion,
    /// The builds to move from.
    pub from: BTreeSet<BuildVersion>,
    /// The current stage.
    pub stage: RolloutStage,
    /// Why it entered the stage.
    pub reason: RolloutReason,
    /// Age of the order when the record was written, in milliseconds.
    pub age_ms: u64,
    /// Age of the order at which each route moves, in milliseconds. Routes with short
    /// requests move late; unlisted ones move at once.
    #[serde(default)]
    pub moves_ms: BTreeMap<Arc<str>, u64>,
    /// Age at which each route was planned to move when the canary began, in milliseconds.
    /// Hosts without news follow it. Later records keep it; empty in records of earlier
    /// builds of this program.
    #[serde(default)]
    pub planned_ms: BTreeMap<Arc<str>, u64>,
    /// When the order was given, by the store's clock, in milliseconds.
    #[serde(default)]
    pub ordered_at_store_ms: Option<u64>,
    /// Builds of earlier rollouts that were not done. They get no requests while others of
    /// the old builds are live.
    #[serde(default)]
    pub unproven: BTreeSet<BuildVersion>,
}

/// What all records of an order have in common. Hosts exchange it apart from the record,
/// whose encoding in datagrams has to stay as earlier builds of this program read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// The store version of the order.
    pub order: StoreVersion,
    /// [`RolloutRecord::planned_ms`].
    pub planned_ms: BTreeMap<Arc<str>, u64>,
    /// [`RolloutRecord::ordered_at_store_ms`].
    pub ordered_at_store_ms: Option<u64>,
    /// [`RolloutRecord::unproven`].
    pub unproven: BTreeSet<BuildVersion>,
}

/// The store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreClock {
    /// Its present time, in milliseconds.
    pub now_ms: u64,
    /// The era in which it was read; a restored store may have another clock.
    pub era: u64,
}

impl RolloutPlan {
    /// Adds what this plan lacks of another one of the same order.
    pub(super) fn add(&mut self, other: &RolloutPlan) {
        if self.planned_ms.is_empty() {
            self.planned_ms.clone_from(&other.planned_ms);
        }
        self.unproven.extend(other.unproven.iter().cloned());
        self.ordered_at_store_ms = self.ordered_at_store_ms.or(other.ordered_at_store_ms);
    }
}

impl RolloutRecord {
    /// Age of the order by the store's clock, in milliseconds, or `None` if the clock is not
    /// the one by which the order was timed. A clock that ran backwards gives a lower age, so
    /// that the caller keeps the highest that it knows.
    pub fn age_by_store_ms(&self, clock: StoreClock) -> Option<u64> {
        let ordered_at_ms = self.ordered_at_store_ms?;
        let is_same_clock = clock.era == self.order.era();
        is_same_clock.then(|| clock.now_ms.saturating_sub(ordered_at_ms))
    }

    /// The plan that the record holds, empty in records of earlier builds.
    pub fn plan(&self) -> RolloutPlan {
        RolloutPlan {
            order: self.order,
            planned_ms: self.planned_ms.clone(),
            ordered_at_store_ms: self.ordered_at_store_ms,
            unproven: self.unproven.clone(),
        }
    }

    /// Adds what the record lacks of a plan of the same order.
    pub(super) fn add_plan(&mut self, plan: &RolloutPlan) {
        if plan.order != self.order {
            return;
        }
        let mut all = self.plan();
        all.add(plan);
        let RolloutPlan {
            order: _,
            planned_ms,
            ordered_at_store_ms,
            unproven,
        } = all;
        self.planned_ms = planned_ms;
        self.ordered_at_store_ms = ordered_at_store_ms;
        self.unproven = unproven;
    }

    /// Whether the requests of a route have moved at this age of the order.
    pub fn has_moved(&self, route: &str, age_ms: u64) -> bool {
        let at_ms = self.moves_ms.get(route).copied();
        self.stage >= RolloutStage::Moving && age_ms >= at_ms.unwrap_or_default()
    }

    /// Whether a route has moved by the plan, for a host without news. Unlisted routes move
    /// with the last one.
    pub fn has_moved_by_plan(&self, route: &str, age_ms: u64, within_ms: u64) -> bool {
        let last_ms = self.planned_ms.values().max();
        let at_ms = self.planned_ms.get(route).or(last_ms);
        age_ms >= at_ms.copied().unwrap_or(within_ms)
    }

    /// Age of the order from which a host that knows its plan sends nothing more to the old
    /// builds, with or without news, in milliseconds. Without a plan it is the deadline.
    pub fn last_planned_ms(&self, within_ms: u64) -> u64 {
        let planned_ms = self.planned_ms.values().max().copied();
        let moves_ms = self.moves_ms.values().max().copied();
        planned_ms
            .unwrap_or(within_ms)
            .max(moves_ms.unwrap_or_default())
    }

    /// Whether all routes have moved. Until then, old endpoints may be idle and still
    /// receive further requests.
    pub fn have_all_moved(&self, age_ms: u64) -> bool {
        let last_ms = self.moves_ms.values().max().copied();
        self.stage >= RolloutStage::Moving && age_ms >= last_ms.unwrap_or_default()
    }
}
