//! The time of one decision: the search of a router, and an owner's answer.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_core::{
    AskAnswer, Holder, Home, OrganisationKey, OwnedEngine, Owner, PlaceOption, Placement,
    PlacementRules, SlotRules,
};

/// Engines of a pool, up to the whole fleet in one pool.
const ENGINES: [usize; 4] = [20, 80, 230, 690];

fn options(count: usize) -> Vec<PlaceOption> {
    let option = |i| PlaceOption {
        hash: MemberHash::of(&format!("engine-{i}")),
        weight: 64.0,
    };
    (0..count).map(option).collect()
}

fn hinted(c: &mut Criterion) {
    let mut group = c.benchmark_group("place_hinted");
    for engines in ENGINES {
        let options = options(engines);
        group.bench_with_input(
            BenchmarkId::from_parameter(engines),
            &options,
            |b, options| {
                b.iter(|| {
                    let key = KeyHash::of(b"chat");
                    let rules = PlacementRules::default();
                    let mut placement = Placement::new(rules, key, Home::Hinted(7));
                    placement.start(options);
                    placement.answered(options, 7, AskAnswer::Granted { load: 3 })
                });
            },
        );
    }
    group.finish();
}

fn new_chat(c: &mut Criterion) {
    let mut group = c.benchmark_group("place_new_chat");
    for engines in ENGINES {
        let options = options(engines);
        group.bench_with_input(
            BenchmarkId::from_parameter(engines),
            &options,
            |b, options| {
                b.iter(|| {
                    let key = KeyHash::of(b"chat");
                    let mut placement =
                        Placement::new(PlacementRules::default(), key, Home::Nowhere);
                    placement.start(options)
                });
            },
        );
    }
    group.finish();
}

fn owner_ask(c: &mut Criterion) {
    let mut group = c.benchmark_group("owner_ask");
    for hosts in [8u32, 32, 128, 370] {
        let names: Vec<u32> = (0..hosts).collect();
        let mut owner: Owner<u32, u64> = Owner::new(0, SlotRules::promising(1.25));
        let engines: Vec<_> = (0..3)
            .map(|engine| OwnedEngine {
                engine,
                weight: 64.0,
            })
            .collect();
        owner.take_view(&names, &engines, &[], 0);
        owner.skip_settling();
        let holder = Holder {
            host: 1,
            organisation: OrganisationKey(1),
        };
        group.bench_function(BenchmarkId::from_parameter(hosts), |b| {
            b.iter(|| {
                owner.ask(&1, holder, 10);
                owner.give_back(&1, &holder, 1, 10);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, hinted, new_chat, owner_ask);
criterion_main!(benches);
