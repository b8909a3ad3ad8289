//! Hosts that lose their links to endpoints which other hosts still reach.

use std::time::Duration;

use crate::support::{Behaviour, Call, PartitionFleet, metric, receive, rules, until};
use chalkrock_soak::LinkMode;
use googletest::prelude::*;

/// Time after which a partitioned host must serve as the others do.
const CONTACT: Duration = Duration::from_millis(3_000);
const PATHS: [&str; 4] = ["/safe/", "/once/", "/stream/", "/resumable/"];
const HOSTS: usize = 3;
const ENDPOINTS: usize = 6;

/// Starts a fleet whose endpoints stream on the routes of streams.
async fn streaming_fleet() -> PartitionFleet {
    let fleet = PartitionFleet::start(rules(1), HOSTS, ENDPOINTS).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::AnswerByRoute { last: 5 });
    }
    fleet
}

/// Sends requests to the first host, one after another. Returns how many got a complete answer.
async fn count_served(fleet: &PartitionFleet, name: &str, requests: usize) -> usize {
    let mut served = 0;
    for number in 0..requests {
        let path = PATHS[number % PATHS.len()];
        let id = format!("{name}-{number}");
        let received = fleet.hosts[0].call(Call::post(path, b"x").id(&id)).await;
        let is_served = received.status == 200 && received.is_complete;
        served += usize::from(is_served);
        assert_that!(fleet.run_count(&id), le(1), "{path} {id}");
    }
    served
}

async fn serves_without_links(mode: LinkMode) {
    const REQUESTS: usize = 40;
    let fleet = streaming_fleet().await;
    assert_that!(count_served(&fleet, "before", 8).await, eq(8));
    fleet.set_links(0, mode);
    tokio::join!(
        fleet.load(0, "/safe/", CONTACT),
        fleet.load(1, "/safe/", CONTACT)
    );
    assert_that!(count_served(&fleet, "during", REQUESTS).await, eq(REQUESTS));
}

/// Guards against a host that serves nobody while its connections to endpoints are refused.
#[tokio::test]
async fn partitions_that_refuse_connections_leave_a_host_serving() {
    serves_without_links(LinkMode::Refused).await;
}

/// Guards against a host that serves nobody while its connections to endpoints hang.
#[tokio::test]
async fn partitions_that_hold_connections_leave_a_host_serving() {
    serves_without_links(LinkMode::Unresponsive).await;
}

