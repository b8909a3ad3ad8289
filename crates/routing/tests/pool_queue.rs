//! The scheduler of a pool: leases, lost and late messages, order, bounds.

use chalkrock_routing::{
    AskOutcome, Grant, HeldLease, LEASE_MS, MAX_GATES_PER_REPLY, MAX_LEASES_PER_ASK,
    MAX_WAITING_PER_ASK, PoolScheduler, RejectionCause, SETTLE_MS, SchedulableEndpoint, SlotAsk,
    SlotReply, TicketId, WaitingRequest,
};
use googletest::prelude::*;
use proptest::prelude::*;

type Scheduler = PoolScheduler<&'static str>;

const ENDPOINT: u32 = 7;
const OTHER_ENDPOINT: u32 = 8;
const SLOTS: u32 = 2;
const WORK_MS: u32 = 60;

fn endpoint(endpoint: u32) -> SchedulableEndpoint {
    SchedulableEndpoint {
        endpoint,
        slots: SLOTS,
        in_progress: 0,
        is_open: true,
        has_queue: true,
    }
}

fn request(ticket: u32) -> WaitingRequest {
    WaitingRequest {
        ticket: TicketId(ticket),
        rank: 1,
        organisation: 0,
        start_within_ms: 10_000,
        work_ms: WORK_MS,
        fingerprint: u64::from(ticket),
        tried: Vec::new(),
    }
}

fn held(ticket: u32) -> HeldLease {
    HeldLease {
        ticket: TicketId(ticket),
        endpoint: ENDPOINT,
        organisation: 0,
    }
}

fn ask(sequence: u64, waiting: Vec<WaitingRequest>, held: Vec<HeldLease>) -> SlotAsk {
    SlotAsk {
        pool: 1,
        incarnation: 1,
        sequence,
        waiting,
        held,
    }
}

fn scheduler(epoch: u64, endpoints: &[u32]) -> Scheduler {
    let mut scheduler = PoolScheduler::new(epoch, 0);
    let listed: Vec<SchedulableEndpoint> = endpoints.iter().copied().map(endpoint).collect();
    scheduler.set_endpoints(&listed, 0);
    scheduler
}

/// A scheduler that has settled, without hosts.
fn settled(endpoints: &[u32]) -> Scheduler {
    let mut scheduler = scheduler(1, endpoints);
    scheduler.ask("early", ask(1, vec![], vec![]), 0);
    scheduler.schedule(LEASE_MS);
    scheduler
}

const START_MS: u64 = LEASE_MS;

fn granted(reply: Option<SlotReply>) -> Vec<u32> {
    let reply = reply.expect("a reply");
    let tickets = reply.granted.iter().map(|grant| grant.ticket.0);
    tickets.collect()
}

fn rejected(reply: Option<SlotReply>) -> Vec<u32> {
    let reply = reply.expect("a reply");
    let tickets = reply.rejected.iter().map(|rejection| rejection.ticket.0);
    tickets.collect()
}

fn leases(scheduler: &Scheduler, now_ms: u64) -> u32 {
    let status = scheduler.status(now_ms);
    status
        .endpoints
        .iter()
        .map(|endpoint| endpoint.leases)
        .sum()
}

/// Most leases of a settled scheduler for one endpoint.
fn limit(scheduler: &Scheduler, now_ms: u64) -> u32 {
    scheduler.status(now_ms).endpoints[0].limit
}

#[gtest]
fn grants_fill_slots_and_a_short_queue() {
    let mut scheduler = settled(&[ENDPOINT]);
    let waiting = (1..=10).map(request).collect();
    scheduler.ask("host", ask(1, waiting, vec![]), START_MS);
    expect_that!(scheduler.schedule(START_MS), elements_are![eq(&"host")]);
    let granted = granted(scheduler.reply(&"host", START_MS));
    expect_that!(granted.len() as u32, eq(limit(&scheduler, START_MS)));
    expect_that!(granted.len() as u32, all!(gt(SLOTS), le(2 * SLOTS)));
    expect_that!(scheduler.schedule(START_MS + 1), is_empty());
}

