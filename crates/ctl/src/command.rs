//! The commands and their arguments.

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;

/// The whole command line.
pub fn command() -> Command {
    Command::new("chalkrockctl")
        .about("Submits configurations, and shows what the fleet does")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 the input must be changed, 3 another change came \
             first, 4 the change may have been accepted.",
        )
        .subcommand_required(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("URL")
                .default_value("http://127.0.0.1:7000")
                .global(true)
                .help("The platform's base URL"),
        )
        .arg(
            Arg::new("router")
                .long("router")
                .value_name("URL")
                .action(ArgAction::Append)
                .global(true)
                .help("Operators' URL of a router; may be given many times"),
        )
        .arg(
            Arg::new("operator-key-file")
                .long("operator-key-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .global(true)
                .help("File with the operator's key"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_parser(["yaml", "json"])
                .default_value("yaml")
                .global(true)
                .help("Form of the output"),
        )
        .subcommand(apply())
        .subcommand(
            Command::new("get")
                .about("Shows the configuration in force")
                .arg(version()),
        )
        .subcommand(
            Command::new("diff")
                .about("Compares a file with what is in force")
                .arg(file()),
        )
        .subcommand(Command::new("history").about("Lists versions: author, time and reason"))
        .subcommand(
            Command::new("rollback")
                .about("Submits an earlier version's content as a new version")
                .arg(version().required(true))
                .args(authorship()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a configuration file")
                .arg(file()),
        )
        .subcommand(Command::new("hosts").about("Lists hosts of the fleet"))
        .subcommand(Command::new("engines").about("Lists endpoints"))
        .subcommand(
            Command::new("explain")
                .about("Shows why a request went where it went")
                .arg(Arg::new("request").value_name("REQUEST").required(true)),
        )
        .subcommand(
            Command::new("story")
                .about("Tells a request's story from the lines that hosts wrote")
                .arg(Arg::new("request").value_name("REQUEST").required(true))
                .arg(logs()),
        )
        .subcommand(
            Command::new("rollout")
                .about("Tells how a pool moved to another build, and on what evidence")
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
        .help("Files with the lines of hosts")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Submits a configuration file")
        .arg(file())
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Check and show the difference only"),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("The version that the file was made from"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until it is in force at all routers given"),
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
        text("author", "operator", "Who makes the change"),
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
