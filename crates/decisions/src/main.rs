//! Benchmarks routing decisions on a virtual clock.
//!
//! | subcommand | what it does |
//! |---|---|
//! | `run` | all tables of the deployments |
//! | `loads` | only the table of loads |
//! | `effects` | only fairness, harm, overload and a new server |
//! | `time` | time per decision by fleet size |
//! | `check` | a short suite against the committed bounds |

use std::process::ExitCode;

use anyhow::{Context, Result};
use chestnutreach_decisions::{
    bounds,
    case::{LaterStagePolicy, Strategy},
    decision_cost,
    deployment::{Deployment, Site},
    suite::{self, Settings},
    text,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

const MS_PER_S: u64 = 1_000;

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("run", matches)) => run(matches)?,
        Some(("loads", matches)) => loads(matches)?,
        Some(("effects", matches)) => effects(matches)?,
        Some(("time", matches)) => time(matches)?,
        Some(("check", matches)) => return check(matches),
        _ => unreachable!("clap rejects unknown subcommands"),
    }
    Ok(ExitCode::SUCCESS)
}

fn command() -> Command {
    let run = Command::new("run").about("Prints every table");
    let loads = Command::new("loads").about("Prints the table of loads");
    let effects =
        Command::new("effects").about("Prints the table of single effects");
    Command::new("chestnutreach-decisions")
        .version(clap::crate_version!())
        .about("Measures routing decisions on a virtual clock")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            with_run_args(run),
            with_run_args(loads).args([
                strategy_arg(),
                Arg::new("load-percent")
                    .long("load-percent")
                    .action(ArgAction::Append)
                    .value_parser(value_parser!(u32).range(1..=1_000))
                    .help("Run only this load, in percent of the bound"),
            ]),
            with_run_args(effects).arg(strategy_arg()),
            Command::new("time")
                .about("Measures the time per decision on the real clock")
                .arg(json_arg()),
            Command::new("check")
                .about("Checks a short suite against the committed bounds")
                .arg(json_arg()),
        ])
}

fn with_run_args(command: Command) -> Command {
    command.args([
        Arg::new("deployment")
            .long("deployment")
            .value_parser(Site::ALL.map(Site::name))
            .help("Run only this deployment"),
        Arg::new("seed")
            .long("seed")
            .default_value("1")
            .value_parser(value_parser!(u64))
            .help("Seed of all random numbers"),
        Arg::new("warm-up-s")
            .long("warm-up-s")
            .default_value("20")
            .value_parser(value_parser!(u64).range(1..=3_600))
            .help("Virtual time before the measurement, in s"),
        Arg::new("measure-s")
            .long("measure-s")
            .default_value("40")
            .value_parser(value_parser!(u64).range(1..=3_600))
            .help("Virtual time of the measurement, in s"),
        Arg::new("later")
            .long("later")
            .default_value(LaterStagePolicy::Wait.name())
            .value_parser(LaterStagePolicy::ALL.map(LaterStagePolicy::name))
            .help("What a later stage without a free slot does"),
        json_arg(),
    ])
}

fn strategy_arg() -> Arg {
    Arg::new("way")
        .long("way")
        .action(ArgAction::Append)
        .value_parser(Strategy::ALL.map(Strategy::name))
        .help("Run only this strategy")
}

fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

fn settings(matches: &ArgMatches) -> Result<Settings> {
    let number = |name: &str| {
        matches
            .get_one::<u64>(name)
            .copied()
            .context("the argument has a default")
    };
    Ok(Settings {
        seed: number("seed")?,
        warm_up_ms: number("warm-up-s")? * MS_PER_S,
        measure_ms: number("measure-s")? * MS_PER_S,
        later_stage_policy: later_stage_policy(matches),
    })
}

fn later_stage_policy(matches: &ArgMatches) -> LaterStagePolicy {
    let named = matches.get_one::<String>("later");
    let is_named = |later_stage_policy: &LaterStagePolicy| {
        named.is_some_and(|n| n == later_stage_policy.name())
    };
    LaterStagePolicy::ALL
        .into_iter()
        .find(is_named)
        .unwrap_or(LaterStagePolicy::Wait)
}

fn sites(matches: &ArgMatches) -> Vec<Site> {
    let wanted = matches.get_one::<String>("deployment");
    let is_active = |site: &Site| wanted.is_none_or(|w| w == site.name());
    Site::ALL.into_iter().filter(is_active).collect()
}

fn strategies(matches: &ArgMatches) -> Vec<Strategy> {
    let named: Vec<&String> =
        matches.get_many("way").unwrap_or_default().collect();
    let is_active = |strategy: &Strategy| {
        named.is_empty() || named.iter().any(|n| *n == strategy.name())
    };
    Strategy::ALL.into_iter().filter(is_active).collect()
}

fn run(matches: &ArgMatches) -> Result<()> {
    let settings = settings(matches)?;
    for site in sites(matches) {
        let tables = suite::all(site, &settings)?;
        print(matches, &tables, text::tables)?;
    }
    Ok(())
}

fn loads(matches: &ArgMatches) -> Result<()> {
    let settings = settings(matches)?;
    let strategies = strategies(matches);
    let loads: Vec<u32> = match matches.get_many("load-percent") {
        Some(loads) => loads.copied().collect(),
        None => suite::LOADS_PERCENT.to_vec(),
    };
    for site in sites(matches) {
        let deployment = Deployment::try_new(site)?;
        let rows = suite::loads(&deployment, &settings, &strategies, &loads);
        print(matches, &rows, |rows| text::loads(site.name(), rows))?;
    }
    Ok(())
}

fn effects(matches: &ArgMatches) -> Result<()> {
    let settings = settings(matches)?;
    for site in sites(matches) {
        let deployment = Deployment::try_new(site)?;
        let rows =
            suite::effects(&deployment, &settings, &strategies(matches));
        print(matches, &rows, |rows| text::effects(site.name(), rows))?;
    }
    Ok(())
}

fn time(matches: &ArgMatches) -> Result<()> {
    print(matches, &decision_cost::times(), |rows| decision_cost::table(rows))
}

fn check(matches: &ArgMatches) -> Result<ExitCode> {
    let figures = bounds::figures()?;
    let violations = bounds::violations(&figures, &bounds::committed()?);
    if matches.get_flag("json") {
        let json =
            serde_json::json!({ "figures": figures, "broken": violations });
        println!("{json:#}");
    } else {
        for (name, value) in &figures {
            println!("{name} = {value:.4}");
        }
    }
    for violation in &violations {
        eprintln!("bound broken: {violation}");
    }
    let is_within_bounds = violations.is_empty();
    Ok(if is_within_bounds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print<T: serde::Serialize>(
    matches: &ArgMatches,
    value: &T,
    text: impl Fn(&T) -> String,
) -> Result<()> {
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(value)?);
    } else {
        println!("{}", text(value));
    }
    Ok(())
}
