//! Rollouts of a new build to a pool, with several hosts.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, SuspendableGateway, TestGateway, TestSource, rules,
    until,
};
use chalkrock_core::Endpoint;
use chalkrock_routing::{RolloutReason, RolloutStage, RulesDocument};
use googletest::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Deadline in the rollout order.
const DEADLINE_MS: u64 = 5_000;
const OLD: &str = "v1";
const NEW: &str = "v2";
/// Time between two requests to one host: 200 a second in total.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Hosts and endpoints of two builds.
struct RolloutFleet {
    source: TestSource,
    hosts: Vec<TestGateway>,
    old: Vec<ScriptedEndpoint>,
    new: Vec<ScriptedEndpoint>,
    /// Requests that the load has sent.
    sent: Arc<AtomicUsize>,
}

/// Returns an endpoint's list entry with its build.
fn entry(endpoint: &ScriptedEndpoint, build: &str) -> Endpoint {
    Endpoint {
        build: build.into(),
        ..endpoint.endpoint.clone()
    }
}

async fn endpoints(build: &str, count: usize, behaviour: Behaviour) -> Vec<ScriptedEndpoint> {
    endpoints_of("pool", build, count, behaviour).await
}

async fn endpoints_of(
    pool: &str,
    build: &str,
    count: usize,
    behaviour: Behaviour,
) -> Vec<ScriptedEndpoint> {
    let mut started = Vec::new();
    for i in 0..count {
        let name = format!("{pool}-{build}-{i}");
        let script = Script::default();
        started.push(ScriptedEndpoint::start(&name, pool, behaviour.clone(), script).await);
    }
    started
}

fn arrivals(endpoints: &[ScriptedEndpoint]) -> usize {
    endpoints.iter().map(ScriptedEndpoint::arrivals).sum()
}

impl RolloutFleet {
    /// Starts three hosts and four endpoints of the old build.
    async fn start() -> Self {
        const HOSTS: usize = 3;
        let mut fleet = Self::without_hosts(rules(1)).await;
        fleet.add_hosts(HOSTS).await;
        fleet
    }

    /// Starts four endpoints of the old build.
    async fn without_hosts(rules: RulesDocument) -> Self {
        const ENDPOINTS: usize = 4;
        let source = TestSource::default();
        source.set_rules(rules);
        let old = endpoints(OLD, ENDPOINTS, Behaviour::AnswerAfter(20)).await;
        for endpoint in &old {
            source.list(entry(endpoint, OLD));
        }
        Self {
            source,
            hosts: Vec::new(),
            old,
            new: Vec::new(),
            sent: Arc::default(),
        }
    }

    async fn add_hosts(&mut self, count: usize) {
        for i in 0..count {
            let seeds = self.hosts.iter().map(TestGateway::peer_address).collect();
            let handle = self.source.another_handle();
            let host = TestGateway::start(handle, &format!("host-{i}"), seeds).await;
            host.ready().await;
            serve_one(&host).await;
            self.hosts.push(host);
        }
        // Until all hosts count the requests of the fleet.
        tokio::time::sleep(Duration::from_millis(2_200)).await;
    }

    /// Adds a host that can be stopped at any moment, and waits until the others hear it.
    async fn add_suspendable_host(&self) -> SuspendableGateway {
        let seeds = self.hosts.iter().map(TestGateway::peer_address).collect();
        let handle = self.source.another_handle();
        let host = SuspendableGateway::with_source(handle, "host-suspendable", seeds).await;
        host.gateway.ready().await;
        serve_one(&host.gateway).await;
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        host
    }

    /// Orders the rollout and starts endpoints of the new build.
    async fn order(&mut self, behaviour: Behaviour) {
        self.order_within(behaviour, DEADLINE_MS).await;
    }

    async fn order_within(&mut self, behaviour: Behaviour, within_ms: u64) {
        self.source.order_rollout(NEW, within_ms);
        self.new = endpoints(NEW, self.old.len(), behaviour).await;
        for endpoint in &self.new {
            self.source.list(entry(endpoint, NEW));
        }
    }

    /// Sends requests to all hosts until the tasks are aborted.
    fn load(&self) -> Vec<JoinHandle<()>> {
        self.load_of("/safe/")
    }

