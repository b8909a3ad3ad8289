//! `chalkrock-quickstart`: runs a complete fleet on loopback.

use std::process::ExitCode;

use chalkrock_process::{LogSettings, start_logs, start_spans, stop_on_signal, stop_pair};
use chalkrock_quickstart::{Fleet, FleetSize, MODEL, OPERATOR_KEY, ORGANISATION_KEYS, tour};
use clap::{Arg, ArgAction, Command, value_parser};

fn command() -> Command {
    let count = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u16).range(1..=64))
            .help(help)
    };
    Command::new("chalkrock-quickstart")
        .about("Starts a whole fleet in one process on loopback and shows it at work")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(count(
            "routers",
            "2",
            "Hosts, each with a router and an agent",
        ))
        .arg(count("engines", "4", "Stand-in engines"))
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Exit after the tour instead of running on"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let count = |name: &str| usize::from(matches.get_one::<u16>(name).copied().unwrap_or(1));
    let size = FleetSize {
        routers: count("routers"),
        engines: count("engines"),
    };
    match run(size, matches.get_flag("once")).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(size: FleetSize, once: bool) -> eyre::Result<()> {
    start_logs(&LogSettings {
        level: log::LevelFilter::Warn,
        ..Default::default()
    });
    start_spans("chalkrock-quickstart", &Default::default());
    let fleet = Fleet::start(size).await?;
    tour(&fleet).await?;
    println!("\nTry it yourself:\n");
    println!("curl -N {}/v1/chat/completions \\", fleet.router_url(0));
    println!("  -H 'Authorization: Bearer {}' \\", ORGANISATION_KEYS[0].1);
    println!("  -H 'Content-Type: application/json' \\");
    println!(
        "  -d '{{\"model\":\"{MODEL}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n"
    );
    println!("curl -H 'Authorization: Bearer {OPERATOR_KEY}' \\");
    println!("  {}/debug/requests/REQUEST_ID\n", fleet.operator_url(0));
    if once {
        return Ok(());
    }
    println!("Running until Ctrl-C.");
    let (handle, stop) = stop_pair();
    stop_on_signal(handle);
    stop.requested().await;
    Ok(())
}
