//! Rollouts carried out by many hosts: when old endpoints may stop, and hosts without news.

use std::collections::BTreeMap;
use std::sync::Arc;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{
    BuildRequest, BuildUse, ExposureBound, HeardHost, QuiescenceView, RolloutOrder,
    RolloutOrderRow, RolloutOrders, RolloutPlan, RolloutReason, RolloutRecord, RolloutStage,
    Rollouts, StoreClock, StoreVersion,
};
use googletest::prelude::*;

const WITHIN_MS: u64 = 12_000;
const PLANNED_MS: u64 = 8_000;

fn record(stage: RolloutStage) -> RolloutRecord {
    RolloutRecord {
        order: StoreVersion(1),
        build: "v2".into(),
        from: [BuildVersion::from("v1")].into(),
        stage,
        reason: RolloutReason::Ordered,
        age_ms: 0,
        moves_ms: BTreeMap::new(),
        planned_ms: [("chat".into(), PLANNED_MS), ("long".into(), 5_000)].into(),
        ordered_at_store_ms: None,
        unproven: [].into(),
    }
}

fn rollouts(stage: RolloutStage) -> Rollouts<u32> {
    let order = RolloutOrder {
        build: "v2".into(),
        within_ms: WITHIN_MS,
    };
    let row = RolloutOrderRow {
        version: StoreVersion(1),
        pool: "pool".into(),
        order: Some(order),
    };
    let mut rollouts = Rollouts::new(ExposureBound::default());
    rollouts.apply_order_changes(&[row], StoreVersion(1), 0.5, 0);
    rollouts.merge_record(&"pool".into(), record(stage), StoreVersion(2), 0);
    rollouts
}

/// Returns the first use of a request that is no first attempt, so that no canary gets it.
fn first_use(rollouts: &mut Rollouts<u32>, route: &str, now_ms: u64) -> BuildUse {
    let pool = PoolId::from("pool");
    let route: Arc<str> = route.into();
    let request = BuildRequest {
        pool: &pool,
        route: &route,
        is_first: false,
        hosts: 10,
    };
    rollouts.build_uses(&request, now_ms)[0]
}

#[test]
fn build_uses_of_a_host_without_news_follow_the_plan() {
    let mut rollouts = rollouts(RolloutStage::Canary);
    assert_that!(
        first_use(&mut rollouts, "chat", PLANNED_MS),
        eq(BuildUse::Old)
    );
    rollouts.set_cut_off(true);
    assert_that!(first_use(&mut rollouts, "long", 4_999), eq(BuildUse::Old));
    assert_that!(first_use(&mut rollouts, "long", 5_000), eq(BuildUse::New));
    assert_that!(first_use(&mut rollouts, "chat", 5_000), eq(BuildUse::Old));
    // A route that the plan does not list moves with the last one.
    assert_that!(first_use(&mut rollouts, "other", 7_999), eq(BuildUse::Old));
    assert_that!(
        first_use(&mut rollouts, "other", PLANNED_MS),
        eq(BuildUse::New)
    );
    rollouts.set_cut_off(false);
    assert_that!(
        first_use(&mut rollouts, "chat", PLANNED_MS),
        eq(BuildUse::Old)
    );
}

#[test]
fn build_uses_after_the_final_stage_ignore_the_plan() {
    let mut rollouts = rollouts(RolloutStage::RolledBack);
    rollouts.set_cut_off(true);
    assert_that!(
        first_use(&mut rollouts, "chat", WITHIN_MS),
        eq(BuildUse::Old)
    );
}

/// Records of earlier builds of the program have no plan.
#[test]
fn has_moved_by_plan_without_a_plan_is_the_deadline() {
    let yaml = "{order: 1, build: v2, from: [v1], stage: canary, reason: ordered, age_ms: 80}";
    let record: RolloutRecord = serde_yaml_ng::from_str(yaml).expect("a record");
    assert_that!(
        record.has_moved_by_plan("chat", WITHIN_MS - 1, WITHIN_MS),
        eq(false)
    );
    assert_that!(
        record.has_moved_by_plan("chat", WITHIN_MS, WITHIN_MS),
        eq(true)
    );
}