    fn load_of(&self, path: &'static str) -> Vec<JoinHandle<()>> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .map(|(i, host)| {
                let address = host.running.front_address();
                let sent = self.sent.clone();
                tokio::spawn(async move {
                    for number in 0.. {
                        let call = Call::get(path).id(&format!("r-{i}-{number}"));
                        sent.fetch_add(1, Ordering::Relaxed);
                        tokio::spawn(async move { call.exchange(address).await });
                        tokio::time::sleep(REQUEST_INTERVAL).await;
                    }
                })
            })
            .collect()
    }

    async fn until_stage(&self, stage: RolloutStage) {
        until(async || self.source.stages().last() == Some(&stage)).await;
    }

    /// Returns whether the last stage that was written is final.
    fn is_over(&self) -> bool {
        let stages = self.source.stages();
        stages.last().is_some_and(|stage| stage.is_final())
    }

    fn new_arrivals(&self) -> usize {
        arrivals(&self.new)
    }

    fn old_arrivals(&self) -> usize {
        arrivals(&self.old)
    }

    /// Returns how many requests reach the old and the new build in 400 ms, or in the time
    /// in which an overloaded machine sends more than 20. Nearly all that are sent arrive.
    async fn arrivals_in_window(&self) -> (usize, usize) {
        const MIN_SENT: usize = 20;
        let before = (self.old_arrivals(), self.new_arrivals());
        let sent_before = self.sent.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(400)).await;
        let sent = || self.sent.load(Ordering::Relaxed) - sent_before;
        until(async || sent() > MIN_SENT).await;
        let sent = sent();
        // The last ones are on their way.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let old = self.old_arrivals() - before.0;
        let new = self.new_arrivals() - before.1;
        assert_that!(old + new, ge(sent * 9 / 10), "of {sent} requests sent");
        (old, new)
    }
}

/// Sends a request: any host may write the plan, which needs the duration of one.
async fn serve_one(host: &TestGateway) {
    let answer = host.call(Call::get("/safe/").id("first")).await;
    assert_that!(answer.status, eq(200));
}

fn stop_load(load: Vec<JoinHandle<()>>) {
    load.into_iter().for_each(|task| task.abort());
}

/// Guards against a good build that is done late, or gets more than the bound before.
#[tokio::test]
async fn rollout_of_a_good_build_is_done_in_time() {
    // A tenth of the requests until the deadline covers the canary and the last second.
    const WITHIN_MS: u64 = 20_000;
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    let ordered_at = Instant::now();
    fleet
        .order_within(Behaviour::AnswerAfter(20), WITHIN_MS)
        .await;
    fleet.until_stage(RolloutStage::Moving).await;
    let canary_arrivals = fleet.new_arrivals();
    let total = canary_arrivals + fleet.old_arrivals();
    assert_that!(
        canary_arrivals,
        le(total / 10),
        "of {total} before all moved"
    );
    fleet.until_stage(RolloutStage::Done).await;
    assert_that!(ordered_at.elapsed(), le(Duration::from_millis(WITHIN_MS)));
    let total = fleet.new_arrivals() + fleet.old_arrivals();
    assert_that!(
        fleet.new_arrivals(),
        le(total / 10),
        "of {total} at the end"
    );
    let (old, new) = fleet.arrivals_in_window().await;
    assert_that!(old, eq(0), "the old build receives nothing once it is done");
    assert_that!(new, gt(20));
    let stages = [
        RolloutStage::Canary,
        RolloutStage::Moving,
        RolloutStage::Done,
    ];
    assert_that!(fleet.source.stages(), eq(&stages));
    stop_load(load);
}

/// A host that stalls sees the answers of that moment late, whoever sent them. The few answers
/// of a good build must not get it rolled back as slow.
#[tokio::test]
async fn rollout_is_not_rolled_back_as_bad_by_stalls_of_its_hosts() {
    const STALLS: usize = 4;
    const STALL: Duration = Duration::from_millis(150);
    let mut fleet = RolloutFleet::start().await;
    let addresses: Vec<_> = fleet
        .hosts
        .iter()
        .map(|host| host.running.front_address())
        .collect();
    // One request at a time, so that only answers of the new build are late.
    let load = tokio::spawn(async move {
        for (number, address) in addresses.iter().cycle().enumerate() {
            let call = Call::get("/safe/").id(&format!("r-{number}"));
            call.exchange(*address).await;
        }
    });
    fleet.order(Behaviour::AnswerAfter(20)).await;
    for stalls in 0..STALLS {
        until(async || fleet.new_arrivals() > stalls || fleet.is_over()).await;
        // Blocks the hosts while an endpoint of the new build is about to answer.
        std::thread::sleep(STALL);
    }
    until(async || fleet.is_over()).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(not(eq(RolloutReason::Bad))));
    load.abort();
}

