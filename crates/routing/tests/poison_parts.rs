//! Poison parts: which parts of prompts are blamed for the crashes of endpoints.

use std::sync::Arc;

use chalkrock_routing::{
    MAX_OBSERVED_PARTS, PartUpdate, PartUse, PoisonEvidence, PoisonRequest, PoisonVerdict,
    RequestFingerprint, RunId, RunStage, SURVIVAL_MS, Survival,
};
use googletest::prelude::*;

const POISON: u32 = 666;
const SOUND: u32 = 1;
/// Time between two crashes, unless a case says otherwise.
const STEP_MS: u64 = 300;
/// An answer that had just begun.
const RECENT: RunStage = RunStage::Answered { age_ms: 0 };
/// Size of the updates that a host takes at once.
const UPDATE_BYTES: usize = 1_100;

/// One host with a clock.
#[derive(Default)]
struct Host {
    evidence: PoisonEvidence,
    now_ms: u64,
    next_start: u32,
    next_request: u64,
}

impl Host {
    fn new() -> Self {
        Self {
            now_ms: 100_000,
            ..Self::default()
        }
    }

    fn request(&mut self) -> RequestFingerprint {
        self.next_request += 1;
        RequestFingerprint(self.next_request)
    }

    /// Begins an answer at the endpoint that crashes next.
    fn begin(&mut self, request: RequestFingerprint, parts: &[u32]) {
        let run = self.send(self.next_start, request, parts);
        self.evidence.record_run_head(run);
    }

    /// Sends a request to an endpoint.
    fn send(&mut self, start: u32, request: RequestFingerprint, parts: &[u32]) -> RunId {
        let run = { &mut self.evidence }.begin_run(start, request, Arc::from(parts));
        run.expect("a run")
    }

    /// Lets an answer go on for a time.
    fn answer_for(&mut self, run: RunId, time_ms: u64) -> Vec<PoisonVerdict> {
        self.evidence.record_run_head(run);
        self.now_ms += time_ms;
        self.evidence.record_run_age(run, time_ms, self.now_ms)
    }

    /// Begins an answer of a new request.
    fn begin_new(&mut self, parts: &[u32]) {
        let request = self.request();
        self.begin(request, parts);
    }

    /// Crashes the endpoint of the answers begun last, and waits.
    fn crash(&mut self) -> Vec<PoisonVerdict> {
        self.evidence
            .record_endpoint_crash(self.next_start, self.now_ms);
        self.next_start += 1;
        self.wait(STEP_MS)
    }

    /// Lets an answer of a new request on another endpoint go on.
    fn survive(&mut self, parts: &[u32]) -> Vec<PoisonVerdict> {
        const OTHER_START: u32 = u32::MAX;
        let request = self.request();
        let run = self.send(OTHER_START, request, parts);
        self.answer_for(run, SURVIVAL_MS)
    }

    fn wait(&mut self, time_ms: u64) -> Vec<PoisonVerdict> {
        self.now_ms += time_ms;
        self.evidence.review_parts(self.now_ms)
    }

    fn is_poison(&self, part: u32) -> bool {
        let request = RequestFingerprint::of_part(part);
        self.evidence.is_poison(request, self.now_ms)
    }

    /// Those of some parts that are poison.
    fn poison_among(&self, parts: &[u32]) -> Vec<u32> {
        let parts = parts.iter().copied();
        parts.filter(|part| self.is_poison(*part)).collect()
    }

    /// Takes what this host sends in one round.
    fn take_updates(&mut self) -> Vec<PartUpdate> {
        const DATAGRAMS: usize = 3;
        let evidence = &mut self.evidence;
        let datagrams = evidence.take_part_updates(DATAGRAMS, UPDATE_BYTES, self.now_ms);
        datagrams.into_iter().flatten().collect()
    }

    /// Sends what this host has to send to another one.
    fn send_to(&mut self, other: &mut Host, forwards: bool) -> Vec<PoisonVerdict> {
        let updates = self.take_updates();
        other.evidence.merge_parts(&updates, forwards, other.now_ms)
    }

    fn verdict_on(&self, part: u32) -> Vec<PoisonRequest> {
        let request = RequestFingerprint::of_part(part);
        vec![PoisonRequest {
            request,
            left_ms: 600_000,
        }]
    }
}

