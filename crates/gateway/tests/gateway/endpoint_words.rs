//! What endpoints say of themselves in their answers.

use crate::support::{Behaviour, Call, TestGateway, figure, until};
use chalkrock_core::{Endpoint, Incarnation};
use googletest::prelude::*;

/// Ways on which an endpoint's answer comes.
const WAYS: [(&str, Behaviour); 12] = [
    ("/safe/", Behaviour::Answer),
    ("/unsafe/", Behaviour::Answer),
    ("/safe/", Behaviour::Fail),
    ("/unsafe/", Behaviour::FailBusy),
    ("/safe/", Behaviour::Shed),
    ("/once/", Behaviour::Shed),
    ("/safe/", Behaviour::OtherAnswer),
    ("/safe/", Behaviour::Unsigned),
    ("/safe/", Behaviour::CutBody),
    ("/safe/", Behaviour::Unframed),
    (
        "/stream/",
        Behaviour::Stream {
            last: 2,
            cut_at: None,
        },
    ),
    (
        "/resumable/",
        Behaviour::Stream {
            last: 2,
            cut_at: Some(1),
        },
    ),
];

/// Sends requests until an endpoint has been sent one.
async fn until_sent(gateway: &TestGateway, path: &str, index: usize) {
    let endpoint = &gateway.endpoints[index];
    while endpoint.arrivals() == 0 {
        gateway.call(Call::post(path, b"x").id("r-1")).await;
    }
}

#[tokio::test]
async fn endpoints_that_say_they_leave_are_sent_nothing_on_whatever_way() {
    const ASKED: usize = 20;
    for (path, behaviour) in WAYS {
        let gateway = TestGateway::before(2, Behaviour::Answer).await;
        let leaving = &gateway.endpoints[0];
        leaving.says("leaving: 1");
        leaving.usually(behaviour.clone());
        until_sent(&gateway, path, 0).await;
        for _ in 0..ASKED {
            let received = gateway.call(Call::get("/safe/").id("r-2")).await;
            assert_that!(received.status, eq(200), "{behaviour:?} on {path}");
        }
        assert_that!(leaving.arrivals(), eq(1), "{behaviour:?} on {path}");
    }
}

/// Hosts that have sent it nothing believe the one that heard it; an entry that says
/// otherwise is older.
#[tokio::test]
async fn endpoints_that_say_they_leave_are_sent_nothing_by_any_host() {
    let first = TestGateway::before(2, Behaviour::Answer).await;
    let seeds = vec![first.peer_address()];
    let second = TestGateway::with(first.source.clone(), "host-2", seeds).await;
    second.ready().await;
    let leaving = &first.endpoints[0];
    leaving.says("leaving: 1");
    until_sent(&first, "/safe/", 0).await;
    let is_told = async || figure(&second, "leaving_heard_from_peers_total").await == 1.0;
    until(is_told).await;
    let version = figure(&second, "endpoints_version").await;
    first.source.list(leaving.endpoint.clone());
    let knows_entry = async || figure(&second, "endpoints_version").await > version;
    until(knows_entry).await;
    for _ in 0..20 {
        let received = second.call(Call::get("/safe/").id("r-2")).await;
        assert_that!(received.status, eq(200));
    }
    assert_that!(leaving.arrivals(), eq(1));
    first.source.list(Endpoint {
        incarnation: Incarnation(9),
        ..leaving.endpoint.clone()
    });
    until(async || {
        second.call(Call::get("/safe/").id("r-3")).await;
        leaving.arrivals() > 1
    })
    .await;
}