/// Guards against requests that count as crashes of endpoints which other hosts reach.
#[tokio::test]
async fn partitions_make_no_request_poison() {
    const WAITING: usize = 12;
    let fleet = PartitionFleet::start(rules(1), HOSTS, ENDPOINTS).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::AnswerAfter(400));
    }
    for round in 0..4 {
        let mut calls = Vec::new();
        for number in 0..WAITING {
            let call = Call::post("/once/", format!("body {number}").as_bytes());
            let call = call.id(&format!("r-{round}-{number}"));
            let host = &fleet.hosts[0];
            calls.push(call.send(host.running.front_address()).await);
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.set_links(0, LinkMode::Refused);
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.set_links(0, LinkMode::Open);
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    for host in &fleet.hosts {
        assert_that!(metric(host, "poison_requests").await, eq(0.0));
    }
}

/// Cuts all links of the first host, and waits until it forwards requests.
async fn cut_first_host(fleet: &PartitionFleet) {
    fleet.set_links(0, LinkMode::Refused);
    until(async || {
        let received = fleet.hosts[0].call(Call::post("/safe/", b"x").id("wait"));
        received.await.status == 200
    })
    .await;
}

/// Guards against requests that all hosts hand to each other, or hold, while endpoints are down.
#[tokio::test]
async fn partitions_of_all_hosts_are_refused_at_once() {
    const MAX_WAIT: Duration = Duration::from_millis(200);
    const REQUESTS: usize = 10;
    for mode in [LinkMode::Refused, LinkMode::Unresponsive] {
        let fleet = PartitionFleet::start(rules(1), 2, 4).await;
        for host in 0..2 {
            fleet.set_links(host, mode);
        }
        tokio::join!(
            fleet.load(0, "/safe/", CONTACT),
            fleet.load(1, "/safe/", CONTACT)
        );
        for (number, host) in fleet.hosts.iter().cycle().take(REQUESTS).enumerate() {
            let id = format!("r-{number}");
            let sent_at = tokio::time::Instant::now();
            let received = host.call(Call::post("/once/", b"x").id(&id)).await;
            assert_that!(received.status, eq(503), "{mode:?} {id}");
            assert_that!(fleet.run_count(&id), eq(0), "{mode:?} {id}");
            assert_that!(received.header("come-back"), some(anything()));
            assert_that!(sent_at.elapsed(), lt(MAX_WAIT), "{mode:?} {id}");
        }
    }
}

/// Guards against the last endpoint in reach that gets the requests of all others.
#[tokio::test]
async fn partitions_from_some_endpoints_keep_the_load_even() {
    const REQUESTS: usize = 60;
    let fleet = streaming_fleet().await;
    fleet.set_some_links(0, 1..ENDPOINTS, LinkMode::Refused);
    fleet.load(0, "/safe/", Duration::from_millis(800)).await;
    let before: Vec<usize> = fleet.endpoints.iter().map(|e| e.arrivals()).collect();
    assert_that!(count_served(&fleet, "r", REQUESTS).await, eq(REQUESTS));
    for (endpoint, before) in fleet.endpoints.iter().zip(before) {
        let arrivals = endpoint.arrivals() - before;
        assert_that!(arrivals, le(3 * REQUESTS / ENDPOINTS));
    }
}

/// Guards against two hosts that wait for each other when each lacks what the other has.
#[tokio::test]
async fn partitions_of_two_hosts_from_different_endpoints_complement_each_other() {
    const REQUESTS: usize = 24;
    let fleet = PartitionFleet::start(rules(1), 2, 4).await;
    fleet.set_some_links(0, 0..2, LinkMode::Refused);
    fleet.set_some_links(1, 2..4, LinkMode::Refused);
    tokio::join!(
        fleet.load(0, "/safe/", Duration::from_millis(800)),
        fleet.load(1, "/safe/", Duration::from_millis(800))
    );
    for (host, gateway) in fleet.hosts.iter().enumerate() {
        for number in 0..REQUESTS {
            let id = format!("r-{host}-{number}");
            let received = gateway.call(Call::post("/once/", b"x").id(&id)).await;
            assert_that!(received.status, eq(200), "{id}");
            assert_that!(fleet.run_count(&id), eq(1), "{id}");
        }
    }
}

/// Guards against chats that lose their prefix because their host lost its links.
#[tokio::test]
async fn partitions_leave_prefixes_at_their_homes() {
    let fleet = PartitionFleet::start(rules(1), HOSTS, ENDPOINTS).await;
    let home = async |id: &str, prefix: u32| {
        let call = Call::post("/safe/", b"x").id(id);
        let call = call.header("parts", &format!("{prefix}:100,7:10"));
        let received = fleet.hosts[0].call(call).await;
        assert_that!(received.status, eq(200));
        fleet.endpoints.iter().position(|e| e.run_count(id) > 0)
    };
    let mut homes = Vec::new();
    for prefix in 0..12 {
        homes.push(home(&format!("before-{prefix}"), prefix).await);
    }
    cut_first_host(&fleet).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for prefix in 0..12 {
        let current = home(&format!("during-{prefix}"), prefix).await;
        assert_that!(current, eq(homes[prefix as usize]), "{prefix}");
    }
}

/// Guards against work that goes on at an endpoint behind another host after its caller left.
#[tokio::test]
async fn partitions_pass_on_that_a_caller_left() {
    const MAX_WORK: Duration = Duration::from_millis(500);
    let fleet = PartitionFleet::start(rules(1), 2, 1).await;
    cut_first_host(&fleet).await;
    fleet.endpoints[0].set_behaviour(Behaviour::Silent);
    let front = fleet.hosts[0].running.front_address();
    let caller = Call::post("/once/", b"x").id("r-1").send(front).await;
    until(async || fleet.run_count("r-1") == 1).await;
    drop(caller);
    let abandoned = fleet.endpoints[0].wait_until_abandoned();
    let abandoned = tokio::time::timeout(MAX_WORK, abandoned).await;
    assert_that!(abandoned.is_ok(), eq(true));
}

/// Guards against a second run, or a promise that there was none, when the host in between
/// is lost with the request.
#[tokio::test]
async fn partitions_run_a_request_once_if_the_next_hop_is_lost() {
    let mut fleet = PartitionFleet::start(rules(1), 2, 1).await;
    cut_first_host(&fleet).await;
    fleet.endpoints[0].set_behaviour(Behaviour::StreamThenStall { last: 0 });
    let front = fleet.hosts[0].running.front_address();
    let call = Call::post("/once/", b"x")
        .id("r-1")
        .header("deadline", "1500");
    let caller = tokio::spawn(async move { call.exchange(front).await });
    until(async || fleet.run_count("r-1") == 1).await;
    let next_hop = fleet.hosts.remove(1);
    next_hop.stop.stop();
    next_hop.running.ended().await;
    let received = caller.await.expect("the caller");
    assert_that!(received.status, any![eq(502), eq(504)]);
    assert_that!(fleet.run_count("r-1"), eq(1));
}

/// Guards against a planned stop of the host in between that cuts off the requests of others.
#[tokio::test]
async fn partitions_survive_a_planned_stop_of_the_next_hop() {
    let mut fleet = PartitionFleet::start(rules(1), 3, 1).await;
    cut_first_host(&fleet).await;
    fleet.endpoints[0].set_behaviour(Behaviour::AnswerAfter(600));
    let front = fleet.hosts[0].running.front_address();
    let call = Call::post("/once/", b"x").id("r-1");
    let caller = tokio::spawn(async move { call.exchange(front).await });
    until(async || fleet.run_count("r-1") == 1).await;
    for next_hop in &fleet.hosts[1..] {
        next_hop.stop.stop();
    }
    let received = caller.await.expect("the caller");
    assert_that!(received.status, eq(200));
    let last = fleet.hosts.remove(2);
    last.running.ended().await;
}

/// Guards against a request that tries again and again while no next hop takes it.
#[tokio::test]
async fn partitions_refuse_requests_that_no_next_hop_takes() {
    const MAX_WAIT: Duration = Duration::from_millis(300);
    let fleet = PartitionFleet::start(rules(1), 2, 2).await;
    cut_first_host(&fleet).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::Silent);
    }
    // A running request keeps the next hop from ending; it takes no further ones.
    let next_hop = &fleet.hosts[1];
    let held = Call::post("/patient/", b"x").id("held");
    let _held = held.send(next_hop.running.front_address()).await;
    until(async || fleet.run_count("held") == 1).await;
    next_hop.stop.stop();
    until(async || next_hop.ready_status().await == 503).await;
    let sent_at = tokio::time::Instant::now();
    let received = fleet.hosts[0].call(Call::post("/once/", b"x").id("r-1"));
    assert_that!(received.await.status, eq(503));
    assert_that!(sent_at.elapsed(), lt(MAX_WAIT));
    assert_that!(fleet.run_count("r-1"), eq(0));
}