/// What ran at an endpoint that crashed.
#[derive(Clone, Copy)]
enum Ran {
    /// A new request for each list of parts.
    New(&'static [&'static [u32]]),
    /// The same request each time, with the poison part.
    Repeat,
    /// Nothing that had begun.
    Nothing,
}

struct Case {
    name: &'static str,
    /// Parts on which an answer went on before the first crash.
    sound: &'static [u32],
    crashes: &'static [Ran],
    /// Parts that are poison after the crashes.
    poison: &'static [u32],
}

const BESIDE: Ran = Ran::New(&[&[SOUND, POISON], &[SOUND, 2], &[SOUND, 3]]);
/// Requests of a fleet that just started, so that no answer has gone on.
const COLD: Ran = Ran::New(&[&[SOUND, POISON], &[SOUND], &[SOUND]]);
const ALONE: Ran = Ran::New(&[&[POISON]]);

#[test]
fn find_poison_table() {
    let cases = [
        Case {
            name: "two crashes are too few",
            sound: &[SOUND, 2, 3],
            crashes: &[BESIDE; 2],
            poison: &[],
        },
        Case {
            name: "three crashes under different requests",
            sound: &[SOUND, 2, 3],
            crashes: &[BESIDE; 3],
            poison: &[POISON],
        },
        Case {
            name: "repeats of one request",
            sound: &[],
            crashes: &[Ran::Repeat; 8],
            poison: &[],
        },
        Case {
            name: "repeats count half beside another request",
            sound: &[],
            crashes: &[Ran::Repeat, Ran::Repeat, Ran::Repeat, ALONE],
            poison: &[POISON],
        },
        Case {
            name: "a part that is always there and sound",
            sound: &[SOUND],
            crashes: &[Ran::New(&[&[SOUND]]); 7],
            poison: &[],
        },
        Case {
            name: "a part that turned bad",
            sound: &[POISON],
            crashes: &[ALONE; 8],
            poison: &[POISON],
        },
        Case {
            name: "a new part beside the poison part, once missing",
            sound: &[],
            crashes: &[
                Ran::New(&[&[4, POISON]]),
                Ran::New(&[&[4, POISON]]),
                ALONE,
                ALONE,
            ],
            poison: &[POISON],
        },
        Case {
            name: "a new part of all requests beside the poison part",
            sound: &[],
            crashes: &[COLD; 4],
            poison: &[POISON],
        },
        Case {
            name: "a new part of all requests, and a crash without the poison part",
            sound: &[],
            crashes: &[Ran::New(&[&[SOUND], &[SOUND]]), COLD, COLD, COLD, COLD],
            poison: &[POISON],
        },
        Case {
            name: "parts that can't be told apart yet",
            sound: &[],
            crashes: &[Ran::New(&[&[4, POISON]]); 4],
            poison: &[],
        },
        Case {
            name: "two poison parts in turn",
            sound: &[SOUND],
            crashes: &[
                ALONE,
                Ran::New(&[&[SOUND, 667]]),
                ALONE,
                Ran::New(&[&[SOUND, 667]]),
                ALONE,
                Ran::New(&[&[SOUND, 667]]),
                ALONE,
                Ran::New(&[&[SOUND, 667]]),
            ],
            poison: &[POISON, 667],
        },
        Case {
            name: "a part at a quarter of many crashes",
            sound: &[],
            crashes: &[
                Ran::New(&[&[5]]),
                Ran::Nothing,
                Ran::Nothing,
                Ran::Nothing,
                Ran::New(&[&[5]]),
                Ran::Nothing,
                Ran::Nothing,
                Ran::Nothing,
                Ran::New(&[&[5]]),
                Ran::Nothing,
                Ran::Nothing,
                Ran::Nothing,
            ],
            poison: &[],
        },
    ];
    for case in cases {
        let mut host = Host::new();
        if !case.sound.is_empty() {
            host.survive(case.sound);
            host.wait(1);
        }
        let repeated = host.request();
        for ran in case.crashes {
            match ran {
                Ran::New(requests) => requests.iter().for_each(|parts| host.begin_new(parts)),
                Ran::Repeat => host.begin(repeated, &[POISON]),
                Ran::Nothing => {}
            }
            host.crash();
        }
        host.wait(1_000);
        let found = host.poison_among(&[SOUND, 2, 3, 4, 5, POISON, 667]);
        assert_that!(found, eq(case.poison), "{}", case.name);
    }
}

