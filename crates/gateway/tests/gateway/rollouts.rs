//! Moving a pool to endpoints of another build, with several hosts over loopback.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, rules, until,
};
use chalkrock_core::Endpoint;
use chalkrock_routing::{RolloutReason, RolloutStage};
use googletest::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The time that operators give.
const WITHIN_MS: u64 = 5_000;
const OLD: &str = "v1";
const NEW: &str = "v2";
/// Pause between two requests at one host: 200 a second over three.
const PAUSE: Duration = Duration::from_millis(15);

/// Endpoints of two builds, and hosts before them.
struct RolloutFleet {
    source: TestSource,
    hosts: Vec<TestGateway>,
    old: Vec<ScriptedEndpoint>,
    new: Vec<ScriptedEndpoint>,
}

/// An endpoint's entry, with the software that it runs.
fn entry(endpoint: &ScriptedEndpoint, build: &str) -> Endpoint {
    Endpoint {
        build: build.into(),
        ..endpoint.endpoint.clone()
    }
}

async fn endpoints(build: &str, count: usize, behaviour: Behaviour) -> Vec<ScriptedEndpoint> {
    let mut started = Vec::new();
    for i in 0..count {
        let name = format!("{build}-{i}");
        let script = Script::default();
        started.push(ScriptedEndpoint::start(&name, "pool", behaviour.clone(), script).await);
    }
    started
}

impl RolloutFleet {
    /// Three hosts before four endpoints of the old build.
    async fn start() -> Self {
        const HOSTS: usize = 3;
        const ENDPOINTS: usize = 4;
        let source = TestSource::default();
        source.set_rules(rules(1));
        let old = endpoints(OLD, ENDPOINTS, Behaviour::AnswerAfter(20)).await;
        for endpoint in &old {
            source.list(entry(endpoint, OLD));
        }
        let mut hosts: Vec<TestGateway> = Vec::new();
        for i in 0..HOSTS {
            let seeds = hosts.iter().map(TestGateway::peer_address).collect();
            let own = source.handle_for_another_host();
            let host = TestGateway::start(own, &format!("host-{i}"), seeds).await;
            host.ready().await;
            hosts.push(host);
        }
        // Until all have heard each other and may go by what runs in the fleet.
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        Self {
            source,
            hosts,
            old,
            new: Vec::new(),
        }
    }

    /// Orders the new build, whose endpoints start beside the old ones.
    async fn order(&mut self, behaviour: Behaviour) {
        self.source.order_rollout(NEW, WITHIN_MS);
        self.new = endpoints(NEW, self.old.len(), behaviour).await;
        for endpoint in &self.new {
            self.source.list(entry(endpoint, NEW));
        }
    }

    /// Sends requests to all hosts until this is aborted. The task brings how many were
    /// not answered with 200.
    fn load(&self) -> Vec<JoinHandle<()>> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .map(|(at, host)| {
                let address = host.running.front_address();
                tokio::spawn(async move {
                    for number in 0.. {
                        let call = Call::get("/safe/").id(&format!("r-{at}-{number}"));
                        tokio::spawn(async move { call.exchange(address).await });
                        tokio::time::sleep(PAUSE).await;
                    }
                })
            })
            .collect()
    }

    async fn comes_to(&self, stage: RolloutStage) {
        until(async || self.source.stages().last() == Some(&stage)).await;
    }

    fn new_arrivals(&self) -> usize {
        self.new.iter().map(ScriptedEndpoint::arrivals).sum()
    }

    fn old_arrivals(&self) -> usize {
        self.old.iter().map(ScriptedEndpoint::arrivals).sum()
    }

    /// Requests that reach the old and the new build in a while.
    async fn reached_meanwhile(&self) -> (usize, usize) {
        let before = (self.old_arrivals(), self.new_arrivals());
        tokio::time::sleep(Duration::from_millis(400)).await;
        (
            self.old_arrivals() - before.0,
            self.new_arrivals() - before.1,
        )
    }
}

fn stop(load: Vec<JoinHandle<()>>) {
    load.into_iter().for_each(|task| task.abort());
}

#[tokio::test]
async fn rollout_of_a_good_build_is_done_in_time() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    let ordered_at = Instant::now();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.comes_to(RolloutStage::Moving).await;
    let tried = fleet.new_arrivals();
    let all = tried + fleet.old_arrivals();
    assert_that!(tried, le(all / 10), "of {all} before all moved");
    fleet.comes_to(RolloutStage::Done).await;
    assert_that!(ordered_at.elapsed(), le(Duration::from_millis(WITHIN_MS)));
    let (old, new) = fleet.reached_meanwhile().await;
    assert_that!(old, eq(0), "the old build gets nothing once it is done");
    assert_that!(new, gt(20));
    let stages = [
        RolloutStage::Canary,
        RolloutStage::Moving,
        RolloutStage::Done,
    ];
    assert_that!(fleet.source.stages(), eq(&stages));
    stop(load);
}

