//! Endpoint states under late, incomplete and conflicting updates of several hosts.

use std::collections::BTreeSet;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation, PoolId};
use chalkrock_routing::{EndpointState, EndpointTable};
use googletest::prelude::*;
use proptest::prelude::*;

const POOL: &str = "chat";

fn endpoint(name: &str, state: HostState) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind: EndpointKind::Service,
        pool: POOL.into(),
        zone: "zone-a".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        slots: 4,
        incarnation: Incarnation(0),
        state,
        build: BuildVersion::default(),
    }
}

fn live(name: &str) -> Endpoint {
    endpoint(name, HostState::Live)
}

fn leaving(name: &str) -> Endpoint {
    endpoint(name, HostState::Leaving)
}

fn live_names(table: &EndpointTable) -> Vec<String> {
    let members = table.live(&PoolId::from(POOL));
    members
        .iter()
        .map(|m| m.endpoint.name.to_string())
        .collect()
}

fn state(table: &EndpointTable, name: &str) -> Option<EndpointState> {
    table.state(&name.into())
}

fn start(name: &str, incarnation: u64, state: HostState) -> Endpoint {
    Endpoint {
        incarnation: Incarnation(incarnation),
        ..endpoint(name, state)
    }
}

/// Guards against lists that differ in one start or one build and have the same digest.
#[test]
fn table_digest_tells_starts_and_builds_apart() {
    let with_build = |name: &str, incarnation: u64, build: &str| Endpoint {
        build: build.into(),
        ..start(name, incarnation, HostState::Live)
    };
    let digest = |endpoints: Vec<Endpoint>| {
        let mut table = EndpointTable::default();
        table.replace(endpoints, 0);
        table.digest()
    };
    let (a, b) = (with_build("a", 5, "v1"), with_build("b", 5, "v1"));
    let listed = digest(vec![a.clone(), b.clone()]);
    assert_that!(digest(vec![b.clone(), a.clone()]), eq(listed));
    for other in [
        vec![a.clone()],
        vec![a.clone(), with_build("b", 6, "v1")],
        vec![a.clone(), with_build("b", 5, "v2")],
        vec![with_build("a", 5, "v2"), with_build("b", 5, "v2")],
    ] {
        assert_that!(digest(other), not(eq(listed)));
    }
}

/// Guards against a list that is read again as of the same version and revives endpoints that
/// leave, and against digests that differ with what hosts learn apart from the list.
#[test]
fn table_read_again_corrects_builds_and_keeps_leaving() {
    let with_build = |name: &str, build: &str| Endpoint {
        build: build.into(),
        ..start(name, 5, HostState::Live)
    };
    let right = || vec![with_build("a", "v1"), with_build("b", "v2")];
    let mut table = EndpointTable::default();
    table.replace(right(), 0);
    let digest = table.digest();
    table.replace(vec![with_build("a", "v1"), with_build("b", "v1")], 0);
    assert_that!(table.digest(), not(eq(digest)));
    table.mark_leaving(&[with_build("a", "v1").start_hash().short()], 0);
    table.keep_lapsed(true);
    let revision = table.revision();
    table.replace(right(), 0);
    assert_that!(table.revision(), gt(revision));
    assert_that!(table.digest(), eq(digest));
    assert_that!(live_names(&table), elements_are![eq("b")]);
    table.set_evacuated(BTreeSet::from(["zone-a".into()]));
    assert_that!(table.digest(), eq(digest));
}

/// Guards against an endpoint that keeps a build that its entry does not state.
#[test]
fn table_entry_without_build_states_none() {
    let with_build = Endpoint {
        build: "v1".into(),
        ..live("a")
    };
    let mut table = EndpointTable::default();
    table.upsert(with_build);
    table.upsert(live("a"));
    let builds: Vec<BuildVersion> = table.listed().map(|m| m.endpoint.build.clone()).collect();
    assert_that!(builds, eq(&[BuildVersion::default()]));
}

