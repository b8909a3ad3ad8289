//! Lookups of routes, callers and pools in one version of the rules.

use std::sync::Arc;

use chalkrock_core::PoolId;
use chalkrock_routing::{
    OrganisationRules, Route, RouteKind, Rules, RulesDocument, RulesVersion, WeightedPool,
};
use googletest::prelude::*;

fn route(name: &str, host: &str, path_prefix: &str, pools: &[(&str, u32)]) -> Route {
    let backends = pools.iter().map(|(pool, weight)| WeightedPool {
        pool: PoolId::from(*pool),
        weight: *weight,
    });
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        backends: backends.collect(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        objective_ms: 100,
        attempts_max: 1,
        priority: 0,
        is_public: false,
    }
}

fn rules() -> Rules {
    Rules::new(RulesDocument {
        version: RulesVersion(7),
        routes: vec![
            route("all", "a.example", "/", &[("p", 1)]),
            route("chat", "a.example", "/chat/", &[("p", 1)]),
            route("deep", "a.example", "/chat/deep/", &[("p", 90), ("q", 10)]),
            route("other", "b.example", "/chat/", &[]),
        ],
        organisations: vec![OrganisationRules {
            name: "dispatch".into(),
            priority: 1,
            keys: vec![Arc::from("key-1"), Arc::from("key-2")],
        }],
        ..RulesDocument::default()
    })
}

#[test]
fn route_with_the_longest_prefix_wins() {
    let cases = [
        ("a.example", "/chat/deep/x", Some("deep")),
        ("a.example", "/chat/deep", Some("chat")),
        ("a.example", "/chat/", Some("chat")),
        ("a.example", "/chatter", Some("all")),
        ("a.example", "/", Some("all")),
        ("b.example", "/chat/x", Some("other")),
        ("b.example", "/", None),
        ("c.example", "/chat/", None),
        ("", "", None),
    ];
    let rules = rules();
    for (host, path, expected) in cases {
        let found = rules.route(host, path).map(|route| &*route.name);
        assert_that!(found, eq(expected), "{host}{path}");
    }
}

#[test]
fn caller_is_found_by_any_of_its_keys() {
    let rules = rules();
    for key in ["key-1", "key-2"] {
        let caller = rules.caller(key).expect("a known key");
        assert_that!(caller.organisation.as_str(), eq("dispatch"));
    }
    assert_that!(rules.caller("key-3"), none());
    assert_that!(rules.needs_key(), eq(true));
}

#[test]
fn pool_is_chosen_by_weight() {
    let rules = rules();
    let route = rules.route("a.example", "/chat/deep/").expect("a route");
    let of_p = (0..1_000).filter(|draw| route.pool_for(*draw).is_some_and(|p| p.as_str() == "p"));
    assert_that!(of_p.count(), eq(900));
}

#[test]
fn pool_for_is_none_without_pools() {
    let rules = rules();
    let route = rules.route("b.example", "/chat/").expect("a route");
    assert_that!(route.pool_for(3), none());
}

#[test]
fn admission_objective_does_not_exceed_that_of_higher_priority() {
    let ranked = |priority: u8, objective_ms: u64, pool: &str| Route {
        priority,
        objective_ms,
        ..route("any", "a.example", "/", &[(pool, 1)])
    };
    let routes = vec![
        ranked(0, 400, "p"),
        ranked(1, 600, "p"),
        ranked(2, 300, "p"),
        ranked(1, 600, "q"),
    ];
    let rules = Rules::new(RulesDocument {
        routes: routes.clone(),
        ..RulesDocument::default()
    });
    let objectives = routes.iter().map(|route| {
        let pool = &route.backends[0].pool;
        rules.admission_objective_ms(pool, route)
    });
    assert_that!(objectives.collect::<Vec<u64>>(), eq(&[400, 400, 300, 600]));
}

#[test]
fn caller_priority_is_relative_to_the_first_organisation() {
    let organisation = |name: &str, priority: u8| OrganisationRules {
        name: name.into(),
        priority,
        keys: vec![Arc::from(format!("key-of-{name}"))],
    };
    let rules = Rules::new(RulesDocument {
        organisations: vec![organisation("a", 2), organisation("b", 3)],
        ..RulesDocument::default()
    });
    let ranks = ["key-of-a", "key-of-b"].map(|key| rules.caller(key).map(|caller| caller.priority));
    assert_that!(ranks, eq([Some(0), Some(1)]));
}
