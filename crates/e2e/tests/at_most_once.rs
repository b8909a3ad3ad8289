//! At most once: keyed requests under repeats, outages and lost answers.

use chalkrock_core::Outcome;
use chalkrock_e2e::{Cluster, ClusterSize, Told};
use chalkrock_standin::Faults;
use googletest::prelude::*;

const SIZE: ClusterSize = ClusterSize {
    hosts: 3,
    engines: 1,
    services: 2,
};

async fn keyed(cluster: &Cluster, host: usize, key: &str) -> eyre::Result<Told> {
    let call = cluster
        .service_call(host, "entries")
        .header("idempotency-key", key);
    Ok(Told::of(&call.send().await?))
}

fn total_runs(cluster: &Cluster) -> u32 {
    cluster
        .services
        .iter()
        .map(|service| service.total_runs())
        .sum()
}

fn set_service_faults(cluster: &Cluster, faults: &Faults) {
    for service in &cluster.services {
        service.faults.set(faults.clone());
    }
}

#[tokio::test]
async fn repeat_through_another_router_does_not_run() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let first = keyed(&cluster, 0, "k").await?;
    assert_that!(first.outcome, some(eq(Outcome::Ran)));
    cluster
        .wait_until("the claim's end", async || {
            keyed(&cluster, 1, "k")
                .await
                .is_ok_and(|told| told.status == 409)
        })
        .await?;
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn repeats_at_once_through_all_routers_run_once() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let calls = (0..30).map(|i| keyed(&cluster, i % 3, "k"));
    let told = futures::future::try_join_all(calls).await?;
    let ran = told
        .iter()
        .filter(|told| told.outcome == Some(Outcome::Ran))
        .count();
    assert_that!(ran, eq(1));
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn platform_down_refuses_at_once_and_runs_nothing() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    cluster.platform.faults.set(Faults {
        down: true,
        ..Default::default()
    });
    let told = keyed(&cluster, 0, "k").await?;
    assert_that!(told.status, eq(503));
    assert_that!(told.outcome, some(eq(Outcome::NotRun)));
    assert_that!(told.retry_after_s, some(gt(0)));
    assert_that!(total_runs(&cluster), eq(0));
    // Requests without a key need no claim, and go on.
    let response = cluster.service_call(0, "entries").send().await?;
    assert_that!(response.status().as_u16(), eq(200));
    Ok(())
}

#[tokio::test]
async fn claim_written_without_an_answer_is_settled() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    cluster.platform.faults.set(Faults {
        lose_answers: true,
        ..Default::default()
    });
    let told = keyed(&cluster, 0, "k").await?;
    assert_that!(told.outcome, some(eq(Outcome::Ran)));
    let repeat = keyed(&cluster, 1, "k").await?;
    assert_that!(repeat.status, eq(409));
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn request_that_did_not_run_may_be_repeated() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    set_service_faults(
        &cluster,
        &Faults {
            refuse: true,
            ..Default::default()
        },
    );
    let told = keyed(&cluster, 0, "k").await?;
    assert_that!(told.outcome, some(eq(Outcome::NotRun)));
    set_service_faults(&cluster, &Faults::default());
    cluster
        .wait_until("the repeat", async || {
            keyed(&cluster, 1, "k")
                .await
                .is_ok_and(|told| told.outcome == Some(Outcome::Ran))
        })
        .await?;
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn key_with_another_body_is_refused() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    keyed(&cluster, 0, "k").await?;
    let call = cluster
        .service_call(0, "entries")
        .header("idempotency-key", "k");
    let told = Told::of(&call.body("another").send().await?);
    assert_that!(told.status, eq(422));
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn answer_that_never_comes_is_unknown_and_not_repeated() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    set_service_faults(
        &cluster,
        &Faults {
            lose_answers: true,
            ..Default::default()
        },
    );
    let told = keyed(&cluster, 0, "k").await?;
    assert_that!(told.status, eq(504));
    assert_that!(told.outcome, some(eq(Outcome::Unknown)));
    set_service_faults(&cluster, &Faults::default());
    let repeat = keyed(&cluster, 1, "k").await?;
    assert_that!(repeat.status, eq(409));
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn router_killed_after_dispatch_leaves_the_claim() -> eyre::Result<()> {
    let mut cluster = Cluster::start(SIZE).await?;
    set_service_faults(
        &cluster,
        &Faults {
            lose_answers: true,
            ..Default::default()
        },
    );
    let call = cluster
        .service_call(0, "entries")
        .header("idempotency-key", "k");
    let calling = tokio::spawn(call.send());
    cluster
        .wait_until("the run", async || total_runs(&cluster) == 1)
        .await?;
    cluster.hosts[0].router.kill()?;
    assert_that!(calling.await?.is_err(), eq(true));
    set_service_faults(&cluster, &Faults::default());
    let repeat = keyed(&cluster, 1, "k").await?;
    assert_that!(repeat.status, eq(409));
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn router_frozen_over_its_claim_runs_it_once() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    // The claim's answer comes late, so that the router is frozen between
    // claim and dispatch.
    cluster.platform.faults.set(Faults {
        slow_ms: 300,
        ..Default::default()
    });
    let call = cluster
        .service_call(0, "entries")
        .header("idempotency-key", "k");
    let calling = tokio::spawn(call.send());
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    cluster.hosts[0].router.freeze()?;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    cluster.platform.faults.set(Faults::default());
    let repeat = keyed(&cluster, 1, "k").await?;
    cluster.hosts[0].router.thaw()?;
    let thawed = Told::of(&calling.await??);
    let ran = [&repeat, &thawed]
        .iter()
        .filter(|t| t.outcome == Some(Outcome::Ran))
        .count();
    assert_that!(ran, le(1));
    assert_that!(total_runs(&cluster), le(1));
    assert_that!(total_runs(&cluster) as usize, eq(ran));
    Ok(())
}
