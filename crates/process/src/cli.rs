//! The command line shared by all programs.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use serde::de::DeserializeOwned;

use crate::settings::load_settings;
use crate::stop::{Stop, stop_on_signal, stop_pair};

/// Exit code for a runtime failure.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;

/// Builds a command with `--config`, `--check-config`, `--help` and `--version`.
pub fn program(name: &'static str, about: &'static str) -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("Settings file (YAML)")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    let check = Arg::new("check-config")
        .long("check-config")
        .help("Check the settings and exit: 0 if they are valid, 2 if not")
        .action(ArgAction::SetTrue);
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(config)
        .arg(check)
}

/// Parses the arguments, loads the settings and runs `body`, which returns
/// after a stop is requested.
pub fn run<T, F>(command: Command, body: impl FnOnce(T, Stop) -> F) -> ExitCode
where
    T: DeserializeOwned,
    F: Future<Output = eyre::Result<()>>,
{
    let matches = command.get_matches();
    let Some(path) = matches.get_one::<PathBuf>("config") else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match load_settings::<T>(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check-config") {
        return ExitCode::SUCCESS;
    }
    match run_on_runtime(settings, body) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run_on_runtime<T, F>(settings: T, body: impl FnOnce(T, Stop) -> F) -> eyre::Result<()>
where
    F: Future<Output = eyre::Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let (handle, stop) = stop_pair();
        stop_on_signal(handle);
        body(settings, stop).await
    })
}
