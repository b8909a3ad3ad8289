//! Benchmarks of a router's search and an owner's slot decision.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_core::{
    EngineCandidate, Home, OrganisationKey, OwnedEngine, Owner, Placement, PlacementRules,
    SlotHolder, SlotResponse, SlotRules,
};

/// Engines per pool; the largest is a whole fleet in one pool.
const ENGINES: [usize; 4] = [20, 80, 230, 690];

fn candidates(count: usize) -> Vec<EngineCandidate> {
    let candidate = |i| EngineCandidate {
        hash: MemberHash::of(&format!("engine-{i}")),
        weight: 64.0,
    };
    (0..count).map(candidate).collect()
}

fn hinted(c: &mut Criterion) {
    let mut group = c.benchmark_group("place_hinted");
    for engines in ENGINES {
        let candidates = candidates(engines);
        group.bench_with_input(
            BenchmarkId::from_parameter(engines),
            &candidates,
            |b, candidates| {
                b.iter(|| {
                    let key = KeyHash::of(b"chat");
                    let rules = PlacementRules::default();
                    let mut placement = Placement::new(rules, key, Home::Hinted(7));
                    placement.start(candidates);
                    placement.record_response(candidates, 7, SlotResponse::Granted { load: 3 })
                });
            },
        );
    }
    group.finish();
}

fn new_chat(c: &mut Criterion) {
    let mut group = c.benchmark_group("place_new_chat");
    for engines in ENGINES {
        let candidates = candidates(engines);
        group.bench_with_input(
            BenchmarkId::from_parameter(engines),
            &candidates,
            |b, candidates| {
                b.iter(|| {
                    let key = KeyHash::of(b"chat");
                    let mut placement =
                        Placement::new(PlacementRules::default(), key, Home::Uncached);
                    placement.start(candidates)
                });
            },
        );
    }
    group.finish();
}

fn slot_request(c: &mut Criterion) {
    let mut group = c.benchmark_group("owner_ask");
    for hosts in [8u32, 32, 128, 370] {
        let names: Vec<u32> = (0..hosts).collect();
        let mut owner: Owner<u32, u64> = Owner::new(0, SlotRules::for_load_multiple(1.25));
        let engines: Vec<_> = (0..3)
            .map(|engine| OwnedEngine {
                engine,
                weight: 64.0,
            })
            .collect();
        owner.apply_view(&names, &engines, &[], 0);
        owner.skip_settling();
        let holder = SlotHolder {
            host: 1,
            organisation: OrganisationKey(1),
        };
        group.bench_function(BenchmarkId::from_parameter(hosts), |b| {
            b.iter(|| {
                owner.request_slot(&1, holder, 10);
                owner.return_slots(&1, &holder, 1, 10);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, hinted, new_chat, slot_request);
criterion_main!(benches);
