//! `site shares`: shows what callers ask for, what of it each entry admits,
//! and how full the engines are.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use serde_json::Value;

use super::{
    state::{self, STORE},
    statuses::{ItemsByEntry, Statuses, format_cell},
};
use crate::{args, daemons, exit::Exit, output, output::Table};

pub(crate) const NAME: &str = "shares";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shows which requests compete for capacity, by entry")
        .arg(args::address(STORE, "Store of the platform").required(true))
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
        .after_help(
            "A share below 1 means that requests of the class are refused \
             now. Entries decide by the same inputs; one that differs hears \
             from fewer others, or its view is older.",
        )
}

/// Prints the shares of each service by entry.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let store: SocketAddr = *args::required(matches, STORE);
    let timeout = args::timeout_of(matches);
    let entries = async_io::block_on(state::list_entries(store, timeout))?;
    let statuses = Statuses::fetch_all(entries, timeout);
    let shares = statuses.items("shares", "service");
    if args::is_json(matches) {
        output::print_json(&shares)?;
    } else {
        print(&statuses, &shares)?;
    }
    Ok(statuses.exit())
}

fn print(statuses: &Statuses, shares: &ItemsByEntry) -> anyhow::Result<()> {
    statuses.print_unresponsive()?;
    let mut table = Table::new([
        "service",
        "entry",
        "fill",
        "age ms",
        "hears",
        "short for ms",
        "class",
        "share",
        "asked/s",
        "started/s",
        "account limit/s",
    ]);
    for (service, by_entry) in shares {
        for (entry, view) in by_entry {
            for class in view["classes"].as_array().into_iter().flatten() {
                table.push(row(service, entry, view, class));
            }
        }
    }
    output::print_text(&table.to_string())
}

fn row(
    service: &str,
    entry: &str,
    view: &Value,
    class: &Value,
) -> [String; 11] {
    [
        service.to_owned(),
        entry.to_owned(),
        format_cell(&view["fill"]),
        format_cell(&view["age_ms"]),
        format_cell(&view["heard"]),
        format_cell(&view["short_ms"]),
        class["class"].as_str().unwrap_or("-").to_owned(),
        format_cell(&class["share"]),
        format_cell(&class["asked_tokens_per_s"]),
        format_cell(&class["started_tokens_per_s"]),
        format_cell(&class["account_limit"]),
    ]
}
