//! Guards against writes that ignore their condition, and against wrong
//! conclusions from failed requests.

use chalkrock_core::{ChangeId, ConfigVersion, FleetConfig, Host, HostState, Incarnation};
use chalkrock_platform::{
    Change, ConfigStore, Expect, HttpPlatform, Platform, PlatformError, RowWrite, SubmitError,
    WriteResult,
};
use chalkrock_standin::{Faults, PlatformHandle, PlatformSettings, start_platform};
use googletest::prelude::*;

async fn start() -> (PlatformHandle, HttpPlatform) {
    let standin = start_platform(PlatformSettings::default())
        .await
        .expect("a free port");
    let client = HttpPlatform::new(&standin.url()).expect("a URL");
    (standin, client)
}

fn change(id: &str) -> Change {
    Change {
        id: ChangeId::new(id),
        author: "ann".to_owned(),
        reason: String::new(),
        submitted_at_ms: 0,
    }
}

#[tokio::test]
async fn write_row_succeeds_only_on_its_condition() {
    let (_standin, client) = start().await;
    let version = client.write_row("k", "a", Expect::Absent).await.unwrap();
    let duplicate = client.write_row("k", "b", Expect::Absent).await;
    assert_that!(
        duplicate,
        err(matches_pattern!(PlatformError::Conflict(some(anything()))))
    );
    client
        .write_row("k", "b", Expect::Version(version))
        .await
        .unwrap();
    let stale = client.write_row("k", "c", Expect::Version(version)).await;
    assert_that!(
        stale,
        err(matches_pattern!(PlatformError::Conflict(some(anything()))))
    );
    let row = client.read_row("k").await.unwrap().unwrap();
    assert_that!(row.value, eq("b"));
}

#[tokio::test]
async fn write_batch_returns_a_result_for_each_row() {
    let (_standin, client) = start().await;
    let write = |key: &str| RowWrite {
        key: key.to_owned(),
        value: "v".to_owned(),
        expect: Expect::Absent,
    };
    client.write_batch(vec![write("a")]).await.unwrap();
    let results = client
        .write_batch(vec![write("a"), write("b")])
        .await
        .unwrap();
    assert_that!(
        results[0],
        matches_pattern!(WriteResult::Conflict(some(anything())))
    );
    assert_that!(
        results[1],
        matches_pattern!(WriteResult::Written(anything()))
    );
}

#[tokio::test]
async fn faults_are_classified_by_whether_a_write_may_have_taken_effect() {
    let cases = [
        (
            "down",
            Faults {
                down: true,
                ..Default::default()
            },
            false,
            false,
        ),
        (
            "loses answers",
            Faults {
                lose_answers: true,
                ..Default::default()
            },
            true,
            true,
        ),
    ];
    for (name, faults, possible, written) in cases {
        let (standin, client) = start().await;
        standin.faults.set(faults);
        let error = client
            .write_row("k", "a", Expect::Absent)
            .await
            .unwrap_err();
        assert_that!(error.may_have_taken_effect(), eq(possible), "{name}");
        standin.faults.set(Faults::default());
        let row = client.read_row("k").await.unwrap();
        assert_that!(row.is_some(), eq(written), "{name}");
    }
}

#[tokio::test]
async fn refused_connection_means_that_nothing_was_written() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = HttpPlatform::new(&format!("http://{address}")).unwrap();
    let error = client
        .write_row("k", "a", Expect::Absent)
        .await
        .unwrap_err();
    assert_that!(error.may_have_taken_effect(), eq(false));
}

#[tokio::test]
async fn writes_above_the_rate_limit_are_throttled() {
    let settings = PlatformSettings {
        writes_per_second: 2,
        ..Default::default()
    };
    let standin = start_platform(settings).await.unwrap();
    let client = HttpPlatform::new(&standin.url()).unwrap();
    let mut throttled = 0;
    for i in 0..5 {
        let result = client
            .write_row(&format!("k{i}"), "a", Expect::Absent)
            .await;
        throttled += u32::from(matches!(result, Err(PlatformError::Throttled)));
    }
    assert_that!(throttled, ge(1));
}

#[tokio::test]
async fn submit_succeeds_when_a_response_is_lost() {
    let (standin, client) = start().await;
    let store = ConfigStore::new(client);
    standin.faults.set(Faults {
        lose_answers: true,
        ..Default::default()
    });
    let head = store
        .submit(&FleetConfig::default(), ConfigVersion(0), change("c1"))
        .await;
    assert_that!(head.unwrap().version, eq(ConfigVersion(1)));
    standin.faults.set(Faults::default());
    let current = store.read_head().await.unwrap().unwrap();
    assert_that!(current.change, eq(&ChangeId::new("c1")));
}

#[tokio::test]
async fn concurrent_submits_have_one_winner() {
    let (_standin, client) = start().await;
    let store = ConfigStore::new(client);
    let config = FleetConfig::default();
    let submits =
        (0..10).map(|i| store.submit(&config, ConfigVersion(0), change(&format!("c{i}"))));
    let results = futures::future::join_all(submits).await;
    let lost = |result: &&Result<_, SubmitError>| matches!(result, Err(SubmitError::Conflict(_)));
    assert_that!(
        results.iter().filter(|result| result.is_ok()).count(),
        eq(1)
    );
    assert_that!(results.iter().filter(lost).count(), eq(9));
}

#[tokio::test]
async fn unchanged_host_list_is_not_sent_again() {
    let (standin, client) = start().await;
    let first = client.read_hosts(None).await.unwrap().unwrap();
    assert_that!(
        client.read_hosts(first.tag.as_deref()).await.unwrap(),
        none()
    );
    let mut list = first.list.clone();
    list.hosts.push(Host {
        name: "host-1".into(),
        zone: "zone-a".into(),
        agent_address: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
        state: HostState::Live,
    });
    standin.set_hosts(list.clone());
    let second = client.read_hosts(first.tag.as_deref()).await.unwrap();
    assert_that!(second.map(|hosts| hosts.list), some(eq(&list)));
}