/// Endpoints that crash at the same moment must not accuse what ran on all of them.
#[test]
fn find_poison_waits_for_answers_that_go_on() {
    let mut host = Host::new();
    let mut other = Host::new();
    other.survive(&[SOUND]);
    other.now_ms = host.now_ms;
    for _ in 0..5 {
        host.begin_new(&[SOUND]);
        host.evidence
            .record_endpoint_crash(host.next_start, host.now_ms);
        host.next_start += 1;
    }
    assert_that!(host.wait(200), is_empty());
    host.send_to(&mut other, false);
    other.send_to(&mut host, false);
    assert_that!(host.wait(2_000), is_empty());
}

/// Hosts that see two crashes each must find the part together.
#[test]
fn merge_parts_counts_over_hosts() {
    let mut hosts = [Host::new(), Host::new()];
    hosts[1].next_start = 100;
    hosts[1].next_request = 100;
    for host in &mut hosts {
        for _ in 0..2 {
            host.begin_new(&[POISON]);
            assert_that!(host.crash(), is_empty());
        }
        host.wait(500);
    }
    let [first, second] = &mut hosts;
    first.send_to(second, false);
    second.wait(1_000);
    assert_that!(second.is_poison(POISON), eq(true));
    assert_that!(first.is_poison(POISON), eq(false));
}

/// One crash that two hosts report must count once.
#[test]
fn merge_parts_counts_a_crash_once() {
    let mut host = Host::new();
    for start in [1, 1, 2, 2] {
        let used = PartUse {
            part: POISON,
            request: host.next_request as u32,
            stage: RECENT,
        };
        host.next_request += 1;
        let uses = vec![used];
        let update = PartUpdate::Crashed { start, uses };
        host.evidence.merge_parts(&[update], false, host.now_ms);
        host.wait(STEP_MS);
    }
    let request = RequestFingerprint::of_part(POISON);
    assert_that!(host.evidence.crashes(request), eq(2));
    assert_that!(host.is_poison(POISON), eq(false));
}

/// A host that sees no broken answer must still report what it had at the endpoint.
#[test]
fn merge_parts_adds_the_own_answers_at_a_crash() {
    let mut host = Host::new();
    host.begin_new(&[POISON]);
    let update = PartUpdate::Crashed {
        start: host.next_start,
        uses: Vec::new(),
    };
    host.evidence.merge_parts(&[update], false, host.now_ms);
    let updates = host.take_updates();
    let used = PartUse {
        part: POISON,
        request: 1,
        stage: RECENT,
    };
    let expected = PartUpdate::Crashed {
        start: host.next_start,
        uses: vec![used],
    };
    assert_that!(updates, elements_are![eq(&expected)]);
}

/// A relay must pass on what it learns, and only once.
#[test]
fn merge_parts_forwards_new_uses() {
    let mut relay = Host::new();
    let used = PartUse {
        part: POISON,
        request: 9,
        stage: RECENT,
    };
    let update = PartUpdate::Crashed {
        start: 7,
        uses: vec![used],
    };
    let updates = [update.clone()];
    relay.evidence.merge_parts(&updates, true, relay.now_ms);
    relay.evidence.merge_parts(&updates, true, relay.now_ms);
    let sent = relay.take_updates();
    assert_that!(sent, elements_are![eq(&update)]);
}

/// Makes a part poison at a host.
fn poison_host() -> Host {
    let mut host = Host::new();
    for _ in 0..4 {
        host.begin_new(&[POISON]);
        host.crash();
    }
    assert_that!(host.is_poison(POISON), eq(true));
    host
}

/// A part that was blamed by mistake must not be refused once an answer on it goes on.
#[test]
fn record_survival_clears_a_poison_part() {
    let mut host = poison_host();
    let request = RequestFingerprint::of_part(POISON);
    let records = true;
    let cleared = PoisonVerdict::Cleared { request, records };
    assert_that!(host.survive(&[POISON]), elements_are![eq(&cleared)]);
    assert_that!(host.is_poison(POISON), eq(false));
}

