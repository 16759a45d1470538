//! The command line and its subcommands.

use std::{process::ExitCode, str::FromStr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{
    change, check, claims, core, decision, idle, memory, overhead,
    report::print_report, run_once,
};

/// Defines the subcommands and their options.
pub(crate) fn command() -> Command {
    Command::new("chestnutreach-bench")
        .version(clap::crate_version!())
        .about("Measures chestnutreach over loopback")
        .subcommand_required(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
        .subcommand(overhead_command())
        .subcommand(core_command())
        .subcommand(memory_command())
        .subcommand(idle_command())
        .subcommand(change_command())
        .subcommand(claims_command())
        .subcommand(
            Command::new("check")
                .about("Compare small runs with the committed bounds")
                .after_help("Exit code 1 if a figure exceeds its bound."),
        )
        .subcommand(
            Command::new("run-once")
                .about("Time per operation of the run-once table")
                .arg(text_arg(
                    "records",
                    "1000,200000",
                    "Counts of records in the table",
                )),
        )
        .subcommand(
            Command::new("decision").about("Time to choose a chain").arg(
                text_arg("servers", "50,1100", "Counts of backend servers"),
            ),
        )
}

/// Runs the selected subcommand.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<ExitCode> {
    let (name, matches) =
        arguments.subcommand().expect("clap requires a subcommand");
    let is_json = matches.get_flag("json");
    match name {
        "overhead" => {
            let options = overhead_options(matches)?;
            print_report("overhead", is_json, || overhead::measure(&options))?;
        }
        "core" => {
            let options = core_options(matches);
            print_report("core", is_json, || core::measure(options))?;
        }
        "memory" => {
            let counts = get_list(matches, "streams")?;
            let entries = get_number(matches, "entries") as usize;
            print_report("memory", is_json, || {
                memory::measure(&counts, entries)
            })?;
        }
        "idle" => {
            let (sides, entries) =
                (get_list(matches, "sides")?, get_list(matches, "entries")?);
            let time_s = get_number(matches, "time-s");
            print_report("idle", is_json, || {
                idle::measure(&sides, &entries, time_s)
            })?;
        }
        "change" => {
            let options = change_options(matches);
            print_report("change", is_json, || change::measure(options))?;
        }
        "claims" => {
            let (rates, entries) =
                (get_list(matches, "rates")?, get_list(matches, "entries")?);
            let duration = Duration::from_secs(get_number(matches, "time-s"));
            print_report("claims", is_json, || {
                claims::measure(&rates, &entries, duration)
            })?;
        }
        "check" => {
            let mut is_exceeded = false;
            print_report("check", is_json, || {
                let check = check::measure()?;
                is_exceeded = check.is_exceeded();
                Ok(check)
            })?;
            return Ok(ExitCode::from(u8::from(is_exceeded)));
        }
        "run-once" => {
            let sizes = get_list(matches, "records")?;
            print_report("run-once", is_json, || {
                Ok(run_once::measure(&sizes))
            })?;
        }
        "decision" => {
            let sizes = get_list(matches, "servers")?;
            print_report("decision", is_json, || {
                Ok(decision::measure(&sizes))
            })?;
        }
        _ => unreachable!("clap rejects unknown subcommands"),
    }
    Ok(ExitCode::SUCCESS)
}

fn overhead_command() -> Command {
    Command::new("overhead")
        .about("Latency that entries and sides add to tokens")
        .arg(text_arg("rates", "50,200,500,1000,2000", "Requests per second"))
        .arg(number_arg("tokens", "4", "Tokens per request"))
        .arg(number_arg("turn-s", "4", "Seconds per round of one route"))
        .arg(number_arg("turns", "2", "Rounds of each route"))
        .arg(number_arg("entries", "2", "Entries"))
        .arg(number_arg("chains", "2", "Chains of two backend servers"))
        .arg(number_arg("step-us", "0", "Microseconds per engine iteration"))
        .arg(
            Arg::new("engine-calls")
                .long("engine-calls")
                .value_parser(value_parser!(u64))
                .help("Setting of the sides, by default the daemon's"),
        )
}

fn overhead_options(
    matches: &ArgMatches,
) -> anyhow::Result<overhead::Options> {
    Ok(overhead::Options {
        rates_per_s: get_list(matches, "rates")?,
        max_tokens: get_number(matches, "tokens") as u32,
        round_time: Duration::from_secs(get_number(matches, "turn-s")),
        rounds: get_number(matches, "turns") as usize,
        entries: get_number(matches, "entries") as usize,
        chains: get_number(matches, "chains") as usize,
        engine_arguments: vec![format!(
            "--step-us={}",
            get_number(matches, "step-us")
        )],
        engine_calls: matches.get_one("engine-calls").copied(),
    })
}

fn core_command() -> Command {
    Command::new("core")
        .about("Requests and tokens per second of one core, by role")
        .arg(number_arg("rate", "400", "Requests per second"))
        .arg(number_arg("few-tokens", "2", "Tokens per request, first load"))
        .arg(number_arg(
            "many-tokens",
            "18",
            "Tokens per request, second load",
        ))
        .arg(number_arg("time-s", "8", "Seconds per load"))
        .arg(number_arg("entries", "2", "Entries"))
        .arg(number_arg("chains", "2", "Chains of two backend servers"))
}

fn core_options(matches: &ArgMatches) -> core::Options {
    core::Options {
        rate_per_s: get_number(matches, "rate") as f64,
        few_tokens: get_number(matches, "few-tokens") as u32,
        many_tokens: get_number(matches, "many-tokens") as u32,
        load_time: Duration::from_secs(get_number(matches, "time-s")),
        entries: get_number(matches, "entries") as usize,
        chains: get_number(matches, "chains") as usize,
    }
}

fn memory_command() -> Command {
    Command::new("memory")
        .about("Memory per open stream at entries and sides")
        .arg(text_arg("streams", "0,500,1000,2000", "Counts of open streams"))
        .arg(number_arg("entries", "2", "Entries"))
}

fn idle_command() -> Command {
    Command::new("idle")
        .about("Resource usage of nodes without requests")
        .arg(text_arg("sides", "4,8,16,32,64", "Counts of sides"))
        .arg(text_arg("entries", "1,4", "Counts of entries"))
        .arg(number_arg("time-s", "15", "Seconds per measurement"))
}

fn change_command() -> Command {
    Command::new("change")
        .about("Time until every node has a new generation in force")
        .arg(number_arg("sides", "96", "Sides"))
        .arg(number_arg("entries", "4", "Entries"))
        .arg(number_arg("accounts", "1600", "Client accounts"))
        .arg(number_arg("changes", "5", "Changes per condition of the store"))
        .arg(number_arg(
            "request-timeout-ms",
            "2000",
            "Platform setting of the nodes",
        ))
}

fn change_options(matches: &ArgMatches) -> change::Options {
    change::Options {
        sides: get_number(matches, "sides") as usize,
        entries: get_number(matches, "entries") as usize,
        accounts: get_number(matches, "accounts") as usize,
        changes: get_number(matches, "changes") as usize,
        request_timeout_ms: get_number(matches, "request-timeout-ms"),
        is_healthy_only: false,
    }
}

fn claims_command() -> Command {
    Command::new("claims")
        .about("Store writes and claim latency of keyed requests")
        .arg(text_arg("rates", "10,100,1000", "Keyed requests per second"))
        .arg(text_arg("entries", "1,4", "Counts of entries"))
        .arg(number_arg("time-s", "5", "Seconds per measurement"))
}

fn number_arg(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    text_arg(name, default, help).value_parser(value_parser!(u64))
}

fn text_arg(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn get_number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("the argument has a default")
}

/// Parses a comma-separated list of numbers.
fn get_list<T: FromStr>(
    matches: &ArgMatches,
    name: &str,
) -> anyhow::Result<Vec<T>> {
    let text: &String =
        matches.get_one(name).expect("the argument has a default");
    let parse = |item: &str| {
        let number = item.trim().parse();
        number
            .map_err(|_| anyhow::anyhow!("--{name}: {item:?} is not a number"))
    };
    text.split(',').map(parse).collect()
}