/// A build that fails or is slow must receive few requests.
#[tokio::test]
async fn rollout_of_a_bad_build_is_rolled_back_after_few_requests() {
    for bad in [
        Behaviour::Fail,
        Behaviour::Reset,
        Behaviour::AnswerAfter(300),
    ] {
        let mut fleet = RolloutFleet::start().await;
        let load = fleet.load();
        fleet.order(bad.clone()).await;
        fleet.until_stage(RolloutStage::RolledBack).await;
        let record = fleet.source.rollout();
        assert_that!(
            record.map(|record| record.reason),
            some(eq(RolloutReason::Bad)),
            "{bad:?}"
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
        let total = fleet.new_arrivals() + fleet.old_arrivals();
        assert_that!(fleet.new_arrivals(), le(total / 10), "{bad:?}: of {total}");
        let (old, new) = fleet.arrivals_in_window().await;
        assert_that!(new, eq(0), "{bad:?}");
        assert_that!(old, gt(20), "{bad:?}");
        stop_load(load);
    }
}

/// A build may also become bad after the traffic has moved to it.
#[tokio::test]
async fn rollout_of_a_build_that_turns_bad_late_is_rolled_back() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Moving).await;
    let moved_at = Instant::now();
    for endpoint in &fleet.new {
        endpoint.set_behaviour(Behaviour::Fail);
    }
    fleet.until_stage(RolloutStage::RolledBack).await;
    assert_that!(moved_at.elapsed(), le(Duration::from_millis(1_500)));
    stop_load(load);
}

/// A rollout must not be done while requests run at old endpoints, which may be stopped
/// from then on.
#[tokio::test]
async fn rollout_waits_for_requests_that_run_at_old_endpoints() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    for endpoint in &fleet.old {
        endpoint.set_behaviour(Behaviour::AnswerAfter(20));
    }
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    // A long request runs at one of the old endpoints.
    fleet
        .old
        .iter()
        .for_each(|endpoint| endpoint.set_behaviour(Behaviour::AnswerAfter(7_000)));
    let address = fleet.hosts[0].running.front_address();
    let long =
        tokio::spawn(async move { Call::get("/patient/").id("long").exchange(address).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet
        .old
        .iter()
        .for_each(|endpoint| endpoint.set_behaviour(Behaviour::AnswerAfter(20)));
    fleet.until_stage(RolloutStage::Done).await;
    assert_that!(
        long.is_finished(),
        eq(true),
        "done while a request ran at an old endpoint"
    );
    assert_that!(long.await.expect("an answer").status, eq(200));
    stop_load(load);
}

/// Old endpoints that are idle may still receive requests of a route that has not moved.
#[tokio::test]
async fn rollout_is_not_done_before_its_last_route_has_moved() {
    const LONG_MS: u64 = 2_000;
    let mut fleet = RolloutFleet::start().await;
    // The route with long requests moves early, the other one late.
    let set_behaviour = |fleet: &RolloutFleet, ms| {
        let endpoints = fleet.old.iter();
        endpoints.for_each(|endpoint| endpoint.set_behaviour(Behaviour::AnswerAfter(ms)));
    };
    set_behaviour(&fleet, LONG_MS);
    let long = Call::get("/patient/").id("long");
    fleet.hosts[0].call(long).await;
    set_behaviour(&fleet, 20);
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Moving).await;
    let moving = fleet.source.rollout().expect("a record");
    stop_load(load);
    fleet.until_stage(RolloutStage::Done).await;
    let done = fleet.source.rollout().expect("a record");
    let last_ms = moving.moves_ms.values().max().copied().expect("routes");
    assert_that!(
        moving.age_ms,
        lt(last_ms),
        "a route moves later than the first"
    );
    assert_that!(done.age_ms, ge(last_ms));
}

/// Any of the hosts may be the writer, so each is isolated in turn.
#[tokio::test]
async fn rollout_continues_when_any_host_is_isolated() {
    for isolated in 0..3 {
        let mut fleet = RolloutFleet::start().await;
        let load = fleet.load();
        fleet.order(Behaviour::AnswerAfter(20)).await;
        fleet.until_stage(RolloutStage::Canary).await;
        fleet.hosts[isolated].source.isolate();
        fleet.until_stage(RolloutStage::Done).await;
        let (old, _) = fleet.arrivals_in_window().await;
        assert_that!(old, eq(0), "host {isolated} learns from its peers");
        stop_load(load);
    }
}

