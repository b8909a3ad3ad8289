//! Datagrams of hosts of an earlier or later build are read or ignored.

use std::time::Duration;

use crate::support::{TestGateway, metric, rules, until};
use googletest::prelude::*;
use tokio::net::UdpSocket;

/// A heartbeat of build 0.1.0: a store subscriber with rules of version 7 and a list of
/// version 5, in which one endpoint is leaving.
const HEARTBEAT: &str = include_str!("data/heartbeat_0_1_0.hex");

fn parse_hex(hex: &str) -> Vec<u8> {
    const RADIX: u32 = 16;
    let hex = hex.trim();
    let digits = (0..hex.len()).step_by(2);
    digits
        .map(|i| u8::from_str_radix(&hex[i..i + 2], RADIX).expect("digits"))
        .collect()
}

async fn send(gateway: &TestGateway, bytes: &[u8]) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let sent = socket.send_to(bytes, gateway.peer_address()).await;
    sent.expect("a sent datagram");
}

#[tokio::test]
async fn heartbeat_of_an_earlier_build_is_read() {
    let gateway = TestGateway::with_rules(rules(1)).await;
    send(&gateway, &parse_hex(HEARTBEAT)).await;
    until(async || metric(&gateway, "peers_heard").await == 1.0).await;
    assert_that!(
        metric(&gateway, "leaving_heard_from_peers_total").await,
        eq(0.0)
    );
    assert_that!(metric(&gateway, "peer_garbage_total").await, eq(0.0));
}

#[tokio::test]
async fn datagram_of_an_unknown_kind_is_ignored() {
    const UNKNOWN_KIND: u8 = 100;
    let gateway = TestGateway::with_rules(rules(1)).await;
    let mut bytes = parse_hex(HEARTBEAT);
    bytes[0] = UNKNOWN_KIND;
    send(&gateway, &bytes).await;
    until(async || metric(&gateway, "peer_garbage_total").await == 1.0).await;
    send(&gateway, &parse_hex(HEARTBEAT)).await;
    until(async || metric(&gateway, "peers_heard").await == 1.0).await;
}

/// A later build may append fields to a known kind of datagram.
#[tokio::test]
async fn heartbeat_with_trailing_bytes_is_read() {
    let gateway = TestGateway::with_rules(rules(1)).await;
    let mut bytes = parse_hex(HEARTBEAT);
    bytes.extend_from_slice(b"more of a later build");
    send(&gateway, &bytes).await;
    until(async || metric(&gateway, "peers_heard").await == 1.0).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_that!(metric(&gateway, "peer_garbage_total").await, eq(0.0));
}
