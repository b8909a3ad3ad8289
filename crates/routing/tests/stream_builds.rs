//! Guards against streams that go on at a build nobody knows for theirs.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{BuildVersion, OrganisationId, PoolId, RequestId};
use chalkrock_routing::{ListedBuilds, StreamKey, StreamOrigin, StreamOrigins};
use googletest::prelude::*;

const RETENTION_MS: u64 = 10_000;

fn key(number: usize) -> StreamKey {
    StreamKey::of(None, &RequestId::from(format!("r-{number}").as_str()))
}

fn origin(build: &str) -> StreamOrigin {
    StreamOrigin::new(&PoolId::from("pool"), build.into())
}

#[test]
fn keys_differ_by_organisation_and_request() {
    let organisation = |name: &str| OrganisationId::from(name);
    let of = |name: Option<&str>, id: &str| {
        let name = name.map(organisation);
        StreamKey::of(name.as_ref(), &RequestId::from(id))
    };
    let keys = [
        of(None, "r-1"),
        of(None, "r-2"),
        of(Some("a"), "r-1"),
        of(Some("ar"), "-1"),
        of(Some("b"), "r-1"),
    ];
    for (i, one) in keys.iter().enumerate() {
        for other in &keys[i + 1..] {
            assert_that!(one, not(eq(other)));
        }
    }
    assert_that!(of(Some("a"), "r-1"), eq(keys[2]));
}

#[test]
fn origins_are_known_until_they_expire() {
    let mut origins = StreamOrigins::default();
    origins.record(key(1), origin("v1"), 1_000, RETENTION_MS);
    for (now_ms, age_ms) in [(1_000, Some(0)), (10_999, Some(9_999)), (11_000, None)] {
        let found = origins.find(key(1), now_ms);
        assert_that!(found.map(|(_, age_ms)| age_ms), eq(age_ms), "{now_ms}");
    }
    assert_that!(origins.find(key(2), 1_000), none());
}

#[test]
fn origins_that_differ_under_one_key_are_ambiguous() {
    for second in [
        origin("v2"),
        StreamOrigin::new(&PoolId::from("other"), "v1".into()),
    ] {
        let mut origins = StreamOrigins::default();
        origins.record(key(1), origin("v1"), 0, RETENTION_MS);
        origins.record(key(1), origin("v1"), 1, RETENTION_MS);
        assert_that!(origins.find(key(1), 2), some(anything()));
        origins.record(key(1), second, 3, RETENTION_MS);
        assert_that!(origins.find(key(1), 4), none());
        origins.record(key(1), origin("v1"), 5, RETENTION_MS);
        assert_that!(origins.find(key(1), 6), none());
    }
}

#[test]
fn origins_of_many_streams_stay_bounded() {
    const STREAMS: usize = 80_000;
    const MAX_STREAMS: usize = 65_536;
    let mut origins = StreamOrigins::default();
    for number in 0..STREAMS {
        origins.record(key(number), origin("v1"), 0, RETENTION_MS);
    }
    assert_that!(origins.len(), eq(MAX_STREAMS));
    assert_that!(origins.find(key(0), 1), none());
    assert_that!(origins.find(key(STREAMS - 1), 1), some(anything()));
    origins.record(key(STREAMS), origin("v1"), RETENTION_MS, RETENTION_MS);
    assert_that!(origins.len(), eq(1));
}

/// The hosts that rank first do not change with the loss of others.
#[test]
fn ranks_of_hosts_that_remain_keep_their_order() {
    let hosts: Vec<(usize, MemberHash)> = (0..8)
        .map(|number| (number, MemberHash::of(&format!("host-{number}"))))
        .collect();
    for number in 0..100 {
        let all = key(number).rank(hosts.iter().copied());
        let remaining: Vec<usize> = all.iter().copied().filter(|host| host % 3 != 0).collect();
        let ranked = key(number).rank(hosts.iter().copied().filter(|(host, _)| host % 3 != 0));
        assert_that!(ranked, eq(&remaining));
    }
}

#[test]
fn only_build_is_the_one_listed_within_the_window() {
    const WINDOW_MS: u64 = 1_000;
    let pool = PoolId::from("pool");
    let (old, new) = (BuildVersion::from("v1"), BuildVersion::from("v2"));
    let mut builds = ListedBuilds::default();
    builds.record(&pool, &old, 5_000);
    for (name, listed, now_ms, expected) in [
        ("none", vec![], 7_000, None),
        ("same", vec![&old, &old], 5_500, Some(&old)),
        ("both", vec![&old, &new], 9_000, None),
        ("recent", vec![&new], 6_000, None),
        ("expired", vec![&new], 6_001, Some(&new)),
    ] {
        let only = builds.only_build(&pool, listed, WINDOW_MS, now_ms);
        assert_that!(only, eq(expected), "{name}");
    }
    builds.forget_before(5_001);
    assert_that!(
        builds.only_build(&pool, [&new], WINDOW_MS, 5_500),
        some(eq(&new))
    );
}
