//! Room of hosts, which hosts work for others, and ways to pass on a large item.

use std::collections::BTreeMap;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{FleetWork, HostCapacity, LargestRoom, LinkBudget};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

fn capacity(millicores: u16, link_mbps: f64, memory_mib: f64) -> HostCapacity {
    HostCapacity {
        millicores,
        link_mbps: Some(link_mbps),
        memory_mib: Some(memory_mib),
    }
}

#[test]
fn room_millicores_is_the_scarcest_resource_and_bounded() {
    assert_that!(capacity(500, 100.0, 512.0).room_millicores(), eq(500));
    assert_that!(capacity(500, 10.0, 512.0).room_millicores(), eq(120));
    assert_that!(capacity(500, 100.0, 112.0).room_millicores(), eq(112));
    for absurd in [f64::NAN, f64::INFINITY] {
        assert_that!(capacity(84, absurd, absurd).room_millicores(), eq(84));
    }
    assert_that!(capacity(u16::MAX, 1e9, 1e9).room_millicores(), eq(16_000));
    assert_that!(capacity(0, -1.0, 0.0).room_millicores(), eq(1));
}

/// The hosts that rank first among some rooms for a kind of work.
fn first(work: FleetWork, rooms: &[u16], count: usize) -> Vec<usize> {
    let largest = LargestRoom::of(rooms.iter().copied());
    let rank = |i: usize| largest.rank(work, MemberHash::of(&format!("host-{i}")), rooms[i]);
    let mut hosts: Vec<usize> = (0..rooms.len()).collect();
    hosts.sort_by(|a, b| rank(*b).partial_cmp(&rank(*a)).expect("finite ranks"));
    hosts.truncate(count);
    hosts
}

/// Guards against work at weak hosts while strong ones are there, against no host at all
/// when all strong ones are lost at once, and against one host for all kinds of work.
#[test]
fn rank_prefers_strong_hosts_and_survives_their_loss() {
    let mut rooms = vec![84; 34];
    rooms[3] = 500;
    rooms[20] = 400;
    let relays = first(FleetWork::Relay, &rooms, 2);
    assert_that!(relays, unordered_elements_are![eq(&3), eq(&20)]);
    let before = first(FleetWork::Relay, &[84; 34], 34);
    rooms[3] = 84;
    rooms[20] = 84;
    assert_that!(first(FleetWork::Relay, &rooms, 34), eq(&before));
    assert_that!(first(FleetWork::Subscriber, &rooms, 34), not(eq(&before)));
}

/// Guards against a host that takes all work by a false value, and one of unknown room that
/// ranks after all others.
#[test]
fn rank_bounds_false_rooms_and_counts_unknown_ones_as_large() {
    assert_that!(
        LargestRoom::of([u16::MAX, 84]),
        eq(LargestRoom::of([16_000]))
    );
    let rooms = [500, 0, 84, 84, 84];
    let strong = first(FleetWork::Relay, &rooms, 2);
    assert_that!(strong, unordered_elements_are![eq(&0), eq(&1)]);
}

/// Guards against large transfers that leave callers no part of the link, and against a
/// change of rules that waits for its turn at once.
#[test]
fn link_budget_takes_a_quarter_of_the_link_after_a_burst() {
    const LINK_MBPS: f64 = 10.0;
    const LINK_BYTES_PER_S: usize = 1_250_000;
    const RULES_BYTES: usize = 340_000;
    let mut link = LinkBudget::new(LINK_MBPS);
    let mut sent_bytes = 0;
    for now_ms in 0..20_000 {
        if link.spend(RULES_BYTES, now_ms) {
            sent_bytes += RULES_BYTES;
        }
        if now_ms == 0 {
            assert_that!(sent_bytes, eq(RULES_BYTES));
        }
    }
    let most_bytes = LINK_BYTES_PER_S + 20 * LINK_BYTES_PER_S / 4 + RULES_BYTES;
    assert_that!(sent_bytes, all!(ge(most_bytes * 3 / 4), le(most_bytes)));
}

/// How a large item reaches all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Two relays of each zone, strictly the strongest, and then the hosts that they name.
    AsNow,
    /// Only the strong hosts, or all if there are none.
    StrongFirst,
    /// Any host that has the item.
    ManyToMany,
    /// Each host from the store, after a random pause of up to a second.
    Store,
}

#[derive(Debug)]
struct Spread {
    last_ms: u64,
    busiest_sent_kb: f64,
    store_kb: f64,
}