/// Guards against excluding a restarted endpoint by reports about an earlier start.
#[test]
fn table_treats_a_later_start_as_another_endpoint() {
    let mut table = EndpointTable::default();
    table.replace(vec![start("a", 5, HostState::Leaving)], 0);
    let first = start("a", 5, HostState::Live).start_hash();
    table.upsert(start("a", 9, HostState::Live));
    assert_that!(live_names(&table), elements_are![eq("a")]);
    // A late report about the first start does not apply to the second.
    assert_that!(table.mark_leaving(&[first.short()], 0), is_empty());
    assert_that!(live_names(&table), elements_are![eq("a")]);
    let second = start("a", 9, HostState::Live).start_hash();
    assert_that!(table.mark_leaving(&[second.short()], 0), len(eq(1)));
    assert_that!(live_names(&table), is_empty());
    // Its entry arrives late.
    table.upsert(start("a", 9, HostState::Live));
    assert_that!(live_names(&table), is_empty());
    // The clock stepped back before its third start.
    table.upsert(start("a", 7, HostState::Live));
    assert_that!(live_names(&table), elements_are![eq("a")]);
}

#[test]
fn table_accepts_work_only_for_the_current_start() {
    let mut table = EndpointTable::default();
    let first = start("a", 5, HostState::Live);
    table.upsert(first.clone());
    assert_that!(table.accepts_work(&first), eq(true));
    table.upsert(start("a", 9, HostState::Live));
    assert_that!(table.accepts_work(&first), eq(false));
}

/// Guards against a request that is sent to a build other than the one that it was placed at.
#[test]
fn accepts_work_only_at_the_build_that_was_chosen() {
    let with_build = |incarnation, build: &str| Endpoint {
        build: build.into(),
        ..start("a", incarnation, HostState::Live)
    };
    for incarnation in [0, 5] {
        let mut table = EndpointTable::default();
        let chosen = with_build(incarnation, "v1");
        table.upsert(chosen.clone());
        assert_that!(table.accepts_work(&chosen), eq(true), "{incarnation}");
        table.upsert(with_build(incarnation, "v2"));
        assert_that!(table.accepts_work(&chosen), eq(false), "{incarnation}");
    }
}

/// Guards against an entry without a build that takes the build of another start of its name.
#[test]
fn merge_of_another_start_does_not_take_over_its_build() {
    let with_build = |incarnation, build: &str| Endpoint {
        build: build.into(),
        ..start("a", incarnation, HostState::Live)
    };
    // Without an incarnation, an entry of a name may be of another start.
    for (first, second, expected) in [(5, 5, ""), (5, 9, ""), (0, 0, ""), (0, 9, "")] {
        let mut table = EndpointTable::default();
        table.upsert(with_build(first, "v1"));
        table.upsert(with_build(second, ""));
        let builds: Vec<String> = { table.listed() }
            .map(|member| member.endpoint.build.to_string())
            .collect();
        assert_that!(builds, elements_are![eq(expected)], "{first} and {second}");
    }
}

#[test]
fn table_prefers_the_later_start_to_an_older_list() {
    let mut table = EndpointTable::default();
    table.upsert(start("a", 9, HostState::Live));
    for (listed, expected) in [(5, 9), (9, 9), (12, 12)] {
        let later = table.later_start(start("a", listed, HostState::Live));
        assert_that!(later.incarnation, eq(Incarnation(expected)), "{listed}");
    }
}

#[test]
fn start_hash_without_an_incarnation_is_the_name_hash() {
    assert_that!(live("a").start_hash(), eq(MemberHash::of("a")));
    let starts = [1, 2, 3].map(|number| start("a", number, HostState::Live).start_hash());
    assert_that!(starts[0], not(eq(starts[1])));
    assert_that!(starts[1], not(eq(starts[2])));
    assert_that!(starts[0], not(eq(MemberHash::of("a"))));
}

