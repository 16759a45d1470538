//! The operators' command line of chestnutreach.
//!
//! One module per subcommand; each has `command`, its arguments for `clap`,
//! and `run`.
//!
//! | module | what it holds |
//! |---|---|
//! | `check` | everything found wrong in manifests |
//! | `apply` | submitting a manifest |
//! | `show` | the state of each daemon |
//! | `drain` | taking daemons and backend servers out of service |
//! | `explain` | why a chain is chosen |
//! | `burn` | how fast services use up their error budgets |
//! | `site` | an installation on the users' platform |
//! | `args` | arguments that several subcommands take |
//! | `daemons` | calls to the control ports of daemons |
//! | `exit` | what the process says when it ends |
//! | `output` | JSON and tables on the standard output |
//! | `source` | manifests as files |

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
        .about("Checks and applies manifests, and looks after the fleet")
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
        _ => unreachable!("clap asks for a known subcommand"),
    }
}
