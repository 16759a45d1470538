//! `site trace`: explains the outcome of a request, from logs.
//!
//! The output starts with the lines of the request. Then come lines, not later
//! than the last line of the request, about the backend servers that the
//! request names, the store, and the same request under other ids.

use std::collections::BTreeSet;

use clap::{Arg, ArgMatches, Command};
use serde_json::json;

use super::log::{self, Line};
use crate::{args, exit::Exit, output};

pub(crate) const NAME: &str = "trace";
const REQUEST: &str = "request";
/// Events about the store, which may explain refusals.
const STORE_EVENTS: [&str; 10] = [
    "feed_lost",
    "store_history_replaced",
    "store_version_fell",
    "configuration_not_newer",
    "feed_back",
    "keys_stale",
    "configuration_in_force",
    "configuration_outdated",
    "lease_taken",
    "lease_lost",
];
/// Fields that contain ids of backend servers.
const BACKEND_FIELDS: [&str; 4] =
    ["backend", "backends", "without", "suspects"];

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Explains the outcome of a request from logs")
        .arg(
            Arg::new(REQUEST)
                .long(REQUEST)
                .value_name("ID")
                .required(true)
                .help("Request id of one attempt of the client"),
        )
        .arg(log::arg())
        .arg(args::json())
}

/// Prints the trace.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let id: &String = args::required(matches, REQUEST);
    let lines = log::load(matches)?;
    let request_lines: Vec<&Line> =
        lines.iter().filter(|line| line.field("request") == id).collect();
    if request_lines.is_empty() {
        eprintln!("no line names request {id}");
        return Ok(Exit::Failed);
    }
    let related = related(&lines, &request_lines);
    let outcome = outcome(&request_lines);
    if args::is_json(matches) {
        let json = |line: &&Line| {
            json!({"at": line.at, "from": line.source, "event": line.fields,
                "message": line.message})
        };
        output::print_json(&json!({
            "request": id,
            "verdict": outcome,
            "lines": request_lines.iter().map(json).collect::<Vec<_>>(),
            "around": related.iter().map(json).collect::<Vec<_>>(),
        }))?;
        return Ok(Exit::Done);
    }
    output::print_text(&format!("request {id}: {outcome}"))?;
    for line in request_lines {
        print(line)?;
    }
    output::print_text(
        "what was noted of its backend servers, of the store, and of the same \
         request under other ids",
    )?;
    for line in related {
        print(line)?;
    }
    Ok(Exit::Done)
}

fn print(line: &Line) -> anyhow::Result<()> {
    let text = line.text();
    let (at, source, name) = (&line.at, &line.source, line.name());
    output::print_text(&format!("  {at} {source} {name} {text}"))
}

/// One-line summary of the outcome.
fn outcome(request_lines: &[&Line]) -> String {
    let last =
        request_lines.iter().rev().find(|line| line.name() == "relay_ended");
    let Some(end) = last else {
        return "its outcome is not in these logs".to_owned();
    };
    let reason = match end.field("reason") {
        "" => String::new(),
        reason => format!(", {reason}"),
    };
    format!(
        "{}{reason}; {} attempts, {} path changes, longest pause {} ms",
        end.field("outcome"),
        end.field("attempts"),
        end.field("changes"),
        end.field("max_gap_ms"),
    )
}

/// Events about requests that crash backend servers.
const QUARANTINE_EVENTS: [&str; 4] = [
    "request_suspected",
    "request_quarantined",
    "request_cleared",
    "trial_begun",
];

/// Events about rate limits, cooldowns and drains of backend servers. Each
/// names the request whose response announced the change.
const SERVER_STATE_EVENTS: [&str; 4] =
    ["limit_named", "limit_ended", "rest_asked", "leaving_told"];

/// Lines about the backend servers that the request names, the store, and the
/// same request under other ids.
fn related<'a>(lines: &'a [Line], request_lines: &[&Line]) -> Vec<&'a Line> {
    let named_backends: BTreeSet<String> =
        request_lines.iter().flat_map(|line| backends(line)).collect();
    let sources: BTreeSet<&str> =
        request_lines.iter().map(|line| line.source.as_str()).collect();
    let fingerprints: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.field("fingerprint"))
        .filter(|fingerprint| !fingerprint.is_empty())
        .collect();
    let own_id = request_lines[0].field("request");
    let last = &request_lines[request_lines.len() - 1].at;
    let is_related = |line: &&Line| {
        let is_before = line.at <= *last;
        let is_store = STORE_EVENTS.contains(&line.name())
            && sources.contains(line.source.as_str());
        let is_request_independent = line.field("request").is_empty()
            || SERVER_STATE_EVENTS.contains(&line.name());
        let is_backend = is_request_independent
            && backends(line).iter().any(|id| named_backends.contains(id));
        let is_same_fingerprint = QUARANTINE_EVENTS.contains(&line.name())
            && line.field("request") != own_id
            && fingerprints.contains(line.field("fingerprint"));
        is_before && (is_store || is_backend || is_same_fingerprint)
    };
    lines.iter().filter(is_related).collect()
}

/// Ids of the backend servers that a line names.
fn backends(line: &Line) -> Vec<String> {
    let fields = BACKEND_FIELDS.iter().map(|name| line.field(name));
    let ids = fields.flat_map(|text| text.split(','));
    let ids = ids.map(|item| item.split('=').next().unwrap_or(item));
    ids.filter(|id| !id.is_empty()).map(str::to_owned).collect()
}
