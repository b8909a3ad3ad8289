//! Differences between two versions of the rules, and their history.

use std::collections::BTreeMap;
use std::sync::Arc;

use chalkrock_core::PoolId;
use chalkrock_routing::{
    CallerLimits, OrganisationRules, PoolRules, Route, RouteKind, RulesChange, RulesDocument,
    RulesHistory, RulesVersion, WeightedPool,
};
use googletest::prelude::*;
use proptest::collection::btree_map;
use proptest::prelude::{ProptestConfig, Strategy};

fn route(name: &str, priority: u8) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: format!("/{name}/").into(),
        backends: vec![WeightedPool {
            pool: PoolId::from("pool"),
            weight: 1,
        }],
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        objective_ms: 100,
        attempts_max: 1,
        priority,
        is_public: false,
    }
}

fn organisation(name: &str, key: &str) -> OrganisationRules {
    OrganisationRules {
        name: name.into(),
        priority: 1,
        keys: vec![Arc::from(key)],
    }
}

/// A document with routes by name and priority, and organisations by name and key.
fn document(version: u64, routes: &[(&str, u8)], keys: &[(&str, &str)]) -> RulesDocument {
    RulesDocument {
        version: RulesVersion(version),
        routes: routes
            .iter()
            .map(|(name, priority)| route(name, *priority))
            .collect(),
        organisations: keys
            .iter()
            .map(|(name, key)| organisation(name, key))
            .collect(),
        limits: CallerLimits::default(),
        pools: vec![PoolRules {
            name: PoolId::from("pool"),
            cold_start_ms: 1_000 * version,
            cold_per_1000_s: 4_000,
        }],
        ..RulesDocument::default()
    }
}

/// Version 1 of all cases.
fn first() -> RulesDocument {
    let routes = [("a", 0), ("b", 0), ("c", 0)];
    document(1, &routes, &[("desk", "key-2"), ("dispatch", "key-1")])
}

#[test]
fn change_counts_differences_and_yields_the_new_document() {
    let keys = [("desk", "key-2"), ("dispatch", "key-1")];
    let routes = [("a", 0), ("b", 0), ("c", 0)];
    let cases = [
        ("nothing", document(2, &routes, &keys), 0),
        (
            "new",
            document(2, &[("a", 0), ("b", 0), ("c", 0), ("d", 0)], &keys),
            1,
        ),
        (
            "changed",
            document(2, &[("a", 0), ("b", 4), ("c", 0)], &keys),
            1,
        ),
        ("gone", document(2, &[("a", 0), ("c", 0)], &keys), 1),
        (
            "all of these",
            document(2, &[("b", 4), ("c", 0), ("d", 0)], &keys),
            3,
        ),
        (
            "a key",
            document(2, &routes, &[keys[0], ("dispatch", "key-3")]),
            1,
        ),
        ("an organisation", document(2, &routes, &keys[..1]), 1),
        ("no routes", document(2, &[], &keys), 3),
    ];
    for (name, new, entries) in cases {
        let change = RulesChange::between(&first(), &new).expect(name);
        assert_that!(change.entry_count(), eq(entries), "{name}");
        assert_that!(change.apply(&first()), some(eq(&new)), "{name}");
    }
}

#[test]
fn change_includes_limits() {
    let mut new = first();
    new.version = RulesVersion(2);
    new.limits.body_max_bytes = 7;
    let change = RulesChange::between(&first(), &new).expect("a change");
    assert_that!(change.apply(&first()), some(eq(&new)));
}

#[test]
fn change_is_none_without_sorted_unique_names() {
    let keys = [("desk", "key-2"), ("dispatch", "key-1")];
    let cases = [
        ("out of order", document(2, &[("b", 0), ("a", 0)], &keys)),
        ("two of a name", document(2, &[("a", 0), ("a", 1)], &keys)),
    ];
    for (name, other) in cases {
        assert_that!(RulesChange::between(&first(), &other), none(), "{name}");
        assert_that!(RulesChange::between(&other, &first()), none(), "{name}");
    }
}

