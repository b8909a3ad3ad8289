//! The fleet's retry budget, enforced by each host independently.

use std::collections::VecDeque;

use chalkrock_routing::{BudgetRules, Payment, WindowBudget};
use googletest::prelude::*;

const RULES: BudgetRules = BudgetRules {
    ratio: 0.2,
    slack: 56.0,
    window_ms: 10_000,
};

fn spend_all(budget: &mut WindowBudget, now_ms: u64, hosts: usize, attempts: usize) -> usize {
    (0..attempts)
        .filter(|_| send_one(budget, now_ms, hosts))
        .count()
}

/// Pays and sends one retry, if one remains.
fn send_one(budget: &mut WindowBudget, now_ms: u64, hosts: usize) -> bool {
    let payment = budget.try_spend(now_ms, Some(hosts));
    let is_paid = payment.is_some();
    if let Some(mut payment) = payment {
        budget.record_sent(&mut payment, now_ms);
    }
    is_paid
}

#[test]
fn budget_of_all_hosts_stays_within_the_fleet_budget() {
    for hosts in [1, 2, 3, 8, 62] {
        let mut spent = 0;
        for _ in 0..hosts {
            let mut budget = WindowBudget::new(RULES);
            (0..50).for_each(|_| budget.record_request(0, Some(8)));
            spent += spend_all(&mut budget, 0, hosts, 1_000);
        }
        let fleet_budget = 0.2 * 50.0 * hosts as f64 + 56.0;
        assert_that!(spent as f64, le(fleet_budget), "{hosts} hosts");
    }
}

#[test]
fn budget_holds_over_any_window() {
    let mut budget = WindowBudget::new(RULES);
    let mut spent_at_ms = Vec::new();
    for now_ms in (0..60_000).step_by(100) {
        if now_ms % 1_000 == 0 {
            budget.record_request(now_ms, Some(8));
        }
        while send_one(&mut budget, now_ms, 8) {
            spent_at_ms.push(now_ms);
        }
    }
    for start_ms in (0..50_000).step_by(50) {
        let in_window = spent_at_ms
            .iter()
            .filter(|at| (start_ms..start_ms + RULES.window_ms).contains(*at));
        // A host counts 10 to 11 requests per window and has an eighth of the slack.
        assert_that!(in_window.count() as f64, le(0.2 * 11.0 + 56.0 / 8.0));
    }
}

#[test]
fn budget_is_restored_after_the_window() {
    let mut budget = WindowBudget::new(RULES);
    let first = spend_all(&mut budget, 0, 8, 100);
    assert_that!(first, gt(0));
    assert_that!(spend_all(&mut budget, 5_000, 8, 100), eq(0));
    assert_that!(spend_all(&mut budget, 11_001, 8, 100), eq(first));
}

#[test]
fn budget_without_slack_depends_on_requests_alone() {
    let rules = BudgetRules {
        slack: 0.0,
        ..RULES
    };
    let mut budget = WindowBudget::new(rules);
    assert_that!(spend_all(&mut budget, 0, 8, 100), eq(0));
    let served = (0..100).filter(|_| {
        budget.record_request(0, Some(8));
        send_one(&mut budget, 0, 8)
    });
    // Nothing is in stock before 22 requests of the window allow for it.
    assert_that!(served.count(), eq(12));
    (0..100).for_each(|_| budget.record_request(0, Some(8)));
    assert_that!(spend_all(&mut budget, 0, 8, 100), eq(9));
}

/// Whether in all windows the retries stay within the ratio of the requests of the window, of
/// the one before it or of the one half a window before it, whichever has most, and the slack.
fn is_within_rules(requests_at_ms: &[u64], retries_at_ms: &[u64], rules: &BudgetRules) -> bool {
    let window_ms = rules.window_ms;
    let count = |times: &[u64], end_ms: u64| {
        let is_in = |at: &&u64| **at <= end_ms && **at + window_ms > end_ms;
        times.iter().filter(is_in).count() as f64
    };
    retries_at_ms.iter().all(|&end_ms| {
        let ends_ms = [0, window_ms / 2, window_ms].map(|ago_ms| end_ms.checked_sub(ago_ms));
        let requests = ends_ms.into_iter().flatten();
        let requests = requests.map(|end_ms| count(requests_at_ms, end_ms));
        let requests = requests.fold(0.0, f64::max);
        count(retries_at_ms, end_ms) <= rules.ratio * requests + rules.slack
    })
}

/// Guards against requests that back retries again at the hosts to which their callers move.
#[test]
fn budget_of_hosts_whose_callers_move_stays_within_the_fleet_budget() {
    const REQUEST_INTERVAL_MS: usize = 5;
    const FAILURE_MS: u64 = 20_000;
    let rules = BudgetRules {
        slack: 0.0,
        ..RULES
    };
    for move_delay_ms in [500, 1_000, 2_000, 5_000, 9_000] {
        let mut hosts = [WindowBudget::new(rules), WindowBudget::new(rules)];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for now_ms in (0..40_000).step_by(REQUEST_INTERVAL_MS) {
            let host = &mut hosts[usize::from(now_ms >= FAILURE_MS + move_delay_ms)];
            host.record_request(now_ms, Some(2));
            requests.push(now_ms);
            if now_ms >= FAILURE_MS && send_one(host, now_ms, 2) {
                retries.push(now_ms);
            }
        }
        let is_within = is_within_rules(&requests, &retries, &rules);
        assert_that!(is_within, eq(true), "moved after {move_delay_ms} ms");
    }
}

