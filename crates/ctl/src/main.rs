//! `chalkrockctl`: the operator's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chalkrock_core::ConfigVersion;
use chalkrockctl::{CtlError, Output, Session, Submission, Trace, command, print};
use clap::ArgMatches;
use eyre::WrapErr;

/// Timeout of `apply --wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            let error = error.downcast_ref::<CtlError>();
            if let Some(CtlError::Conflict { differences, .. }) = error {
                eprintln!("{differences}");
            }
            ExitCode::from(error.map_or(1, CtlError::exit_code))
        }
    }
}

async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let session = session(matches)?;
    let output = match text(matches, "output").as_str() {
        "json" => Output::Json,
        _ => Output::Yaml,
    };
    match name {
        "apply" => apply(&session, matches, output).await?,
        "get" => print(&get(&session, matches).await?, output),
        "diff" => print!("{}", session.diff(file(matches)).await?),
        "check" => {
            session.check(file(matches))?;
            println!("valid");
        }
        "history" => print(&session.history().await?, output),
        "rollback" => {
            let to = version(matches, "version").unwrap_or_default();
            let (author, reason) = (text(matches, "author"), text(matches, "reason"));
            print(&session.rollback(to, author, reason).await?, output);
        }
        "hosts" => print(&session.hosts().await?.hosts, output),
        "engines" => print(&session.hosts().await?.endpoints, output),
        "story" => println!("{}", trace(matches)?),
        "rollout" => println!("{}", rollout(matches)?),
        "explain" => print(&session.explain(&text(matches, "request")).await?, output),
        _ => {}
    }
    Ok(())
}

fn session(matches: &ArgMatches) -> eyre::Result<Session> {
    let routers = matches
        .get_many::<String>("router")
        .unwrap_or_default()
        .cloned()
        .collect();
    let key = match matches.get_one::<PathBuf>("operator-key-file") {
        Some(file) => {
            let key = std::fs::read_to_string(file);
            let key = key.wrap_err_with(|| format!("failed to read {}", file.display()))?;
            Some(key.trim().to_owned())
        }
        None => None,
    };
    Ok(Session::new(&text(matches, "platform"), routers, key)?)
}

async fn apply(session: &Session, matches: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let applied = session
        .apply(Submission {
            file: file(matches),
            expect: version(matches, "expect"),
            author: text(matches, "author"),
            reason: text(matches, "reason"),
            dry_run: matches.get_flag("dry-run"),
        })
        .await?;
    if matches.get_flag("wait") && applied.submitted {
        session.wait_in_force(applied.version, WAIT_TIMEOUT).await?;
    }
    print(&applied, output);
    Ok(())
}

async fn get(session: &Session, matches: &ArgMatches) -> Result<chalkrockctl::Revision, CtlError> {
    match version(matches, "version") {
        Some(version) => session.version(version).await,
        None => session.current().await?.ok_or(CtlError::NoConfig),
    }
}

fn trace(matches: &ArgMatches) -> eyre::Result<Trace> {
    let request = text(matches, "request");
    let trace = Trace::for_request(&request, logs(matches)?.lines());
    require_lines(trace, request)
}

fn rollout(matches: &ArgMatches) -> eyre::Result<Trace> {
    let pool = text(matches, "pool");
    let trace = Trace::for_rollout(&pool, logs(matches)?.lines());
    require_lines(trace, pool)
}

fn require_lines(trace: Trace, subject: String) -> eyre::Result<Trace> {
    if trace.is_empty() {
        return Err(CtlError::NoMatchingLines(subject).into());
    }
    Ok(trace)
}

/// Reads and joins all log files.
fn logs(matches: &ArgMatches) -> eyre::Result<String> {
    let mut logs = String::new();
    for file in matches.get_many::<PathBuf>("logs").unwrap_or_default() {
        let log = std::fs::read(file);
        let log = log.wrap_err_with(|| format!("failed to read {}", file.display()))?;
        logs.push_str(&String::from_utf8_lossy(&log));
        logs.push('\n');
    }
    Ok(logs)
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn version(matches: &ArgMatches, name: &str) -> Option<ConfigVersion> {
    matches.get_one::<u64>(name).copied().map(ConfigVersion)
}

fn file(matches: &ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>("file")
        .map_or(Path::new(""), PathBuf::as_path)
}
