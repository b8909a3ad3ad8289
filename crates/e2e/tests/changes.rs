//! Configuration, leaving endpoints and planned stops, with real processes.

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
/// After this time a leaving endpoint receives no new work.
const LEFT_AFTER: Duration = Duration::from_secs(3);

async fn all_at(cluster: &Cluster, version: u64) -> bool {
    for host in 0..cluster.hosts.len() {
        if cluster.version_at(host).await != Some(version) {
            return false;
        }
    }
    true
}

#[tokio::test]
async fn config_is_in_force_everywhere_within_two_seconds() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let mut config = cluster.first_config();
    config.organisations[1].weight = 7;
    cluster.submit(&config, ConfigVersion(1), "second").await?;
    let accepted_at = Instant::now();
    cluster
        .wait_until("version 2", async || all_at(&cluster, 2).await)
        .await?;
    assert_that!(accepted_at.elapsed(), lt(Duration::from_secs(2)));
    Ok(())
}

#[tokio::test]
async fn config_of_two_operators_at_once_has_one_winner() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let config = cluster.first_config();
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
        .wait_until("version 2", async || all_at(&cluster, 2).await)
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
    let config = cluster.first_config();
    let version = cluster.submit(&config, ConfigVersion(1), "second").await?;
    assert_that!(version, eq(ConfigVersion(2)));
    cluster.platform.faults.set(Faults::default());
    cluster
        .wait_until("version 2", async || all_at(&cluster, 2).await)
        .await?;
    Ok(())
}

#[tokio::test]
async fn config_never_goes_back_over_restarts_in_an_outage() -> eyre::Result<()> {
    let mut cluster = Cluster::start(SIZE).await?;
    let config = cluster.first_config();
    cluster.submit(&config, ConfigVersion(1), "second").await?;
    cluster
        .wait_until("version 2", async || all_at(&cluster, 2).await)
        .await?;
    cluster.platform.faults.set(Faults {
        down: true,
        ..Default::default()
    });
    for host in 0..cluster.hosts.len() {
        cluster.hosts[host].agent.kill()?;
        cluster.restart_agent(host)?;
        for _ in 0..10 {
            assert_that!(all_at(&cluster, 2).await, eq(true));
            assert_that!(cluster.chat(host, "n1", false).await?.told.status, eq(200));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

fn refused(cluster: &Cluster, engine: usize) -> u64 {
    cluster.engines[engine].counts().refused
}

fn taken(cluster: &Cluster, engine: usize) -> u64 {
    cluster.engines[engine].counts().started + refused(cluster, engine)
}

/// New work that an engine is sent from now on, over requests to all routers.
async fn new_work(cluster: &Cluster, engine: usize) -> eyre::Result<u64> {
    let before = taken(cluster, engine);
    for i in 0..60 {
        let answer = cluster.chat(i % 3, &format!("n{i}"), false).await?;
        assert_that!(answer.told.status, eq(200));
    }
    Ok(taken(cluster, engine) - before)
}

#[tokio::test]
async fn leaving_engine_by_the_list_gets_no_new_work() -> eyre::Result<()> {
    let mut cluster = Cluster::start(SIZE).await?;
    assert_that!(new_work(&cluster, 0).await?, gt(0));
    cluster.list_mut().endpoints[0].state = HostState::Leaving;
    cluster.publish_list();
    tokio::time::sleep(LEFT_AFTER).await;
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
    tokio::time::sleep(LEFT_AFTER).await;
    assert_that!(new_work(&cluster, 0).await?, eq(0));
    Ok(())
}

#[tokio::test]
async fn leaving_engine_gets_none_from_a_router_without_its_agent() -> eyre::Result<()> {
    let mut cluster = Cluster::start(SIZE).await?;
    cluster.hosts[1].agent.kill()?;
    cluster.engines[0].leave();
    tokio::time::sleep(LEFT_AFTER).await;
    let before = taken(&cluster, 0);
    for i in 0..30 {
        let answer = cluster.chat(1, &format!("n{i}"), false).await?;
        assert_that!(answer.told.status, eq(200));
    }
    assert_that!(taken(&cluster, 0), eq(before));
    Ok(())
}

#[tokio::test]
async fn leaving_engine_gets_none_from_a_router_that_was_frozen() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    cluster.hosts[1].router.freeze()?;
    cluster.engines[0].leave();
    tokio::time::sleep(LEFT_AFTER + Duration::from_secs(1)).await;
    let before = taken(&cluster, 0);
    let calls = (0..30).map(|i| {
        let cluster = &cluster;
        async move { cluster.chat(1, &format!("n{i}"), false).await }
    });
    let calling = futures::future::join_all(calls);
    let thawing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.hosts[1].router.thaw()
    };
    let (answers, thawed) = tokio::join!(calling, thawing);
    thawed?;
    assert_that!(
        answers.iter().filter(|answer| answer.is_ok()).count(),
        eq(30)
    );
    assert_that!(taken(&cluster, 0), eq(before));
    Ok(())
}

/// Services have no slots: the age of the view alone keeps a thawed router from
/// a replica that left meanwhile.
#[tokio::test]
async fn leaving_service_gets_none_from_a_router_that_was_frozen() -> eyre::Result<()> {
    let mut cluster = Cluster::start(ClusterSize {
        services: 2,
        ..SIZE
    })
    .await?;
    cluster.hosts[1].router.freeze()?;
    let leaving = cluster.engines.len();
    cluster.list_mut().endpoints[leaving].state = HostState::Leaving;
    cluster.publish_list();
    tokio::time::sleep(LEFT_AFTER + Duration::from_secs(1)).await;
    let calls = (0..40).map(|_| cluster.service_call(1, "entries").send());
    let calling = futures::future::join_all(calls);
    let thawing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.hosts[1].router.thaw()
    };
    let (answers, thawed) = tokio::join!(calling, thawing);
    thawed?;
    assert_that!(
        answers.iter().filter(|answer| answer.is_ok()).count(),
        eq(40)
    );
    assert_that!(cluster.services[0].total_runs(), eq(0));
    assert_that!(cluster.services[1].total_runs(), eq(40));
    Ok(())
}

