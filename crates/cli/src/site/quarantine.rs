//! `site quarantine`: shows requests and parts of prompts that crash engines,
//! as the entries know them, and frees them.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context as _;
use chestnutreach_http::{Client, ClientOptions};
use chestnutreach_routing::Fingerprint;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::{Value, json};

use super::{
    state::{self, STORE},
    statuses::{ItemsByEntry, Statuses},
};
use crate::{args, daemons, exit::Exit, output, output::Table};

pub(crate) const NAME: &str = "quarantine";
const FREE: &str = "free";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about(
            "Shows or frees requests and parts of prompts that crash engines",
        )
        .arg(args::address(STORE, "Store of the platform").required(true))
        .arg(
            Arg::new(FREE)
                .long(FREE)
                .value_name("FINGERPRINT")
                .value_parser(value_parser!(Fingerprint))
                .help("Free this request or part on all entries"),
        )
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
}

/// Prints the requests, or frees a request.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let store: SocketAddr = *args::required(matches, STORE);
    let timeout = args::timeout_of(matches);
    let entries = async_io::block_on(state::list_entries(store, timeout))?;
    if let Some(fingerprint) = matches.get_one::<Fingerprint>(FREE) {
        return async_io::block_on(free(&entries, *fingerprint, timeout));
    }
    let statuses = Statuses::fetch_all(entries, timeout);
    let suspects = statuses.items("suspects", "fingerprint");
    if args::is_json(matches) {
        output::print_json(&suspects)?;
    } else {
        print(&statuses, &suspects)?;
    }
    Ok(statuses.exit())
}

fn print(statuses: &Statuses, suspects: &ItemsByEntry) -> anyhow::Result<()> {
    statuses.print_unresponsive()?;
    let mut table = Table::new([
        "fingerprint",
        "kind",
        "state",
        "left s",
        "crashes",
        "in trials",
        "void",
        "last s ago",
        "entries",
    ]);
    for (fingerprint, by_entry) in suspects {
        // The entry that knows the most crashes has the most complete state.
        let crashes = |suspect: &&Value| {
            suspect["crashes"].as_array().map_or(0, Vec::len)
        };
        let Some(suspect) = by_entry.values().max_by_key(crashes) else {
            continue;
        };
        table.push(row(fingerprint, suspect, by_entry.len(), statuses.len()));
    }
    output::print_text(&table.to_string())
}

fn row(
    fingerprint: &str,
    suspect: &Value,
    reporting: usize,
    entry_count: usize,
) -> [String; 9] {
    let crashes = suspect["crashes"].as_array().cloned().unwrap_or_default();
    let count = |name: &str| {
        let with = crashes.iter().filter(|crash| crash[name] == true);
        with.count().to_string()
    };
    let ages = crashes.iter().filter_map(|crash| crash["age_ms"].as_u64());
    let last_ms = ages.min().unwrap_or(0);
    let left_ms = suspect["left_ms"].as_u64().unwrap_or(0);
    [
        fingerprint.to_owned(),
        suspect["kind"].as_str().unwrap_or("").to_owned(),
        suspect["verdict"].as_str().unwrap_or("").to_owned(),
        (left_ms / 1_000).to_string(),
        crashes.len().to_string(),
        count("is_in_trial"),
        count("is_void"),
        (last_ms / 1_000).to_string(),
        format!("{reporting} of {entry_count}"),
    ]
}

/// Frees a request at the first entry that knows it; that entry announces the
/// change to the others.
async fn free(
    entries: &[(String, SocketAddr)],
    fingerprint: Fingerprint,
    timeout: Duration,
) -> anyhow::Result<Exit> {
    for (name, address) in entries {
        let Ok(response) = post_free(*address, fingerprint, timeout).await
        else {
            continue;
        };
        if response["is_freed"] == true {
            output::print_text(&format!("{fingerprint} freed at {name}"))?;
            return Ok(Exit::Done);
        }
    }
    eprintln!("no reachable entry knows {fingerprint}");
    Ok(Exit::Failed)
}

async fn post_free(
    address: SocketAddr,
    fingerprint: Fingerprint,
    timeout: Duration,
) -> anyhow::Result<Value> {
    let client = Client::new(address, ClientOptions::new());
    let target = format!("/quarantine/{fingerprint}/free");
    let body = json!({}).to_string().into_bytes();
    let request = client.post_json(&target, body);
    let request = request.map_err(|e| anyhow::anyhow!(e))?;
    let (_, body) = client.send(request, timeout).await?;
    serde_json::from_slice(&body).context("the response is not valid JSON")
}
