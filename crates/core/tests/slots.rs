//! One engine's ledger: limits, settling, reports, adoption, shared ownership and shares.

use std::collections::HashMap;

use chalkrock_core::{
    EngineSlots, OrganisationKey, SlotDecision, SlotHolder, SlotRequestContext, SlotRules, Weights,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn settled_rules() -> SlotRules {
    SlotRules {
        settle_ms: 0,
        ..SlotRules::for_load_multiple(1.25)
    }
}

fn holder(host: u8) -> SlotHolder<u8> {
    holder_of(host, 0)
}

fn holder_of(host: u8, organisation: u32) -> SlotHolder<u8> {
    SlotHolder {
        host,
        organisation: OrganisationKey(organisation),
    }
}

fn request_slot(
    slots: &mut EngineSlots<u8>,
    holder: SlotHolder<u8>,
    now_ms: u64,
    mean_load: f64,
    shared: bool,
    rules: &SlotRules,
) -> SlotDecision {
    let weights = Weights::new(HashMap::from([(OrganisationKey(9), 3)]));
    slots.request_slot(
        holder,
        now_ms,
        SlotRequestContext {
            mean_load,
            shared,
            rules,
            weights: &weights,
        },
    )
}

fn try_grant(slots: &mut EngineSlots<u8>, host: u8, now_ms: u64, mean_load: f64) -> bool {
    let decision = request_slot(
        slots,
        holder(host),
        now_ms,
        mean_load,
        false,
        &settled_rules(),
    );
    matches!(decision, SlotDecision::Granted { .. })
}

#[test]
fn limit_is_above_the_mean_and_within_its_multiple() {
    for mean_load in [0.0, 1.0, 4.0, 4.9, 8.0, 42.0] {
        let limit = settled_rules().limit(mean_load, 1.0);
        assert_that!(f64::from(limit), gt(mean_load.max(4.0)));
        assert_that!(f64::from(limit), le(1.25 * mean_load.max(4.0)));
    }
}

#[test]
fn grants_stop_at_the_limit() {
    let mut slots = EngineSlots::new(1.0, 0);
    let granted = (0..20)
        .filter(|_| try_grant(&mut slots, 1, 10, 8.0))
        .count();
    assert_that!(granted, eq(settled_rules().limit(8.0, 1.0) as usize));
}

#[test]
fn request_is_granted_only_after_settling() {
    let rules = SlotRules::for_load_multiple(1.25);
    let mut slots = EngineSlots::new(1.0, 1_000);
    let early = request_slot(
        &mut slots,
        holder(1),
        1_000 + rules.settle_ms - 1,
        8.0,
        false,
        &rules,
    );
    assert_that!(early, eq(SlotDecision::Settling));
    let later = request_slot(
        &mut slots,
        holder(1),
        1_000 + rules.settle_ms,
        8.0,
        false,
        &rules,
    );
    assert_that!(later, eq(SlotDecision::Granted { load: 1 }));
}

#[test]
fn load_includes_requests_that_only_a_report_shows() {
    let mut slots = EngineSlots::<u8>::new(1.0, 0);
    slots.report(20_000, 7, &settled_rules());
    assert_that!(slots.load(), eq(7));
}

#[test]
fn delayed_report_does_not_count_grants_twice() {
    let mut slots = EngineSlots::new(1.0, 0);
    for _ in 0..6 {
        try_grant(&mut slots, 1, 10_000, 8.0);
    }
    // A report may be up to 8 s old, and grants rose from 0 to 6 meanwhile.
    for in_progress in [0, 3, 6] {
        slots.report(11_000, in_progress, &settled_rules());
        assert_that!(slots.load(), eq(6), "report {in_progress}");
    }
}

#[test]
fn report_lowers_the_load_by_slots_that_were_not_returned() {
    let mut slots = EngineSlots::new(1.0, 0);
    for _ in 0..6 {
        try_grant(&mut slots, 1, 1_000, 8.0);
    }
    slots.report(30_000, 2, &settled_rules());
    assert_that!(slots.load(), eq(2));
}

#[test]
fn completed_foreign_requests_leave_the_load_after_local_grants() {
    let mut slots = EngineSlots::new(1.0, 0);
    slots.report(10_000, 8, &settled_rules());
    // The eight foreign requests complete, and eight local grants replace them.
    for _ in 0..8 {
        try_grant(&mut slots, 1, 11_000, 20.0);
    }
    for second in 12..40 {
        slots.report(second * 1_000, 8, &settled_rules());
    }
    assert_that!(slots.load(), le(9));
}

/// A router reports slots that a previous owner granted.
#[test]
fn adopt_before_any_report_adds_load() {
    let mut slots = EngineSlots::new(1.0, 0);
    slots.adopt(holder(1), 100, 5);
    assert_that!(slots.load(), eq(5));
}

#[test]
fn adopt_after_a_report_converts_foreign_load() {
    let mut slots = EngineSlots::new(1.0, 0);
    slots.report(20_000, 5, &settled_rules());
    slots.adopt(holder(1), 20_100, 5);
    assert_that!(slots.load(), eq(5));
    assert_that!(slots.granted(), eq(5));
}

#[test]
fn shared_owners_do_not_exceed_the_limit_in_total() {
    let (mut a, mut b) = (EngineSlots::new(1.0, 0), EngineSlots::new(1.0, 0));
    let limit = settled_rules().limit(8.0, 1.0);
    for slots in [&mut a, &mut b] {
        slots.report(20_000, 2, &settled_rules());
    }
    let mut total = 2;
    for now_ms in 20_001..20_100 {
        for slots in [&mut a, &mut b] {
            let decision = request_slot(slots, holder(1), now_ms, 8.0, true, &settled_rules());
            total += u32::from(matches!(decision, SlotDecision::Granted { .. }));
        }
    }
    assert_that!(total, le(limit));
    assert_that!(total, gt(2));
}

fn capped_rules() -> SlotRules {
    SlotRules {
        capacity: 10.0,
        ..settled_rules()
    }
}

/// Requests `count` slots for an organisation and returns how many are granted.
fn request_slots_for(slots: &mut EngineSlots<u8>, organisation: u32, count: usize) -> usize {
    let holder = holder_of(1, organisation);
    let mut request = || request_slot(slots, holder, 10, 20.0, false, &capped_rules());
    (0..count)
        .filter(|_| matches!(request(), SlotDecision::Granted { .. }))
        .count()
}

#[test]
fn share_of_a_lone_organisation_is_the_whole_engine() {
    let mut slots = EngineSlots::new(1.0, 0);
    assert_that!(request_slots_for(&mut slots, 1, 20), eq(10));
}

#[test]
fn share_of_others_is_reserved_in_a_surge() {
    // Shares are 5 each and limit grants from a load of 8.
    let mut slots = EngineSlots::new(1.0, 0);
    assert_that!(request_slots_for(&mut slots, 2, 1), eq(1));
    assert_that!(request_slots_for(&mut slots, 1, 20), eq(7));
    assert_that!(request_slots_for(&mut slots, 2, 20), eq(2));
}

#[test]
fn freed_slot_is_reserved_for_the_organisation_under_its_share() {
    let mut slots = EngineSlots::new(1.0, 0);
    request_slots_for(&mut slots, 1, 8);
    // Organisation 9 has weight 3 of 4 and so a share of 7.5.
    assert_that!(request_slots_for(&mut slots, 9, 20), eq(2));
    let at_bound = request_slot(
        &mut slots,
        holder_of(1, 1),
        10,
        20.0,
        false,
        &capped_rules(),
    );
    assert_that!(at_bound, eq(SlotDecision::AtBound { load: 10 }));
    slots.return_slots(&holder_of(1, 1), 20, 1);
    let over_share = request_slot(
        &mut slots,
        holder_of(1, 1),
        30,
        20.0,
        false,
        &capped_rules(),
    );
    assert_that!(over_share, eq(SlotDecision::OverShare { load: 9 }));
    assert_that!(request_slots_for(&mut slots, 9, 1), eq(1));
}

#[derive(Clone, Debug)]
enum Operation {
    Request(u8),
    Return(u8),
    RemoveHost(u8),
    WaitMs(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..4u8).prop_map(Operation::Request),
        3 => (0..4u8).prop_map(Operation::Return),
        1 => (0..4u8).prop_map(Operation::RemoveHost),
        1 => (0..500u64).prop_map(Operation::WaitMs),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The granted total equals a plain count, and no grant exceeds the limit.
    #[test]
    fn grants_match_a_plain_count(operations in prop::collection::vec(operation(), 1..200)) {
        let mut slots = EngineSlots::new(1.0, 0);
        let mut held_by_host: HashMap<u8, u32> = HashMap::new();
        let mut now_ms = 0;
        for operation in operations {
            match operation {
                Operation::Request(host) => {
                    if try_grant(&mut slots, host, now_ms, 6.0) {
                        *held_by_host.entry(host).or_default() += 1;
                        prop_assert!(slots.load() <= settled_rules().limit(6.0, 1.0));
                    }
                }
                Operation::Return(host) => {
                    slots.return_slots(&holder(host), now_ms, 1);
                    if let Some(count) = held_by_host.get_mut(&host) {
                        *count = count.saturating_sub(1);
                    }
                }
                Operation::RemoveHost(host) => {
                    slots.remove_host(&host, now_ms);
                    held_by_host.remove(&host);
                }
                Operation::WaitMs(ms) => now_ms += ms,
            }
            prop_assert_eq!(slots.granted(), held_by_host.values().sum::<u32>());
        }
    }
}