/// Guards against reviews that are never due.
#[gtest]
fn review_is_due_while_a_request_waits() {
    let mut scheduler = settled(&[ENDPOINT]);
    let limit = limit(&scheduler, START_MS);
    let waiting = (1..=limit + 1).map(request).collect();
    scheduler.ask("host", ask(1, waiting, vec![]), START_MS);
    scheduler.schedule(START_MS);
    let due_ms = scheduler.next_event_ms(START_MS).expect("an event");
    expect_that!(due_ms, all!(gt(START_MS), le(START_MS + 20)));
    expect_that!(scheduler.next_event_ms(due_ms), some(eq(due_ms)));
    scheduler.schedule(due_ms);
    expect_that!(scheduler.next_event_ms(due_ms), some(gt(due_ms)));
}

#[gtest]
fn least_loaded_endpoint_is_granted_first() {
    let mut scheduler = settled(&[ENDPOINT, OTHER_ENDPOINT]);
    let running = ask(1, vec![], vec![held(1)]);
    scheduler.ask("busy", running, START_MS);
    scheduler.ask("host", ask(1, vec![request(1)], vec![]), START_MS);
    scheduler.schedule(START_MS);
    let reply = scheduler.reply(&"host", START_MS).expect("a reply");
    let expected = Grant {
        ticket: TicketId(1),
        endpoint: OTHER_ENDPOINT,
    };
    expect_that!(reply.granted, eq(&vec![expected]));
}

#[gtest]
fn tried_and_closed_endpoints_are_not_granted() {
    let mut scheduler = settled(&[ENDPOINT, OTHER_ENDPOINT]);
    let closed = SchedulableEndpoint {
        is_open: false,
        ..endpoint(OTHER_ENDPOINT)
    };
    scheduler.set_endpoints(&[endpoint(ENDPOINT), closed], START_MS);
    let mut tried = request(1);
    tried.tried = vec![ENDPOINT];
    scheduler.ask("host", ask(1, vec![tried, request(2)], vec![]), START_MS);
    scheduler.schedule(START_MS);
    let reply = scheduler.reply(&"host", START_MS);
    expect_that!(granted(reply.clone()), eq(&vec![2]));
    expect_that!(rejected(reply), eq(&vec![1]));
}

/// What an ask after a grant says about it.
#[gtest]
fn grant_follows_the_next_ask() {
    struct Case {
        name: &'static str,
        waiting: Vec<WaitingRequest>,
        held: Vec<HeldLease>,
        is_repeated: bool,
        leases: u32,
    }
    let mut refused = request(1);
    refused.tried = vec![ENDPOINT];
    let cases = [
        Case {
            name: "reply lost or crossed",
            waiting: vec![request(1)],
            held: vec![],
            is_repeated: true,
            leases: 1,
        },
        Case {
            name: "runs",
            waiting: vec![],
            held: vec![held(1)],
            is_repeated: false,
            leases: 1,
        },
        Case {
            name: "ended, or its caller left",
            waiting: vec![],
            held: vec![],
            is_repeated: false,
            leases: 0,
        },
        Case {
            name: "refused by the endpoint",
            waiting: vec![refused],
            held: vec![],
            is_repeated: false,
            leases: 0,
        },
    ];
    for case in cases {
        let mut scheduler = settled(&[ENDPOINT]);
        scheduler.ask("host", ask(1, vec![request(1)], vec![]), START_MS);
        scheduler.schedule(START_MS);
        expect_that!(granted(scheduler.reply(&"host", START_MS)), eq(&vec![1]));
        let now_ms = START_MS + 5;
        scheduler.ask("host", ask(2, case.waiting, case.held), now_ms);
        scheduler.schedule(now_ms);
        let repeated = granted(scheduler.reply(&"host", now_ms));
        expect_that!(!repeated.is_empty(), eq(case.is_repeated), "{}", case.name);
        expect_that!(leases(&scheduler, now_ms), eq(case.leases), "{}", case.name);
    }
}

#[gtest]
fn late_and_repeated_asks_are_ignored() {
    let mut scheduler = settled(&[ENDPOINT]);
    let later = ask(2, vec![], vec![held(1)]);
    expect_that!(
        scheduler.ask("host", later.clone(), START_MS),
        eq(AskOutcome::Applied)
    );
    for stale in [ask(1, vec![request(1)], vec![]), later] {
        expect_that!(
            scheduler.ask("host", stale, START_MS),
            eq(AskOutcome::Stale)
        );
    }
    expect_that!(leases(&scheduler, START_MS), eq(1));
    // A new incarnation starts over: what the former one held has ended.
    let mut restarted = ask(1, vec![], vec![]);
    restarted.incarnation = 2;
    expect_that!(
        scheduler.ask("host", restarted, START_MS),
        eq(AskOutcome::Applied)
    );
    expect_that!(leases(&scheduler, START_MS), eq(0));
}

