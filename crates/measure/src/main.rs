//! `chalkrock-measure`: HTTP load generation and rollout simulation.

use std::process::ExitCode;

use chalkrock_measure::live::{self, Load};
use chalkrock_measure::rollouts::{
    DetectionPolicy, EvidencePolicy, ExposurePolicy, FAULTS, Policies, PoolTraffic, Rise, Stalls,
    evaluate,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn command() -> Command {
    Command::new("chalkrock-measure")
        .about("Loads real processes")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(live_command())
        .subcommand(
            Command::new("rollouts")
                .about("Plays drawn rollouts by several ways, and prints a table")
                .arg(
                    Arg::new("seeds")
                        .long("seeds")
                        .default_value("1000")
                        .value_parser(value_parser!(u32).range(1..))
                        .help("Rollouts of each kind"),
                )
                .arg(
                    Arg::new("hosts")
                        .long("hosts")
                        .default_value("62")
                        .value_parser(value_parser!(u32).range(1..))
                        .help("Hosts of the fleet"),
                )
                .arg(
                    Arg::new("stalls")
                        .long("stalls")
                        .default_value("none")
                        .value_parser(["none", "weak", "simultaneous"])
                        .help("Which hosts stall"),
                )
                .arg(
                    Arg::new("rise")
                        .long("rise")
                        .value_parser(["never", "once"])
                        .help("Endpoints are slower under load, which may rise"),
                )
                .arg(
                    Arg::new("unmeasured")
                        .long("unmeasured")
                        .action(ArgAction::SetTrue)
                        .help("Hosts do not measure their stalls"),
                )
                .arg(
                    Arg::new("kept")
                        .long("kept")
                        .action(ArgAction::SetTrue)
                        .help("Plays only the policies in use"),
                )
                .arg(
                    Arg::new("move-ms")
                        .long("move-ms")
                        .value_parser(value_parser!(u64))
                        .help("Time in which a request in progress moves to another endpoint"),
                ),
        )
}

fn live_command() -> Command {
    let text = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        text(name, default, help).value_parser(value_parser!(u64).range(1..))
    };
    Command::new("live")
        .about("Loads a router, or an engine directly, over HTTP")
        .arg(
            Arg::new("target")
                .long("target")
                .required(true)
                .help("Base URL"),
        )
        .arg(text("key", "key-dispatch", "An organisation's key"))
        .arg(text("model", "stand-in-7b", "The model asked for"))
        .arg(number("requests", "1000", "Requests in all"))
        .arg(number("parallel", "50", "Requests at once"))
        .arg(number("tokens", "16", "Tokens of each answer"))
        .arg(
            Arg::new("whole")
                .long("whole")
                .action(ArgAction::SetTrue)
                .help("Do not stream"),
        )
}

fn run_live(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let load = Load {
        target: text("target"),
        key: text("key"),
        model: text("model"),
        requests: number("requests"),
        concurrency: number("parallel"),
        tokens_per_answer: number("tokens"),
        stream: !matches.get_flag("whole"),
    };
    let requests = load.requests;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(live::run(load))?;
    println!("{}", serde_json::to_string(&result)?);
    let all_complete = result.whole == requests;
    Ok(if all_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Prints a table of all policies under each fault.
fn run_rollouts(matches: &ArgMatches) -> ExitCode {
    let seeds = matches.get_one::<u32>("seeds").copied().unwrap_or(1);
    let hosts = matches.get_one::<u32>("hosts").copied().unwrap_or(1) as usize;
    let with = |exposure, detection| Policies {
        exposure,
        detection,
        ..Policies::KEPT
    };
    let with_evidence = |evidence| Policies {
        evidence,
        ..Policies::KEPT
    };
    let policies = [
        Policies::KEPT,
        with_evidence(EvidencePolicy::WithinOldLoad),
        with_evidence(EvidencePolicy::Matched),
        with_evidence(EvidencePolicy::LeftOut),
        with_evidence(EvidencePolicy::Clusters),
        with_evidence(EvidencePolicy::EachAnswer),
        with(ExposurePolicy::FewHosts, DetectionPolicy::Sequential),
        with(ExposurePolicy::Grants, DetectionPolicy::Sequential),
        with(ExposurePolicy::Drawn, DetectionPolicy::Sequential),
        with(ExposurePolicy::PartsOfHosts, DetectionPolicy::Threshold),
        with(ExposurePolicy::PartsOfHosts, DetectionPolicy::FixedStages),
    ];
    let compared = if matches.get_flag("kept") {
        1
    } else if matches.contains_id("rise") {
        2
    } else {
        policies.len()
    };
    let move_ms = matches.get_one::<u64>("move-ms").copied();
    let pools = [
        ("generations", PoolTraffic::generations(hosts)),
        ("calls", PoolTraffic::calls(hosts)),
        ("plain calls", PoolTraffic::plain_calls(hosts)),
    ];
    let are_measured = !matches.get_flag("unmeasured");
    let stalls = match matches.get_one::<String>("stalls").map(String::as_str) {
        Some("weak") => Stalls::Weak { are_measured },
        Some("simultaneous") => Stalls::Simultaneous { are_measured },
        _ => Stalls::None,
    };
    let rise = match matches.get_one::<String>("rise").map(String::as_str) {
        Some("never") => Rise::Never,
        Some("once") => Rise::Once,
        _ => Rise::None,
    };
    println!(
        "| pool | build | way | exposed, mean | p99 | over bound | left | after s | left late | done in time | done | after s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, pool) in &pools {
        let pool = PoolTraffic {
            stalls,
            rise,
            move_ms,
            ..pool.clone()
        };
        for fault in FAULTS {
            for way in &policies[..compared] {
                let summary = evaluate(&pool, fault, *way, seeds);
                println!(
                    "| {name} | {fault} | {:?}, {:?}, {:?} | {:.0} | {} | {:.3} | {:.3} | {:.1} | {:.3} | {:.3} | {:.3} | {:.1} |",
                    way.exposure,
                    way.detection,
                    way.evidence,
                    summary.exposed_mean,
                    summary.exposed_p99,
                    summary.over_bound,
                    summary.rolled_back,
                    summary.rolled_back_ms / 1_000.0,
                    summary.rolled_back_late,
                    summary.done_in_time,
                    summary.done,
                    summary.done_ms / 1_000.0,
                );
            }
        }
    }
    ExitCode::SUCCESS
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("live", matches)) => run_live(matches).unwrap_or_else(|error| {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }),
        Some(("rollouts", matches)) => run_rollouts(matches),
        _ => ExitCode::FAILURE,
    }
}
