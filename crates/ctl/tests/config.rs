//! Guards against accepted invalid files, lost changes and wrong history.

use std::path::{Path, PathBuf};

use chalkrock_core::ConfigVersion;
use chalkrock_standin::{PlatformHandle, PlatformSettings, start_platform};
use chalkrockctl::{CtlError, Session, Submission};
use googletest::prelude::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct InvalidFile {
    name: String,
    file: String,
    error: String,
}

async fn start() -> eyre::Result<(PlatformHandle, Session)> {
    let platform = start_platform(PlatformSettings::default()).await?;
    let session = Session::new(&platform.url(), vec![], None)?;
    Ok((platform, session))
}

fn write(name: &str, text: &str) -> std::io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("ctl-{name}-{}.yaml", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}

fn submission(file: &Path, expect: Option<u64>) -> Submission<'_> {
    Submission {
        file,
        expect: expect.map(ConfigVersion),
        author: "ann".to_owned(),
        reason: "test".to_owned(),
        dry_run: false,
    }
}

fn organisation(name: &str) -> String {
    format!("organisations:\n  - name: {name}\n")
}

#[tokio::test]
async fn apply_rejects_invalid_files_with_precise_errors() -> eyre::Result<()> {
    let (_platform, session) = start().await?;
    let cases: Vec<InvalidFile> = serde_yaml_ng::from_str(include_str!("data/bad_files.yaml"))?;
    for (i, case) in cases.into_iter().enumerate() {
        let file = write(&format!("bad-{i}"), &case.file)?;
        let error = session.apply(submission(&file, None)).await.unwrap_err();
        assert_that!(
            error.to_string(),
            contains_substring(case.error.as_str()),
            "{}",
            case.name
        );
        assert_that!(error.exit_code(), eq(2), "{}", case.name);
    }
    assert_that!(session.current().await?.is_none(), eq(true));
    Ok(())
}

#[tokio::test]
async fn apply_conflict_shows_both_differences() -> eyre::Result<()> {
    let (_platform, session) = start().await?;
    session
        .apply(submission(&write("base", &organisation("base"))?, None))
        .await?;
    session
        .apply(submission(
            &write("theirs", &organisation("theirs"))?,
            Some(1),
        ))
        .await?;
    let result = session
        .apply(submission(
            &write("yours", &organisation("yours"))?,
            Some(1),
        ))
        .await;
    let error = result.unwrap_err();
    assert_that!(error.exit_code(), eq(3));
    let CtlError::Conflict {
        current,
        differences,
        ..
    } = error
    else {
        panic!("not a conflict: {error}");
    };
    assert_that!(current, eq(ConfigVersion(2)));
    for line in ["-- name: base", "+- name: theirs", "+- name: yours"] {
        assert_that!(differences, contains_substring(line));
    }
    Ok(())
}

#[tokio::test]
async fn apply_dry_run_changes_nothing() -> eyre::Result<()> {
    let (_platform, session) = start().await?;
    let file = write("dry", &organisation("a"))?;
    let applied = session
        .apply(Submission {
            dry_run: true,
            ..submission(&file, None)
        })
        .await?;
    assert_that!(applied.submitted, eq(false));
    assert_that!(applied.difference, contains_substring("+- name: a"));
    assert_that!(session.current().await?.is_none(), eq(true));
    Ok(())
}

#[tokio::test]
async fn rollback_creates_a_new_version_with_the_old_content() -> eyre::Result<()> {
    let (_platform, session) = start().await?;
    session
        .apply(submission(&write("one", &organisation("one"))?, None))
        .await?;
    session
        .apply(submission(&write("two", &organisation("two"))?, None))
        .await?;
    let back = session
        .rollback(
            ConfigVersion(1),
            "bob".to_owned(),
            "two was wrong".to_owned(),
        )
        .await?;
    assert_that!(back.version, eq(ConfigVersion(3)));
    let history = session.history().await?;
    let versions: Vec<_> = history
        .iter()
        .map(|h| (h.version.0, h.author.as_str()))
        .collect();
    assert_that!(versions, eq(&vec![(3, "bob"), (2, "ann"), (1, "ann")]));
    let current = session.current().await?.map(|current| current.config);
    assert_that!(
        current,
        some(eq(&session.version(ConfigVersion(1)).await?.config))
    );
    Ok(())
}

#[tokio::test]
async fn unknown_version_is_named_in_the_error() -> eyre::Result<()> {
    let (_platform, session) = start().await?;
    let error = session.version(ConfigVersion(7)).await.unwrap_err();
    assert_that!(error.to_string(), contains_substring("there is no v7"));
    Ok(())
}
