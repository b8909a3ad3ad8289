//! Hosts of an earlier or a later build beside this one: what they send is read, or
//! passed over.

use std::time::Duration;

use crate::support::{TestGateway, metric_value, rules, until};
use googletest::prelude::*;
use tokio::net::UdpSocket;

/// A heartbeat as the build before rollouts and eras sent it: a reader that knows rules
/// of version 7 and a list of version 5, in which one endpoint leaves. Its bytes were
/// taken from its socket.
const HEARTBEAT: &str = include_str!("data/heartbeat_0_1_0.hex");

fn bytes_of(hex: &str) -> Vec<u8> {
    const RADIX: u32 = 16;
    let hex = hex.trim();
    let digits = (0..hex.len()).step_by(2);
    digits
        .map(|at| u8::from_str_radix(&hex[at..at + 2], RADIX).expect("digits"))
        .collect()
}

async fn send(gateway: &TestGateway, bytes: &[u8]) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let sent = socket.send_to(bytes, gateway.peer_address()).await;
    sent.expect("it is sent");
}

#[tokio::test]
async fn heartbeat_of_the_build_before_is_read() {
    let gateway = TestGateway::with_rules(rules(1)).await;
    send(&gateway, &bytes_of(HEARTBEAT)).await;
    until(async || metric_value(&gateway, "peers_heard").await == 1.0).await;
    assert_that!(
        metric_value(&gateway, "leaving_heard_from_peers_total").await,
        eq(0.0)
    );
    assert_that!(metric_value(&gateway, "peer_garbage_total").await, eq(0.0));
}

#[tokio::test]
async fn datagram_of_a_kind_that_is_not_known_is_passed_over() {
    const KIND_OF_A_LATER_BUILD: u8 = 100;
    let gateway = TestGateway::with_rules(rules(1)).await;
    let mut bytes = bytes_of(HEARTBEAT);
    bytes[0] = KIND_OF_A_LATER_BUILD;
    send(&gateway, &bytes).await;
    until(async || metric_value(&gateway, "peer_garbage_total").await == 1.0).await;
    send(&gateway, &bytes_of(HEARTBEAT)).await;
    until(async || metric_value(&gateway, "peers_heard").await == 1.0).await;
}

/// What is appended to a known kind is passed over too.
#[tokio::test]
async fn heartbeat_with_more_behind_it_is_read() {
    let gateway = TestGateway::with_rules(rules(1)).await;
    let mut bytes = bytes_of(HEARTBEAT);
    bytes.extend_from_slice(b"more of a later build");
    send(&gateway, &bytes).await;
    until(async || metric_value(&gateway, "peers_heard").await == 1.0).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_that!(metric_value(&gateway, "peer_garbage_total").await, eq(0.0));
}
