//! Guards against reported outcomes that differ from what the stand-ins ran, over
//! seeded requests with faults.

use std::time::Duration;

use chalkrock_core::Outcome;
use chalkrock_e2e::{Cluster, ClusterSize, ResponseHead};
use chalkrock_standin::Faults;
use googletest::prelude::*;

const SIZE: ClusterSize = ClusterSize {
    hosts: 2,
    engines: 2,
    services: 2,
};
const REQUESTS: usize = 1_000;
const BATCH_SIZE: usize = 20;

/// Linear congruential generator, for a reproducible sequence of faults.
struct SeededRng(u64);

impl SeededRng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % below
    }

    fn faults(&mut self) -> Faults {
        match self.next(6) {
            0 => Faults {
                down: true,
                ..Default::default()
            },
            1 => Faults {
                refuse: true,
                ..Default::default()
            },
            2 => Faults {
                slow_ms: 30,
                ..Default::default()
            },
            3 => Faults {
                lose_answers: true,
                ..Default::default()
            },
            _ => Faults::default(),
        }
    }
}

fn run_count(cluster: &Cluster, request: &str) -> u32 {
    cluster
        .services
        .iter()
        .map(|service| service.run_count(request))
        .sum()
}

#[tokio::test]
async fn reported_outcomes_match_what_ran() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let mut rng = SeededRng(5);
    let (mut ran, mut not_run, mut unknown) = (0, 0, 0);
    for batch in 0..REQUESTS / BATCH_SIZE {
        let service = rng.next(cluster.services.len() as u64) as usize;
        cluster.services[service].faults.set(rng.faults());
        let calls = (0..BATCH_SIZE).map(|i| {
            let cluster = &cluster;
            async move {
                let mut call = cluster.service_call(i % 2, "entries");
                if i % 3 == 0 {
                    call = call.header("idempotency-key", format!("k{batch}-{i}"));
                }
                call.timeout(Duration::from_secs(10)).send().await
            }
        });
        for response in futures::future::try_join_all(calls).await? {
            let head = ResponseHead::from_response(&response);
            let runs = run_count(&cluster, &head.request_id);
            assert_that!(runs, le(1), "{head:?}");
            match head.outcome {
                Some(Outcome::Ran) => {
                    ran += 1;
                    assert_that!(runs, eq(1), "{head:?}");
                }
                Some(Outcome::NotRun) => {
                    not_run += 1;
                    assert_that!(runs, eq(0), "{head:?}");
                    assert_that!(head.retry_after_s, some(gt(0)), "{head:?}");
                }
                Some(Outcome::Unknown) => unknown += 1,
                None => panic!("no outcome: {head:?}"),
            }
        }
    }
    println!("ran {ran}, not-run {not_run}, unknown {unknown}");
    assert_that!(ran + not_run + unknown, eq(REQUESTS));
    assert_that!(ran, gt(REQUESTS / 2));
    Ok(())
}
