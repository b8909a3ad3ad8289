//! An owner's authority to grant, across views that change and split.

use chalkrock_core::{
    Authority, OrganisationKey, OwnedEngine, Owner, SlotDecision, SlotHolder, SlotRules,
};
use googletest::prelude::*;

const HOSTS: [u8; 8] = [0, 1, 2, 3, 4, 5, 6, 7];
const ENGINE: &str = "engine";
const FIVE_MINUTES_MS: u64 = 300_000;

fn owner_of_engine(now_ms: u64) -> Owner<u8, &'static str> {
    let mut owner = Owner::new(0, SlotRules::for_load_multiple(1.25));
    owner.apply_view(&HOSTS, &owned(), &[], now_ms);
    owner.skip_settling();
    owner
}

fn holder(host: u8) -> SlotHolder<u8> {
    SlotHolder {
        host,
        organisation: OrganisationKey(0),
    }
}

fn owned() -> [OwnedEngine<&'static str>; 1] {
    [OwnedEngine {
        engine: ENGINE,
        weight: 1.0,
    }]
}

#[test]
fn authority_counts_hosts_of_the_last_minute() {
    for (seen, authority) in [
        (8, Authority::Full),
        (7, Authority::Full),
        (5, Authority::Full),
        (4, Authority::Shared),
        (3, Authority::None),
    ] {
        let mut owner = owner_of_engine(0);
        owner.apply_view(&HOSTS[..seen], &owned(), &[], FIVE_MINUTES_MS);
        assert_that!(
            owner.authority(FIVE_MINUTES_MS + 1),
            eq(authority),
            "sees {seen} of 8"
        );
    }
}

#[test]
fn authority_returns_when_lost_hosts_expire() {
    let mut owner = owner_of_engine(0);
    owner.apply_view(&HOSTS[..3], &owned(), &[], 1_000);
    assert_that!(owner.authority(2_000), eq(Authority::None));
    assert_that!(owner.authority(120_000), eq(Authority::Full));
}

#[test]
fn authority_is_shared_for_a_while_after_a_split() {
    let mut owner = owner_of_engine(0);
    owner.apply_view(&HOSTS[..4], &owned(), &[], 1_000);
    owner.apply_view(&HOSTS, &owned(), &[], 6_000);
    assert_that!(owner.authority(6_001), eq(Authority::Shared));
    assert_that!(owner.authority(30_000), eq(Authority::Full));
}

#[test]
fn request_at_a_minority_host_is_not_decided() {
    let mut owner = owner_of_engine(0);
    owner.apply_view(&HOSTS[..3], &owned(), &[], 1_000);
    assert_that!(owner.request_slot(&ENGINE, holder(1), 2_000), none());
}

#[test]
fn request_for_an_engine_with_a_new_owner_settles() {
    let mut owner = owner_of_engine(0);
    owner.apply_view(&HOSTS, &[], &[ENGINE], 1_000);
    assert_that!(owner.request_slot(&ENGINE, holder(1), 1_500), none());
    owner.apply_view(&HOSTS, &owned(), &[], 2_000);
    assert_that!(
        owner.request_slot(&ENGINE, holder(1), 2_500),
        some(eq(SlotDecision::Settling))
    );
}

#[test]
fn request_for_a_new_engine_does_not_settle() {
    let mut owner: Owner<u8, &str> = Owner::new(0, SlotRules::for_load_multiple(1.25));
    owner.apply_view(&HOSTS, &[], &[], 0);
    owner.apply_view(&HOSTS, &owned(), &[], 1_000);
    assert_that!(
        owner.request_slot(&ENGINE, holder(1), 1_001),
        some(eq(SlotDecision::Granted { load: 1 }))
    );
}

#[test]
fn flapping_engine_keeps_its_ledger() {
    let mut owner = owner_of_engine(0);
    owner.request_slot(&ENGINE, holder(1), 10);
    owner.apply_view(&HOSTS, &[], &[], 1_000);
    assert_that!(owner.request_slot(&ENGINE, holder(1), 1_500), none());
    owner.apply_view(&HOSTS, &owned(), &[], 4_000);
    assert_that!(
        owner.request_slot(&ENGINE, holder(1), 4_001),
        some(eq(SlotDecision::Granted { load: 2 }))
    );
}

#[test]
fn adopted_slots_before_ownership_are_kept() {
    let mut owner: Owner<u8, &str> = Owner::new(0, SlotRules::for_load_multiple(1.25));
    owner.apply_view(&HOSTS, &[], &[], 0);
    owner.adopt(&ENGINE, holder(1), 3, 500);
    owner.apply_view(&HOSTS, &owned(), &[], 1_000);
    assert_that!(owner.load(&ENGINE), some(eq(3)));
}