#[test]
fn table_never_revives_leaving_endpoints() {
    let mut table = EndpointTable::default();
    table.replace(vec![live("a"), live("b")], 0);
    table.upsert(leaving("a"));
    table.upsert(live("a"));
    table.replace(vec![live("a"), live("b")], 10);
    assert_that!(live_names(&table), elements_are![eq("b")]);
    assert_that!(state(&table, "a"), some(eq(EndpointState::Leaving)));
}

#[test]
fn table_never_revives_removed_endpoints_listed_late() {
    let mut table = EndpointTable::default();
    table.upsert(leaving("a"));
    table.remove(&"a".into(), 1_000);
    table.upsert(live("a"));
    assert_that!(live_names(&table), is_empty());
}

#[test]
fn table_keeps_lapsed_entries_while_enabled() {
    for by_full_list in [true, false] {
        let mut table = EndpointTable::default();
        table.replace(vec![live("a"), live("b"), leaving("c")], 0);
        table.keep_lapsed(true);
        if by_full_list {
            table.replace(vec![live("b")], 10);
        } else {
            table.remove(&"a".into(), 10);
            table.remove(&"c".into(), 10);
        }
        assert_that!(live_names(&table), elements_are![eq("a"), eq("b")]);
        assert_that!(state(&table, "a"), some(eq(EndpointState::Lapsed)));
        assert_that!(state(&table, "c"), some(eq(EndpointState::Leaving)));
        table.keep_lapsed(false);
        assert_that!(live_names(&table), elements_are![eq("b")]);
        assert_that!(state(&table, "a"), some(eq(EndpointState::Unlisted)));
    }
}

#[test]
fn table_keeps_lapsed_entries_that_are_renewed() {
    let mut table = EndpointTable::default();
    table.upsert(live("a"));
    table.keep_lapsed(true);
    table.remove(&"a".into(), 0);
    table.upsert(live("a"));
    table.keep_lapsed(false);
    assert_that!(live_names(&table), elements_are![eq("a")]);
}

#[test]
fn table_marks_lapsed_entries_as_leaving() {
    let mut table = EndpointTable::default();
    table.upsert(live("a"));
    table.keep_lapsed(true);
    table.remove(&"a".into(), 0);
    table.mark_leaving(&[MemberHash::of("a").short()], 0);
    assert_that!(live_names(&table), is_empty());
}

#[test]
fn table_gives_no_work_to_unlisted_endpoints() {
    let mut table = EndpointTable::default();
    table.upsert(live("a"));
    table.remove(&"a".into(), 0);
    assert_that!(live_names(&table), is_empty());
    assert_that!(state(&table, "a"), some(eq(EndpointState::Unlisted)));
}

#[test]
fn table_accepts_unlisted_endpoints_that_are_listed_again() {
    let mut table = EndpointTable::default();
    table.upsert(live("a"));
    table.remove(&"a".into(), 0);
    table.upsert(live("a"));
    assert_that!(live_names(&table), elements_are![eq("a")]);
}

#[test]
fn table_marks_endpoints_as_leaving_once() {
    let mut table = EndpointTable::default();
    table.replace(vec![live("a"), live("b")], 0);
    let hash = MemberHash::of("a").short();
    assert_that!(table.mark_leaving(&[hash], 0), len(eq(1)));
    assert_that!(table.mark_leaving(&[hash], 0), is_empty());
    assert_that!(live_names(&table), elements_are![eq("b")]);
    assert_that!(table.leaving(), eq(&[hash]));
}

