//! `chalkrock-measure`: load and experiments.

use std::process::ExitCode;

use chalkrock_measure::decisions::{self, Measure, Policy, Setup, Site, Trouble};
use chalkrock_measure::live::{self, Load};
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn command() -> Command {
    Command::new("chalkrock-measure")
        .about("Measures decisions on virtual time, and loads real processes")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(decisions_command())
        .subcommand(live_command())
}

fn names<T>(all: &[(&'static str, T)]) -> PossibleValuesParser {
    PossibleValuesParser::new(all.iter().map(|(name, _)| *name).collect::<Vec<_>>())
}

fn decisions_command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("decisions")
        .about("Drives the core with a seeded workload on virtual time")
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_parser(names(&Trouble::ALL))
                .help("What goes wrong; all scenarios if not given"),
        )
        .arg(
            Arg::new("site")
                .long("site")
                .value_parser(names(&Site::ALL))
                .default_value("magnolia")
                .help("Whose fleet it is like"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_parser(names(&Policy::ALL))
                .help("How engines are chosen; all policies if not given"),
        )
        .arg(number("routers", "Hosts in place of the site's"))
        .arg(number("engines", "Engines in place of the site's"))
        .arg(number("seconds", "Virtual seconds that are measured"))
        .arg(number("seed", "First seed").default_value("1"))
        .arg(number("seeds", "How many seeds, from the first on").default_value("1"))
        .arg(
            Arg::new("hints")
                .long("no-hints")
                .action(ArgAction::SetFalse)
                .help("Callers do not echo the hint"),
        )
        .arg(
            Arg::new("adopt")
                .long("no-adopt")
                .action(ArgAction::SetFalse)
                .help("Routers do not tell new owners what they hold"),
        )
        .arg(
            Arg::new("import")
                .long("import")
                .action(ArgAction::SetTrue)
                .help("Spilled prefixes are imported from the home"),
        )
        .arg(number("others", "Others asked at once"))
        .arg(number(
            "home-wait-ms",
            "How long a home's owner may hold an ask",
        ))
        .arg(number(
            "settle-ms",
            "A new owner grants nothing for this long",
        ))
        .arg(
            Arg::new("grant-multiple")
                .long("grant-multiple")
                .value_parser(value_parser!(f64))
                .help("Grants stop here in place of the pool's margin"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("One JSON object a line"),
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
        parallel: number("parallel"),
        tokens: number("tokens"),
        stream: !matches.get_flag("whole"),
    };
    let requests = load.requests;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(live::run(load))?;
    println!("{}", serde_json::to_string(&result)?);
    let all_whole = result.whole == requests;
    Ok(if all_whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("decisions", matches)) => {
            run_decisions(matches);
            ExitCode::SUCCESS
        }
        Some(("live", matches)) => run_live(matches).unwrap_or_else(|error| {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }),
        _ => ExitCode::FAILURE,
    }
}

/// One run's setup with the names it is printed under.
struct Job {
    setup: Setup,
    scenario: String,
    policy: &'static str,
}

fn run_decisions(matches: &ArgMatches) {
    let json = matches.get_flag("json");
    let jobs = jobs_of(matches);
    let (tx, rx) = std::sync::mpsc::channel();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            let (tx, jobs, next) = (tx.clone(), &jobs, &next);
            scope.spawn(move || {
                loop {
                    let i = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(job) = jobs.get(i) else {
                        return;
                    };
                    let measures = decisions::run(job.setup, &job.scenario, job.policy);
                    let _receiver_gone = tx.send((i, measures));
                }
            });
        }
        drop(tx);
    });
    let mut results: Vec<(usize, Vec<Measure>)> = rx.into_iter().collect();
    results.sort_by_key(|(i, _)| *i);
    for measure in results.into_iter().flat_map(|(_, measures)| measures) {
        print(&measure, json);
    }
}

fn jobs_of(matches: &ArgMatches) -> Vec<Job> {
    let chosen = |name: &str| matches.get_one::<String>(name).map(String::as_str);
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let site_name = chosen("site").unwrap_or("magnolia");
    let seed = number("seed").unwrap_or(1);
    let mut jobs = Vec::new();
    for (trouble_name, trouble) in Trouble::ALL {
        if chosen("scenario").is_some_and(|name| name != trouble_name) {
            continue;
        }
        for (policy_name, policy) in Policy::ALL {
            if chosen("policy").is_some_and(|name| name != policy_name) {
                continue;
            }
            for (_, site) in Site::ALL.into_iter().filter(|(name, _)| *name == site_name) {
                for seed in seed..seed + number("seeds").unwrap_or(1) {
                    let mut setup = Setup::of(site, trouble, policy, seed);
                    adjust(&mut setup, matches);
                    let scenario = format!("{trouble_name}/{site_name}");
                    jobs.push(Job {
                        setup,
                        scenario,
                        policy: policy_name,
                    });
                }
            }
        }
    }
    jobs
}

fn adjust(setup: &mut Setup, matches: &ArgMatches) {
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let count = |name: &str, default: usize| number(name).map_or(default, |n| n as usize);
    setup.routers = count("routers", setup.routers);
    setup.engines = count("engines", setup.engines);
    if let Some(seconds) = number("seconds") {
        setup.measured_us = seconds * decisions::SECOND_US;
    }
    setup.hints = matches.get_flag("hints");
    setup.adopt = matches.get_flag("adopt");
    setup.import = matches.get_flag("import");
    setup.placement.others = count("others", setup.placement.others);
    setup.placement.home_wait_ms = number("home-wait-ms").unwrap_or(setup.placement.home_wait_ms);
    setup.slots.settle_ms = number("settle-ms").unwrap_or(setup.slots.settle_ms);
    if let Some(multiple) = matches.get_one::<f64>("grant-multiple") {
        setup.slots.grant_multiple = *multiple;
    }
}

fn print(measure: &Measure, json: bool) {
    if json {
        match serde_json::to_string(measure) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("{error}"),
        }
        return;
    }
    let Measure {
        measure,
        scenario,
        policy,
        value,
        unit,
        seed,
        ..
    } = measure;
    println!("{scenario:24} {policy:16} {seed:4} {measure:26} {value:12.4} {unit}");
}
