//! Work in hand: slowness, usual times, reports of other hosts, and placement by work.

use chalkrock_core::PoolId;
use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_routing::{
    Basis, Candidate, HomeSpread, MAX_WORK_POOLS, MAX_WORK_ROWS, OutstandingWork, Placement,
    PoolModel, PoolTimes, PromptRead, PromptWork, Slowness, SpreadRules, WorkBasis, WorkEstimate,
    WorkReport, WorkRequest, WorkRow, choose_by_work,
};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop_assert, proptest};

type Ledger = OutstandingWork<u32>;

const SHORT_MS: f64 = 5.0;
const TOKENS_PER_MS: f64 = 60.0;

fn pool() -> PoolId {
    PoolId::from("engines")
}

fn read_of(tokens: u32) -> PromptWork {
    PromptWork {
        read_tokens: tokens,
        ..PromptWork::default()
    }
}

fn usual_ms(tokens: u32) -> f64 {
    SHORT_MS + f64::from(tokens) / TOKENS_PER_MS
}

fn read(endpoint: u32, tokens: u32, sent_at_ms: u64) -> PromptRead {
    PromptRead {
        pool: pool(),
        endpoint,
        work: read_of(tokens),
        has_free_slot: true,
        sent_at_ms,
    }
}

/// A ledger that knows the usual times of the pool.
fn trained() -> Ledger {
    let mut ledger = Ledger::default();
    for _ in 0..5 {
        for tokens in [100, 6_000] {
            let id = ledger.begin(read(0, tokens, 0));
            ledger.record_first_event(id, usual_ms(tokens), 0);
        }
    }
    ledger
}

fn row(endpoint: u32, outstanding_tokens: u32) -> WorkRow {
    WorkRow {
        endpoint,
        outstanding_tokens,
        slowness_permille: None,
        reported_permille: None,
    }
}

fn report(sequence: u64, rows: Vec<WorkRow>) -> WorkReport {
    WorkReport {
        incarnation: 1,
        sequence,
        rows,
        pools: Vec::new(),
    }
}

#[test]
fn slowness_ignores_one_odd_sample() {
    let mut slowness = Slowness::default();
    for (i, permille) in [1_000, 1_000, 9_000, 1_000].into_iter().enumerate() {
        slowness.record(permille, 100 * i as u64);
        assert_that!(slowness.ratio(100 * i as u64), eq(1.0));
    }
}

#[test]
fn slowness_counts_two_slow_samples_at_once_and_needs_a_majority_to_end() {
    let mut slowness = Slowness::default();
    let mut at_ms = 0;
    let mut record = |permille: u16| {
        at_ms += 100;
        slowness.record(permille, at_ms);
        slowness.ratio(at_ms)
    };
    for _ in 0..5 {
        record(1_000);
    }
    record(4_000);
    assert_that!(record(4_000), eq(4.0));
    for _ in 0..4 {
        record(4_000);
    }
    // Lasting by now: a few usual samples don't restore trust, a majority does.
    assert_that!(record(1_000), eq(4.0));
    for _ in 0..4 {
        record(1_000);
    }
    assert_that!(record(1_000), eq(1.0));
}

#[test]
fn slowness_expires_without_samples() {
    let mut slowness = Slowness::default();
    for at_ms in [0, 100, 200] {
        slowness.record(3_000, at_ms);
    }
    assert_that!(slowness.ratio(300), eq(3.0));
    assert_that!(slowness.ratio(10_000), eq(1.0));
    assert_that!(slowness.is_expired(10_000), eq(true));
}

#[test]
fn slowness_adds_what_the_endpoint_reports_for_a_short_time() {
    let mut slowness = Slowness::default();
    slowness.record_reported(2_500, 0);
    assert_that!(slowness.ratio(100), eq(2.5));
    assert_that!(slowness.ratio(2_000), eq(1.0));
    for at_ms in [2_000, 2_100, 2_200] {
        slowness.record(4_000, at_ms);
    }
    // A report of the usual does not outweigh what samples show.
    slowness.record_reported(1_000, 2_200);
    assert_that!(slowness.ratio(2_200), eq(4.0));
}