#[tokio::test]
async fn rollout_continues_after_a_store_outage() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::Fail).await;
    fleet.until_stage(RolloutStage::Canary).await;
    fleet.source.set_unavailable(true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.source.set_unavailable(false);
    fleet.until_stage(RolloutStage::RolledBack).await;
    stop_load(load);
}

/// A host that restarts must go by the stored record and not begin the rollout again.
#[tokio::test]
async fn rollout_is_resumed_by_restarted_hosts() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::Fail).await;
    fleet.until_stage(RolloutStage::RolledBack).await;
    stop_load(load);
    let written = fleet.source.stages().len();
    let source = fleet.source.another_handle();
    let restarted = TestGateway::start(source, "host-anew", Vec::new()).await;
    restarted.ready().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = fleet.new_arrivals();
    for i in 0..40 {
        let answer = restarted
            .call(Call::get("/safe/").id(&format!("a-{i}")))
            .await;
        assert_that!(answer.status, eq(200));
    }
    assert_that!(fleet.new_arrivals(), eq(before));
    assert_that!(
        fleet.source.stages().len(),
        eq(written),
        "the final stage is not overwritten"
    );
}

#[tokio::test]
async fn rollout_that_is_withdrawn_is_rolled_back() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    fleet.source.withdraw_rollout();
    fleet.until_stage(RolloutStage::RolledBack).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::Withdrawn)));
    let (_, new) = fleet.arrivals_in_window().await;
    assert_that!(new, eq(0));
    stop_load(load);
}

#[tokio::test]
async fn rollout_to_a_build_that_never_comes_is_rolled_back_at_its_deadline() {
    const SHORT_MS: u64 = 1_000;
    let fleet = RolloutFleet::start().await;
    fleet.source.order_rollout(NEW, SHORT_MS);
    fleet.until_stage(RolloutStage::RolledBack).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::NoEndpoints)));
}

/// Time for which a test stops a host: longer than the test runs.
const STOPPED: Duration = Duration::from_secs(60);
/// Route timeout in tests that wait for requests of silent hosts.
const TIMEOUT_MS: u64 = 3_000;

/// Returns rules whose requests run for at most [`TIMEOUT_MS`].
fn rules_with_short_timeouts() -> RulesDocument {
    let mut rules = rules(1);
    for route in &mut rules.routes {
        route.timeout_ms = TIMEOUT_MS;
    }
    rules
}

/// A host that is cut off may run requests at old endpoints, which may be stopped once the
/// rollout is done, although no host that is heard has any there.
#[tokio::test]
async fn rollout_waits_until_a_silent_host_must_have_ended_its_requests() {
    let mut fleet = RolloutFleet::without_hosts(rules_with_short_timeouts()).await;
    fleet.add_hosts(2).await;
    let silent = fleet.add_suspendable_host().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    // Until all hosts know the plan.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    silent.block_for(STOPPED);
    fleet.until_stage(RolloutStage::Done).await;
    let done = fleet.source.rollout().expect("a record");
    let planned_ms = done.planned_ms.values().max().copied().expect("a plan");
    assert_that!(done.age_ms, ge(planned_ms + TIMEOUT_MS));
    stop_load(load);
}

/// A host that hears neither the store nor another host must not go on to send to the old
/// build, whose endpoints may be stopped once the others have waited for it.
#[tokio::test]
async fn rollout_of_a_host_without_news_moves_by_the_plan() {
    let mut fleet = RolloutFleet::without_hosts(rules_with_short_timeouts()).await;
    fleet.add_hosts(1).await;
    let other = fleet.add_suspendable_host().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    let record = fleet.source.rollout().expect("a record");
    let planned_ms = record.planned_ms.values().max().copied().expect("a plan");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    other.block_for(STOPPED);
    fleet.source.set_silent(true);
    tokio::time::sleep(Duration::from_millis(planned_ms - 1_500)).await;
    let (old, _) = fleet.arrivals_in_window().await;
    assert_that!(old, gt(10), "the plan moves nothing before its time");
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let (old, new) = fleet.arrivals_in_window().await;
    assert_that!(fleet.source.stages(), eq(&[RolloutStage::Canary]));
    assert_that!(old, eq(0));
    assert_that!(new, gt(20));
    stop_load(load);
}