#[gtest]
fn rejection_is_repeated_until_the_host_drops_the_request() {
    let mut scheduler = settled(&[ENDPOINT]);
    let mut hopeless = request(1);
    hopeless.start_within_ms = 0;
    let first = ask(1, vec![hopeless.clone()], vec![]);
    scheduler.ask("host", first, START_MS);
    expect_that!(scheduler.schedule(START_MS), elements_are![eq(&"host")]);
    expect_that!(rejected(scheduler.reply(&"host", START_MS)), eq(&vec![1]));
    let lost = ask(2, vec![hopeless], vec![]);
    scheduler.ask("host", lost, START_MS + 5);
    expect_that!(scheduler.schedule(START_MS + 5), is_empty());
    expect_that!(
        rejected(scheduler.reply(&"host", START_MS + 5)),
        eq(&vec![1])
    );
    scheduler.ask("host", ask(3, vec![], vec![]), START_MS + 9);
    expect_that!(rejected(scheduler.reply(&"host", START_MS + 9)), is_empty());
}

#[gtest]
fn silent_host_loses_its_leases_and_waiting_requests() {
    let mut scheduler = settled(&[ENDPOINT]);
    let waiting = (1..=10).map(request).collect();
    scheduler.ask("dead", ask(1, waiting, vec![]), START_MS);
    scheduler.schedule(START_MS);
    let late_ms = START_MS + LEASE_MS;
    expect_that!(scheduler.next_event_ms(late_ms - 1), some(le(late_ms)));
    let waiting = vec![request(1)];
    scheduler.ask("host", ask(1, waiting, vec![]), late_ms - 1);
    scheduler.schedule(late_ms - 1);
    expect_that!(granted(scheduler.reply(&"host", late_ms - 1)), is_empty());
    scheduler.schedule(late_ms);
    expect_that!(granted(scheduler.reply(&"host", late_ms)), eq(&vec![1]));
    expect_that!(scheduler.reply(&"dead", late_ms), none());
    expect_that!(scheduler.status(late_ms).lapsed_hosts, eq(1));
}

/// Guards against a grant that its host never uses.
#[gtest]
fn grant_that_is_never_taken_is_withdrawn() {
    let mut scheduler = settled(&[ENDPOINT]);
    let mut sequence = 0;
    for now_ms in (START_MS..=START_MS + LEASE_MS).step_by(100) {
        sequence += 1;
        let never_takes = ask(sequence, vec![request(1)], vec![]);
        scheduler.ask("host", never_takes, now_ms);
        if now_ms == START_MS {
            scheduler.schedule(now_ms);
        }
    }
    expect_that!(leases(&scheduler, START_MS + LEASE_MS), eq(0));
}

#[gtest]
fn leases_of_a_former_scheduler_take_slots() {
    let mut next = scheduler(2, &[ENDPOINT]);
    next.ask("busy", ask(9, vec![], vec![held(1), held(2)]), 0);
    next.ask("host", ask(9, vec![request(3)], vec![]), 0);
    next.schedule(0);
    expect_that!(granted(next.reply(&"host", 0)), is_empty());
    next.ask("busy", ask(10, vec![], vec![held(2)]), 20);
    next.schedule(20);
    expect_that!(granted(next.reply(&"host", 20)), eq(&vec![3]));
}

