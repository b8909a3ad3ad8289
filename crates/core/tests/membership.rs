//! Membership with lists that are out of date or lack a live member.

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
    after: Vec<MemberState>,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum MemberState {
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

fn member_state(members: &Membership) -> MemberState {
    match members
        .endpoint(&EndpointId::new("e"))
        .map(|endpoint| endpoint.state)
    {
        Some(HostState::Live) => MemberState::Live,
        Some(HostState::Leaving) => MemberState::Leaving,
        None => MemberState::Gone,
    }
}

#[test]
fn merge_follows_the_case_table() {
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
            assert_that!(member_state(&members), eq(after), "{}", case.name);
        }
    }
}

#[test]
fn mark_leaving_ignores_another_incarnation() {
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
    assert_that!(member_state(&members), eq(&MemberState::Leaving));
}
