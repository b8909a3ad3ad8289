//! Guards against running a request with an idempotency key more than once.

use chalkrock_core::Outcome;
use chalkrock_e2e::{Cluster, ClusterSize, ResponseHead};
use chalkrock_standin::Faults;
use googletest::prelude::*;

const SIZE: ClusterSize = ClusterSize {
    hosts: 3,
    engines: 1,
    services: 2,
};

async fn send_keyed(cluster: &Cluster, host: usize, key: &str) -> eyre::Result<ResponseHead> {
    let call = cluster
        .service_call(host, "entries")
        .header("idempotency-key", key);
    Ok(ResponseHead::from_response(&call.send().await?))
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
    let first = send_keyed(&cluster, 0, "k").await?;
    assert_that!(first.outcome, some(eq(Outcome::Ran)));
    cluster
        .wait_until("the claim's end", async || {
            send_keyed(&cluster, 1, "k")
                .await
                .is_ok_and(|head| head.status == 409)
        })
        .await?;
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn concurrent_repeats_through_all_routers_run_once() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let calls = (0..30).map(|i| send_keyed(&cluster, i % 3, "k"));
    let heads = futures::future::try_join_all(calls).await?;
    let ran = heads
        .iter()
        .filter(|head| head.outcome == Some(Outcome::Ran))
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
    let head = send_keyed(&cluster, 0, "k").await?;
    assert_that!(head.status, eq(503));
    assert_that!(head.outcome, some(eq(Outcome::NotRun)));
    assert_that!(head.retry_after_s, some(gt(0)));
    assert_that!(total_runs(&cluster), eq(0));
    // Requests without a key need no claim.
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
    let head = send_keyed(&cluster, 0, "k").await?;
    assert_that!(head.outcome, some(eq(Outcome::Ran)));
    let repeat = send_keyed(&cluster, 1, "k").await?;
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
    let head = send_keyed(&cluster, 0, "k").await?;
    assert_that!(head.outcome, some(eq(Outcome::NotRun)));
    set_service_faults(&cluster, &Faults::default());
    cluster
        .wait_until("the repeat", async || {
            send_keyed(&cluster, 1, "k")
                .await
                .is_ok_and(|head| head.outcome == Some(Outcome::Ran))
        })
        .await?;
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn key_with_another_body_is_refused() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    send_keyed(&cluster, 0, "k").await?;
    let call = cluster
        .service_call(0, "entries")
        .header("idempotency-key", "k");
    let head = ResponseHead::from_response(&call.body("another").send().await?);
    assert_that!(head.status, eq(422));
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn lost_answer_is_unknown_and_not_repeated() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    set_service_faults(
        &cluster,
        &Faults {
            lose_answers: true,
            ..Default::default()
        },
    );
    let head = send_keyed(&cluster, 0, "k").await?;
    assert_that!(head.status, eq(504));
    assert_that!(head.outcome, some(eq(Outcome::Unknown)));
    set_service_faults(&cluster, &Faults::default());
    let repeat = send_keyed(&cluster, 1, "k").await?;
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
    let call_task = tokio::spawn(call.send());
    cluster
        .wait_until("the run", async || total_runs(&cluster) == 1)
        .await?;
    cluster.hosts[0].router.kill()?;
    assert_that!(call_task.await?.is_err(), eq(true));
    set_service_faults(&cluster, &Faults::default());
    let repeat = send_keyed(&cluster, 1, "k").await?;
    assert_that!(repeat.status, eq(409));
    assert_that!(total_runs(&cluster), eq(1));
    Ok(())
}

#[tokio::test]
async fn router_suspended_between_claim_and_dispatch_runs_once() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    // Delays the claim's answer, so that the router is suspended before dispatch.
    cluster.platform.faults.set(Faults {
        slow_ms: 300,
        ..Default::default()
    });
    let call = cluster
        .service_call(0, "entries")
        .header("idempotency-key", "k");
    let call_task = tokio::spawn(call.send());
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    cluster.hosts[0].router.suspend()?;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    cluster.platform.faults.set(Faults::default());
    let repeat = send_keyed(&cluster, 1, "k").await?;
    cluster.hosts[0].router.resume()?;
    let resumed = ResponseHead::from_response(&call_task.await??);
    let ran = [&repeat, &resumed]
        .iter()
        .filter(|head| head.outcome == Some(Outcome::Ran))
        .count();
    assert_that!(ran, le(1));
    assert_that!(total_runs(&cluster), le(1));
    assert_that!(total_runs(&cluster) as usize, eq(ran));
    Ok(())
}
