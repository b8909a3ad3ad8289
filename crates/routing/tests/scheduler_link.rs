//! When a pool is contended, which host schedules it and when replies hold.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{
    Contention, PoolUse, ReplyUse, SchedulerCandidate, SchedulerLink, rank_schedulers,
};
use googletest::prelude::*;
use proptest::prelude::*;

const RANKED: [&str; 3] = ["first", "second", "third"];

fn use_of(in_progress: u32) -> PoolUse {
    PoolUse {
        slots: 18,
        in_progress,
        hosts: 29,
        has_waiting: false,
        is_brittle: false,
    }
}

#[test]
fn contention_begins_at_half_use_and_ends_after_calm() {
    let mut contention = Contention::default();
    assert_that!(contention.update(&use_of(8), 0), eq(false));
    assert_that!(contention.update(&use_of(9), 10), eq(true));
    // Once contended, less use keeps it so.
    assert_that!(contention.update(&use_of(6), 1_900), eq(true));
    assert_that!(contention.update(&use_of(5), 3_800), eq(true));
    assert_that!(contention.update(&use_of(5), 3_900), eq(false));
}

#[test]
fn contention_needs_fewer_slots_than_hosts() {
    let mut contention = Contention::default();
    let plenty = PoolUse {
        slots: 29,
        in_progress: 29,
        ..use_of(0)
    };
    assert_that!(contention.update(&plenty, 0), eq(false));
    let without_slots = PoolUse {
        slots: 0,
        ..use_of(0)
    };
    assert_that!(contention.update(&without_slots, 0), eq(false));
}

#[test]
fn contention_follows_a_refusal_and_waiting_requests() {
    let mut contention = Contention::default();
    contention.record_refusal(0);
    assert_that!(contention.update(&use_of(0), 1_999), eq(true));
    assert_that!(contention.update(&use_of(0), 2_000), eq(false));
    let waiting = PoolUse {
        has_waiting: true,
        ..use_of(0)
    };
    assert_that!(contention.update(&waiting, 2_000), eq(true));
}

#[test]
fn rank_puts_large_hosts_first_and_is_the_same_on_all_hosts() {
    let host = |name: &'static str, capacity_millicores: u16| SchedulerCandidate {
        host: name,
        hash: MemberHash::of(name),
        capacity_millicores,
    };
    let mut hosts = vec![
        host("small-1", 120),
        host("large-1", 500),
        host("unknown", 0),
        host("large-2", 300),
        host("small-2", 120),
    ];
    let ranked = rank_schedulers(7, &hosts);
    assert_that!(
        ranked[..3],
        unordered_elements_are![eq(&"large-1"), eq(&"large-2"), eq(&"unknown")]
    );
    hosts.reverse();
    assert_that!(rank_schedulers(7, &hosts), eq(&ranked));
}

#[test]
fn link_asks_at_once_after_a_change_but_one_at_a_time() {
    let mut link = SchedulerLink::default();
    assert_that!(link.next_ask_ms(false), none());
    link.record_change();
    assert_that!(link.next_ask_ms(true), some(eq(0)));
    let ask = link.begin_ask(&RANKED, 1_000).expect("an ask");
    assert_that!(ask.scheduler, eq("first"));
    link.record_change();
    assert_that!(link.next_ask_ms(true), some(gt(1_010)));
    let used = link.record_reply(&"first", 1, ask.sequence, 1_004);
    assert_that!(used, eq(ReplyUse::Current));
    assert_that!(link.next_ask_ms(true), some(eq(0)));
    let ask = link.begin_ask(&RANKED, 1_004).expect("an ask");
    link.record_reply(&"first", 1, ask.sequence, 1_008);
    // Only leases are renewed, and without any there is nothing to ask.
    assert_that!(link.next_ask_ms(true), some(all!(gt(1_050), lt(1_200))));
    assert_that!(link.next_ask_ms(false), none());
}

/// Sends asks without reply until another host is asked. Returns when.
fn ask_in_vain(link: &mut SchedulerLink<&'static str>, mut now_ms: u64) -> (u64, &'static str) {
    let silent = link.scheduler().map(|(host, _)| *host);
    loop {
        let due_ms = link.next_ask_ms(true).expect("an ask is due");
        now_ms = now_ms.max(due_ms);
        let next = link.begin_ask(&RANKED, now_ms).expect("an ask");
        if Some(next.scheduler) != silent {
            return (now_ms, next.scheduler);
        }
    }
}

#[test]
fn link_asks_the_next_host_if_the_first_is_silent() {
    let mut link = SchedulerLink::default();
    link.begin_ask(&RANKED, 1_000);
    let (at_ms, second) = ask_in_vain(&mut link, 1_000);
    assert_that!(second, eq("second"));
    assert_that!(at_ms, le(1_100));
    assert_that!(link.is_lost(at_ms), eq(false));
    let (at_ms, third) = ask_in_vain(&mut link, at_ms);
    assert_that!(third, eq("third"));
    assert_that!(link.is_lost(at_ms + 50), eq(true));
    let sequence = link.sequence();
    link.record_reply(&"third", 1, sequence, at_ms + 50);
    assert_that!(link.is_lost(at_ms + 50), eq(false));
    // The first is asked again after a while.
    link.record_change();
    let ask = link.begin_ask(&RANKED, at_ms + 5_000).expect("an ask");
    assert_that!(ask.scheduler, eq("first"));
}

