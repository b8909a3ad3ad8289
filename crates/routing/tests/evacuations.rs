//! Evacuated zones under late, duplicate and reordered updates.

use chalkrock_core::ZoneId;
use chalkrock_routing::{EvacuationRow, Evacuations, StoreVersion};
use googletest::prelude::*;
use proptest::prelude::*;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn state(version: u64, zones: &[&str]) -> Evacuations {
    let zones = zones.iter().map(|zone| ZoneId::from(*zone));
    Evacuations::from_snapshot(StoreVersion(version), zones)
}

fn row(version: u64, zone: &str, is_evacuated: bool) -> EvacuationRow {
    EvacuationRow {
        version: StoreVersion(version),
        zone: zone.into(),
        is_evacuated,
    }
}

#[test]
fn merge_keeps_the_later_version() {
    let cases = [
        (
            "begun",
            state(1, &[]),
            state(2, &["zone-a"]),
            vec!["zone-a"],
        ),
        ("has ended", state(2, &["zone-a"]), state(3, &[]), vec![]),
        ("late", state(3, &[]), state(2, &["zone-a"]), vec![]),
        (
            "twice",
            state(2, &["zone-a"]),
            state(2, &["zone-a"]),
            vec!["zone-a"],
        ),
        (
            "two zones at once",
            state(2, &["zone-a"]),
            state(5, &["zone-a", "zone-b"]),
            vec!["zone-a", "zone-b"],
        ),
        (
            "another",
            state(2, &["zone-a"]),
            state(5, &["zone-b"]),
            vec!["zone-b"],
        ),
        (
            "a snapshot without the zone",
            state(9, &["zone-a"]),
            state(10, &[]),
            vec![],
        ),
    ];
    for (name, mut known, received, expected) in cases {
        known.merge(&received);
        let zones: Vec<&str> = known.zones().iter().map(ZoneId::as_str).collect();
        assert_that!(zones, eq(&expected), "{name}");
    }
}

#[test]
fn merge_returns_the_changes() {
    let mut known = state(2, &["zone-a", "zone-b"]);
    let change = known.merge(&state(4, &["zone-b", "zone-c"]));
    let changed: Vec<(&str, bool)> = change
        .zones()
        .map(|(zone, is)| (zone.as_str(), is))
        .collect();
    assert_that!(changed, eq(&vec![("zone-c", true), ("zone-a", false)]));
    assert_that!(known.merge(&state(4, &[])).is_empty(), eq(true));
}

#[test]
fn apply_changes_skips_known_rows() {
    let mut known = state(7, &[]);
    let rows = [
        row(5, "zone-a", true),
        row(6, "zone-a", false),
        row(8, "zone-b", true),
    ];
    known.apply_changes(&rows, StoreVersion(9));
    assert_that!(known, eq(&state(9, &["zone-b"])));
}

/// Rows of these changes, and the state of the store before and after each.
fn history(changes: &[(usize, bool)]) -> (Vec<EvacuationRow>, Vec<Evacuations>) {
    let mut rows = Vec::new();
    let mut states = vec![state(0, &[])];
    for (i, (zone, is_evacuated)) in changes.iter().enumerate() {
        let version = i as u64 + 1;
        rows.push(row(version, ZONES[*zone], *is_evacuated));
        let mut next = states[i].clone();
        next.apply_changes(&rows[i..], StoreVersion(version));
        states.push(next);
    }
    (rows, states)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any other result than the newest received state.
    #[test]
    fn merge_ends_with_the_newest_received_state(
        changes in prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..12),
        received in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..24),
    ) {
        let (rows, states) = history(&changes);
        let mut known = Evacuations::default();
        let mut newest = 0;
        for (index, by_rows) in received {
            let index = index.index(states.len());
            if by_rows && index >= newest {
                // Rows begin no later than the known version, and may repeat.
                known.apply_changes(&rows[..index], StoreVersion(index as u64));
            } else {
                known.merge(&states[index]);
            }
            newest = newest.max(index);
            prop_assert_eq!(&known, &states[newest]);
        }
    }
}