/// A host that has not learned that a part is sound must not have it refused elsewhere again.
#[test]
fn merge_poison_ignores_a_verdict_on_a_cleared_part() {
    let mut host = poison_host();
    let mut outdated = poison_host();
    host.survive(&[POISON]);
    let verdict = outdated.verdict_on(POISON);
    let now_ms = host.now_ms;
    assert_that!(host.evidence.merge_poison(&verdict, now_ms), is_empty());
    assert_that!(host.is_poison(POISON), eq(false));
    outdated.now_ms = host.now_ms;
    host.send_to(&mut outdated, false);
    assert_that!(outdated.is_poison(POISON), eq(false));
}

/// Answers that were in use at crashes of a poison part must not be refused for them.
#[test]
fn review_parts_discounts_explained_crashes() {
    const BYSTANDER: RequestFingerprint = RequestFingerprint(77);
    let mut host = Host::new();
    for _ in 0..3 {
        host.begin_new(&[POISON]);
        let (start, now_ms) = (host.next_start, host.now_ms);
        host.evidence.record_crash(BYSTANDER, start, 40, now_ms);
        host.crash();
    }
    assert_that!(host.is_poison(POISON), eq(true));
    assert_that!(host.evidence.is_poison(BYSTANDER, host.now_ms), eq(false));
    // A host that has not found the part yet.
    let verdict = [PoisonRequest {
        request: BYSTANDER,
        left_ms: 600_000,
    }];
    assert_that!(
        host.evidence.merge_poison(&verdict, host.now_ms),
        is_empty()
    );
    // A late report of the same crash.
    let now_ms = host.now_ms;
    host.evidence.record_crash(BYSTANDER, 0, 40, now_ms);
    assert_that!(host.evidence.crashes(BYSTANDER), eq(0));
}

/// Crashes of a deadly request must count although a poison part explains others.
#[test]
fn review_parts_keeps_crashes_without_the_part() {
    const DEADLY: RequestFingerprint = RequestFingerprint(78);
    let mut host = poison_host();
    for start in [1_000, 1_001, 1_002] {
        let now_ms = host.now_ms;
        host.evidence.record_crash(DEADLY, start, 40, now_ms);
        host.evidence.record_endpoint_crash(start, now_ms);
        host.wait(STEP_MS);
    }
    assert_that!(host.evidence.is_poison(DEADLY, host.now_ms), eq(true));
}

/// Answers from before a suspension must neither accuse nor clear.
#[test]
fn forget_runs_drops_answers() {
    let mut host = Host::new();
    for _ in 0..4 {
        host.begin_new(&[POISON]);
        host.evidence.forget_runs();
        host.crash();
    }
    assert_that!(host.is_poison(POISON), eq(false));
}

/// A complete answer must not clear a part if its endpoint crashes right after it.
#[test]
fn end_run_counts_a_crash_after_a_complete_answer() {
    let mut host = Host::new();
    for _ in 0..3 {
        let request = host.request();
        let (start, now_ms) = (host.next_start, host.now_ms);
        let run = host.send(start, request, &[POISON]);
        host.evidence.record_run_head(run);
        host.evidence.end_run(run, true, now_ms);
        host.crash();
    }
    assert_that!(host.is_poison(POISON), eq(true));
}

/// Invented parts must not hide the part that is in use at all crashes.
#[test]
fn record_endpoint_crash_reports_parts_of_other_crashes_first() {
    const FLOOD: u32 = 40;
    let mut host = Host::new();
    for crash in 0..4 {
        for request in 0..FLOOD {
            let first = 10_000 + (crash * FLOOD + request) * MAX_OBSERVED_PARTS as u32;
            let parts: Vec<u32> = (first..first + MAX_OBSERVED_PARTS as u32).collect();
            host.begin_new(&parts);
        }
        host.begin_new(&[POISON]);
        host.crash();
    }
    assert_that!(host.is_poison(POISON), eq(true));
    let updates = host.take_updates();
    let sizes = updates.iter().map(|update| match update {
        PartUpdate::Crashed { uses, .. } => uses.len(),
        PartUpdate::Survived { .. } => 0,
    });
    assert_that!(sizes.max(), some(le(64)));
}

/// Updates must be sent in several rounds, not several times in one that may be lost.
#[test]
fn take_part_updates_returns_each_once_a_round() {
    const SENDS: usize = 3;
    let mut host = Host::new();
    host.begin_new(&[POISON]);
    host.crash();
    for _ in 0..SENDS {
        assert_that!(host.take_updates().len(), eq(1));
    }
    assert_that!(host.take_updates(), is_empty());
}

