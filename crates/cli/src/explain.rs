//! `explain`: explains the choice of a chain.
//!
//! Shows the choices recorded for a request, or the choice that an entry would
//! make now for a described request. An entry records only its own requests,
//! so the tool queries the addresses until an entry knows the request.

use std::net::SocketAddr;

use anyhow::Context as _;
use chestnutreach_control::{
    ControlError, ControlRefusal, DescribedRequest, ExplainQuery,
    RequestPriority,
};
use clap::{
    Arg, ArgGroup, ArgMatches, Command, builder::PossibleValuesParser,
    value_parser,
};

use crate::{args, daemons, exit::Exit, output};

mod hypothetical;
mod recorded;

pub(crate) const NAME: &str = "explain";
const REQUEST: &str = "request";
const SERVICE: &str = "service";
const ACCOUNT: &str = "account";
const PROMPT_TOKENS: &str = "prompt-tokens";
const OUTPUT_TOKENS: &str = "output-tokens";
const DEADLINE_MS: &str = "deadline-ms";
const PRIORITY: &str = "priority";
/// Values of `--priority`.
const LOW: &str = "low";
const NORMAL: &str = "normal";
const HIGH: &str = "high";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    let described = |name: &'static str, value, help| {
        let option = Arg::new(name).long(name).value_name(value).help(help);
        option.conflicts_with(REQUEST)
    };
    let number = |name, default, help| {
        described(name, "N", help)
            .value_parser(value_parser!(u32))
            .default_value(default)
    };
    Command::new(NAME)
        .about("Explains the choice of a chain of backend servers")
        .arg(daemons::control())
        .arg(
            Arg::new(REQUEST)
                .long(REQUEST)
                .value_name("ID")
                .help("Recent request, by its x-request-id"),
        )
        .arg(described(SERVICE, "NAME", "Service of a described request"))
        .group(ArgGroup::new("what").args([REQUEST, SERVICE]).required(true))
        .arg(described(ACCOUNT, "NAME", "Client account").default_value(""))
        .arg(number(PROMPT_TOKENS, "500", "Length of the prompt"))
        .arg(number(OUTPUT_TOKENS, "200", "Maximum output tokens"))
        .arg(number(
            DEADLINE_MS,
            "60000",
            "Time until the deadline of the caller, in ms",
        ))
        .arg(
            described(PRIORITY, "PRIORITY", "Priority of the request")
                .value_parser(PossibleValuesParser::new([LOW, NORMAL, HIGH]))
                .default_value(NORMAL),
        )
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
}

/// Queries the entries and prints the explanation.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let addresses = args::addresses_of(matches, daemons::CONTROL);
    let query = query(matches);
    let timeout = args::timeout_of(matches);
    let query_entry = async |address: SocketAddr| {
        daemons::connect(address, timeout).await?.explain(&query).await
    };
    let response = async_io::block_on(async {
        let mut failure = None;
        for address in &addresses {
            match query_entry(*address).await {
                Ok(text) => return Ok(text),
                Err(e) => failure = Some(more_informative(failure, e)),
            }
        }
        Err(failure.expect("clap requires an address"))
    });
    match response {
        Ok(text) => print(matches, &query, &text),
        Err(e) => {
            eprintln!("chestnutreach: {e}");
            Ok(daemons::exit_of(&e))
        }
    }
}

/// The more informative of two failures: an unknown request is reported only
/// if every entry was reached, because an unreachable entry may know it.
fn more_informative(
    old: Option<ControlError>,
    new: ControlError,
) -> ControlError {
    let is_unknown_request = |e: &ControlError| {
        let refusal = match e {
            ControlError::Refused(refusal) => refusal,
            _ => return false,
        };
        matches!(refusal, ControlRefusal::UnknownRequest { .. })
    };
    match old {
        Some(old) if is_unknown_request(&new) => old,
        _ => new,
    }
}

fn query(matches: &ArgMatches) -> ExplainQuery {
    if let Some(id) = matches.get_one::<String>(REQUEST) {
        return ExplainQuery::Request { request_id: id.clone() };
    }
    let text = |name| args::required::<String>(matches, name).clone();
    let number = |name| *args::required::<u32>(matches, name);
    let priority = match text(PRIORITY).as_str() {
        LOW => RequestPriority::Low,
        HIGH => RequestPriority::High,
        _ => RequestPriority::Normal,
    };
    ExplainQuery::Described(DescribedRequest {
        service: text(SERVICE),
        account: text(ACCOUNT),
        prompt_tokens: number(PROMPT_TOKENS),
        output_tokens: number(OUTPUT_TOKENS),
        deadline_ms: number(DEADLINE_MS),
        priority,
    })
}

fn print(
    matches: &ArgMatches,
    query: &ExplainQuery,
    text: &str,
) -> anyhow::Result<Exit> {
    if args::is_json(matches) {
        let value: serde_json::Value = serde_json::from_str(text)?;
        output::print_json(&value)?;
        return Ok(Exit::Done);
    }
    let formatted = match query {
        ExplainQuery::Request { .. } => recorded::text(text),
        ExplainQuery::Described(_) => hypothetical::text(text),
    };
    let formatted =
        formatted.context("the response of the entry is not valid")?;
    output::print_text(&formatted)?;
    Ok(Exit::Done)
}