/// Guards against a new scheduler that grants slots of hosts that have not asked yet, and
/// against reports of requests that ended long ago.
#[gtest]
fn reported_load_counts_only_what_no_lease_explains() {
    let reported = |in_progress| SchedulableEndpoint {
        slots: 6,
        in_progress,
        ..endpoint(ENDPOINT)
    };
    let without_lease = |scheduler: &Scheduler, now_ms| {
        let status = scheduler.status(now_ms);
        status.endpoints[0].without_lease
    };
    let mut scheduler = scheduler(2, &[]);
    scheduler.set_endpoints(&[reported(4)], 0);
    let busy = ask(1, vec![], vec![held(1)]);
    scheduler.ask("busy", busy, 0);
    let waiting = (1..=6).map(request).collect();
    scheduler.ask("host", ask(1, waiting, vec![]), 0);
    scheduler.schedule(0);
    expect_that!(without_lease(&scheduler, 0), eq(3));
    expect_that!(granted(scheduler.reply(&"host", 0)).len(), eq(2));
    // Own grants explain nothing yet.
    scheduler.schedule(5);
    expect_that!(granted(scheduler.reply(&"host", 5)).len(), eq(2));
    // All leases end. A report from before still counts them.
    let now_ms = SETTLE_MS;
    scheduler.ask("busy", ask(2, vec![], vec![]), now_ms);
    scheduler.ask("host", ask(2, vec![], vec![]), now_ms);
    scheduler.set_endpoints(&[reported(3)], now_ms + 20);
    expect_that!(without_lease(&scheduler, now_ms + 20), eq(0));
    // Later ones count others.
    expect_that!(without_lease(&scheduler, now_ms + 1_000), eq(3));
    // A wrong report can't stop the pool.
    scheduler.set_endpoints(&[reported(u32::MAX)], 1_000);
    expect_that!(without_lease(&scheduler, 1_000), lt(6));
}

#[gtest]
fn endpoint_that_is_gone_and_returns_keeps_its_leases() {
    let mut scheduler = settled(&[ENDPOINT]);
    scheduler.ask("busy", ask(1, vec![], vec![held(1), held(2)]), START_MS);
    scheduler.set_endpoints(&[endpoint(OTHER_ENDPOINT)], START_MS);
    scheduler.ask("host", ask(1, vec![request(1)], vec![]), START_MS);
    scheduler.schedule(START_MS);
    let reply = scheduler.reply(&"host", START_MS).expect("a reply");
    expect_that!(reply.granted[0].endpoint, eq(OTHER_ENDPOINT));
    scheduler.set_endpoints(&[endpoint(ENDPOINT)], START_MS);
    expect_that!(leases(&scheduler, START_MS), eq(2));
}

#[gtest]
fn urgent_request_displaces_one_that_waits_but_none_that_was_granted() {
    let mut scheduler = settled(&[ENDPOINT]);
    let limit = limit(&scheduler, START_MS);
    let patient = |ticket| WaitingRequest {
        rank: 2,
        start_within_ms: 250,
        ..request(ticket)
    };
    let first = (1..=limit + 1).map(patient).collect();
    scheduler.ask("patient", ask(1, first, vec![]), START_MS);
    scheduler.schedule(START_MS);
    let before = granted(scheduler.reply(&"patient", START_MS));
    expect_that!(before.len() as u32, eq(limit));
    expect_that!(rejected(scheduler.reply(&"patient", START_MS)), is_empty());
    let urgent = (1..=6).map(|ticket| WaitingRequest {
        rank: 0,
        organisation: ticket,
        ..request(ticket)
    });
    scheduler.ask("urgent", ask(1, urgent.collect(), vec![]), START_MS + 1);
    scheduler.schedule(START_MS + 1);
    let reply = scheduler.reply(&"patient", START_MS + 1);
    expect_that!(granted(reply.clone()), eq(&before));
    expect_that!(rejected(reply), eq(&vec![limit + 1]));
    expect_that!(
        rejected(scheduler.reply(&"urgent", START_MS + 1)),
        is_empty()
    );
}

#[gtest]
fn earlier_latest_start_is_granted_first() {
    let mut scheduler = settled(&[ENDPOINT]);
    let limit = limit(&scheduler, START_MS);
    let waiting = (1..=limit + 2).map(|ticket| WaitingRequest {
        start_within_ms: 5_000 - ticket,
        ..request(ticket)
    });
    scheduler.ask("host", ask(1, waiting.collect(), vec![]), START_MS);
    scheduler.schedule(START_MS);
    let granted = granted(scheduler.reply(&"host", START_MS));
    expect_that!(granted, eq(&(3..=limit + 2).collect::<Vec<u32>>()));
}