/// The deadline must not come late because all hosts were lost in the meantime.
#[tokio::test]
async fn rollout_keeps_its_age_when_all_hosts_are_lost() {
    const LOST: Duration = Duration::from_millis(2_500);
    let mut fleet = RolloutFleet::without_hosts(rules(1)).await;
    let first = fleet.add_suspendable_host().await;
    let ordered_at = Instant::now();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    first.block_for(STOPPED);
    tokio::time::sleep(LOST).await;
    fleet.add_hosts(1).await;
    // No requests come, so that the rollout stays undecided until its deadline.
    fleet.until_stage(RolloutStage::RolledBack).await;
    let record = fleet.source.rollout().expect("a record");
    assert_that!(record.reason, eq(RolloutReason::Undecided));
    let late = ordered_at
        .elapsed()
        .saturating_sub(Duration::from_millis(DEADLINE_MS));
    assert_that!(late, lt(Duration::from_millis(1_500)));
    assert_that!(record.age_ms, ge(DEADLINE_MS));
}

/// A store that is restored from a copy may hold an earlier record of the rollout, or none.
#[tokio::test]
async fn rollout_goes_on_when_the_store_is_restored_from_a_copy() {
    for copied in [None, Some(RolloutStage::Canary), Some(RolloutStage::Moving)] {
        let mut fleet = RolloutFleet::start().await;
        let load = fleet.load();
        let mut copy = fleet.source.snapshot();
        fleet.order(Behaviour::AnswerAfter(20)).await;
        for stage in [RolloutStage::Canary, RolloutStage::Moving] {
            fleet.until_stage(stage).await;
            if copied == Some(stage) {
                copy = fleet.source.snapshot();
            }
        }
        if copied.is_none() {
            // The copy also lacks the endpoints of the new build, so that the store holds
            // none until they write their entries again.
            fleet.source.restore(copy);
            for endpoint in &fleet.new {
                fleet.source.list(entry(endpoint, NEW));
            }
        } else {
            fleet.source.restore(copy);
        }
        until(async || fleet.is_over()).await;
        let record = fleet.source.rollout().expect("a record");
        assert_that!(record.reason, eq(RolloutReason::Moved), "{copied:?}");
        let stages = fleet.source.stages();
        for once in [RolloutStage::Canary, RolloutStage::Moving] {
            let written = stages.iter().filter(|stage| **stage == once).count();
            assert_that!(written, eq(1), "{copied:?}: {once} was not entered again");
        }
        stop_load(load);
    }
}