#[test]
fn pool_model_predicts_only_after_enough_prompts() {
    let mut model = PoolModel::default();
    model.record_first_event(&read_of(6_000), usual_ms(6_000));
    model.record_first_event(&read_of(6_000), usual_ms(6_000));
    assert_that!(model.expected_ms(&read_of(1)), none());
    model.record_first_event(&read_of(6_000), usual_ms(6_000));
    assert_that!(model.expected_ms(&read_of(1)), some(anything()));
}

/// Guards against requests that leave their home because this host woke up late between two
/// events that arrived together.
#[test]
fn pool_model_compares_no_intervals_shorter_than_wake_ups() {
    let mut model = PoolModel::default();
    for _ in 0..5 {
        model.record_event_interval(0.04);
    }
    for (interval_ms, permille) in [(0.04, 1_000), (0.6, 1_000), (4.0, 1_000), (40.0, 8_000)] {
        let slowness = model.record_event_interval(interval_ms);
        assert_that!(slowness, some(eq(permille)), "{interval_ms} ms");
    }
}

/// Guards against an endpoint that counts as slow for a few milliseconds, since the prompts
/// before took far less than expected.
#[test]
fn pool_model_compares_no_first_events_shorter_than_chance() {
    let (long, medium) = (read_of(6_000), read_of(1_000));
    let mut model = PoolModel::default();
    for _ in 0..5 {
        model.record_first_event(&long, 300.0);
    }
    for _ in 0..9 {
        model.record_first_event(&medium, 1.0);
    }
    for (observed_ms, permille) in [(1.0, 1_000), (20.0, 1_000), (80.0, 4_000)] {
        let slowness = model.record_first_event(&medium, observed_ms);
        assert_that!(slowness, some(eq(permille)), "{observed_ms} ms");
    }
}

#[test]
fn pool_model_is_not_moved_by_odd_answers() {
    let mut model = PoolModel::default();
    for i in 0..21 {
        let factor = if i % 5 == 0 { 50.0 } else { 1.0 };
        model.record_first_event(&read_of(100), SHORT_MS * factor);
        model.record_first_event(&read_of(6_000), usual_ms(6_000) * factor);
    }
    let expected_ms = model.expected_ms(&read_of(12_000)).expect("a model");
    assert_that!(expected_ms, near(usual_ms(12_000), 2.0));
}

#[test]
fn pool_model_compares_with_the_pool_as_it_is() {
    let mut model = PoolModel::default();
    for _ in 0..9 {
        model.record_first_event(&read_of(6_000), usual_ms(6_000));
    }
    // All endpoints are full and twice as slow: none is slow relative to the others.
    let last = (0..63).map(|_| model.record_first_event(&read_of(6_000), 2.0 * usual_ms(6_000)));
    let last = last.last().flatten().expect("a sample");
    assert_that!(last, all![ge(900), le(1_100)]);
}

#[test]
fn ledger_counts_outstanding_tokens_until_the_first_event() {
    let mut ledger = trained();
    let id = ledger.begin(read(7, 6_000, 1_000));
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 1_000), eq(6_000));
    // Half is read after 50 ms. A prompt without a first event is never taken as read.
    assert_that!(
        ledger.outstanding_tokens(&pool(), 7, 1_050),
        near_u32(3_000)
    );
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 9_000), near_u32(600));
    ledger.record_first_event(id, 100.0, 1_100);
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 1_100), eq(0));
}

#[test]
fn ledger_forgets_a_prompt_without_an_event() {
    let mut ledger = trained();
    let id = ledger.begin(read(7, 6_000, 0));
    ledger.end(id);
    ledger.end(id);
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 0), eq(0));
    assert_that!(ledger.local_outstanding_tokens(), eq(0));
}

