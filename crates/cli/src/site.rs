//! `site`: operates an installation on the users' platform.
//!
//! The operator of the platform writes the configuration to the store, and the
//! platform stops processes, so `apply` and `drain` don't apply and are
//! refused by name. The subcommands read the store, the status of the entries, and the
//! logs of the entries.
//!
//! | module | contents |
//! |---|---|
//! | `check` | checks settings and deploy files |
//! | `state` | shows the current state, from the store and the entries |
//! | `explain` | shows the path of a described request |
//! | `trace` | explains the outcome of a request, from logs |
//! | `needs` | shows rate limits, cooldowns and drains of backend servers |
//! | `shares` | shows which requests compete for capacity |
//! | `quarantine` | shows and frees requests that crash engines |
//! | `statuses` | fetches the status of all entries |
//! | `burn` | reports the error budget burn rates of routes, from logs |
//! | `log` | parses logs |

use clap::{ArgMatches, Command};

use crate::exit::Exit;

mod burn;
mod check;
mod explain;
mod log;
mod needs;
mod quarantine;
mod shares;
mod state;
mod statuses;
mod trace;

pub(crate) const NAME: &str = "site";
/// Subcommands of the tool that don't apply on the users' platform, and why.
const UNAVAILABLE_SUBCOMMANDS: [(&str, &str); 2] = [
    ("apply", "the platform's operator writes the configuration"),
    ("drain", "the platform stops processes and replaces engines"),
];

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    let unavailable = UNAVAILABLE_SUBCOMMANDS
        .map(|(name, why)| Command::new(name).about(why).hide(true));
    Command::new(NAME)
        .about("Operates an installation on the users' platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            check::command(),
            state::command(),
            explain::command(),
            trace::command(),
            quarantine::command(),
            needs::command(),
            shares::command(),
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
        Some((shares::NAME, matches)) => shares::run(matches),
        Some((burn::NAME, matches)) => burn::run(matches),
        Some((name, _)) => {
            let why = UNAVAILABLE_SUBCOMMANDS
                .iter()
                .find(|r| r.0 == name)
                .map(|r| r.1);
            let why = why.unwrap_or_default();
            eprintln!("site {name} is not available: {why}");
            Ok(Exit::Refused)
        }
        None => unreachable!("clap requires a subcommand"),
    }
}