/// Hosts that are cut off know the plan and not the move, and without a plan only the deadline.
#[test]
fn last_planned_ms_covers_hosts_that_know_only_the_plan() {
    let moving = RolloutRecord {
        moves_ms: [("chat".into(), 9_000)].into(),
        ..record(RolloutStage::Moving)
    };
    assert_that!(moving.last_planned_ms(WITHIN_MS), eq(9_000));
    let without_plan = RolloutRecord {
        planned_ms: BTreeMap::new(),
        ..moving
    };
    assert_that!(without_plan.last_planned_ms(WITHIN_MS), eq(WITHIN_MS));
}

/// Hosts of earlier builds pass records on, and write them, without the plan.
#[test]
fn merge_record_keeps_the_plan_of_its_order() {
    let without_plan = RolloutRecord {
        planned_ms: BTreeMap::new(),
        ..record(RolloutStage::Moving)
    };
    let plan = record(RolloutStage::Canary).plan();
    let mut known = rollouts(RolloutStage::Canary);
    known.merge_record(&"pool".into(), without_plan.clone(), StoreVersion(3), 0);
    assert_that!(
        known.record(&"pool".into()).expect("a record").0.plan(),
        eq(&plan)
    );
    // The plan may also arrive after the record.
    let mut late = rollouts(RolloutStage::Canary);
    let other_order = RolloutRecord {
        order: StoreVersion(9),
        ..without_plan
    };
    late.merge_record(&"pool".into(), other_order, StoreVersion(10), 0);
    let plan = RolloutPlan {
        order: StoreVersion(9),
        ..plan
    };
    late.merge_plan(&"pool".into(), plan.clone());
    let order = RolloutOrderRow {
        version: StoreVersion(9),
        pool: "pool".into(),
        order: Some(RolloutOrder {
            build: "v2".into(),
            within_ms: WITHIN_MS,
        }),
    };
    late.apply_order_changes(&[order], StoreVersion(10), 0.5, 0);
    assert_that!(
        late.record(&"pool".into()).expect("a record").0.plan(),
        eq(&plan)
    );
}

/// Guards against sending the old build's requests to an unproven build that a plan names after
/// its record has arrived.
#[test]
fn merge_plan_after_its_record_takes_unproven_builds_out_of_use() {
    let pool = PoolId::from("pool");
    for stage in [RolloutStage::Canary, RolloutStage::RolledBack] {
        let mut rollouts = rollouts(stage);
        let plan = RolloutPlan {
            unproven: ["v0".into()].into(),
            ..record(stage).plan()
        };
        rollouts.merge_plan(&pool, plan);
        let filter = rollouts.filter(&pool, BuildUse::Old, 0);
        let admitted = ["v0", "v1", "v2"].map(|build| filter.admits(&build.into()));
        assert_that!(admitted, eq([false, true, false]), "{stage}");
        let unproven = rollouts.unproven(&pool);
        assert_that!(
            unproven,
            eq(&[BuildVersion::from("v0")].into()),
            "for the next record"
        );
    }
}

/// All routes have moved at an age of 8 s; requests run for at most 3 s.
fn view(age_ms: u64, counted_hosts: usize, hosts: &[HeardHost]) -> QuiescenceView<'_> {
    QuiescenceView {
        age_ms,
        moved_ago_ms: age_ms - PLANNED_MS,
        planned_ms: PLANNED_MS,
        cut_off_delay_ms: 3_000,
        max_request_ms: 3_000,
        counted_hosts,
        hosts,
    }
}

fn host(heard_ago_ms: u64, is_direct: bool) -> HeardHost {
    HeardHost {
        heard_ago_ms,
        is_direct,
    }
}

#[test]
fn host_wait_ends_once_direct_hosts_report_after_the_move() {
    let hosts = [host(100, true), host(200, true)];
    assert_that!(view(8_500, 2, &hosts).host_wait(), some(anything()));
    assert_that!(view(8_600, 2, &hosts).host_wait(), none());
}

