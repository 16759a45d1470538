//! The emulator's command line.
//!
//! Exit codes: 0 when nothing was broken, 1 when a promise was, 2 when the
//! command line or the experiment is wrong.

use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use chestnutreach_emulator::{
    experiment::Experiment, report::Report, running, soak, start_executor,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

const EXIT_BROKEN: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = command().get_matches();
    let result = match arguments.subcommand() {
        Some(("run", arguments)) => run(arguments),
        Some(("soak", arguments)) => run_soak(arguments),
        _ => unreachable!("clap asks for a subcommand"),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BROKEN),
        Err(e) => {
            eprintln!("chestnutreach-emulator: {e:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn command() -> Command {
    let binary = Arg::new("binary")
        .long("binary")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .default_value("target/debug/chestnutreachd")
        .help("The daemon to run as entries");
    Command::new("chestnutreach-emulator")
        .version(clap::crate_version!())
        .about("The users' platform in small, with load and faults")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Play an experiment")
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("The experiment, an INI file"),
                )
                .arg(
                    Arg::new("json")
                        .long("json")
                        .action(ArgAction::SetTrue)
                        .help("Print the report as JSON"),
                )
                .arg(
                    Arg::new("plot")
                        .long("plot")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Write a plot over time, an SVG"),
                )
                .arg(binary.clone()),
        )
        .subcommand(
            Command::new("soak")
                .about("Play seeded mixes of faults")
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .value_parser(value_parser!(u64))
                        .help("First seed; a fresh one if left out"),
                )
                .arg(
                    Arg::new("count")
                        .long("count")
                        .value_parser(value_parser!(u64))
                        .default_value("5")
                        .help("Seeds to play, one after another"),
                )
                .arg(
                    Arg::new("logs")
                        .long("logs")
                        .value_name("DIR")
                        .value_parser(value_parser!(PathBuf))
                        .help("Keep logs of seeds that break something"),
                )
                .arg(binary),
        )
}

fn run(arguments: &ArgMatches) -> anyhow::Result<bool> {
    let file: &PathBuf = arguments.get_one("file").expect("clap asks");
    let binary: &PathBuf = arguments.get_one("binary").expect("a default");
    let experiment = Experiment::try_load(file)?;
    let executor = start_executor()?;
    let report = async_io::block_on(async {
        let running =
            running::start(&executor, binary, &experiment.site).await?;
        let played = running.run(&experiment.load, &experiment.faults);
        anyhow::Ok(played.await)
    })?;
    show(&report, arguments.get_flag("json"));
    if let Some(path) = arguments.get_one::<PathBuf>("plot") {
        fs::write(path, report.to_svg())
            .with_context(|| format!("{}", path.display()))?;
    }
    Ok(report.violations().is_empty())
}

fn show(report: &Report, is_json: bool) {
    match is_json {
        true => println!("{}", report.to_json()),
        false => print!("{}", report.to_text()),
    }
}

fn run_soak(arguments: &ArgMatches) -> anyhow::Result<bool> {
    let binary: &PathBuf = arguments.get_one("binary").expect("a default");
    let count: u64 = *arguments.get_one("count").expect("a default");
    let fresh = || fastrand::u64(1 << 20..1 << 40);
    let first = arguments.get_one("seed").copied().unwrap_or_else(fresh);
    let logs = arguments.get_one::<PathBuf>("logs");
    let executor = start_executor()?;
    let mut is_sound = true;
    for seed in first..first + count {
        let played = soak::run_seed(
            &executor,
            binary,
            seed,
            logs.map(PathBuf::as_path),
        );
        let (report, broken) = async_io::block_on(played)?;
        let faults: Vec<&str> =
            report.faults.iter().map(|f| f.kind.name()).collect();
        println!("seed {seed}: {}", faults.join(", "));
        print!("{}", report.to_text());
        for text in &broken {
            println!("BROKEN {text}");
        }
        is_sound &= broken.is_empty();
    }
    Ok(is_sound)
}