/// Plays replies that arrive a constant time after their asks. Returns how many schedulers
/// were asked.
fn schedulers_with_delay(delay_ms: u64) -> usize {
    let mut link = SchedulerLink::default();
    let mut replies = std::collections::VecDeque::new();
    let mut asked = std::collections::HashSet::new();
    for now_ms in 0..2_000 {
        link.record_change();
        while let Some((at_ms, from, sequence)) = replies.front().copied() {
            if at_ms > now_ms {
                break;
            }
            replies.pop_front();
            link.record_reply(&from, 1, sequence, now_ms);
        }
        if link
            .next_ask_ms(true)
            .is_some_and(|due_ms| due_ms <= now_ms)
        {
            let ask = link.begin_ask(&RANKED, now_ms).expect("an ask");
            asked.insert(ask.scheduler);
            replies.push_back((now_ms + delay_ms, ask.scheduler, ask.sequence));
        }
    }
    asked.len()
}

/// A scheduler that answers every ask late, but before three of them are due, is kept.
#[test]
fn link_keeps_a_scheduler_that_replies_late() {
    for delay_ms in [1, 29, 31, 59, 61, 70, 85] {
        assert_that!(schedulers_with_delay(delay_ms), eq(1), "{delay_ms} ms");
    }
}

/// The ask that frees the last slot of a host is lost: it is repeated, a few times.
#[test]
fn link_repeats_an_ask_that_frees_the_last_slot() {
    let mut link = SchedulerLink::default();
    link.record_change();
    let mut now_ms = 1_000;
    let mut asks = 0;
    while let Some(due_ms) = link.next_ask_ms(false) {
        now_ms = due_ms.max(now_ms);
        link.begin_ask(&RANKED, now_ms);
        asks += 1;
        assert_that!(asks, le(10));
    }
    assert_that!(asks, eq(3));
    assert_that!(now_ms, lt(1_100));
}

/// Replies of a former scheduler do not make the next one reachable.
#[test]
fn link_knows_no_reachable_scheduler_before_its_first_reply() {
    let mut link = SchedulerLink::default();
    let ask = link.begin_ask(&RANKED, 0).expect("an ask");
    link.record_reply(&"first", 1, ask.sequence, 2);
    assert_that!(link.reachable_scheduler(3), some(eq(&"first")));
    link.begin_ask(&RANKED[1..], 10);
    assert_that!(link.reachable_scheduler(11), none());
}

#[test]
fn link_ignores_replies_of_others_and_old_asks() {
    let mut link = SchedulerLink::default();
    let ask = link.begin_ask(&RANKED, 0).expect("an ask");
    let reply = |link: &mut SchedulerLink<_>, from, epoch, sequence, now_ms| {
        link.record_reply(&from, epoch, sequence, now_ms)
    };
    let outdated = ReplyUse::Outdated;
    assert_that!(reply(&mut link, "second", 9, ask.sequence, 5), eq(outdated));
    assert_that!(
        reply(&mut link, "first", 9, ask.sequence + 1, 5),
        eq(outdated)
    );
    assert_that!(
        reply(&mut link, "first", 9, ask.sequence, 400),
        eq(outdated)
    );
    assert_that!(reply(&mut link, "first", 8, ask.sequence, 5), eq(outdated));
    assert_that!(
        reply(&mut link, "first", 9, ask.sequence, 5),
        eq(ReplyUse::Current)
    );
}

#[test]
fn link_follows_a_bounded_number_of_redirects() {
    let mut link = SchedulerLink::default();
    let mut followed = 0;
    let mut now_ms = 0;
    for _ in 0..10 {
        link.record_change();
        let ask = link.begin_ask(&RANKED, now_ms).expect("an ask");
        let to = if ask.scheduler == "first" {
            "second"
        } else {
            "first"
        };
        followed += usize::from(link.record_redirect(&ask.scheduler, to, ask.sequence, now_ms));
        now_ms += 1;
    }
    assert_that!(followed, eq(2));
    // Redirected in circles, it ends up without a scheduler and says so.
    assert_that!(link.is_lost(now_ms + 300), eq(true));
}

proptest! {
    /// No sequence of replies makes a link use one that no ask of its own preceded.
    #[test]
    fn link_uses_only_replies_to_its_own_recent_asks(
        replies in prop::collection::vec((0_usize..3, any::<u64>(), 0_u64..40, 0_u64..400), 0..60),
    ) {
        let mut link = SchedulerLink::default();
        let mut now_ms = 0;
        let mut sent = std::collections::HashMap::new();
        for (from, epoch, sequence, step_ms) in replies {
            now_ms += step_ms;
            link.record_change();
            let ask = link.begin_ask(&RANKED, now_ms).expect("an ask");
            sent.insert(ask.sequence, (ask.scheduler, now_ms));
            let from = RANKED[from];
            if link.record_reply(&from, epoch, sequence, now_ms) == ReplyUse::Current {
                let (scheduler, sent_at_ms) = sent[&sequence];
                prop_assert_eq!(scheduler, from);
                prop_assert!(now_ms - sent_at_ms <= 250);
            }
        }
    }
}