/// Guards against requests that back retries in a window that counts other requests.
#[test]
fn budget_of_requests_in_bursts_stays_within_the_fleet_budget() {
    const HOSTS: usize = 8;
    const BURST_PER_HOST: usize = 80;
    const STEP_MS: usize = 25;
    /// Time for which calls run before they fail.
    const CALL_MS: u64 = 100;
    for (interval_ms, call_interval_ms) in [(9_800, 100), (9_900, 1_000), (5_000, 100), (4_900, 50)]
    {
        let mut hosts = vec![WindowBudget::new(RULES); HOSTS];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut failing = VecDeque::new();
        for now_ms in (0..60_000).step_by(STEP_MS) {
            let is_burst = now_ms % interval_ms == 0;
            let calls = if is_burst { BURST_PER_HOST } else { 0 }
                + usize::from(now_ms % call_interval_ms == 0);
            for host in (0..HOSTS).flat_map(|host| vec![host; calls]) {
                hosts[host].record_request(now_ms, Some(HOSTS));
                requests.push(now_ms);
                failing.push_back((now_ms + CALL_MS, host));
            }
            while let Some((_, host)) = failing.pop_front_if(|(fails_ms, _)| *fails_ms <= now_ms) {
                if send_one(&mut hosts[host], now_ms, HOSTS) {
                    retries.push(now_ms);
                }
            }
        }
        let is_within = is_within_rules(&requests, &retries, &RULES);
        assert_that!(is_within, eq(true), "bursts every {interval_ms} ms");
    }
}

/// Guards against changes of the rules after which a host forgets what it spent.
#[test]
fn budget_whose_rules_change_counts_what_was_spent() {
    let changes = [
        (
            "ratio",
            BudgetRules {
                ratio: 0.1,
                ..RULES
            },
        ),
        (
            "slack",
            BudgetRules {
                slack: 48.0,
                ..RULES
            },
        ),
        (
            "shorter window",
            BudgetRules {
                window_ms: 9_000,
                ..RULES
            },
        ),
        (
            "longer window",
            BudgetRules {
                window_ms: 20_000,
                ..RULES
            },
        ),
    ];
    for (name, rules) in changes {
        let mut budget = WindowBudget::new(RULES);
        (0..50).for_each(|_| budget.record_request(0, Some(8)));
        assert_that!(spend_all(&mut budget, 0, 8, 100), gt(0), "{name}");
        budget.set_rules(rules, 1_000);
        for now_ms in [1_000, 8_900] {
            assert_that!(spend_all(&mut budget, now_ms, 8, 100), eq(0), "{name}");
        }
        let restored = spend_all(&mut budget, 23_000, 8, 100);
        assert_that!(restored, gt(0), "{name}");
    }
}

#[test]
fn budget_that_is_refunded_is_spent_once_more() {
    // 50 requests and the slack allow for five retries in stock, and four are paid from the slack.
    const ALL: usize = 9;
    let mut budget = WindowBudget::new(RULES);
    (0..50).for_each(|_| budget.record_request(0, Some(8)));
    let payments = (0..100).filter_map(|_| budget.try_spend(1_000, Some(8)));
    let mut payments: Vec<Payment> = payments.collect();
    assert_that!(payments.len(), eq(ALL));
    // One that was sent in vain is refunded as one that was not sent.
    for payment in payments.iter_mut().step_by(2) {
        budget.record_sent(payment, 1_000);
    }
    for payment in payments {
        budget.refund(payment);
    }
    assert_that!(budget.counts(), eq((5, 0)));
    assert_that!(spend_all(&mut budget, 1_000, 8, 100), eq(ALL));
    let payment = budget.try_spend(12_000, Some(8)).expect("the slack");
    budget.refund(payment);
    assert_that!(budget.counts(), eq((0, 0)));
}

/// Guards against retries that are paid in one window and sent in the next one.
#[test]
fn budget_of_retries_that_wait_stays_within_the_fleet_budget() {
    const STEP_MS: usize = 10;
    const WAIT_MS: u64 = 4_000;
    let mut budget = WindowBudget::new(RULES);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut waiting: VecDeque<(u64, Payment)> = VecDeque::new();
    for now_ms in (0..60_000).step_by(STEP_MS) {
        budget.record_request(now_ms, Some(1));
        requests.push(now_ms);
        if let Some(payment) = budget.try_spend(now_ms, Some(1)) {
            // All that wait until the same moment are sent then.
            let sent_ms = (now_ms / WAIT_MS + 1) * WAIT_MS;
            waiting.push_back((sent_ms, payment));
        }
        while let Some((_, mut payment)) = waiting.pop_front_if(|(at_ms, _)| *at_ms <= now_ms) {
            budget.record_sent(&mut payment, now_ms);
            retries.push(now_ms);
        }
    }
    assert_that!(retries.len(), gt(0));
    assert_that!(is_within_rules(&requests, &retries, &RULES), eq(true));
}

/// Guards against a host that hangs under a ratio that sets no limit.
#[test]
fn budget_without_a_limit_records_requests_at_once() {
    let rules = BudgetRules {
        ratio: f64::INFINITY,
        ..RULES
    };
    let mut budget = WindowBudget::new(rules);
    budget.record_request(0, Some(8));
    assert_that!(spend_all(&mut budget, 0, 8, 10), eq(10));
}
