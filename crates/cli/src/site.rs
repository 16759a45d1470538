//! `site`: an installation on the users' platform.
//!
//! There the configuration belongs to the platform's operator, who writes it
//! to the store, so `apply` and `drain` have nothing to do; they are refused
//! here by name. What is read comes from the store, from the entries, and
//! from their logs.
//!
//! | module | what it holds |
//! |---|---|
//! | `check` | settings and deploy files |
//! | `state` | what is in force, from the store and the entries |
//! | `route` | which engines a described request would pass |
//! | `trace` | from a request's id to its cause, from logs |
//! | `needs` | what backend servers say that they need |
//! | `quarantine` | requests that crash engines, and freeing them |
//! | `statuses` | what all entries say that they know |
//! | `burn` | how fast routes use up their error budgets, from logs |
//! | `log` | lines of the logs |

use clap::{ArgMatches, Command};

use crate::exit::Exit;

mod burn;
mod check;
mod explain;
mod log;
mod needs;
mod quarantine;
mod state;
mod statuses;
mod trace;

pub(crate) const NAME: &str = "site";
/// Subcommands of the tool that can't apply here, and why.
const UNAVAILABLE_SUBCOMMANDS: [(&str, &str); 2] = [
    ("apply", "the platform's operator writes the configuration"),
    ("drain", "the platform stops processes and replaces engines"),
];

/// Its arguments.
pub(crate) fn command() -> Command {
    let unavailable = UNAVAILABLE_SUBCOMMANDS
        .map(|(name, why)| Command::new(name).about(why).hide(true));
    Command::new(NAME)
        .about("Looks after an installation on the users' platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            check::command(),
            state::command(),
            explain::command(),
            trace::command(),
            quarantine::command(),
            needs::command(),
            burn::command(),
        ])
        .subcommands(unavailable)
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    match matches.subcommand() {
        Some((check::NAME, matches)) => check::run(matches),
        Some((state::NAME, matches)) => state::run(matches),
        Some((explain::NAME, matches)) => explain::run(matches),
        Some((trace::NAME, matches)) => trace::run(matches),
        Some((quarantine::NAME, matches)) => quarantine::run(matches),
        Some((needs::NAME, matches)) => needs::run(matches),
        Some((burn::NAME, matches)) => burn::run(matches),
        Some((name, _)) => {
            let why = UNAVAILABLE_SUBCOMMANDS
                .iter()
                .find(|r| r.0 == name)
                .map(|r| r.1);
            let why = why.unwrap_or_default();
            eprintln!("site {name} can't be done here: {why}");
            Ok(Exit::Refused)
        }
        None => unreachable!("clap asks for a subcommand"),
    }
}
