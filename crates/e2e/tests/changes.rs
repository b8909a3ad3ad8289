//! Configuration changes, leaving endpoints and graceful stops in separate processes.

use std::time::Duration;

use chalkrock_core::{ConfigVersion, HostState};
use chalkrock_e2e::{Cluster, ClusterSize};
use chalkrock_standin::{EngineSettings, Faults};
use googletest::prelude::*;
use tokio::time::Instant;

const SIZE: ClusterSize = ClusterSize {
    hosts: 3,
    engines: 3,
    services: 1,
};
/// Time after which a leaving endpoint receives no new requests.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

async fn all_at_version(cluster: &Cluster, version: u64) -> bool {
    for host in 0..cluster.hosts.len() {
        if cluster.config_version(host).await != Some(version) {
            return false;
        }
    }
    true
}

#[tokio::test]
async fn config_is_active_on_all_hosts_within_two_seconds() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let mut config = cluster.initial_config();
    config.organisations[1].weight = 7;
    cluster.submit(&config, ConfigVersion(1), "second").await?;
    let accepted_at = Instant::now();
    cluster
        .wait_until("version 2", async || all_at_version(&cluster, 2).await)
        .await?;
    assert_that!(accepted_at.elapsed(), lt(Duration::from_secs(2)));
    Ok(())
}

#[tokio::test]
async fn config_submitted_concurrently_has_one_winner() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let config = cluster.initial_config();
    let submits = (0..8).map(|i| {
        let (cluster, config) = (&cluster, &config);
        async move {
            cluster
                .submit(config, ConfigVersion(1), &format!("change-{i}"))
                .await
        }
    });
    let results = futures::future::join_all(submits).await;
    assert_that!(
        results.iter().filter(|result| result.is_ok()).count(),
        eq(1)
    );
    cluster
        .wait_until("version 2", async || all_at_version(&cluster, 2).await)
        .await?;
    Ok(())
}

#[tokio::test]
async fn config_accepted_without_an_answer_is_settled() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    cluster.platform.faults.set(Faults {
        lose_answers: true,
        ..Default::default()
    });
    let config = cluster.initial_config();
    let version = cluster.submit(&config, ConfigVersion(1), "second").await?;
    assert_that!(version, eq(ConfigVersion(2)));
    cluster.platform.faults.set(Faults::default());
    cluster
        .wait_until("version 2", async || all_at_version(&cluster, 2).await)
        .await?;
    Ok(())
}

#[tokio::test]
async fn config_never_reverts_over_restarts_in_an_outage() -> eyre::Result<()> {
    let mut cluster = Cluster::start(SIZE).await?;
    let config = cluster.initial_config();
    cluster.submit(&config, ConfigVersion(1), "second").await?;
    cluster
        .wait_until("version 2", async || all_at_version(&cluster, 2).await)
        .await?;
    cluster.platform.faults.set(Faults {
        down: true,
        ..Default::default()
    });
    for host in 0..cluster.hosts.len() {
        cluster.hosts[host].agent.kill()?;
        cluster.restart_agent(host)?;
        for _ in 0..10 {
            assert_that!(all_at_version(&cluster, 2).await, eq(true));
            assert_that!(cluster.chat(host, "n1", false).await?.head.status, eq(200));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

fn refused(cluster: &Cluster, engine: usize) -> u64 {
    cluster.engines[engine].counts().refused
}

fn received(cluster: &Cluster, engine: usize) -> u64 {
    cluster.engines[engine].counts().started + refused(cluster, engine)
}

/// Sends requests through all routers and returns how many reached an engine.
async fn new_work(cluster: &Cluster, engine: usize) -> eyre::Result<u64> {
    let before = received(cluster, engine);
    for i in 0..60 {
        let answer = cluster.chat(i % 3, &format!("n{i}"), false).await?;
        assert_that!(answer.head.status, eq(200));
    }
    Ok(received(cluster, engine) - before)
}

#[tokio::test]
async fn leaving_engine_in_the_host_list_gets_no_new_work() -> eyre::Result<()> {
    let mut cluster = Cluster::start(SIZE).await?;
    assert_that!(new_work(&cluster, 0).await?, gt(0));
    cluster.host_list_mut().endpoints[0].state = HostState::Leaving;
    cluster.publish_host_list();
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    assert_that!(new_work(&cluster, 0).await?, eq(0));
    Ok(())
}

#[tokio::test]
async fn leaving_engine_in_an_outage_gets_no_new_work() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    cluster.platform.faults.set(Faults {
        down: true,
        ..Default::default()
    });
    cluster.engines[0].leave();
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    assert_that!(new_work(&cluster, 0).await?, eq(0));
    Ok(())
}

#[tokio::test]
async fn leaving_engine_gets_none_from_a_router_without_its_agent() -> eyre::Result<()> {
    let mut cluster = Cluster::start(SIZE).await?;
    cluster.hosts[1].agent.kill()?;
    cluster.engines[0].leave();
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    let before = received(&cluster, 0);
    for i in 0..30 {
        let answer = cluster.chat(1, &format!("n{i}"), false).await?;
        assert_that!(answer.head.status, eq(200));
    }
    assert_that!(received(&cluster, 0), eq(before));
    Ok(())
}

#[tokio::test]
async fn leaving_engine_gets_none_from_a_router_that_was_suspended() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    cluster.hosts[1].router.suspend()?;
    cluster.engines[0].leave();
    tokio::time::sleep(LEAVE_TIMEOUT + Duration::from_secs(1)).await;
    let before = received(&cluster, 0);
    let calls = (0..30).map(|i| {
        let cluster = &cluster;
        async move { cluster.chat(1, &format!("n{i}"), false).await }
    });
    let calls = futures::future::join_all(calls);
    let resuming = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.hosts[1].router.resume()
    };
    let (answers, resumed) = tokio::join!(calls, resuming);
    resumed?;
    assert_that!(
        answers.iter().filter(|answer| answer.is_ok()).count(),
        eq(30)
    );
    assert_that!(received(&cluster, 0), eq(before));
    Ok(())
}