/// Guards against a stream that ends with its endpoint although others could continue it.
#[tokio::test]
async fn partitions_resume_streams_through_other_hosts() {
    let fleet = PartitionFleet::start(rules(1), 2, 2).await;
    cut_first_host(&fleet).await;
    let cut = Behaviour::Stream {
        last: 9,
        cut_at: Some(4),
    };
    let whole = Behaviour::Stream {
        last: 9,
        cut_at: None,
    };
    for (first, second) in [(0, 1), (1, 0)] {
        fleet.endpoints[first].set_behaviour(cut.clone());
        fleet.endpoints[second].set_behaviour(whole.clone());
        for number in 0..4 {
            let id = format!("r-{first}-{number}");
            let received = fleet.hosts[0].call(Call::get("/resumable/").id(&id)).await;
            assert_that!(received.is_complete, eq(true));
            assert_that!(received.events(), eq(&(0..=9).collect::<Vec<u64>>()));
        }
    }
}

/// Guards against attempts that each host in between allows again.
#[tokio::test]
async fn partitions_count_attempts_over_both_hosts() {
    let fleet = PartitionFleet::start(rules(1), 2, 4).await;
    cut_first_host(&fleet).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::Fail);
    }
    for (path, status, attempts) in [("/safe/", 500, 2), ("/unsafe/", 500, 1)] {
        let received = fleet.hosts[0].call(Call::post(path, b"x").id(path)).await;
        assert_that!(received.status, eq(status), "{path}");
        assert_that!(fleet.run_count(path), eq(attempts), "{path}");
    }
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::FailAs("429 Busy"));
    }
    let received = fleet.hosts[0].call(Call::post("/unsafe/", b"x").id("busy"));
    assert_that!(received.await.status, eq(502));
    assert_that!(fleet.run_count("busy"), eq(1));
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::Shed);
    }
    let received = fleet.hosts[0].call(Call::post("/unsafe/", b"x").id("shed"));
    assert_that!(received.await.status, eq(503));
    assert_that!(fleet.run_count("shed"), eq(2));
}

