//! Plans, the proxy and processes.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use chalkrock_soak::{LinkMode, Plan, PlanShape, Process, Proxy};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SHAPE: PlanShape = PlanShape {
    from_ms: 8_000,
    until_ms: 28_000,
};
/// Time in which held bytes must not arrive.
const HELD: Duration = Duration::from_millis(80);
/// Time in which passed bytes arrive.
const PASSED: Duration = Duration::from_secs(5);

/// Guards against a seed that can't be repeated, and against plans out of their bounds.
#[test]
fn draw_of_a_seed_is_repeatable_and_within_bounds() {
    let mut overlapping = 0;
    for seed in 0..200 {
        let plan = Plan::draw(seed, SHAPE);
        assert_that!(Plan::draw(seed, SHAPE), eq(&plan));
        assert_that!(plan.hosts, all![ge(3), le(8)]);
        assert_that!(plan.endpoints, all![ge(6), le(13)]);
        assert_that!(plan.faults, not(is_empty()));
        for fault in &plan.faults {
            assert_that!(fault.at_ms, ge(SHAPE.from_ms));
            assert_that!(fault.end_ms(), le(SHAPE.until_ms));
        }
        if let Some(part) = plan.poison_part {
            assert_that!(part.at_ms, ge(SHAPE.from_ms));
            assert_that!(part.at_ms + part.for_ms, le(SHAPE.until_ms));
        }
        let pairs = plan.faults.windows(2);
        overlapping += usize::from(pairs.clone().any(|pair| pair[1].at_ms < pair[0].end_ms()));
    }
    assert_that!(overlapping, all![gt(50), lt(150)]);
}

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reads, mut writes) = stream.split();
                let _may_be_reset = tokio::io::copy(&mut reads, &mut writes).await;
            });
        }
    });
    address
}

async fn echo(client: &mut TcpStream) -> std::io::Result<u8> {
    client.write_all(b"x").await?;
    client.read_u8().await
}

#[tokio::test]
async fn set_mode_holds_and_resets_open_connections() {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::start(any_port, echo_server().await)
        .await
        .expect("a proxy");
    for mode in [
        LinkMode::CutToServer,
        LinkMode::CutToClient,
        LinkMode::Silent,
    ] {
        let mut client = TcpStream::connect(proxy.address())
            .await
            .expect("a connection");
        assert_that!(echo(&mut client).await.ok(), some(eq(b'x')));
        proxy.set_mode(mode);
        assert_that!(
            timeout(HELD, echo(&mut client)).await.is_err(),
            eq(true),
            "{mode:?}"
        );
        proxy.set_mode(LinkMode::Open);
        let held = timeout(PASSED, client.read_u8())
            .await
            .expect("held bytes arrive");
        assert_that!(held.ok(), some(eq(b'x')), "{mode:?}");
    }
    for mode in [LinkMode::Reset, LinkMode::Refused] {
        let mut client = TcpStream::connect(proxy.address())
            .await
            .expect("a connection");
        assert_that!(echo(&mut client).await.ok(), some(eq(b'x')));
        proxy.set_mode(mode);
        let ended = timeout(PASSED, client.read_u8())
            .await
            .expect("a reset arrives");
        let kind = ended.expect_err("no bytes arrive").kind();
        assert_that!(kind, eq(std::io::ErrorKind::ConnectionReset), "{mode:?}");
        if mode == LinkMode::Refused {
            while TcpStream::connect(proxy.address()).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        proxy.set_mode(LinkMode::Open);
        let reconnected = async {
            loop {
                if let Ok(mut client) = TcpStream::connect(proxy.address()).await
                    && echo(&mut client).await.is_ok()
                {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        assert_that!(
            timeout(PASSED, reconnected).await.is_ok(),
            eq(true),
            "{mode:?}"
        );
    }
}

/// Guards against processes that outlive the soak or miss their signals.
#[tokio::test]
async fn process_ends_by_signals_to_its_id() {
    const GRACE: Duration = Duration::from_millis(200);
    let sleep = || Process::start(Command::new("sleep").arg("60")).expect("a process");
    let mut terminated = sleep();
    terminated.terminate().expect("a signal");
    assert_that!(terminated.wait_or_kill(PASSED).await.ok(), some(eq(true)));
    let mut paused = sleep();
    paused.pause().expect("a signal");
    paused.terminate().expect("a signal");
    assert_that!(paused.wait_or_kill(GRACE).await.ok(), some(eq(false)));
    assert_that!(paused.exit_status().expect("a status").is_some(), eq(true));
}