/// Guards against reviving a leaving start by entries older than its report.
#[test]
fn table_never_revives_a_leaving_start() {
    type Change = fn(&mut EndpointTable);
    let cases: [(&str, Change); 6] = [
        ("its entry", |table| {
            table.upsert(start("a", 5, HostState::Live))
        }),
        ("a full list", |table| {
            table.replace(vec![start("a", 5, HostState::Live)], 1);
        }),
        ("an entry removed and added again", |table| {
            table.remove(&"a".into(), 1);
            table.upsert(start("a", 5, HostState::Live));
        }),
        ("an entry that lapsed", |table| {
            table.keep_lapsed(true);
            table.remove(&"a".into(), 1);
        }),
        ("an outdated list with an earlier start", |table| {
            table.replace(vec![start("a", 4, HostState::Live)], 1);
            table.replace(vec![start("a", 5, HostState::Live)], 2);
        }),
        ("an evacuation of its zone that ended", |table| {
            table.set_evacuated(BTreeSet::from(["zone-a".into()]));
            table.set_evacuated(BTreeSet::new());
        }),
    ];
    let start_hash = start("a", 5, HostState::Live).start_hash().short();
    for (name, change) in cases {
        for is_known in [true, false] {
            let mut table = EndpointTable::default();
            if is_known {
                table.upsert(start("a", 5, HostState::Live));
            }
            table.mark_leaving(&[start_hash], 0);
            change(&mut table);
            assert_that!(live_names(&table), is_empty(), "{name}, {is_known}");
            table.upsert(start("a", 9, HostState::Live));
            assert_that!(live_names(&table), elements_are![eq("a")], "{name}");
        }
    }
}

#[test]
fn table_reports_lapsed_entries_as_leaving() {
    let mut table = EndpointTable::default();
    table.upsert(live("a"));
    let start_hash = MemberHash::of("a").short();
    table.mark_leaving(&[start_hash], 0);
    table.keep_lapsed(true);
    table.remove(&"a".into(), 10);
    assert_that!(table.leaving(), eq(&[start_hash]));
    table.keep_lapsed(false);
    assert_that!(table.leaving(), is_empty());
}

#[test]
fn table_drops_leaving_starts_long_after_their_removal() {
    let mut table = EndpointTable::default();
    table.upsert(live("a"));
    let start_hash = MemberHash::of("a").short();
    table.mark_leaving(&[start_hash, 77], 0);
    assert_that!(table.expire_leaving(200_000), is_empty());
    table.remove(&"a".into(), 200_000);
    assert_that!(table.expire_leaving(300_000), is_empty());
    table.replace(Vec::new(), 400_000);
    assert_that!(table.expire_leaving(400_000), len(eq(1)));
    assert_that!(table.mark_leaving(&[start_hash], 400_000), is_empty());
}

#[test]
fn table_lists_leaving_members_until_they_are_unlisted() {
    let mut table = EndpointTable::default();
    table.upsert(leaving("a"));
    assert_that!(table.leaving_members(&POOL.into()).len(), eq(1));
    table.remove(&"a".into(), 0);
    assert_that!(table.leaving_members(&POOL.into()).len(), eq(0));
}

#[test]
fn table_drops_endpoints_that_left_long_ago() {
    let mut table = EndpointTable::default();
    table.upsert(leaving("a"));
    table.remove(&"a".into(), 0);
    table.replace(vec![live("b")], 200_000);
    assert_that!(state(&table, "a"), none());
}

#[derive(Clone, Debug)]
enum Update {
    Listed(usize, bool),
    Removed(usize),
    ReportedLeaving(usize),
    FullList(Vec<bool>),
}