#[test]
fn ledger_expects_a_slow_endpoint_later_and_a_new_start_as_usual() {
    let mut ledger = trained();
    for at_ms in [0, 100, 200] {
        let id = ledger.begin(read(7, 6_000, at_ms));
        ledger.record_first_event(id, 4.0 * usual_ms(6_000), at_ms);
    }
    let expected = |endpoint: u32| {
        let expected = ledger.expected_ttft_ms(&pool(), endpoint, &read_of(6_000), 200);
        expected.expect("a model")
    };
    assert_that!(expected(7) / expected(8), near(4.0, 0.2));
}

#[test]
fn ledger_does_not_learn_speed_from_a_full_endpoint() {
    let mut ledger = trained();
    for at_ms in [0, 100, 200] {
        let full = PromptRead {
            has_free_slot: false,
            ..read(7, 6_000, at_ms)
        };
        let id = ledger.begin(full);
        ledger.record_first_event(id, 2_000.0, at_ms);
    }
    assert_that!(ledger.slowness(7, 200), eq(1.0));
}

#[test]
fn ledger_drains_and_expires_the_work_of_other_hosts() {
    let mut ledger = trained();
    ledger.merge(1, &report(1, vec![row(7, 12_000)]), |_| true, 0);
    ledger.merge(2, &report(1, vec![row(7, 6_000)]), |_| true, 0);
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 0), eq(18_000));
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 100), near_u32(6_000));
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 5_000), eq(0));
    // A later report replaces the earlier one.
    ledger.merge(1, &report(2, vec![row(8, 100)]), |_| true, 0);
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 0), eq(6_000));
}

#[test]
fn ledger_ignores_old_reports_and_unlisted_endpoints() {
    let mut ledger = trained();
    ledger.merge(1, &report(5, vec![row(7, 1_000)]), |_| true, 0);
    ledger.merge(1, &report(4, vec![row(7, 9_000)]), |_| true, 0);
    ledger.merge(1, &report(5, vec![row(7, 9_000)]), |_| true, 0);
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 0), eq(1_000));
    ledger.merge(
        1,
        &report(6, vec![row(9, 1_000)]),
        |endpoint| endpoint != 9,
        0,
    );
    assert_that!(ledger.outstanding_tokens(&pool(), 9, 0), eq(0));
    ledger.expire(|_| true, 10_000);
    // The sender started anew while it was silent.
    ledger.merge(1, &report(1, vec![row(7, 2_000)]), |_| true, 10_000);
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 10_000), eq(2_000));
}

#[test]
fn ledger_counts_a_repeated_row_once() {
    let mut ledger = trained();
    let rows = vec![row(7, 1_000); MAX_WORK_ROWS];
    ledger.merge(1, &report(1, rows), |_| true, 0);
    assert_that!(ledger.outstanding_tokens(&pool(), 7, 0), eq(1_000));
}

#[test]
fn ledger_takes_the_usual_times_of_other_hosts() {
    let sender = trained();
    let mut sender = sender;
    sender.begin(read(7, 6_000, 0));
    let report = sender.take_report(1, 1, 0).expect("a report");
    let mut ledger = Ledger::default();
    for host in 0..5 {
        ledger.merge(host, &report, |_| true, 0);
    }
    let expected_ms = ledger.usual_ms(&pool(), &read_of(6_000));
    assert_that!(expected_ms, some(near(usual_ms(6_000), 2.0)));
}

#[test]
fn ledger_reports_nothing_while_idle_and_bounds_its_report() {
    let mut ledger = trained();
    let _training = ledger.take_report(1, 1, 0);
    assert_that!(ledger.take_report(1, 2, 0), none());
    for endpoint in 0..1_000 {
        ledger.begin(read(endpoint, 100 + endpoint, 0));
    }
    let report = ledger.take_report(1, 3, 0).expect("a report");
    assert_that!(report.rows.len(), eq(MAX_WORK_ROWS));
    assert_that!(report.pools.len(), le(MAX_WORK_POOLS));
    // The endpoints with most work come first.
    assert_that!(report.rows[0].endpoint, eq(999));
}