/// A build whose rollout was replaced by another order was not found good, and must not get
/// the requests of the old build.
#[tokio::test]
async fn rollout_to_a_third_build_takes_the_second_out_of_use() {
    const THIRD: &str = "v3";
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    fleet.source.order_rollout(THIRD, DEADLINE_MS);
    let third = endpoints(THIRD, 4, Behaviour::AnswerAfter(20)).await;
    for endpoint in &third {
        fleet.source.list(entry(endpoint, THIRD));
    }
    until(async || {
        let record = fleet.source.rollout();
        record.is_some_and(|record| record.build == THIRD.into())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let second = fleet.new_arrivals();
    fleet.until_stage(RolloutStage::Done).await;
    let (first, moved) = (fleet.old_arrivals(), arrivals(&third));
    until(async || arrivals(&third) > moved + 20).await;
    assert_that!(
        fleet.new_arrivals(),
        eq(second),
        "requests at the second build"
    );
    assert_that!(fleet.old_arrivals(), eq(first));
    stop_load(load);
}

/// Guards against a host that starts after a rollout has ended and sends requests to a build
/// that was rolled back before.
#[tokio::test]
async fn rollouts_that_ended_leave_earlier_builds_out_of_use_at_a_new_host() {
    const THIRD: &str = "v3";
    const REQUESTS: usize = 40;
    /// Several rounds of messages.
    const MAX_NEWS_DELAY: Duration = Duration::from_millis(1_000);
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::Fail).await;
    fleet.until_stage(RolloutStage::RolledBack).await;
    fleet.source.order_rollout(THIRD, DEADLINE_MS);
    let third = endpoints(THIRD, fleet.old.len(), Behaviour::Fail).await;
    for endpoint in &third {
        fleet.source.list(entry(endpoint, THIRD));
    }
    until(async || {
        let record = fleet.source.rollout();
        record.is_some_and(|record| {
            record.build == THIRD.into() && record.stage == RolloutStage::RolledBack
        })
    })
    .await;
    stop_load(load);
    let seeds = vec![fleet.hosts[0].peer_address()];
    let new_host = TestGateway::without_store("host-new", seeds).await;
    new_host.ready().await;
    tokio::time::sleep(MAX_NEWS_DELAY).await;
    let (second, before) = (fleet.new_arrivals(), fleet.old_arrivals());
    for number in 0..REQUESTS {
        let id = format!("new-{number}");
        let received = new_host.call(Call::get("/safe/").id(&id)).await;
        assert_that!(received.status, eq(200), "{id}");
    }
    assert_that!(fleet.new_arrivals(), eq(second), "at the second build");
    assert_that!(fleet.old_arrivals(), ge(before + REQUESTS));
}

#[tokio::test]
async fn rollouts_of_two_pools_end_independently() {
    const OTHER: &str = "other";
    let mut rules = rules(1);
    let mut route = rules.routes[0].clone();
    route.name = OTHER.into();
    route.path_prefix = "/other/".into();
    route.backends[0].pool = OTHER.into();
    rules.routes.push(route);
    let mut fleet = RolloutFleet::without_hosts(rules).await;
    let old = endpoints_of(OTHER, OLD, 4, Behaviour::AnswerAfter(20)).await;
    let new = endpoints_of(OTHER, NEW, 4, Behaviour::Fail).await;
    for endpoint in &old {
        fleet.source.list(entry(endpoint, OLD));
    }
    fleet.add_hosts(3).await;
    let load = [fleet.load(), fleet.load_of("/other/")];
    fleet.source.order_rollout_of(OTHER, NEW, DEADLINE_MS);
    for endpoint in &new {
        fleet.source.list(entry(endpoint, NEW));
    }
    fleet.order(Behaviour::AnswerAfter(20)).await;
    let reason_of = |pool| {
        let record = fleet.source.rollout_of(pool);
        let record = record.filter(|record| record.stage.is_final());
        record.map(|record| record.reason)
    };
    until(async || reason_of(OTHER).is_some() && reason_of("pool").is_some()).await;
    assert_that!(reason_of(OTHER), some(eq(RolloutReason::Bad)));
    assert_that!(reason_of("pool"), some(eq(RolloutReason::Moved)));
    load.into_iter().for_each(stop_load);
}

/// Endpoints of the new build may start some time after the order.
#[tokio::test]
async fn rollout_to_endpoints_that_come_late_is_done() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.source.order_rollout(NEW, DEADLINE_MS);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.order(Behaviour::AnswerAfter(20)).await;
    until(async || fleet.is_over()).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::Moved)));
    stop_load(load);
}

/// Too few endpoints must not get all the requests.
#[tokio::test]
async fn rollout_to_endpoints_that_are_too_few_is_rolled_back() {
    let fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.source.order_rollout(NEW, DEADLINE_MS);
    let new = endpoints(NEW, 1, Behaviour::AnswerAfter(20)).await;
    fleet.source.list(Endpoint {
        slots: 1,
        ..entry(&new[0], NEW)
    });
    until(async || fleet.is_over()).await;
    let record = fleet.source.rollout().expect("a record");
    assert_that!(record.reason, eq(RolloutReason::Undecided));
    let expected = [RolloutStage::Canary, RolloutStage::RolledBack];
    assert_that!(fleet.source.stages(), eq(&expected));
    stop_load(load);
}

/// Without endpoints of the new build, the old ones must go on at once.
#[tokio::test]
async fn rollout_to_endpoints_that_crash_after_the_move_is_rolled_back() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Moving).await;
    for endpoint in &fleet.new {
        endpoint.set_behaviour(Behaviour::Reset);
        fleet.source.unlist(&endpoint.endpoint.name);
    }
    fleet.until_stage(RolloutStage::RolledBack).await;
    let (old, _) = fleet.arrivals_in_window().await;
    assert_that!(old, gt(20));
    stop_load(load);
}

/// Endpoints that leave the list and return must not be taken for a bad build.
#[tokio::test]
async fn rollout_to_endpoints_that_flap_is_done() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    for _ in 0..4 {
        for endpoint in &fleet.new {
            fleet.source.unlist(&endpoint.endpoint.name);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        for endpoint in &fleet.new {
            fleet.source.list(entry(endpoint, NEW));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    until(async || fleet.is_over()).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::Moved)));
    stop_load(load);
}

