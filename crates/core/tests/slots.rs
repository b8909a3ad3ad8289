//! One engine's ledger: limits, delayed reports, adoption, slots not returned.

use std::collections::HashMap;

use chalkrock_core::{
    EngineSlots, OrganisationKey, SlotDecision, SlotHolder, SlotRequestContext, SlotRules, Weights,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn rules() -> SlotRules {
    SlotRules {
        settle_ms: 0,
        ..SlotRules::for_load_multiple(1.25)
    }
}

fn holder(host: u8) -> SlotHolder<u8> {
    holder_in(host, 0)
}

fn holder_in(host: u8, organisation: u32) -> SlotHolder<u8> {
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

fn grant(slots: &mut EngineSlots<u8>, host: u8, now_ms: u64, mean: f64) -> bool {
    let decision = request_slot(slots, holder(host), now_ms, mean, false, &rules());
    matches!(decision, SlotDecision::Granted { .. })
}

#[test]
fn limit_exceeds_the_mean() {
    for mean in [0.0, 1.0, 4.0, 4.9, 8.0, 42.0] {
        let limit = rules().limit(mean, 1.0);
        assert_that!(f64::from(limit), gt(mean.max(4.0)));
        assert_that!(f64::from(limit), le(1.25 * mean.max(4.0)));
    }
}

#[test]
fn grants_stop_at_the_limit() {
    let mut slots = EngineSlots::new(1.0, 0);
    let granted = (0..20).filter(|_| grant(&mut slots, 1, 10, 8.0)).count();
    assert_that!(granted, eq(rules().limit(8.0, 1.0) as usize));
}

#[test]
fn request_before_settling_is_not_granted() {
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
fn report_includes_foreign_load() {
    let mut slots = EngineSlots::<u8>::new(1.0, 0);
    slots.report(20_000, 7, &rules());
    assert_that!(slots.load(), eq(7));
}

#[test]
fn delayed_report_does_not_count_grants_twice() {
    let mut slots = EngineSlots::new(1.0, 0);
    for _ in 0..6 {
        grant(&mut slots, 1, 10_000, 8.0);
    }
    // A report may describe any time of the grants, so 0 to 6 are consistent.
    for in_progress in [0, 3, 6] {
        slots.report(11_000, in_progress, &rules());
        assert_that!(slots.load(), eq(6), "report {in_progress}");
    }
}

#[test]
fn report_frees_slots_that_were_not_returned() {
    let mut slots = EngineSlots::new(1.0, 0);
    for _ in 0..6 {
        grant(&mut slots, 1, 1_000, 8.0);
    }
    slots.report(30_000, 2, &rules());
    assert_that!(slots.load(), eq(2));
}

#[test]
fn completed_foreign_load_decays_while_local_grants_vary() {
    let mut slots = EngineSlots::new(1.0, 0);
    slots.report(10_000, 8, &rules());
    // The eight foreign requests complete, and eight local grants replace them.
    for _ in 0..8 {
        grant(&mut slots, 1, 11_000, 20.0);
    }
    for second in 12..40 {
        slots.report(second * 1_000, 8, &rules());
    }
    assert_that!(slots.load(), le(9));
}

#[test]
fn adopt_before_any_report_adds_load() {
    let mut slots = EngineSlots::new(1.0, 0);
    slots.adopt(holder(1), 100, 5);
    assert_that!(slots.load(), eq(5));
}

#[test]
fn adopt_after_a_report_converts_foreign_load() {
    let mut slots = EngineSlots::new(1.0, 0);
    slots.report(20_000, 5, &rules());
    slots.adopt(holder(1), 20_100, 5);
    assert_that!(slots.load(), eq(5));
    assert_that!(slots.granted(), eq(5));
}

#[test]
fn shared_owners_stay_under_the_limit_in_total() {
    let (mut a, mut b) = (EngineSlots::new(1.0, 0), EngineSlots::new(1.0, 0));
    let limit = rules().limit(8.0, 1.0);
    for slots in [&mut a, &mut b] {
        slots.report(20_000, 2, &rules());
    }
    let mut total = 2;
    for now_ms in 20_001..20_100 {
        for slots in [&mut a, &mut b] {
            let decision = request_slot(slots, holder(1), now_ms, 8.0, true, &rules());
            total += u32::from(matches!(decision, SlotDecision::Granted { .. }));
        }
    }
    assert_that!(total, le(limit));
    assert_that!(total, gt(2));
}

fn crowded_rules() -> SlotRules {
    SlotRules {
        capacity: 10.0,
        ..rules()
    }
}

/// Number of `count` requests of an organisation that are granted.
fn granted_to(slots: &mut EngineSlots<u8>, organisation: u32, count: usize) -> usize {
    let holder = holder_in(1, organisation);
    let mut request = || request_slot(slots, holder, 10, 20.0, false, &crowded_rules());
    (0..count)
        .filter(|_| matches!(request(), SlotDecision::Granted { .. }))
        .count()
}

#[test]
fn share_of_a_lone_organisation_is_the_whole_engine() {
    let mut slots = EngineSlots::new(1.0, 0);
    assert_that!(granted_to(&mut slots, 1, 20), eq(10));
}

#[test]
fn share_of_others_is_reserved_in_a_surge() {
    let mut slots = EngineSlots::new(1.0, 0);
    assert_that!(granted_to(&mut slots, 2, 1), eq(1));
    assert_that!(granted_to(&mut slots, 1, 20), eq(7));
    assert_that!(granted_to(&mut slots, 2, 20), eq(2));
}

#[test]
fn share_goes_by_weight() {
    let mut slots = EngineSlots::new(1.0, 0);
    granted_to(&mut slots, 1, 8);
    // Its weight is 3 of 4, so its share is three quarters.
    assert_that!(granted_to(&mut slots, 9, 20), eq(2));
    let refused = request_slot(
        &mut slots,
        holder_in(1, 1),
        10,
        20.0,
        false,
        &crowded_rules(),
    );
    assert_that!(refused, eq(SlotDecision::AtBound { load: 10 }));
    slots.return_slots(&holder_in(1, 1), 20, 1);
    let borrower = request_slot(
        &mut slots,
        holder_in(1, 1),
        30,
        20.0,
        false,
        &crowded_rules(),
    );
    assert_that!(borrower, eq(SlotDecision::OverShare { load: 9 }));
    assert_that!(granted_to(&mut slots, 9, 1), eq(1));
}

#[derive(Clone, Debug)]
enum Op {
    Request(u8),
    Return(u8),
    RemoveHost(u8),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..4u8).prop_map(Op::Request),
        3 => (0..4u8).prop_map(Op::Return),
        1 => (0..4u8).prop_map(Op::RemoveHost),
        1 => (0..500u64).prop_map(Op::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The ledger equals a plain count of each holder's slots, and no grant exceeds
    /// the limit.
    #[test]
    fn ledger_matches_a_plain_count(ops in prop::collection::vec(op(), 1..200)) {
        let mut slots = EngineSlots::new(1.0, 0);
        let mut held: HashMap<u8, u32> = HashMap::new();
        let mut now_ms = 0;
        for op in ops {
            match op {
                Op::Request(host) => {
                    if grant(&mut slots, host, now_ms, 6.0) {
                        *held.entry(host).or_default() += 1;
                        prop_assert!(slots.load() <= rules().limit(6.0, 1.0));
                    }
                }
                Op::Return(host) => {
                    slots.return_slots(&holder(host), now_ms, 1);
                    if let Some(count) = held.get_mut(&host) {
                        *count = count.saturating_sub(1);
                    }
                }
                Op::RemoveHost(host) => {
                    slots.remove_host(&host, now_ms);
                    held.remove(&host);
                }
                Op::Wait(ms) => now_ms += ms,
            }
            prop_assert_eq!(slots.granted(), held.values().sum::<u32>());
        }
    }
}
