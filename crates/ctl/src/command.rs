//! Commands and arguments.

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;

/// Builds the command line.
pub fn command() -> Command {
    Command::new("chalkrockctl")
        .about("Manages the fleet's configuration and shows its state")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another change, \
             4 the change may have been accepted.",
        )
        .subcommand_required(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("URL")
                .default_value("http://127.0.0.1:7000")
                .global(true)
                .help("Base URL of the platform"),
        )
        .arg(
            Arg::new("router")
                .long("router")
                .value_name("URL")
                .action(ArgAction::Append)
                .global(true)
                .help("Operator URL of a router; may be repeated"),
        )
        .arg(
            Arg::new("operator-key-file")
                .long("operator-key-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .global(true)
                .help("File that contains the operator key"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_parser(["yaml", "json"])
                .default_value("yaml")
                .global(true)
                .help("Output format"),
        )
        .subcommand(apply())
        .subcommand(
            Command::new("get")
                .about("Shows the configuration in force")
                .arg(version()),
        )
        .subcommand(
            Command::new("diff")
                .about("Compares a file with the configuration in force")
                .arg(file()),
        )
        .subcommand(Command::new("history").about("Lists versions with author, time and reason"))
        .subcommand(
            Command::new("rollback")
                .about("Submits the content of an earlier version as a new version")
                .arg(version().required(true))
                .args(authorship()),
        )
        .subcommand(
            Command::new("check")
                .about("Validates a configuration file")
                .arg(file()),
        )
        .subcommand(Command::new("hosts").about("Lists the hosts of the fleet"))
        .subcommand(Command::new("engines").about("Lists the endpoints of the fleet"))
        .subcommand(
            Command::new("explain")
                .about("Explains the routing of a request")
                .arg(Arg::new("request").value_name("REQUEST").required(true)),
        )
        .subcommand(
            Command::new("story")
                .about("Shows the log records of a request and the related events of its hosts")
                .arg(Arg::new("request").value_name("REQUEST").required(true))
                .arg(logs()),
        )
        .subcommand(
            Command::new("rollout")
                .about("Shows the stages of a pool's rollout and the evidence for each")
                .arg(Arg::new("pool").value_name("POOL").required(true))
                .arg(logs()),
        )
}

fn logs() -> Arg {
    Arg::new("logs")
        .value_name("FILE")
        .num_args(1..)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Log files of hosts")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Submits a configuration file")
        .arg(file())
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Validate the file and show the difference without submitting"),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version that the file is based on"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the version is in force at all given routers"),
        )
        .args(authorship())
}

fn authorship() -> [Arg; 2] {
    let text = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("TEXT")
            .default_value(default)
            .help(help)
    };
    [
        text("author", "operator", "Author of the change"),
        text("reason", "", "Why"),
    ]
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn version() -> Arg {
    Arg::new("version")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
}