/// A report from before the move may be of a host that was cut off and never learns of it.
#[test]
fn host_wait_lasts_for_a_host_that_was_last_heard_before_the_move() {
    let hosts = [host(100, true), host(900, true)];
    let wait = view(8_800, 2, &hosts).host_wait();
    assert_that!(wait.map(|wait| wait.hosts), some(eq(1)));
}

#[test]
fn host_wait_for_a_silent_host_ends_after_its_longest_request() {
    // Last heard at 4 s: it follows the plan from 8 s on.
    let ends_ms = PLANNED_MS + 3_000 + 400;
    let wait = |age_ms: u64| view(age_ms, 0, &[host(age_ms - 4_000, false)]).host_wait();
    assert_that!(wait(ends_ms - 1), some(anything()));
    assert_that!(wait(ends_ms), none());
    // Last heard at 7 s: it knows that it is cut off at 10 s.
    let ends_ms = 10_000 + 3_000 + 400;
    let wait = |age_ms: u64| view(age_ms, 0, &[host(age_ms - 7_000, false)]).host_wait();
    assert_that!(wait(ends_ms - 1), some(anything()));
    assert_that!(wait(ends_ms), none());
}

/// A host that was last heard before the order knows no plan.
#[test]
fn host_wait_for_a_host_without_a_plan_lasts_until_it_counts_as_gone() {
    let wait = |age_ms: u64| view(age_ms, 0, &[host(age_ms + 5_000, false)]).host_wait();
    assert_that!(wait(34_999), some(anything()));
    assert_that!(wait(35_000), none());
}

/// Hosts of other zones report through relays, and rarely themselves.
#[test]
fn host_wait_trusts_aggregates_that_cover_all_hosts() {
    let hosts = [host(20_000, false), host(100, true)];
    assert_that!(view(10_299, 2, &hosts).host_wait(), some(anything()));
    assert_that!(view(10_300, 2, &hosts).host_wait(), none());
    assert_that!(view(10_300, 1, &hosts).host_wait(), some(anything()));
}

fn order_row(version: StoreVersion, build: &str) -> RolloutOrderRow {
    RolloutOrderRow {
        version,
        pool: "pool".into(),
        order: Some(RolloutOrder {
            build: build.into(),
            within_ms: WITHIN_MS,
        }),
    }
}

#[test]
fn age_by_store_ms_is_only_known_by_the_clock_of_the_order() {
    let clock = |now_ms, era| StoreClock { now_ms, era };
    let timed = RolloutRecord {
        ordered_at_store_ms: Some(5_000),
        ..record(RolloutStage::Canary)
    };
    assert_that!(timed.age_by_store_ms(clock(9_000, 0)), some(eq(4_000)));
    // A clock that ran backwards: the caller keeps the age that it knows.
    assert_that!(timed.age_by_store_ms(clock(1_000, 0)), some(eq(0)));
    assert_that!(timed.age_by_store_ms(clock(9_000, 1)), none());
    let untimed = record(RolloutStage::Canary);
    assert_that!(untimed.age_by_store_ms(clock(9_000, 0)), none());
}

/// A restored store reuses version numbers in a later era. The order it holds is the same
/// one: its rollout must neither begin anew nor lose its age.
#[test]
fn replace_orders_of_a_restored_store_keeps_the_rollout() {
    let pool = PoolId::from("pool");
    let mut rollouts = rollouts(RolloutStage::Moving);
    let restored = StoreVersion::in_era(1, 1);
    let read = RolloutOrders::from_snapshot(restored, [order_row(restored, "v2")]);
    rollouts.replace_orders(read, 0.5, 6_000);
    assert_that!(rollouts.stage(&pool), some(eq(RolloutStage::Moving)));
    assert_that!(rollouts.age_ms(&pool, 6_000), eq(6_000));
}