fn update() -> impl Strategy<Value = Update> {
    prop_oneof![
        (0..4usize, any::<bool>()).prop_map(|(i, leaves)| Update::Listed(i, leaves)),
        (0..4usize).prop_map(Update::Removed),
        (0..4usize).prop_map(Update::ReportedLeaving),
        proptest::collection::vec(any::<bool>(), 4).prop_map(Update::FullList),
    ]
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn table_never_revives_endpoints(updates in proptest::collection::vec(update(), 1..40)) {
        let mut table = EndpointTable::default();
        let mut left = [false; NAMES.len()];
        let mut known = [false; NAMES.len()];
        for (now_ms, update) in updates.into_iter().enumerate() {
            let now_ms = now_ms as u64;
            match update {
                Update::Listed(i, leaves) => {
                    let state = if leaves { HostState::Leaving } else { HostState::Live };
                    table.upsert(endpoint(NAMES[i], state));
                    left[i] |= leaves;
                    known[i] = true;
                }
                Update::Removed(i) => table.remove(&NAMES[i].into(), now_ms),
                Update::ReportedLeaving(i) => {
                    table.mark_leaving(&[MemberHash::of(NAMES[i]).short()], 0);
                    left[i] |= known[i];
                }
                Update::FullList(present) => {
                    let list = NAMES.iter().zip(&present).filter(|(_, is)| **is);
                    table.replace(list.map(|(name, _)| live(name)).collect(), now_ms);
                    for (known, present) in known.iter_mut().zip(present) {
                        *known |= present;
                    }
                }
            }
            for name in live_names(&table) {
                let i = NAMES.iter().position(|known| **known == name).expect("a known name");
                prop_assert!(!left[i], "{name} is leaving and accepts work");
            }
        }
    }
}

/// An update about one endpoint that restarts under its name.
#[derive(Clone, Debug)]
enum StartUpdate {
    /// Its entry, in the order of store versions.
    Entry {
        start: u64,
        leaves: bool,
    },
    /// Its entry is removed, or invalid.
    Removed,
    Invalid,
    /// Another host reports that a start leaves, possibly late.
    ReportedLeaving {
        start: u64,
    },
}

fn start_update() -> impl Strategy<Value = StartUpdate> {
    prop_oneof![
        (1..5_u64, any::<bool>()).prop_map(|(start, leaves)| StartUpdate::Entry { start, leaves }),
        Just(StartUpdate::Removed),
        Just(StartUpdate::Invalid),
        (1..5_u64).prop_map(|start| StartUpdate::ReportedLeaving { start }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against sending work to a start that leaves or is not the last listed one,
    /// whatever the order of updates.
    #[test]
    fn table_has_one_current_start(updates in proptest::collection::vec(start_update(), 1..40)) {
        let mut table = EndpointTable::default();
        // The current start, whether it leaves, and whether it is listed.
        let mut known: Option<(u64, bool, bool)> = None;
        let mut reported_leaving = BTreeSet::new();
        for (now_ms, update) in updates.into_iter().enumerate() {
            let now_ms = now_ms as u64;
            match update {
                StartUpdate::Entry { start: number, leaves } => {
                    let state = if leaves { HostState::Leaving } else { HostState::Live };
                    table.upsert(start("a", number, state));
                    let left = known.is_some_and(|(old, left, _)| old == number && left)
                        || reported_leaving.contains(&number);
                    known = Some((number, left || leaves, true));
                }
                StartUpdate::Removed => {
                    table.remove(&"a".into(), now_ms);
                    known = known.map(|(number, left, _)| (number, left, false));
                }
                StartUpdate::Invalid => {
                    table.discard(&"a".into(), now_ms);
                    known = known.map(|(number, left, _)| (number, left, false));
                }
                StartUpdate::ReportedLeaving { start: number } => {
                    let hash = start("a", number, HostState::Live).start_hash();
                    table.mark_leaving(&[hash.short()], 0);
                    reported_leaving.insert(number);
                    known = known.map(|(old, left, listed)| (old, left || old == number, listed));
                }
            }
            for number in 1..5 {
                let accepts_work = table.accepts_work(&start("a", number, HostState::Live));
                let expected = known == Some((number, false, true));
                prop_assert_eq!(accepts_work, expected, "start {}, known {:?}", number, known);
            }
        }
    }
}

/// Guards against keeping an entry that another writer overwrote as if it had lapsed.
#[test]
fn table_discards_invalid_entries_while_lapsed_ones_are_kept() {
    let mut table = EndpointTable::default();
    table.replace(vec![live("a"), live("b")], 0);
    table.keep_lapsed(true);
    table.remove(&"a".into(), 10);
    table.discard(&"b".into(), 10);
    assert_that!(live_names(&table), elements_are![eq("a")]);
}
