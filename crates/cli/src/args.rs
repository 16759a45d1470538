//! Arguments that several subcommands take.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, value_parser};

const JSON: &str = "json";
const TIMEOUT_MS: &str = "timeout-ms";
const MAX_TIMEOUT_MS: u64 = 600_000;

/// `--json`.
pub(crate) fn json() -> Arg {
    Arg::new(JSON)
        .long(JSON)
        .action(ArgAction::SetTrue)
        .help("Print JSON in place of text")
}

/// Whether JSON is asked for.
pub(crate) fn is_json(matches: &ArgMatches) -> bool {
    matches.get_flag(JSON)
}

/// `--timeout-ms`.
pub(crate) fn timeout(default: &'static str) -> Arg {
    Arg::new(TIMEOUT_MS)
        .long(TIMEOUT_MS)
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..=MAX_TIMEOUT_MS))
        .default_value(default)
        .help("Longest time of one call")
}

/// Value of `--timeout-ms`.
pub(crate) fn timeout_of(matches: &ArgMatches) -> Duration {
    Duration::from_millis(*required(matches, TIMEOUT_MS))
}

/// An option with one address.
pub(crate) fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// An option with addresses, divided by commas or given again.
pub(crate) fn addresses(name: &'static str, help: &'static str) -> Arg {
    address(name, help)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .required(true)
}

/// Addresses in the order given, each once.
pub(crate) fn addresses_of(
    matches: &ArgMatches,
    name: &str,
) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for address in matches.get_many(name).into_iter().flatten() {
        if !addresses.contains(address) {
            addresses.push(*address);
        }
    }
    addresses
}

/// An option or argument with a path.
pub(crate) fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// A value that `clap` asked for or has a default for.
pub(crate) fn required<'a, T>(matches: &'a ArgMatches, name: &str) -> &'a T
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one(name).expect("clap asks for it")
}