/// Guards against requests that go through other hosts for longer than they must.
#[tokio::test]
async fn partitions_that_end_leave_no_request_forwarded() {
    const MAX_RETURN: Duration = Duration::from_millis(2_000);
    for mode in [LinkMode::Refused, LinkMode::Unresponsive] {
        let fleet = streaming_fleet().await;
        fleet.set_links(0, mode);
        fleet.load(0, "/safe/", CONTACT).await;
        fleet.set_links(0, LinkMode::Open);
        fleet.load(0, "/safe/", MAX_RETURN).await;
        let forwarded = async || {
            let metrics = fleet.hosts[0].metrics().await;
            let lines = metrics.lines();
            lines
                .filter(|line| line.starts_with("chalkrock_forwarded_total"))
                .map(str::to_owned)
                .collect::<Vec<String>>()
        };
        let before = forwarded().await;
        assert_that!(before, not(is_empty()), "{mode:?}");
        assert_that!(count_served(&fleet, "after", 20).await, eq(20), "{mode:?}");
        assert_that!(forwarded().await, eq(&before), "{mode:?}");
    }
}

/// Guards against loops and second hops: a host serves what others forward by itself alone.
#[tokio::test]
async fn partitions_take_no_second_hop() {
    const FORWARDED: &str = "chalkrock_forwarded_total{outcome=\"failed\"}";
    let fleet = PartitionFleet::start(rules(1), 3, 2).await;
    for host in 0..2 {
        fleet.set_links(host, LinkMode::Refused);
    }
    for host in 0..2 {
        fleet.load(host, "/safe/", Duration::from_millis(800)).await;
    }
    // The third host loses its links too; nobody has asked it since.
    fleet.set_links(2, LinkMode::Refused);
    let call = Call::post("/once/", b"x").id("r-1");
    let received = fleet.hosts[0].call(call).await;
    assert_that!(received.status, eq(503));
    assert_that!(fleet.run_count("r-1"), eq(0));
    let metrics = fleet.hosts[2].metrics().await;
    assert_that!(metrics.contains(FORWARDED), eq(false));
}

/// Guards against requests of strangers, and against callers that pose as a host.
#[tokio::test]
async fn partitions_accept_forwarded_requests_of_hosts_only() {
    const HEAD: &str = "{\"origin\":\"host-9\"}";
    let fleet = PartitionFleet::start(rules(1), 2, 1).await;
    let forward = fleet.hosts[1].forward_address();
    let call = Call::post("/once/", b"x").id("r-1");
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    let stranger = "127.0.0.9:0".parse().expect("an address");
    socket.bind(stranger).expect("a free port");
    let mut stream = socket.connect(forward).await.expect("a connection");
    let _may_be_closed = tokio::io::AsyncWriteExt::write_all(&mut stream, &call.bytes()).await;
    assert_that!(receive(&mut stream).await.status, eq(0));
    // Without a decision of an origin, nothing runs.
    assert_that!(call.exchange(forward).await.status, eq(502));
    assert_that!(fleet.run_count("r-1"), eq(0));
    // On the address for callers the header means nothing.
    let call = Call::post("/once/", b"x").id("r-2");
    let posing = call.header("chalkrock-forward", HEAD).header("key", "");
    assert_that!(fleet.hosts[1].call(posing).await.status, eq(401));
}