/// Passes an item on in steps of a millisecond. A host serves as many others at once as its
/// link gives 5 Mbit/s each, at least one; one that finds no place asks again after 20 to
/// 100 ms.
fn spread(way: Way, links_mbps: &[f64], seed: u64) -> Spread {
    /// 253 rows, as the store and as hosts encode them.
    const STORE_KB: f64 = 76.0;
    const PEER_KB: f64 = 17.0;
    const READERS: usize = 4;
    const STORE_JITTER_MS: u64 = 1_000;
    const LIMIT_MS: u64 = 60_000;
    const STRONG_MBPS: f64 = 50.0;
    let mut rng = StdRng::seed_from_u64(seed);
    let hosts = links_mbps.len();
    let kb_per_ms = |host: usize| links_mbps[host] / 8.0;
    let mut by_link: Vec<usize> = (0..hosts).collect();
    by_link.sort_by(|a, b| links_mbps[*b].total_cmp(&links_mbps[*a]));
    let relays = &by_link[..6];
    let strong = by_link.iter().filter(|i| links_mbps[**i] >= STRONG_MBPS);
    let strong: Vec<usize> = strong.copied().collect();
    let mut has = vec![false; hosts];
    let mut ask_at_ms = vec![0; hosts];
    let mut from: Vec<Option<usize>> = vec![None; hosts];
    let mut left_kb = vec![PEER_KB; hosts];
    let mut uploads = vec![0_usize; hosts];
    let mut sent_kb = vec![0.0; hosts];
    let mut recent: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    let mut store_kb = 0.0;
    for (host, ask_at_ms) in ask_at_ms.iter_mut().enumerate() {
        let rank = by_link.iter().position(|i| *i == host).expect("a host");
        if way == Way::Store || rank < READERS {
            store_kb += STORE_KB;
            let jitter_ms = if way == Way::Store {
                rng.random_range(0..STORE_JITTER_MS)
            } else {
                0
            };
            *ask_at_ms = jitter_ms + (STORE_KB / kb_per_ms(host)) as u64;
        }
    }
    let reads = |host: usize| way == Way::Store || by_link[..READERS].contains(&host);
    for now_ms in 0..LIMIT_MS {
        for host in 0..hosts {
            if has[host] || now_ms < ask_at_ms[host] {
                continue;
            }
            if reads(host) {
                has[host] = true;
                continue;
            }
            if let Some(source) = from[host] {
                let share = kb_per_ms(source) / uploads[source] as f64;
                let kb = share.min(kb_per_ms(host)).min(left_kb[host]);
                left_kb[host] -= kb;
                sent_kb[source] += kb;
                if left_kb[host] <= 0.0 {
                    has[host] = true;
                    uploads[source] -= 1;
                }
                continue;
            }
            let holders: Vec<usize> = match way {
                Way::AsNow => {
                    let relays = relays.iter().copied();
                    let named = relays.clone().filter_map(|relay| recent.get(&relay));
                    let named: Vec<usize> = named.flatten().copied().collect();
                    relays.chain(named).collect()
                }
                Way::StrongFirst if !strong.is_empty() => strong.clone(),
                Way::StrongFirst | Way::ManyToMany | Way::Store => (0..hosts).collect(),
            };
            let holder = holders.into_iter().filter(|i| has[*i]).choose(&mut rng);
            let is_free = |i: &usize| uploads[*i] < ((links_mbps[*i] / 5.0) as usize).max(1);
            if let Some(source) = holder.filter(is_free) {
                uploads[source] += 1;
                from[host] = Some(source);
                recent.entry(source).or_default().push(host);
            } else {
                ask_at_ms[host] = now_ms + rng.random_range(20..=100);
            }
        }
        if has.iter().all(|has| *has) {
            return Spread {
                last_ms: now_ms,
                busiest_sent_kb: sent_kb.iter().copied().fold(0.0, f64::max),
                store_kb,
            };
        }
    }
    panic!("{way:?} does not reach all hosts");
}

/// Compares the ways at 300 hosts, one in 18 of them strong, and without the strong ones.
/// Guards against a way that depends on strong hosts or on many copies from the store.
#[test]
fn spread_from_many_to_many_needs_neither_strong_hosts_nor_the_store() {
    const HOSTS: usize = 300;
    const MAX_MS: u64 = 1_500;
    const MAX_STORE_KB: f64 = 400.0;
    const MAX_SENT_KB: f64 = 600.0;
    let with_strong: Vec<f64> = { 0..HOSTS }
        .map(|i| if i % 18 == 0 { 100.0 } else { 10.0 })
        .collect();
    let weak = vec![10.0; HOSTS - HOSTS / 18];
    for (name, links) in [("with strong", with_strong), ("without", weak)] {
        for way in [Way::AsNow, Way::StrongFirst, Way::ManyToMany, Way::Store] {
            let result = spread(way, &links, 1);
            println!("{name}, {way:?}: {result:?}");
            if way == Way::ManyToMany {
                assert_that!(result.last_ms, lt(MAX_MS), "{name}");
                assert_that!(result.store_kb, lt(MAX_STORE_KB), "{name}");
                assert_that!(result.busiest_sent_kb, lt(MAX_SENT_KB), "{name}");
            }
        }
    }
}
