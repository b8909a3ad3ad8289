//! Decisions for overrun pools.

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_routing::{
    BacklogDecision, BacklogRequest, Candidate, HomeSpread, MAX_WAITING, OrganisationShare,
    Overrun, PlacementRequest, PoolBacklog, SpreadRules, WaitLine, WaitOrder, WorkEstimate,
    WorkRequest, admit_fraction, choose_endpoint, choose_in_overrun, decide, return_ms,
};
use googletest::prelude::*;

const SLOTS: u32 = 32;

fn backlog(in_progress: u32) -> PoolBacklog {
    PoolBacklog {
        slots: 10 * SLOTS,
        in_progress,
        endpoints: 10,
        full_endpoints: 0,
        hosts: 20,
        service_ms: 1_000.0,
        age_ms: 300.0,
        trend_per_ms: 0.0,
    }
}

fn request(rank: u8, draw: f64) -> BacklogRequest {
    BacklogRequest {
        rank,
        objective_ms: 1_000,
        waited_ms: 0,
        expected_ttft_ms: Some(100.0),
        is_repeated: false,
        draw,
        return_draw: 0.0,
    }
}

fn share(demand_ratio: f64) -> OrganisationShare {
    OrganisationShare {
        demand_ratio,
        use_ratio: 1.0,
        over_share_slots: 100.0,
    }
}

/// Pools that are not overrun must be served as before, and so must those without sums.
#[test]
fn update_of_a_calm_or_unknown_pool_is_no_overrun() {
    let mut overrun = Overrun::default();
    for mut calm in [
        backlog(0),
        backlog(280),
        PoolBacklog {
            slots: 0,
            ..backlog(50)
        },
    ] {
        assert_that!(overrun.update(&mut calm, 0), eq(false));
    }
    let mut scarce = PoolBacklog {
        hosts: 400,
        ..backlog(400)
    };
    assert_that!(
        overrun.update(&mut scarce, 0),
        eq(false),
        "its scheduler grants slots"
    );
}

/// A hot prefix fills some endpoints while the others have room: requests that the counts place
/// there must not be rejected or moved.
#[test]
fn update_of_a_pool_with_some_full_endpoints_is_no_overrun() {
    let mut overrun = Overrun::default();
    let mut some_full = PoolBacklog {
        full_endpoints: 3,
        ..backlog(250)
    };
    assert_that!(overrun.update(&mut some_full, 0), eq(false));
    let mut full = backlog(300);
    assert_that!(overrun.update(&mut full, 100), eq(true));
}

/// Without the trend, hosts go on sending to a pool that fills while the sums are old.
#[test]
fn admit_fraction_of_a_pool_that_fills_falls_before_it_is_full() {
    let mut overrun = Overrun::default();
    let mut fills = backlog(250);
    overrun.update(&mut fills, 0);
    let mut later = backlog(300);
    overrun.update(&mut later, 400);
    assert_that!(later.trend_per_ms, near(0.125, 0.001));
    assert_that!(
        admit_fraction(&later, 2, None),
        lt(admit_fraction(&backlog(300), 2, None))
    );
}

#[test]
fn admit_fraction_is_larger_for_urgent_requests_and_starves_none() {
    for in_progress in [310, 350, 390, 430, 470] {
        let of_rank = |rank| admit_fraction(&backlog(in_progress), rank, None);
        assert_that!(of_rank(0), ge(of_rank(1)));
        assert_that!(of_rank(1), ge(of_rank(2)));
        assert_that!(of_rank(2), ge(0.4 * of_rank(0)), "{in_progress}");
    }
}

#[test]
fn admit_fraction_of_an_organisation_over_its_share_is_less() {
    let full = backlog(320);
    let within = admit_fraction(&full, 0, Some(&share(0.5)));
    assert_that!(within, eq(1.0));
    assert_that!(admit_fraction(&full, 0, Some(&share(4.0))), lt(0.5));
}

#[test]
fn admit_fraction_of_an_organisation_within_its_share_falls_last() {
    let overrun = backlog(380);
    let within = admit_fraction(&overrun, 2, Some(&share(0.5)));
    assert_that!(within, gt(admit_fraction(&overrun, 2, None)));
    assert_that!(
        admit_fraction(&overrun, 2, Some(&share(4.0))),
        lt(0.5 * within)
    );
    let nobody_over = OrganisationShare {
        over_share_slots: 0.0,
        ..share(0.5)
    };
    let alone = admit_fraction(&overrun, 2, Some(&nobody_over));
    assert_that!(alone, eq(admit_fraction(&overrun, 2, None)));
}

/// New requests must not push aside those whose callers waited longest.
#[test]
fn decide_sends_a_request_whose_endpoint_crashed() {
    let repeated = BacklogRequest {
        is_repeated: true,
        ..request(2, 0.99)
    };
    assert_that!(
        decide(&backlog(600), &repeated, None),
        eq(BacklogDecision::Send)
    );
    assert_that!(
        decide(&backlog(600), &request(2, 0.99), None),
        eq(BacklogDecision::Reject)
    );
}