#[gtest]
fn request_behind_others_is_rejected_at_once_with_a_return_time() {
    let mut scheduler = settled(&[ENDPOINT]);
    let waiting = (1..=20).map(|ticket| WaitingRequest {
        start_within_ms: 200,
        organisation: ticket,
        ..request(ticket)
    });
    scheduler.ask("host", ask(1, waiting.collect(), vec![]), START_MS);
    scheduler.schedule(START_MS);
    let reply = scheduler.reply(&"host", START_MS).expect("a reply");
    expect_that!(reply.rejected.len(), all!(ge(10), lt(20)));
    for rejection in &reply.rejected {
        expect_that!(rejection.cause, eq(RejectionCause::Full));
        expect_that!(rejection.retry_after_ms, all!(gt(0), le(1_000)));
    }
}

/// Guards against callers that gain by returning early or twice.
#[gtest]
fn return_precedes_new_requests_once_and_not_early() {
    let mut scheduler = settled(&[ENDPOINT]);
    let limit = limit(&scheduler, START_MS);
    let busy: Vec<HeldLease> = (1..=limit).map(held).collect();
    scheduler.ask("busy", ask(1, vec![], busy.clone()), START_MS);
    let mut refused = request(1);
    refused.start_within_ms = 1;
    scheduler.ask("host", ask(1, vec![refused], vec![]), START_MS);
    scheduler.schedule(START_MS);
    let reply = scheduler.reply(&"host", START_MS).expect("a reply");
    let due_ms = START_MS + u64::from(reply.rejected[0].retry_after_ms);

    // A new request waits first; the other returns on another host. One slot becomes free.
    let first_granted = |scheduler: &mut Scheduler, sequence: u64, now_ms: u64| {
        scheduler.ask("busy", ask(2 * sequence, vec![], busy.clone()), now_ms);
        let new_request = WaitingRequest {
            fingerprint: 900 + sequence,
            ..request(20)
        };
        scheduler.ask("host", ask(2 * sequence, vec![new_request], vec![]), now_ms);
        let again = WaitingRequest {
            fingerprint: 1,
            ..request(30)
        };
        scheduler.ask("other", ask(2 * sequence, vec![again], vec![]), now_ms + 1);
        scheduler.schedule(now_ms + 1);
        let fewer = busy[1..].to_vec();
        scheduler.ask("busy", ask(2 * sequence + 1, vec![], fewer), now_ms + 2);
        scheduler.schedule(now_ms + 2);
        let mut first = granted(scheduler.reply(&"host", now_ms + 2));
        first.extend(granted(scheduler.reply(&"other", now_ms + 2)));
        scheduler.ask("host", ask(2 * sequence + 1, vec![], vec![]), now_ms + 3);
        scheduler.ask("other", ask(2 * sequence + 1, vec![], vec![]), now_ms + 3);
        first
    };
    expect_that!(first_granted(&mut scheduler, 1, due_ms - 8), eq(&vec![20]));
    expect_that!(first_granted(&mut scheduler, 2, due_ms), eq(&vec![30]));
    expect_that!(first_granted(&mut scheduler, 3, due_ms + 10), eq(&vec![20]));
}

/// Guards against a gate that stays when its organisation's demand has ended.
#[gtest]
fn gates_begin_with_a_flood_and_end_after_it() {
    let mut scheduler = settled(&[ENDPOINT]);
    let mut ticket = 0;
    let mut now_ms = START_MS;
    let mut sequence = 0;
    while now_ms < START_MS + 2_500 {
        sequence += 1;
        let waiting = (0..20).map(|_| {
            ticket += 1;
            WaitingRequest {
                organisation: 5,
                start_within_ms: 100,
                ..request(ticket)
            }
        });
        scheduler.ask("host", ask(sequence, waiting.collect(), vec![]), now_ms);
        scheduler.schedule(now_ms);
        now_ms += 10;
    }
    let reply = scheduler.reply(&"host", now_ms).expect("a reply");
    expect_that!(reply.gates.len(), eq(1));
    expect_that!(reply.gates[0].organisation, eq(5));
    expect_that!(reply.gates[0].admit_permille, lt(500));
    for _ in 0..20 {
        sequence += 1;
        now_ms += 100;
        scheduler.ask("host", ask(sequence, vec![], vec![]), now_ms);
        scheduler.schedule(now_ms);
    }
    let reply = scheduler.reply(&"host", now_ms).expect("a reply");
    expect_that!(reply.gates, is_empty());
}

const HOSTS: [&str; 3] = ["a", "b", "c"];