/// The copy may hold the order before the current one.
#[test]
fn replace_orders_of_a_restored_store_keeps_the_later_order() {
    let pool = PoolId::from("pool");
    let mut rollouts: Rollouts<u32> = Rollouts::new(ExposureBound::default());
    let rows = [order_row(StoreVersion(9), "v3")];
    rollouts.apply_order_changes(&rows, StoreVersion(9), 0.5, 0);
    let restored = StoreVersion::in_era(1, 5);
    let read = RolloutOrders::from_snapshot(restored, [order_row(restored, "v2")]);
    rollouts.replace_orders(read, 0.5, 6_000);
    let order = rollouts.order(&pool).map(|(_, order)| order.build.clone());
    assert_that!(order, some(eq(&"v3".into())));
    // An operator's new order counts, whatever its number.
    let rows = [order_row(StoreVersion::in_era(1, 6), "v4")];
    rollouts.apply_order_changes(&rows, StoreVersion::in_era(1, 6), 0.5, 7_000);
    let order = rollouts.order(&pool).map(|(_, order)| order.build.clone());
    assert_that!(order, some(eq(&"v4".into())));
}

/// A host that started after the restore knows the order by its restored version.
#[test]
fn record_of_an_order_from_before_a_restore_stays_in_force() {
    let pool = PoolId::from("pool");
    let mut rollouts: Rollouts<u32> = Rollouts::new(ExposureBound::default());
    let restored = StoreVersion::in_era(1, 1);
    rollouts.apply_order_changes(&[order_row(restored, "v2")], restored, 0.5, 0);
    rollouts.merge_record(&pool, record(RolloutStage::Done), StoreVersion(2), 0);
    assert_that!(rollouts.stage(&pool), some(eq(RolloutStage::Done)));
}

/// The copy may hold an earlier record of the same order, at a higher version.
#[test]
fn record_stored_of_a_restored_store_does_not_go_back() {
    let pool = PoolId::from("pool");
    let mut rollouts = rollouts(RolloutStage::Done);
    let version = StoreVersion::in_era(1, 2);
    let canary = record(RolloutStage::Canary);
    let is_new = rollouts.record_stored(&pool, Some(canary.clone()), version, 0);
    assert_that!(is_new, eq(false));
    assert_that!(rollouts.stage(&pool), some(eq(RolloutStage::Done)));
    assert_that!(
        rollouts.record_version(&pool),
        eq(version),
        "the next write replaces it"
    );
    // Another host that started since may pass the earlier record on.
    assert_that!(rollouts.merge_record(&pool, canary, version, 0), eq(false));
    assert_that!(rollouts.stage(&pool), some(eq(RolloutStage::Done)));
}

/// A build whose rollout was replaced by another order, or rolled back, must not get the
/// requests of the old build.
#[test]
fn build_filter_leaves_out_builds_of_rollouts_that_were_not_done() {
    let pool = PoolId::from("pool");
    for stage in [
        RolloutStage::Canary,
        RolloutStage::Moving,
        RolloutStage::RolledBack,
    ] {
        let version = StoreVersion(9);
        let mut rollouts = rollouts(stage);
        rollouts.apply_order_changes(&[order_row(version, "v3")], version, 0.5, 0);
        let filter = rollouts.filter(&pool, BuildUse::Old, 0);
        let admitted = ["v1", "v2", "v3"].map(|build| filter.admits(&build.into()));
        assert_that!(admitted, eq([true, false, false]), "{stage}");
    }
    let mut done = rollouts(RolloutStage::Done);
    done.apply_order_changes(&[order_row(StoreVersion(9), "v3")], StoreVersion(9), 0.5, 0);
    assert_that!(
        done.filter(&pool, BuildUse::Old, 0).admits(&"v2".into()),
        eq(true)
    );
    // A host that starts learns it from the earlier record, or from the later one.
    let started = || {
        let mut rollouts: Rollouts<u32> = Rollouts::new(ExposureBound::default());
        rollouts.apply_order_changes(&[order_row(StoreVersion(9), "v3")], StoreVersion(9), 0.5, 0);
        rollouts
    };
    let later = RolloutRecord {
        order: StoreVersion(9),
        build: "v3".into(),
        unproven: ["v2".into()].into(),
        ..record(RolloutStage::Canary)
    };
    for known in [record(RolloutStage::Canary), later] {
        let mut rollouts = started();
        rollouts.merge_record(&pool, known, StoreVersion(10), 0);
        let filter = rollouts.filter(&pool, BuildUse::Old, 0);
        assert_that!(filter.admits(&"v2".into()), eq(false));
        assert_that!(filter.admits(&"v1".into()), eq(true));
    }
}