#[test]
fn ledger_names_lasting_changes_of_slowness_once() {
    let mut ledger = trained();
    for at_ms in (0..4_000).step_by(500) {
        for (endpoint, slowness) in [(1, 1.0), (2, 1.0), (7, 4.0)] {
            let id = ledger.begin(read(endpoint, 6_000, at_ms));
            ledger.record_first_event(id, slowness * usual_ms(6_000), at_ms);
        }
        assert_that!(ledger.take_slowness_changes(at_ms), is_empty());
    }
    let id = ledger.begin(read(7, 6_000, 4_200));
    ledger.record_first_event(id, 4.0 * usual_ms(6_000), 4_200);
    let changes = ledger.take_slowness_changes(4_200);
    assert_that!(changes.len(), eq(1));
    assert_that!((changes[0].endpoint, changes[0].is_slow), eq((7, true)));
    assert_that!(ledger.take_slowness_changes(4_300), is_empty());
    ledger.expire(|_| true, 10_000);
    assert_that!(ledger.take_slowness_changes(10_000), is_empty());
    let changes = ledger.take_slowness_changes(13_000);
    assert_that!((changes[0].endpoint, changes[0].is_slow), eq((7, false)));
}

/// An endpoint that is slow by turns must not fill the log of each host.
#[test]
fn ledger_does_not_name_an_endpoint_that_is_slow_by_turns() {
    let mut ledger = trained();
    for turn in 0..40_u64 {
        let slowness = if turn % 2 == 0 { 4.0 } else { 1.0 };
        for sample in 0..10 {
            let at_ms = 500 * turn + 50 * sample;
            let id = ledger.begin(read(7, 6_000, at_ms));
            ledger.record_first_event(id, slowness * usual_ms(6_000), at_ms);
            assert_that!(ledger.take_slowness_changes(at_ms), is_empty());
        }
    }
}

#[test]
fn ledger_expects_the_median_wait_of_a_pool() {
    let mut ledger = trained();
    for endpoint in [1, 2] {
        ledger.begin(read(endpoint, 6_000, 0));
    }
    assert_that!(
        ledger.expected_wait_ms(&pool(), [1, 2, 3].into_iter(), 0),
        near(100.0, 2.0)
    );
    assert_that!(
        ledger.expected_wait_ms(&pool(), [1, 3, 4].into_iter(), 0),
        eq(0.0)
    );
    assert_that!(ledger.expected_wait_ms(&pool(), [].into_iter(), 0), eq(0.0));
}

/// Matches counts up to 2 %.
fn near_u32(expected: u32) -> impl Matcher<u32> {
    let tolerance = expected / 50;
    all![ge(expected - tolerance), le(expected + tolerance)]
}

const RULES: SpreadRules = SpreadRules {
    load_multiple: 1.8,
    allowance: 3.0,
};

fn candidate(i: usize, load: u32) -> Candidate {
    Candidate {
        hash: MemberHash::of(&format!("engine-{i}")),
        load,
        slots: 32,
        is_same_zone: false,
        is_suspect: false,
        holds_prefix: false,
        is_closed: false,
        home_spread: HomeSpread::NONE,
    }
}

fn usual() -> WorkEstimate {
    WorkEstimate {
        expected_ttft_ms: 50.0,
        read_ms: 50.0,
        slowness: 1.0,
    }
}

fn late(expected_ttft_ms: f64) -> WorkEstimate {
    WorkEstimate {
        expected_ttft_ms,
        ..usual()
    }
}

fn request(rank: u8) -> WorkRequest {
    WorkRequest {
        key: Some(KeyHash(5)),
        objective_ms: 1_000,
        rank,
        draw: 0,
    }
}

const PLACED: Placement = Placement {
    index: 0,
    basis: Basis::Home,
};

fn choose(
    candidates: &[Candidate],
    estimates: &[WorkEstimate],
    request: &WorkRequest,
) -> Option<(usize, WorkBasis)> {
    let chosen = choose_by_work(PLACED, candidates, estimates, request, &RULES);
    chosen.map(|chosen| (chosen.index, chosen.basis))
}

