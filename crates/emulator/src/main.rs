//! The emulator's command line.
//!
//! Exit codes: 0 when all invariants held, 1 when one was violated, 2 when
//! the command line or the experiment is invalid or the run failed to start.

use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use chestnutreach_emulator::{
    experiment::Experiment, report::Report, running, soak, start_executor,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

const EXIT_VIOLATION: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = command().get_matches();
    let result = match arguments.subcommand() {
        Some(("run", arguments)) => run(arguments),
        Some(("soak", arguments)) => run_soak(arguments),
        _ => unreachable!("clap requires a subcommand"),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATION),
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
        .help("The daemon binary that entries run");
    Command::new("chestnutreach-emulator")
        .version(clap::crate_version!())
        .about("Emulates the users' platform with load and faults")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Run an experiment")
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Experiment file (INI)"),
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
                        .help("Write a plot over time as SVG"),
                )
                .arg(
                    Arg::new("logs")
                        .long("logs")
                        .value_name("DIR")
                        .value_parser(value_parser!(PathBuf))
                        .help("Keep the logs of the entries"),
                )
                .arg(binary.clone()),
        )
        .subcommand(
            Command::new("soak")
                .about("Run seeded random faults")
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .value_parser(value_parser!(u64))
                        .help("First seed; random if omitted"),
                )
                .arg(
                    Arg::new("count")
                        .long("count")
                        .value_parser(value_parser!(u64))
                        .default_value("5")
                        .help("Number of consecutive seeds to run"),
                )
                .arg(
                    Arg::new("logs")
                        .long("logs")
                        .value_name("DIR")
                        .value_parser(value_parser!(PathBuf))
                        .help(
                            "Keep the logs of seeds that violate an invariant",
                        ),
                )
                .arg(binary),
        )
}

fn run(arguments: &ArgMatches) -> anyhow::Result<bool> {
    let file: &PathBuf = arguments.get_one("file").expect("required");
    let binary: &PathBuf = arguments.get_one("binary").expect("a default");
    let experiment = Experiment::try_load(file)?;
    let executor = start_executor()?;
    let report = async_io::block_on(async {
        let running =
            running::start(&executor, binary, &experiment.site).await?;
        let run = running.run(&experiment.load, &experiment.faults);
        let report = run.await;
        if let Some(dir) = arguments.get_one::<PathBuf>("logs") {
            running.copy_logs(dir)?;
        }
        anyhow::Ok(report)
    })?;
    let is_json = arguments.get_flag("json");
    print_report(&report, is_json);
    let slack = experiment.site.retry_slack;
    if !is_json {
        print!("{}", report.retry_summary(slack));
    }
    let violations = report.retry_violations(slack);
    for text in &violations {
        println!("BROKEN {text}");
    }
    if let Some(path) = arguments.get_one::<PathBuf>("plot") {
        fs::write(path, report.to_svg())
            .with_context(|| format!("{}", path.display()))?;
    }
    Ok(report.violations().is_empty() && violations.is_empty())
}

fn print_report(report: &Report, is_json: bool) {
    match is_json {
        true => println!("{}", report.to_json()),
        false => print!("{}", report.to_text()),
    }
}

fn run_soak(arguments: &ArgMatches) -> anyhow::Result<bool> {
    let binary: &PathBuf = arguments.get_one("binary").expect("a default");
    let count: u64 = *arguments.get_one("count").expect("a default");
    let random = || fastrand::u64(1 << 20..1 << 40);
    let first = arguments.get_one("seed").copied().unwrap_or_else(random);
    let logs = arguments.get_one::<PathBuf>("logs");
    let executor = start_executor()?;
    let mut all_passed = true;
    for seed in first..first + count {
        let run = soak::run_seed(
            &executor,
            binary,
            seed,
            logs.map(PathBuf::as_path),
        );
        let (report, violations) = async_io::block_on(run)?;
        let faults: Vec<&str> =
            report.faults.iter().map(|f| f.kind.name()).collect();
        println!("seed {seed}: {}", faults.join(", "));
        print!("{}", report.to_text());
        for text in &violations {
            println!("BROKEN {text}");
        }
        all_passed &= violations.is_empty();
    }
    Ok(all_passed)
}