fn any_request() -> impl Strategy<Value = WaitingRequest> {
    let tickets = prop_oneof![0..6_u32, any::<u32>()];
    let endpoints = prop_oneof![ENDPOINT..=OTHER_ENDPOINT, any::<u32>()];
    let tried = prop::collection::vec(endpoints, 0..12);
    let times = prop_oneof![0..400_u32, any::<u32>()];
    (
        tickets,
        any::<u8>(),
        0..4_u32,
        times.clone(),
        times,
        prop_oneof![0..4_u64, any::<u64>()],
        tried,
    )
        .prop_map(
            |(ticket, rank, organisation, start_within_ms, work_ms, fingerprint, tried)| {
                WaitingRequest {
                    ticket: TicketId(ticket),
                    rank,
                    organisation,
                    start_within_ms,
                    work_ms,
                    fingerprint,
                    tried,
                }
            },
        )
}

fn any_ask() -> impl Strategy<Value = (usize, SlotAsk)> {
    let lease = (0..6_u32, ENDPOINT..=OTHER_ENDPOINT + 1, 0..4_u32).prop_map(
        |(ticket, endpoint, organisation)| HeldLease {
            ticket: TicketId(ticket),
            endpoint,
            organisation,
        },
    );
    let leases = prop::collection::vec(lease, 0..MAX_LEASES_PER_ASK + 8);
    let waiting = prop::collection::vec(any_request(), 0..MAX_WAITING_PER_ASK + 8);
    let sequence = prop_oneof![0..40_u64, any::<u64>()];
    (0..HOSTS.len(), 0..2_u64, sequence, waiting, leases).prop_map(
        |(host, incarnation, sequence, waiting, held)| {
            let ask = SlotAsk {
                pool: 1,
                incarnation,
                sequence,
                waiting,
                held,
            };
            (host, ask)
        },
    )
}

#[derive(Clone, Debug)]
enum Event {
    Ask(usize, SlotAsk),
    Endpoints(Vec<SchedulableEndpoint>),
    Wait(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    let listed = (
        ENDPOINT..=OTHER_ENDPOINT,
        prop_oneof![0..8_u32, any::<u32>()],
        prop_oneof![0..8_u32, any::<u32>()],
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(
            |(endpoint, slots, in_progress, is_open, has_queue)| SchedulableEndpoint {
                endpoint,
                slots,
                in_progress,
                is_open,
                has_queue,
            },
        );
    let waits = prop_oneof![0..20_u64, 0..2_000_u64, Just(86_400_000)];
    prop_oneof![
        6 => any_ask().prop_map(|(host, ask)| Event::Ask(host, ask)),
        1 => prop::collection::vec(listed, 0..3).prop_map(Event::Endpoints),
        2 => waits.prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        ..ProptestConfig::default()
    })]

    /// Whatever hosts send: no panic, no grant beyond an endpoint's limit or to a closed
    /// one, and bounded replies.
    #[test]
    fn any_asks_leave_leases_within_limits(events in prop::collection::vec(any_event(), 1..60)) {
        let mut scheduler = scheduler(1, &[ENDPOINT, OTHER_ENDPOINT]);
        let mut now_ms = 0_u64;
        for event in events {
            match event {
                Event::Ask(host, ask) => {
                    scheduler.ask(HOSTS[host], ask, now_ms);
                }
                Event::Endpoints(listed) => scheduler.set_endpoints(&listed, now_ms),
                Event::Wait(wait_ms) => now_ms = now_ms.saturating_add(wait_ms),
            }
            let before = scheduler.status(now_ms);
            let changed = scheduler.schedule(now_ms);
            let after = scheduler.status(now_ms);
            for (before, after) in before.endpoints.iter().zip(&after.endpoints) {
                if after.leases > before.leases {
                    prop_assert!(after.is_open);
                    prop_assert!(after.leases + after.without_lease <= after.limit);
                    prop_assert!(after.limit <= 2 * after.slots.max(1));
                }
            }
            prop_assert!(after.hosts <= HOSTS.len());
            for host in changed {
                let reply = scheduler.reply(&host, now_ms);
                prop_assert!(reply.is_some());
                let reply = reply.expect("a reply");
                prop_assert!(reply.rejected.len() <= MAX_WAITING_PER_ASK);
                prop_assert!(reply.granted.len() <= MAX_WAITING_PER_ASK + MAX_LEASES_PER_ASK);
                prop_assert!(reply.gates.len() <= MAX_GATES_PER_REPLY);
            }
        }
    }
}