/// An evacuated zone takes endpoints of both builds out of use.
#[tokio::test]
async fn rollout_beside_an_evacuated_zone_is_done() {
    const ZONE: &str = "zone-away";
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    for (endpoint, build) in [(&fleet.old[0], OLD), (&fleet.new[0], NEW)] {
        fleet.source.list(Endpoint {
            zone: ZONE.into(),
            ..entry(endpoint, build)
        });
    }
    fleet.until_stage(RolloutStage::Canary).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.source.evacuate(ZONE, true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let evacuated = fleet.old[0].arrivals() + fleet.new[0].arrivals();
    until(async || fleet.is_over()).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::Moved)));
    assert_that!(
        fleet.old[0].arrivals() + fleet.new[0].arrivals(),
        eq(evacuated)
    );
    stop_load(load);
}

/// An endpoint that replaces one of the old build is an old one as well.
#[tokio::test]
async fn rollout_beside_a_planned_replacement_is_done() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    let replacement = endpoints_of("pool", "replacement", 1, Behaviour::AnswerAfter(20)).await;
    fleet.source.list(entry(&replacement[0], OLD));
    fleet.source.unlist(&fleet.old[0].endpoint.name);
    until(async || fleet.is_over()).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::Moved)));
    let served = arrivals(&replacement);
    assert_that!(served, gt(20), "it served before the move");
    fleet.arrivals_in_window().await;
    assert_that!(arrivals(&replacement), eq(served), "and nothing since");
    stop_load(load);
}

#[tokio::test]
async fn rollout_with_a_slow_store_is_done() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.source.set_answer_delay_ms(500);
    fleet.order(Behaviour::AnswerAfter(20)).await;
    until(async || fleet.is_over()).await;
    let expected = [
        RolloutStage::Canary,
        RolloutStage::Moving,
        RolloutStage::Done,
    ];
    assert_that!(fleet.source.stages(), eq(&expected));
    stop_load(load);
}

/// A cold endpoint is slow whatever its build, and new endpoints start cold.
#[tokio::test]
async fn rollout_to_cold_endpoints_is_not_rolled_back_as_bad() {
    const COLD: Duration = Duration::from_millis(2_000);
    // A short deadline leaves the canary too few requests to show slow answers.
    const LONG_DEADLINE_MS: u64 = 20_000;
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.source.order_rollout(NEW, LONG_DEADLINE_MS);
    fleet.new = endpoints(NEW, 4, Behaviour::AnswerAfter(200)).await;
    for endpoint in &fleet.new {
        let cold_left_ms = COLD.as_millis() as u64;
        fleet.source.list_cold(entry(endpoint, NEW), cold_left_ms);
    }
    tokio::time::sleep(COLD).await;
    let arrivals_while_cold = fleet.new_arrivals();
    for endpoint in &fleet.new {
        endpoint.set_behaviour(Behaviour::AnswerAfter(20));
        fleet.source.list(entry(endpoint, NEW));
    }
    until(async || fleet.is_over()).await;
    assert_that!(arrivals_while_cold, gt(3), "cold endpoints get requests");
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(not(eq(RolloutReason::Bad))));
    stop_load(load);
}

/// The next attempt must find the record that was written, and not write another stage.
#[tokio::test]
async fn rollout_with_lost_responses_writes_each_stage_once() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.source.set_loses_responses(true);
    fleet.order(Behaviour::AnswerAfter(20)).await;
    until(async || fleet.is_over()).await;
    let expected = [
        RolloutStage::Canary,
        RolloutStage::Moving,
        RolloutStage::Done,
    ];
    assert_that!(fleet.source.stages(), eq(&expected));
    let (old, _) = fleet.arrivals_in_window().await;
    assert_that!(
        old,
        eq(0),
        "the hosts know the record whose response was lost"
    );
    stop_load(load);
}

/// A withdrawal may only show by the order's absence from a full read.
#[tokio::test]
async fn rollout_that_is_withdrawn_without_history_is_rolled_back() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.until_stage(RolloutStage::Canary).await;
    fleet.source.withdraw_rollout_without_history();
    until(async || fleet.is_over()).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::Withdrawn)));
    stop_load(load);
}