/// Hosts of a large fleet must not all report the same hot part after a crash.
#[test]
fn merge_parts_cancels_a_report_that_another_host_sent() {
    let mut host = Host::new();
    host.survive(&[SOUND]);
    let used = PartUse {
        part: SOUND,
        request: 9,
        stage: RECENT,
    };
    let uses = vec![used];
    let crashed = [PartUpdate::Crashed { start: 7, uses }];
    let ago_ms = 100;
    let survived = PartUpdate::Survived {
        part: SOUND,
        survival: Survival::SHORTEST,
        ago_ms,
    };
    let now_ms = host.now_ms;
    host.evidence.merge_parts(&crashed, false, now_ms);
    let is_report = |update: &PartUpdate| matches!(update, PartUpdate::Survived { .. });
    assert_that!(host.take_updates().iter().any(is_report), eq(true));
    host.evidence.merge_parts(&[survived], false, now_ms);
    host.evidence.merge_parts(&crashed, false, now_ms);
    assert_that!(host.take_updates().iter().any(is_report), eq(false));
}

/// The loss of many endpoints at once must not have a part of most requests refused.
#[test]
fn find_poison_blames_no_part_that_went_on_just_before() {
    const ENDPOINTS: usize = 12;
    let mut host = Host::new();
    host.survive(&[SOUND]);
    host.wait(1);
    for _ in 0..ENDPOINTS {
        host.begin_new(&[SOUND]);
        host.evidence
            .record_endpoint_crash(host.next_start, host.now_ms);
        host.next_start += 1;
    }
    assert_that!(host.wait(800), is_empty());
    host.survive(&[SOUND]);
    assert_that!(host.wait(1_500), is_empty());
}

/// Endpoints that are lost together must not have a part refused that is new.
#[test]
fn find_poison_blames_no_part_for_endpoints_lost_together() {
    const ENDPOINTS: usize = 11;
    let mut host = Host::new();
    for _ in 0..ENDPOINTS {
        host.begin_new(&[SOUND]);
        host.evidence
            .record_endpoint_crash(host.next_start, host.now_ms);
        host.next_start += 1;
        host.now_ms += 30;
    }
    assert_that!(host.wait(2_500), is_empty());
}

/// How far the requests of a case had come when their endpoint crashed.
#[derive(Clone, Copy)]
enum At {
    /// The head of the answer had not arrived.
    Unanswered,
    /// The answer had gone on for this long, in milliseconds.
    Answered(u64),
}

/// A request at each of several crashes.
struct Present {
    at: At,
    parts: &'static [u32],
    /// It is at one of as many crashes.
    every: u32,
}

const fn always(at: At, parts: &'static [u32]) -> Present {
    Present {
        at,
        parts,
        every: 1,
    }
}

