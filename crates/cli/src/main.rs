//! Command-line tool for operators of chestnutreach.
//!
//! Each subcommand is a module with `command`, which defines its arguments,
//! and `run`.
//!
//! | module | contents |
//! |---|---|
//! | `check` | checks manifests and reports all findings |
//! | `apply` | submits a manifest |
//! | `show` | shows the state of each daemon |
//! | `drain` | takes daemons and backend servers out of service |
//! | `explain` | explains the choice of a chain |
//! | `burn` | reports the error budget burn rates of services |
//! | `site` | operates an installation on the users' platform |
//! | `args` | arguments shared by subcommands |
//! | `daemons` | client of the control ports of daemons |
//! | `exit` | exit codes |
//! | `output` | prints JSON and tables to standard output |
//! | `source` | loads manifest files |

mod apply;
mod args;
mod burn;
mod check;
mod daemons;
mod drain;
mod exit;
mod explain;
mod output;
mod show;
mod site;
mod source;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::exit::Exit;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("chestnutreach: {e:#}");
            Exit::Failed.into()
        }
    }
}

fn command() -> Command {
    Command::new("chestnutreach")
        .version(clap::crate_version!())
        .about("Checks and applies manifests, and operates the fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            check::command(),
            apply::command(),
            show::command(),
            drain::command(),
            explain::command(),
            burn::command(),
            site::command(),
        ])
        .after_help(exit::help())
}

fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    match matches.subcommand() {
        Some((check::NAME, matches)) => check::run(matches),
        Some((apply::NAME, matches)) => apply::run(matches),
        Some((show::NAME, matches)) => show::run(matches),
        Some((drain::NAME, matches)) => drain::run(matches),
        Some((explain::NAME, matches)) => explain::run(matches),
        Some((burn::NAME, matches)) => burn::run(matches),
        Some((site::NAME, matches)) => site::run(matches),
        _ => unreachable!("clap rejects unknown subcommands"),
    }
}