#[test]
fn decide_rejects_a_request_that_would_be_late_everywhere() {
    let late = BacklogRequest {
        expected_ttft_ms: Some(1_001.0),
        ..request(0, 0.0)
    };
    assert_that!(
        decide(&backlog(300), &late, None),
        eq(BacklogDecision::Reject)
    );
}

/// A request must not be held until its deadline.
#[test]
fn decide_holds_for_a_quarter_of_the_objective_at_most() {
    let full = backlog(400);
    let near = request(0, admit_fraction(&full, 0, None) + 0.01);
    assert_that!(
        decide(&full, &near, None),
        eq(BacklogDecision::Hold { max_ms: 250 })
    );
    let waited = BacklogRequest {
        waited_ms: 250,
        ..near
    };
    assert_that!(decide(&full, &waited, None), eq(BacklogDecision::Reject));
    let no_time = BacklogRequest {
        expected_ttft_ms: Some(990.0),
        ..near
    };
    assert_that!(
        decide(&full, &no_time, None),
        eq(BacklogDecision::Hold { max_ms: 10 })
    );
}

#[test]
fn return_ms_grows_with_the_backlog_and_is_spread() {
    let at = |in_progress| return_ms(&backlog(in_progress), &request(0, 0.0));
    assert_that!(at(640), gt(at(400)));
    let last = BacklogRequest {
        return_draw: 0.9,
        ..request(0, 0.0)
    };
    assert_that!(return_ms(&backlog(400), &last), gt(at(400)));
}

#[test]
fn enter_keeps_order_and_is_bounded() {
    let mut line = WaitLine::default();
    let order = |rank, entered_at_ms| WaitOrder {
        rank,
        entered_at_ms,
    };
    let late = line.enter(order(1, 1)).expect("a place");
    let urgent = line.enter(order(0, 2)).expect("a place");
    assert_that!(
        (line.is_first(&urgent), line.is_first(&late)),
        eq((true, false))
    );
    for _ in 2..MAX_WAITING {
        line.enter(order(2, 3)).expect("a place");
    }
    assert_that!(line.enter(order(0, 0)), none());
    line.leave(&urgent);
    assert_that!(line.is_first(&late), eq(true));
}

/// How many of 1,000 requests each of ten endpoints gets, of which the first holds the prefix.
fn place_all(loads: [u32; 10], expected_ms: [f64; 10]) -> [u32; 10] {
    let candidates: Vec<Candidate> = (0..10)
        .map(|i| Candidate {
            hash: MemberHash::of(&format!("engine-{i}")),
            load: loads[i],
            slots: SLOTS,
            is_same_zone: true,
            is_suspect: false,
            holds_prefix: i == 0,
            is_closed: false,
            home_spread: HomeSpread::NONE,
        })
        .collect();
    let estimates = expected_ms.map(|expected_ttft_ms| WorkEstimate {
        expected_ttft_ms,
        read_ms: 20.0,
        slowness: 1.0,
    });
    let key = Some(KeyHash(7));
    let mut counts = [0; 10];
    for draw in 0..1_000 {
        let by_counts = PlacementRequest {
            key,
            unreported_arrivals: 0.0,
            draw,
        };
        let rules = SpreadRules::default();
        let placed = choose_endpoint(&candidates, &by_counts, &rules).expect("an endpoint");
        let request = WorkRequest {
            key,
            objective_ms: 1_000,
            rank: 0,
            draw,
        };
        let chosen = choose_in_overrun(placed, &candidates, &estimates, &request, &rules);
        counts[chosen.map_or(placed.index, |chosen| chosen.index)] += 1;
    }
    counts
}

/// A move that saves nothing costs the transfer.
#[test]
fn choose_in_overrun_leaves_requests_at_a_holder_in_time() {
    for load in [24, 28, 33] {
        let mut loads = [28; 10];
        loads[0] = load;
        assert_that!(place_all(loads, [100.0; 10])[0], eq(1_000), "{load}");
    }
}

/// Operators bound the load of an endpoint against the mean of its pool, also in an overrun.
#[test]
fn choose_in_overrun_keeps_the_load_limit() {
    let mut loads = [10; 10];
    loads[0] = 60;
    assert_that!(place_all(loads, [100.0; 10])[0], eq(0));
    let mut expected_ms = [2_000.0; 10];
    expected_ms[0] = 1_000.0;
    assert_that!(place_all(loads, expected_ms)[0], eq(0));
}

/// Hosts that all leave a holder, or all go to the soonest endpoint, overrun the next one.
#[test]
fn choose_in_overrun_leaves_a_busy_holder_by_degrees() {
    let mut loads = [24; 10];
    loads[0] = 30;
    let kept = place_all(loads, [100.0; 10])[0];
    assert_that!(kept, gt(200));
    assert_that!(kept, lt(900));
    let mut expected_ms = [2_000.0; 10];
    expected_ms[3] = 1_900.0;
    let most = place_all([40; 10], expected_ms).into_iter().max();
    assert_that!(most, some(lt(500)));
}
