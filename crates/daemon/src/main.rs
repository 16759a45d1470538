//! The chestnutreach daemon, in the role `entry` or `side`.
//!
//! With `--users-platform` the daemon runs as an entry on the users' platform
//! and reads the settings file that the platform provides.
//!
//! Exit codes: 0 after a stop in which every request finished, 1 when the
//! daemon could not start or continue, 2 when the command line or the settings
//! are invalid, 3 when a stop reached its time limit and aborted requests.

mod control;
mod direct;
mod drain;
mod listen;
mod roles;
mod signals;

use std::{path::PathBuf, process::ExitCode};

use chestnutreach_config::DaemonSettings;
use chestnutreach_telemetry::{Event, emit};
use clap::{Arg, ArgAction, Command, value_parser};

const EXIT_FAILED: u8 = 1;
const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_ABORTED: u8 = 3;

fn main() -> ExitCode {
    let arguments = command().get_matches();
    if arguments.get_flag("users-platform") {
        let metrics_port = arguments.get_one("metrics-port").copied();
        return direct::main(arguments.get_flag("check"), metrics_port);
    }
    let path: &PathBuf =
        arguments.get_one("settings").expect("clap requires this argument");
    let settings = match DaemonSettings::try_load(path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.get_flag("check") {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(drain::DrainOutcome::Completed) => ExitCode::SUCCESS,
        Ok(drain::DrainOutcome::Aborted) => ExitCode::from(EXIT_ABORTED),
        Err(e) => {
            eprintln!("chestnutreachd: {e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn command() -> Command {
    Command::new("chestnutreachd")
        .version(clap::crate_version!())
        .about("Routes requests to model pipelines and plain services")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("users-platform")
                .help("Settings of this daemon, an INI file"),
        )
        .arg(
            Arg::new("users-platform")
                .long("users-platform")
                .action(ArgAction::SetTrue)
                .conflicts_with("settings")
                .help("Run as an entry with the platform's settings file"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16).range(1..))
                .requires("users-platform")
                .help("Serve the metrics on this port as well"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print every finding and exit"),
        )
        .after_help(
            "Exit codes: 0 clean stop, 1 failure, 2 invalid settings, \
             3 requests were aborted at the time limit of a stop",
        )
}

fn run(settings: DaemonSettings) -> anyhow::Result<drain::DrainOutcome> {
    let log = settings.node().log;
    chestnutreach_telemetry::log::init(log.format, log.level)?;
    let executor = roles::start_threads(settings.node())?;
    let outcome = async_io::block_on(async {
        match settings {
            DaemonSettings::Entry(entry) => {
                roles::run_entry(entry, executor).await
            }
            DaemonSettings::Side(side) => {
                roles::run_side(side, executor).await
            }
        }
    })?;
    emit(
        Event::DaemonStopped,
        &[("cut", &(outcome == drain::DrainOutcome::Aborted))],
    );
    Ok(outcome)
}