#[test]
fn choose_by_work_keeps_a_placement_in_time() {
    let candidates: Vec<Candidate> = (0..4).map(|i| candidate(i, 4)).collect();
    let mut estimates = vec![late(1.0); 4];
    estimates[0] = late(500.0);
    assert_that!(choose(&candidates, &estimates, &request(0)), none());
}

#[test]
fn choose_by_work_leaves_a_late_or_slow_endpoint_for_the_first_in_rank() {
    let candidates: Vec<Candidate> = (0..6).map(|i| candidate(i, 4)).collect();
    let rank = |i: &usize| score(KeyHash(5), candidates[*i].hash, 1.0);
    let first = (1..6).max_by(|a, b| rank(a).total_cmp(&rank(b)));
    let first = first.expect("a candidate");
    let slow = WorkEstimate {
        slowness: 4.0,
        ..usual()
    };
    for placed in [late(501.0), slow] {
        let mut estimates = vec![usual(); 6];
        estimates[0] = placed;
        let chosen = choose(&candidates, &estimates, &request(0));
        assert_that!(chosen, some(eq((first, WorkBasis::InTime))));
        // Hosts with other draws agree.
        let other = WorkRequest {
            draw: 99,
            ..request(0)
        };
        assert_that!(choose(&candidates, &estimates, &other), eq(chosen));
    }
}

#[test]
fn choose_by_work_prefers_a_holder_in_time() {
    for holder in 1..6 {
        let mut candidates: Vec<Candidate> = (0..6).map(|i| candidate(i, 4)).collect();
        candidates[holder].holds_prefix = true;
        let mut estimates = vec![usual(); 6];
        estimates[0] = late(900.0);
        let chosen = choose(&candidates, &estimates, &request(0));
        assert_that!(chosen, some(eq((holder, WorkBasis::HolderInTime))));
        estimates[holder] = late(600.0);
        let chosen = choose(&candidates, &estimates, &request(0)).expect("a choice");
        assert_that!(chosen.1, eq(WorkBasis::InTime));
    }
}

#[test]
fn choose_by_work_obeys_the_load_limit_and_closed_endpoints() {
    let mut candidates: Vec<Candidate> = (0..4).map(|i| candidate(i, 2)).collect();
    candidates[1].is_closed = true;
    candidates[2].is_suspect = true;
    // Mean 4.5, limit 1.8 x 4.5 + 3 = 11.1.
    candidates[3].load = 12;
    let mut estimates = vec![usual(); 4];
    estimates[0] = late(5_000.0);
    assert_that!(choose(&candidates, &estimates, &request(0)), none());
    candidates[3].load = 4;
    let chosen = choose(&candidates, &estimates, &request(0));
    assert_that!(chosen, some(eq((3, WorkBasis::InTime))));
}

#[test]
fn choose_by_work_weighs_lateness_by_urgency_against_reading() {
    let candidates: Vec<Candidate> = (0..2).map(|i| candidate(i, 4)).collect();
    // 300 ms earlier elsewhere, for 500 ms more reading.
    let holder = WorkEstimate {
        expected_ttft_ms: 900.0,
        read_ms: 20.0,
        slowness: 1.0,
    };
    let other = WorkEstimate {
        expected_ttft_ms: 600.0,
        read_ms: 520.0,
        slowness: 1.0,
    };
    let estimates = [holder, other];
    let urgent = choose(&candidates, &estimates, &request(0));
    assert_that!(urgent, some(eq((1, WorkBasis::LeastLoss))));
    assert_that!(choose(&candidates, &estimates, &request(2)), none());
    // Ranks beyond the last count as the least urgent.
    assert_that!(choose(&candidates, &estimates, &request(u8::MAX)), none());
}

