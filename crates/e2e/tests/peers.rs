//! Guards against an agent that accepts mismatched peers or malformed input.

use std::sync::Arc;

use chalkrock_core::key_digest;
use chalkrock_e2e::{Cluster, ClusterSize};
use chalkrock_proto::{
    ByteCounter, ConnectError, Hello, KnownView, PROTOCOL_VERSION, PeerError, Purpose, connect,
};
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SIZE: ClusterSize = ClusterSize {
    hosts: 1,
    engines: 1,
    services: 1,
};

fn hello() -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        fleet_key_sha256: key_digest("test-fleet-key").into(),
        host: "stranger".into(),
        purpose: Purpose::View,
    }
}

async fn refused(cluster: &Cluster, why: &str) -> u64 {
    let url = format!("http://{}/metrics", cluster.hosts[0].agent.address(1));
    let Ok(response) = cluster.client.get(url).send().await else {
        return 0;
    };
    let text = response.text().await.unwrap_or_default();
    let prefix = format!("chalkrock_peers_refused_total{{why=\"{why}\"}} ");
    text.lines()
        .find_map(|line| line.strip_prefix(&prefix)?.parse().ok())
        .unwrap_or(0)
}

#[tokio::test]
async fn mismatched_peers_are_refused_and_counted() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let address = cluster.hosts[0].agent.address(0);
    let cases = [
        (
            "version",
            Hello {
                protocol_version: 99,
                ..hello()
            },
            PeerError::WrongVersion,
        ),
        (
            "fleet",
            Hello {
                fleet_key_sha256: key_digest("other").into(),
                ..hello()
            },
            PeerError::WrongFleet,
        ),
    ];
    for (why, hello, expected) in cases {
        match connect(address, hello, Arc::new(ByteCounter::default())).await {
            Err(ConnectError::Rejected { source, .. }) => assert_that!(source, eq(expected)),
            other => panic!("{why}: not refused: {:?}", other.err()),
        }
        assert_that!(refused(&cluster, why).await, eq(1));
    }
    Ok(())
}

#[tokio::test]
async fn call_outside_its_purpose_is_refused() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let hello = Hello {
        purpose: Purpose::Slots,
        ..hello()
    };
    let address = cluster.hosts[0].agent.address(0);
    let client = connect(address, hello, Arc::new(ByteCounter::default())).await?;
    let answer = client
        .watch_view(tarpc::context::current(), KnownView::default())
        .await?;
    assert_that!(answer.err(), some(eq(PeerError::NoHello)));
    Ok(())
}

#[tokio::test]
async fn garbage_is_refused_and_counted() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let mut stream = TcpStream::connect(cluster.hosts[0].agent.address(0)).await?;
    stream.write_all(&[0xff; 4_096]).await?;
    cluster
        .wait_until("the count", async || {
            refused(&cluster, "garbage").await >= 1
        })
        .await?;
    let answer = cluster.chat(0, "n1", false).await?;
    assert_that!(answer.head.status, eq(200));
    Ok(())
}
