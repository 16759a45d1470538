//! `site needs`: shows backend servers that announced a rate limit, a cooldown
//! or a drain, as the entries know them.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use serde_json::Value;

use super::{
    state::{self, STORE},
    statuses::{ItemsByEntry, Statuses, format_cell},
};
use crate::{args, daemons, exit::Exit, output, output::Table};

pub(crate) const NAME: &str = "needs";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about(
            "Shows backend servers that are limited, in cooldown or draining",
        )
        .arg(args::address(STORE, "Store of the platform").required(true))
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
}

/// Prints the affected backend servers by entry.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let store: SocketAddr = *args::required(matches, STORE);
    let timeout = args::timeout_of(matches);
    let entries = async_io::block_on(state::list_entries(store, timeout))?;
    let statuses = Statuses::fetch_all(entries, timeout);
    let mut needs = statuses.items("backends", "id");
    for by_entry in needs.values_mut() {
        by_entry.retain(|_, backend| is_limited_or_unavailable(backend));
    }
    needs.retain(|_, by_entry| !by_entry.is_empty());
    if args::is_json(matches) {
        output::print_json(&needs)?;
    } else {
        print(&statuses, &needs)?;
    }
    Ok(statuses.exit())
}

fn is_limited_or_unavailable(backend: &Value) -> bool {
    !backend["limit"].is_null()
        || !backend["leaving_ms"].is_null()
        || backend["rest_left_ms"].as_u64().unwrap_or(0) > 0
}

fn print(statuses: &Statuses, needs: &ItemsByEntry) -> anyhow::Result<()> {
    statuses.print_unresponsive()?;
    let mut table = Table::new([
        "backend",
        "entry",
        "limit/s",
        "named ms ago",
        "permits from",
        "sent in 4 s",
        "rest left ms",
        "leaving ms",
        "by its word",
    ]);
    for by_entry in needs.values() {
        for (entry, backend) in by_entry {
            table.push(row(entry, backend, statuses));
        }
    }
    output::print_text(&table.to_string())
}

fn row(entry: &str, backend: &Value, statuses: &Statuses) -> [String; 9] {
    let limit = &backend["limit"];
    let issuer = match limit {
        Value::Null => None,
        limit => statuses.entry_with("boot_id", &limit["issuer"]),
    };
    let cooldown_left = match &backend["rest_left_ms"] {
        left if left.as_u64() == Some(0) => &Value::Null,
        left => left,
    };
    [
        backend["id"].as_str().unwrap_or("").to_owned(),
        entry.to_owned(),
        format_cell(&limit["per_s"]),
        format_cell(&limit["named_age_ms"]),
        issuer.unwrap_or("-").to_owned(),
        format_cell(&limit["sent_4s"]),
        format_cell(cooldown_left),
        format_cell(&backend["leaving_ms"]),
        format_cell(&backend["has_said_leaving"]),
    ]
}
