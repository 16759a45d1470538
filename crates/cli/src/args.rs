//! Arguments shared by subcommands.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, value_parser};

const JSON: &str = "json";
const TIMEOUT_MS: &str = "timeout-ms";
const MAX_TIMEOUT_MS: u64 = 600_000;

/// The flag `--json`.
pub(crate) fn json() -> Arg {
    Arg::new(JSON)
        .long(JSON)
        .action(ArgAction::SetTrue)
        .help("Print JSON in place of text")
}

/// Whether `--json` is given.
pub(crate) fn is_json(matches: &ArgMatches) -> bool {
    matches.get_flag(JSON)
}

/// The option `--timeout-ms`.
pub(crate) fn timeout(default: &'static str) -> Arg {
    Arg::new(TIMEOUT_MS)
        .long(TIMEOUT_MS)
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..=MAX_TIMEOUT_MS))
        .default_value(default)
        .help("Timeout of one call, in ms")
}

/// The value of `--timeout-ms`.
pub(crate) fn timeout_of(matches: &ArgMatches) -> Duration {
    Duration::from_millis(*required(matches, TIMEOUT_MS))
}

/// An option that takes one address.
pub(crate) fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// An option that takes addresses, separated by commas or repeated.
pub(crate) fn addresses(name: &'static str, help: &'static str) -> Arg {
    address(name, help)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .required(true)
}

/// The addresses of an option in the given order, without duplicates.
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

/// An option or argument that takes a path.
pub(crate) fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// The value of an argument that is required or has a default.
///
/// # Panics
///
/// If the argument is neither required nor has a default.
pub(crate) fn required<'a, T>(matches: &'a ArgMatches, name: &str) -> &'a T
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one(name).expect("clap requires the argument")
}