/// Guards against documents that cannot be compared after sorting.
#[test]
fn change_is_found_after_sorting() {
    let mut new = document(2, &[("d", 0), ("b", 0), ("a", 0)], &[]);
    new.sort();
    let change = RulesChange::between(&first(), &new).expect("a change");
    assert_that!(change.apply(&first()), some(eq(&new)));
}

#[test]
fn change_applies_only_to_its_base_version() {
    let new = document(2, &[], &[]);
    let change = RulesChange::between(&first(), &new).expect("a change");
    let other = document(3, &[("a", 0)], &[]);
    assert_that!(change.apply(&other), none());
}

#[test]
fn change_between_any_documents_yields_the_new_one() {
    let entries = || btree_map(0..12_u8, 0..3_u8, 0..12);
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest::proptest!(config, |(old in documents(1, entries()), new in documents(2, entries()))| {
        let change = RulesChange::between(&old, &new).expect("a change");
        assert_that!(change.apply(&old), some(eq(&new)));
    });
}

/// Documents whose routes have random names and priorities.
fn documents(
    version: u64,
    entries: impl Strategy<Value = BTreeMap<u8, u8>>,
) -> impl Strategy<Value = RulesDocument> {
    entries.prop_map(move |entries| {
        let routes = entries
            .iter()
            .map(|(name, priority)| route(&name.to_string(), *priority));
        let mut document = RulesDocument {
            version: RulesVersion(version),
            routes: routes.collect(),
            ..RulesDocument::default()
        };
        document.sort();
        document
    })
}

/// More entries than any of these changes has.
const MAX_ENTRIES: usize = 1_000;

fn change(from: u64, to: u64) -> Arc<RulesChange> {
    let change = RulesChange::between(&document(from, &[], &[]), &document(to, &[], &[]));
    Arc::new(change.expect("a change"))
}

#[test]
fn since_returns_the_changes_to_the_newest_version() {
    let mut history = RulesHistory::default();
    assert_that!(history.since(RulesVersion(1)), none());
    let changes = [change(1, 4), change(4, 5), change(5, 9)];
    for change in &changes {
        history.push(change.clone(), MAX_ENTRIES);
    }
    assert_that!(history.since(RulesVersion(1)), some(eq(&changes.to_vec())));
    assert_that!(
        history.since(RulesVersion(5)),
        some(eq(&changes[2..].to_vec()))
    );
    for unknown in [0, 2, 9, 12] {
        assert_that!(history.since(RulesVersion(unknown)), none(), "{unknown}");
    }
}

#[test]
fn since_returns_none_before_a_gap() {
    let mut history = RulesHistory::default();
    history.push(change(1, 4), MAX_ENTRIES);
    history.push(change(6, 7), MAX_ENTRIES);
    assert_that!(history.since(RulesVersion(1)), none());
    assert_that!(history.since(RulesVersion(6)), some(len(eq(1))));
    history.clear();
    assert_that!(history.since(RulesVersion(6)), none());
}

#[test]
fn since_drops_the_oldest_changes() {
    let mut history = RulesHistory::default();
    for version in 1..=9 {
        history.push(change(version, version + 1), MAX_ENTRIES);
    }
    assert_that!(history.since(RulesVersion(1)), none());
    assert_that!(history.since(RulesVersion(2)), some(len(eq(8))));
}

/// Guards against a history larger than the whole document.
#[test]
fn since_keeps_no_more_entries_than_the_document() {
    let at = |version: u64| {
        let rank = version as u8;
        let routes = [("a", rank), ("b", rank), ("c", rank), ("d", rank)];
        document(version, &routes, &[])
    };
    let mut history = RulesHistory::default();
    for version in 1..=3 {
        let change = RulesChange::between(&at(version), &at(version + 1)).expect("a change");
        history.push(Arc::new(change), at(version + 1).entry_count());
    }
    assert_that!(history.since(RulesVersion(2)), none());
    assert_that!(history.since(RulesVersion(3)), some(len(eq(1))));
}