/// A build that fails part of its requests, or is slow, is left after few.
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
        fleet.comes_to(RolloutStage::RolledBack).await;
        let record = fleet.source.rollout();
        assert_that!(
            record.map(|record| record.reason),
            some(eq(RolloutReason::Bad)),
            "{bad:?}"
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
        let all = fleet.new_arrivals() + fleet.old_arrivals();
        assert_that!(fleet.new_arrivals(), le(all / 10), "{bad:?}: of {all}");
        let (old, new) = fleet.reached_meanwhile().await;
        assert_that!(new, eq(0), "{bad:?}");
        assert_that!(old, gt(20), "{bad:?}");
        stop(load);
    }
}

/// A build that turns bad once all traffic has moved to it is left as well.
#[tokio::test]
async fn rollout_of_a_build_that_turns_bad_late_is_rolled_back() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.comes_to(RolloutStage::Moving).await;
    let moved_at = Instant::now();
    for endpoint in &fleet.new {
        endpoint.set_behaviour(Behaviour::Fail);
    }
    fleet.comes_to(RolloutStage::RolledBack).await;
    assert_that!(moved_at.elapsed(), le(Duration::from_millis(1_500)));
    stop(load);
}

/// Nothing is stopped while requests run at the old endpoints.
#[tokio::test]
async fn rollout_waits_for_requests_that_run_at_old_endpoints() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    for endpoint in &fleet.old {
        endpoint.set_behaviour(Behaviour::AnswerAfter(20));
    }
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.comes_to(RolloutStage::Canary).await;
    // One of them runs for long; whichever endpoint it is at.
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
    fleet.comes_to(RolloutStage::Done).await;
    assert_that!(
        long.is_finished(),
        eq(true),
        "done while a request ran at an old endpoint"
    );
    assert_that!(long.await.expect("an answer").status, eq(200));
    stop(load);
}

/// Old endpoints that are idle for a moment may be sent the next request of a route that
/// has not moved: a rollout was called done, and they may stop at once from then on.
#[tokio::test]
async fn rollout_is_not_done_before_its_last_route_has_moved() {
    const LONG_MS: u64 = 2_000;
    let mut fleet = RolloutFleet::start().await;
    // A route with long requests, which moves early; the other moves late.
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
    fleet.comes_to(RolloutStage::Moving).await;
    let moving = fleet.source.rollout().expect("a record");
    stop(load);
    fleet.comes_to(RolloutStage::Done).await;
    let done = fleet.source.rollout().expect("a record");
    let last_ms = moving.moves_ms.values().max().copied().expect("routes");
    assert_that!(
        moving.age_ms,
        lt(last_ms),
        "a route moves later than the first"
    );
    assert_that!(done.age_ms, ge(last_ms));
}

/// Which host writes is not known beforehand: each is cut off in turn.
#[tokio::test]
async fn rollout_goes_on_whichever_host_is_cut_off() {
    for cut in 0..3 {
        let mut fleet = RolloutFleet::start().await;
        let load = fleet.load();
        fleet.order(Behaviour::AnswerAfter(20)).await;
        fleet.comes_to(RolloutStage::Canary).await;
        fleet.hosts[cut].source.isolate();
        fleet.comes_to(RolloutStage::Done).await;
        let (old, _) = fleet.reached_meanwhile().await;
        assert_that!(old, eq(0), "host {cut} was told by the others");
        stop(load);
    }
}

#[tokio::test]
async fn rollout_goes_on_after_the_store_was_away() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::Fail).await;
    fleet.comes_to(RolloutStage::Canary).await;
    fleet.source.set_unavailable(true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.source.set_unavailable(false);
    fleet.comes_to(RolloutStage::RolledBack).await;
    stop(load);
}

/// A host that starts anew knows of no record until it finds the one that is there.
#[tokio::test]
async fn rollout_is_taken_up_by_hosts_that_have_all_restarted() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::Fail).await;
    fleet.comes_to(RolloutStage::RolledBack).await;
    stop(load);
    let written = fleet.source.stages().len();
    let source = fleet.source.handle_for_another_host();
    let anew = TestGateway::start(source, "host-anew", Vec::new()).await;
    anew.ready().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = fleet.new_arrivals();
    for i in 0..40 {
        let answer = anew.call(Call::get("/safe/").id(&format!("a-{i}"))).await;
        assert_that!(answer.status, eq(200));
    }
    assert_that!(fleet.new_arrivals(), eq(before));
    assert_that!(
        fleet.source.stages().len(),
        eq(written),
        "a final word is the last"
    );
}

#[tokio::test]
async fn rollout_that_is_withdrawn_is_rolled_back() {
    let mut fleet = RolloutFleet::start().await;
    let load = fleet.load();
    fleet.order(Behaviour::AnswerAfter(20)).await;
    fleet.comes_to(RolloutStage::Canary).await;
    fleet.source.withdraw_rollout();
    fleet.comes_to(RolloutStage::RolledBack).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::Withdrawn)));
    let (_, new) = fleet.reached_meanwhile().await;
    assert_that!(new, eq(0));
    stop(load);
}

#[tokio::test]
async fn rollout_to_a_build_that_never_comes_is_rolled_back_at_its_deadline() {
    const SHORT_MS: u64 = 1_000;
    let fleet = RolloutFleet::start().await;
    fleet.source.order_rollout(NEW, SHORT_MS);
    fleet.comes_to(RolloutStage::RolledBack).await;
    let reason = fleet.source.rollout().map(|record| record.reason);
    assert_that!(reason, some(eq(RolloutReason::NoEndpoints)));
}