/// Requests whose answer has not begun must be told from sound ones beside them.
#[test]
fn find_poison_by_presence_table() {
    struct Case {
        name: &'static str,
        /// Parts on which an answer went on before the first crash.
        sound: &'static [u32],
        present: &'static [Present],
        crashes: u32,
        poison: &'static [u32],
    }
    const BEGUN_SOUND: Present = always(At::Answered(100), &[SOUND]);
    const WAITING_POISON: Present = always(At::Unanswered, &[SOUND, POISON]);
    const WAITING_POISON_ALONE: Present = always(At::Unanswered, &[POISON]);
    const LATE_POISON: Present = always(At::Answered(700), &[POISON]);
    const WAITING_SOUND: Present = always(At::Unanswered, &[SOUND]);
    let cases = [
        Case {
            name: "five crashes before the head are too few",
            sound: &[SOUND],
            present: &[BEGUN_SOUND, WAITING_POISON],
            crashes: 5,
            poison: &[],
        },
        Case {
            name: "six crashes before the head",
            sound: &[SOUND],
            present: &[BEGUN_SOUND, WAITING_POISON],
            crashes: 6,
            poison: &[POISON],
        },
        Case {
            name: "answers on a new sound part that all had begun, beside a poison part",
            sound: &[],
            present: &[BEGUN_SOUND, BEGUN_SOUND, BEGUN_SOUND, WAITING_POISON_ALONE],
            crashes: 6,
            poison: &[POISON],
        },
        Case {
            name: "a new part that waits at every other crash, beside a poison part",
            sound: &[SOUND],
            present: &[
                Present {
                    at: At::Unanswered,
                    parts: &[2],
                    every: 2,
                },
                WAITING_POISON,
            ],
            crashes: 10,
            poison: &[POISON],
        },
        Case {
            name: "a new part that waits at half of the crashes without a cause",
            sound: &[],
            present: &[Present {
                at: At::Unanswered,
                parts: &[2],
                every: 2,
            }],
            crashes: 10,
            poison: &[],
        },
        Case {
            name: "answers that go on for long before the crash",
            sound: &[SOUND],
            present: &[BEGUN_SOUND, LATE_POISON],
            crashes: 6,
            poison: &[POISON],
        },
        Case {
            name: "a part that waits and on which answers went on just before",
            sound: &[SOUND],
            present: &[WAITING_SOUND],
            crashes: 9,
            poison: &[],
        },
        Case {
            name: "a part that turned bad beside answers that had begun",
            sound: &[SOUND, POISON],
            present: &[BEGUN_SOUND, BEGUN_SOUND, WAITING_POISON],
            crashes: 10,
            poison: &[POISON],
        },
    ];
    for case in cases {
        let mut host = Host::new();
        if !case.sound.is_empty() {
            host.survive(case.sound);
            host.wait(1);
        }
        for crash in 0..case.crashes {
            for present in case.present {
                if crash % present.every != 0 {
                    continue;
                }
                let request = host.request();
                let run = host.send(host.next_start, request, present.parts);
                if let At::Answered(age_ms) = present.at {
                    host.evidence.record_run_head(run);
                    let now_ms = host.now_ms;
                    host.evidence.record_run_age(run, age_ms, now_ms);
                }
            }
            host.crash();
        }
        host.wait(1_000);
        let found = host.poison_among(&[SOUND, 2, POISON]);
        assert_that!(found, eq(case.poison), "{}", case.name);
    }
}

/// Answers that go on for less time than those at the crashes must not clear their part.
#[test]
fn record_run_age_clears_only_beyond_the_crashes_table() {
    // Time before the crashes, time of another answer, whether that clears the part.
    let cases = [
        (0, 500, true),
        (499, 500, true),
        (700, 500, false),
        (700, 1_000, false),
        (700, 2_000, true),
        (2_500, 4_000, false),
        (2_500, 8_000, true),
        (9_000, 20_000, false),
    ];
    for (crash_age_ms, age_ms, clears) in cases {
        let mut host = Host::new();
        for _ in 0..6 {
            let request = host.request();
            let run = host.send(host.next_start, request, &[POISON]);
            host.answer_for(run, crash_age_ms);
            host.crash();
        }
        host.wait(600);
        let seen = format!("{crash_age_ms} ms, {age_ms} ms");
        assert_that!(host.is_poison(POISON), eq(true), "{seen}");
        let request = host.request();
        let run = host.send(u32::MAX, request, &[POISON]);
        host.answer_for(run, age_ms);
        assert_that!(host.is_poison(POISON), eq(!clears), "{seen}");
    }
}

/// A time without news of an endpoint must not pass for proof that it lives.
#[test]
fn review_parts_counts_an_answer_once_its_endpoint_is_known_to_live() {
    let mut host = poison_host();
    let start = host.next_start;
    let request = host.request();
    let run = host.send(start, request, &[POISON]);
    host.evidence.record_run_head(run);
    let ended_at_ms = host.now_ms;
    host.evidence.end_run(run, true, ended_at_ms);
    host.wait(5_000);
    assert_that!(host.is_poison(POISON), eq(true));
    host.evidence.record_alive(start, ended_at_ms + 400);
    host.wait(1);
    assert_that!(host.is_poison(POISON), eq(true));
    host.evidence.record_alive(start, ended_at_ms + 500);
    host.wait(1);
    assert_that!(host.is_poison(POISON), eq(false));
}