fn any_row() -> impl Strategy<Value = WorkRow> {
    let permille = proptest::option::of(any::<u16>());
    (0..20_u32, any::<u32>(), permille.clone(), permille).prop_map(
        |(endpoint, outstanding_tokens, slowness_permille, reported_permille)| WorkRow {
            endpoint,
            outstanding_tokens,
            slowness_permille,
            reported_permille,
        },
    )
}

fn any_report() -> impl Strategy<Value = WorkReport> {
    let us = proptest::option::of(any::<u32>());
    let times = (any::<u32>(), any::<u32>(), us.clone(), us);
    let times = times.prop_map(|(pool, tokens_per_s, short_us, copy_us)| PoolTimes {
        pool,
        tokens_per_s,
        short_us,
        copy_us,
    });
    let rows = proptest::collection::vec(any_row(), 0..80);
    let pools = proptest::collection::vec(times, 0..20);
    (any::<u64>(), any::<u64>(), rows, pools).prop_map(|(incarnation, sequence, rows, pools)| {
        WorkReport {
            incarnation,
            sequence,
            rows,
            pools,
        }
    })
}

proptest! {
    #[test]
    fn ledger_bounds_whatever_hosts_report(
        reports in proptest::collection::vec((0..4_u32, any_report(), 0..5_000_u64), 0..8),
    ) {
        const MAX_TOKENS_OF_HOST: u32 = 1_000_000;
        let mut ledger = trained();
        let mut now_ms = 0;
        for (host, report, after_ms) in reports {
            now_ms += after_ms;
            ledger.merge(host, &report, |endpoint| endpoint < 10, now_ms);
            for endpoint in 0..20 {
                let slowness = ledger.slowness(endpoint, now_ms);
                prop_assert!((0.1..=20.0).contains(&slowness));
                let tokens = ledger.outstanding_tokens(&pool(), endpoint, now_ms);
                prop_assert!(tokens <= 4 * MAX_TOKENS_OF_HOST);
                prop_assert!(endpoint < 10 || tokens == 0);
                let expected = ledger.expected_ttft_ms(&pool(), endpoint, &read_of(tokens), now_ms);
                prop_assert!(expected.is_some_and(|ms| ms.is_finite() && ms >= 0.0));
            }
            ledger.expire(|endpoint| endpoint < 10, now_ms);
        }
        // What hosts with few values claim does not move a model that has its own.
        let usual = ledger.usual_ms(&pool(), &read_of(6_000)).unwrap_or_default();
        prop_assert!((usual - usual_ms(6_000)).abs() < 5.0);
    }

    #[test]
    fn slowness_stays_bounded(samples in proptest::collection::vec((any::<u16>(), any::<u64>()), 0..30)) {
        let mut slowness = Slowness::default();
        for (permille, now_ms) in samples {
            slowness.record(permille, now_ms);
            slowness.record_reported(permille, now_ms);
            prop_assert!((0.1..=20.0).contains(&slowness.ratio(now_ms)));
        }
    }

    #[test]
    fn choose_by_work_never_exceeds_the_load_limit(
        loads in proptest::collection::vec((0..64_u32, any::<bool>(), any::<bool>(), 0.0..5_000.0), 1..20),
        rank in any::<u8>(),
    ) {
        let candidates: Vec<Candidate> = loads.iter().enumerate().map(|(i, (load, is_closed, is_suspect, _))| Candidate {
            is_closed: *is_closed,
            is_suspect: *is_suspect,
            ..candidate(i, *load)
        }).collect();
        let estimates: Vec<WorkEstimate> = loads.iter().map(|load| late(load.3)).collect();
        if let Some((chosen, _)) = choose(&candidates, &estimates, &request(rank)) {
            let total: u32 = candidates.iter().map(|c| c.load).sum();
            let mean = f64::from(total) / candidates.len() as f64;
            let chosen = &candidates[chosen];
            prop_assert!(f64::from(chosen.load) + 1.0 <= 1.8 * mean + 3.0);
            prop_assert!(!chosen.is_closed && !chosen.is_suspect);
        }
    }
}
