//! Membership over tables of lists that lag, flap and go back.

use std::collections::BTreeMap;

use chalkrock_core::{
    BuildVersion, Endpoint, EndpointId, EndpointKind, HostList, HostState, Incarnation, Membership,
};
use googletest::prelude::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct Case {
    name: String,
    lists: Vec<BTreeMap<String, (u64, HostState)>>,
    after: Vec<Believed>,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Believed {
    Live,
    Leaving,
    Gone,
}

fn endpoint(name: &str, incarnation: u64, state: HostState) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind: EndpointKind::Engine,
        pool: "pool".into(),
        zone: "zone".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 1,
        incarnation: Incarnation(incarnation),
        state,
        build: BuildVersion::default(),
    }
}

fn believed(members: &Membership) -> Believed {
    match members
        .endpoint(&EndpointId::new("e"))
        .map(|endpoint| endpoint.state)
    {
        Some(HostState::Live) => Believed::Live,
        Some(HostState::Leaving) => Believed::Leaving,
        None => Believed::Gone,
    }
}

#[test]
fn merge_tables_of_lists() {
    let text = include_str!("data/membership.yaml");
    let cases: Vec<Case> = serde_yaml_ng::from_str(text).unwrap();
    for case in cases {
        let mut members = Membership::default();
        for (list, after) in case.lists.iter().zip(&case.after) {
            let endpoints = list
                .iter()
                .map(|(name, (n, state))| endpoint(name, *n, *state));
            members.merge(&HostList {
                hosts: vec![],
                endpoints: endpoints.collect(),
            });
            assert_that!(believed(&members), eq(after), "{}", case.name);
        }
    }
}

#[test]
fn mark_leaving_of_another_incarnation_is_no_news() {
    let mut members = Membership::default();
    let list = HostList {
        hosts: vec![],
        endpoints: vec![endpoint("e", 2, HostState::Live)],
    };
    members.merge(&list);
    assert_that!(
        members.mark_leaving(&EndpointId::new("e"), Incarnation(1)),
        eq(false)
    );
    assert_that!(
        members.mark_leaving(&EndpointId::new("e"), Incarnation(2)),
        eq(true)
    );
    members.merge(&list);
    assert_that!(believed(&members), eq(&Believed::Leaving));
}