/// A connection to a later process at the same address must not prove that the former one lives.
#[test]
fn record_alive_since_proves_only_answers_of_that_time() {
    // Time from the end of the answer to the opening of the connection, whether that clears.
    for (opened_after_ms, clears) in [(0, true), (5, false), (900, false)] {
        let mut host = poison_host();
        let start = host.next_start;
        let request = host.request();
        let run = host.send(start, request, &[POISON]);
        host.evidence.record_run_head(run);
        let ended_at_ms = host.now_ms;
        host.evidence.end_run(run, true, ended_at_ms);
        host.wait(1_000);
        let (since_ms, now_ms) = (ended_at_ms + opened_after_ms, host.now_ms);
        host.evidence.record_alive_since(start, since_ms, now_ms);
        host.wait(1);
        assert_that!(host.is_poison(POISON), eq(!clears), "{opened_after_ms}");
    }
}

/// Crashes that are minutes apart must be counted together.
#[test]
fn find_poison_counts_crashes_that_are_far_apart() {
    let mut host = Host::new();
    for _ in 0..3 {
        host.begin_new(&[POISON]);
        host.crash();
        host.wait(70_000);
    }
    assert_that!(host.is_poison(POISON), eq(true));
}

/// A sound part must not be blamed for crashes before an answer on it went on.
#[test]
fn record_survival_discharges_earlier_crashes_for_good() {
    let mut host = Host::new();
    for _ in 0..6 {
        host.begin_new(&[SOUND]);
        host.crash();
        host.survive(&[SOUND]);
        host.wait(70_000);
    }
    assert_that!(host.is_poison(SOUND), eq(false));
}

/// Requests that an endpoint refused to run must not be blamed for its crash.
#[test]
fn withdraw_run_accuses_nothing() {
    let mut host = Host::new();
    for _ in 0..8 {
        let request = host.request();
        let run = host.send(host.next_start, request, &[POISON]);
        host.evidence.withdraw_run(run);
        host.crash();
    }
    host.wait(1_000);
    assert_that!(host.is_poison(POISON), eq(false));
}

/// Endpoints that are lost together in two racks must not blame a part that waited at most.
#[test]
fn find_poison_by_presence_blames_no_part_of_two_racks() {
    const ENDPOINTS: u32 = 8;
    let mut host = Host::new();
    host.survive(&[SOUND]);
    host.wait(1);
    for _ in 0..2 {
        for _ in 0..ENDPOINTS {
            let request = host.request();
            host.send(host.next_start, request, &[SOUND]);
            let (start, now_ms) = (host.next_start, host.now_ms);
            host.evidence.record_endpoint_crash(start, now_ms);
            host.next_start += 1;
            host.now_ms += 20;
        }
        assert_that!(host.wait(700), is_empty());
        host.survive(&[SOUND]);
        assert_that!(host.wait(1_500), is_empty());
    }
    assert_that!(host.wait(2_500), is_empty());
}

/// A bystander of three crashes must not be refused before a part that was there is judged, and
/// a request under which endpoints crash by itself must be.
#[test]
fn record_crash_waits_for_the_verdict_on_a_part_table() {
    struct Case {
        name: &'static str,
        /// Parts of another request at each crash.
        beside: &'static [u32],
        sound: &'static [u32],
        is_refused: bool,
    }
    const BYSTANDER: RequestFingerprint = RequestFingerprint(77);
    let cases = [
        Case {
            name: "a part that is not judged yet",
            beside: &[POISON],
            sound: &[],
            is_refused: false,
        },
        Case {
            name: "a part on which answers go on",
            beside: &[SOUND],
            sound: &[SOUND],
            is_refused: true,
        },
        Case {
            name: "no part",
            beside: &[],
            sound: &[],
            is_refused: true,
        },
    ];
    for case in cases {
        let mut host = Host::new();
        if !case.sound.is_empty() {
            host.survive(case.sound);
            host.wait(1);
        }
        for _ in 0..3 {
            let request = host.request();
            host.send(host.next_start, request, case.beside);
            let (start, now_ms) = (host.next_start, host.now_ms);
            host.evidence.record_endpoint_crash(start, now_ms);
            host.evidence.record_crash(BYSTANDER, start, 40, now_ms);
            host.crash();
        }
        let is_refused = host.evidence.is_poison(BYSTANDER, host.now_ms);
        assert_that!(is_refused, eq(case.is_refused), "{}", case.name);
        host.wait(3_000);
        let is_refused = host.evidence.is_poison(BYSTANDER, host.now_ms);
        assert_that!(is_refused, eq(true), "{}: not judged in time", case.name);
    }
}