/// Guards against a resumed router that uses a stale view. Services have no slots,
/// so only the age of the view prevents it.
#[tokio::test]
async fn leaving_service_gets_none_from_a_router_that_was_suspended() -> eyre::Result<()> {
    let mut cluster = Cluster::start(ClusterSize {
        services: 2,
        ..SIZE
    })
    .await?;
    cluster.hosts[1].router.suspend()?;
    let leaving = cluster.engines.len();
    cluster.host_list_mut().endpoints[leaving].state = HostState::Leaving;
    cluster.publish_host_list();
    tokio::time::sleep(LEAVE_TIMEOUT + Duration::from_secs(1)).await;
    let calls = (0..40).map(|_| cluster.service_call(1, "entries").send());
    let calls = futures::future::join_all(calls);
    let resuming = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.hosts[1].router.resume()
    };
    let (answers, resumed) = tokio::join!(calls, resuming);
    resumed?;
    assert_that!(
        answers.iter().filter(|answer| answer.is_ok()).count(),
        eq(40)
    );
    assert_that!(cluster.services[0].total_runs(), eq(0));
    assert_that!(cluster.services[1].total_runs(), eq(40));
    Ok(())
}

/// Sends streams through all routers until stopped. Returns the numbers of complete
/// and of truncated streams.
async fn load_until(cluster: &Cluster, stop: &std::cell::Cell<bool>) -> (u32, u32) {
    let (mut complete, mut truncated) = (0, 0);
    let mut attempt = 0;
    while !stop.get() {
        attempt += 1;
        let call = cluster.chat_call(attempt % cluster.hosts.len(), "n1", true);
        // A load balancer tries another router on a failed connection or a 503.
        let Ok(response) = call.send().await else {
            continue;
        };
        if response.status().as_u16() == 503 {
            continue;
        }
        match chalkrock_e2e::read_chat(response).await {
            Ok(_) => complete += 1,
            Err(_) => truncated += 1,
        }
    }
    (complete, truncated)
}

#[tokio::test]
async fn graceful_stops_of_all_routers_truncate_no_stream() -> eyre::Result<()> {
    let engine = EngineSettings {
        token_ms: 10,
        ..Default::default()
    };
    let mut cluster = Cluster::start_with(SIZE, engine).await?;
    for host in 0..cluster.hosts.len() {
        let stop = std::cell::Cell::new(false);
        let loads = futures::future::join_all((0..12).map(|_| load_until(&cluster, &stop)));
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.hosts[host].router.terminate()?;
            tokio::time::sleep(Duration::from_millis(500)).await;
            stop.set(true);
            eyre::Ok(())
        };
        let (results, stopped) = tokio::join!(loads, stopping);
        stopped?;
        assert_that!(
            results.iter().map(|(_, truncated)| truncated).sum::<u32>(),
            eq(0),
            "host {host}"
        );
        assert_that!(results.iter().map(|(done, _)| done).sum::<u32>(), gt(0));
        let status = cluster.hosts[host].router.wait_for_exit().await?;
        assert_that!(status.success(), eq(true));
        cluster.restart_router(host)?;
        cluster.wait_until_ready().await?;
    }
    Ok(())
}

#[tokio::test]
async fn graceful_stops_of_all_agents_truncate_no_stream() -> eyre::Result<()> {
    let engine = EngineSettings {
        token_ms: 10,
        ..Default::default()
    };
    let mut cluster = Cluster::start_with(SIZE, engine).await?;
    for host in 0..cluster.hosts.len() {
        let stop = std::cell::Cell::new(false);
        let loads = futures::future::join_all((0..12).map(|_| load_until(&cluster, &stop)));
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            cluster.hosts[host].agent.terminate()?;
            tokio::time::sleep(Duration::from_millis(600)).await;
            stop.set(true);
            eyre::Ok(())
        };
        let (results, stopped) = tokio::join!(loads, stopping);
        stopped?;
        assert_that!(
            results.iter().map(|(_, truncated)| truncated).sum::<u32>(),
            eq(0),
            "host {host}"
        );
        cluster.restart_agent(host)?;
        cluster.wait_until_ready().await?;
    }
    Ok(())
}