/// Sends streams through whichever router takes them, until told to stop.
/// Returns how many were whole, and how many were cut.
async fn load_until(cluster: &Cluster, stop: &std::cell::Cell<bool>) -> (u32, u32) {
    let (mut whole, mut cut) = (0, 0);
    let mut turn = 0;
    while !stop.get() {
        turn += 1;
        let call = cluster.chat_call(turn % cluster.hosts.len(), "n1", true);
        // Not connected, or refused as leaving: the balancer asks another.
        let Ok(response) = call.send().await else {
            continue;
        };
        if response.status().as_u16() == 503 {
            continue;
        }
        match chalkrock_e2e::read_chat(response).await {
            Ok(_) => whole += 1,
            Err(_) => cut += 1,
        }
    }
    (whole, cut)
}

#[tokio::test]
async fn planned_stops_of_all_routers_cut_no_stream() -> eyre::Result<()> {
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
            results.iter().map(|(_, cut)| cut).sum::<u32>(),
            eq(0),
            "host {host}"
        );
        assert_that!(results.iter().map(|(whole, _)| whole).sum::<u32>(), gt(0));
        let status = cluster.hosts[host].router.ended().await?;
        assert_that!(status.success(), eq(true));
        cluster.restart_router(host)?;
        cluster.wait_until_ready().await?;
    }
    Ok(())
}

#[tokio::test]
async fn planned_stops_of_all_agents_cut_no_stream() -> eyre::Result<()> {
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
            results.iter().map(|(_, cut)| cut).sum::<u32>(),
            eq(0),
            "host {host}"
        );
        cluster.restart_agent(host)?;
        cluster.wait_until_ready().await?;
    }
    Ok(())
}
