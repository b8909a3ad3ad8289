//! Streams are forwarded whole and in order, resumed where the route allows it, and
//! never end as complete when they are not.

use crate::support::{Behaviour, Call, Received, TestGateway, event};
use googletest::prelude::*;
use tokio::io::AsyncReadExt;

const LAST_EVENT: u64 = 9;

fn whole_stream() -> Behaviour {
    Behaviour::Stream {
        last: LAST_EVENT,
        cut_at: None,
    }
}

fn cut_stream(cut_at: u64) -> Behaviour {
    Behaviour::Stream {
        last: LAST_EVENT,
        cut_at: Some(cut_at),
    }
}

fn all_events() -> Vec<u64> {
    (0..=LAST_EVENT).collect()
}

/// Requests a resumable stream.
async fn call_resumable(gateway: &TestGateway) -> Received {
    let call = Call::post("/resumable/", b"x").id("r-1");
    gateway.call(call).await
}

#[tokio::test]
async fn stream_is_forwarded_unchanged() {
    for path in ["/stream/", "/resumable/"] {
        let gateway = TestGateway::with_endpoints(2, whole_stream()).await;
        let received = gateway.call(Call::post(path, b"x").id("r-1")).await;
        let bytes: Vec<u8> = (0..=LAST_EVENT).flat_map(event).collect();
        assert_that!(received.status, eq(200), "{path}");
        assert_that!(received.is_complete, eq(true), "{path}");
        assert_that!(received.body, eq(&bytes), "{path}");
        assert_that!(gateway.run_count("r-1"), eq(1), "{path}");
    }
}

#[tokio::test]
async fn stream_that_breaks_off_is_resumed_if_resumable() {
    for cut_at in [0, 1, 5, LAST_EVENT] {
        let gateway = TestGateway::with_endpoints(2, whole_stream()).await;
        gateway.script.push([cut_stream(cut_at)]);
        let received = call_resumable(&gateway).await;
        assert_that!(received.events(), eq(&all_events()), "cut at {cut_at}");
        assert_that!(received.is_complete, eq(true), "cut at {cut_at}");
        assert_that!(gateway.run_count("r-1"), eq(2), "cut at {cut_at}");
    }
}

#[tokio::test]
async fn stream_is_resumed_more_than_once() {
    let gateway = TestGateway::with_endpoints(3, whole_stream()).await;
    gateway.script.push([cut_stream(2), cut_stream(6)]);
    let received = call_resumable(&gateway).await;
    assert_that!(received.events(), eq(&all_events()));
    assert_that!(received.is_complete, eq(true));
}

#[tokio::test]
async fn stream_that_stalls_is_resumed_if_resumable() {
    let gateway = TestGateway::with_endpoints(2, whole_stream()).await;
    gateway
        .script
        .push([Behaviour::StreamThenStall { last: 3 }]);
    let received = call_resumable(&gateway).await;
    assert_that!(received.events(), eq(&all_events()));
    assert_that!(received.is_complete, eq(true));
}

#[tokio::test]
async fn stream_that_is_not_resumable_is_not_run_again() {
    let gateway = TestGateway::with_endpoints(2, whole_stream()).await;
    gateway.script.push([cut_stream(4)]);
    let received = gateway.call(Call::post("/stream/", b"x").id("r-1")).await;
    assert_that!(received.events().len(), le(5));
    assert_that!(received.is_complete, eq(false));
    assert_that!(gateway.run_count("r-1"), eq(1));
}

#[tokio::test]
async fn stream_that_breaks_off_everywhere_ends_incomplete() {
    let gateway = TestGateway::with_endpoints(3, cut_stream(4)).await;
    let received = call_resumable(&gateway).await;
    assert_that!(received.events(), eq(&[0, 1, 2, 3]));
    assert_that!(received.is_complete, eq(false));
}

#[tokio::test]
async fn stream_is_not_sent_to_more_endpoints_than_its_route_allows() {
    let gateway = TestGateway::with_endpoints(6, cut_stream(4)).await;
    call_resumable(&gateway).await;
    assert_that!(gateway.run_count("r-1"), eq(3));
}

#[tokio::test]
async fn stream_of_a_failed_endpoint_is_retried_if_resumable() {
    let gateway = TestGateway::with_endpoints(2, whole_stream()).await;
    gateway.script.push([Behaviour::Fail]);
    let received = call_resumable(&gateway).await;
    assert_that!(received.events(), eq(&all_events()));
    assert_that!(received.is_complete, eq(true));
}

#[tokio::test]
async fn stream_starts_after_the_event_that_the_caller_names() {
    let gateway = TestGateway::with_endpoints(2, whole_stream()).await;
    gateway.script.push([cut_stream(7)]);
    let call = Call::post("/resumable/", b"x")
        .id("r-1")
        .header("after", "5");
    let received = gateway.call(call).await;
    assert_that!(received.events(), eq(&[6, 7, 8, 9]));
}

#[tokio::test]
async fn stream_ends_when_the_caller_disconnects() {
    for path in ["/stream/", "/resumable/"] {
        let gateway = TestGateway::with_endpoints(1, Behaviour::StreamThenStall { last: 3 }).await;
        let call = Call::post(path, b"x").id("r-1");
        let mut stream = call.send(gateway.running.front_address()).await;
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.expect("a head");
        drop(stream);
        gateway.endpoints[0].wait_until_abandoned().await;
        assert_that!(gateway.run_count("r-1"), eq(1), "{path}");
    }
}

#[tokio::test]
async fn stream_names_the_holder_of_its_prefix() {
    let gateway = TestGateway::with_endpoints(4, whole_stream()).await;
    let call = |id: &str| {
        Call::post("/stream/", b"x")
            .id(id)
            .header("parts", "7,8,99")
    };
    gateway.call(call("r-1")).await;
    let holder = gateway
        .endpoints
        .iter()
        .position(|e| e.run_count("r-1") == 1);
    let holder = holder.expect("an endpoint that ran it");
    gateway.source.list(gateway.endpoints[holder].leaving());
    loop {
        gateway.call(call("r-2")).await;
        let others = gateway.endpoints.iter().enumerate();
        let mut others = others.filter(|(i, e)| *i != holder && e.run_count("r-2") > 0);
        if let Some((_, endpoint)) = others.next() {
            let seen = endpoint.requests();
            let address = gateway.endpoints[holder].endpoint.address.to_string();
            assert_that!(seen[0].header("holder"), some(eq(address.as_str())));
            return;
        }
    }
}

/// Guards against streams that leave a sound endpoint because it is silent for a second.
#[tokio::test]
async fn stream_stays_at_an_endpoint_that_is_silent_for_a_second() {
    const PAUSE_MS: u64 = 1_200;
    for path in ["/stream/", "/resumable/"] {
        let gateway = TestGateway::with_endpoints(2, whole_stream()).await;
        gateway.script.push([Behaviour::StreamWithPause {
            last: LAST_EVENT,
            pause_ms: PAUSE_MS,
        }]);
        let received = gateway.call(Call::post(path, b"x").id("r-1")).await;
        assert_that!(received.events(), eq(&all_events()), "{path}");
        assert_that!(received.is_complete, eq(true), "{path}");
        assert_that!(gateway.run_count("r-1"), eq(1), "{path}");
    }
}
