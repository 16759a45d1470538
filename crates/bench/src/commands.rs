//! The command line.

use std::{process::ExitCode, str::FromStr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{
    change, check, claims, core, decision, idle, memory, overhead,
    report::print, run_once,
};

/// The command line's grammar.
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
                .about("Small versions against the committed bounds")
                .after_help("Exit code 1 when a bound is broken."),
        )
        .subcommand(
            Command::new("run-once")
                .about("Time of the run-once table's operations")
                .arg(text("records", "1000,200000", "Records held")),
        )
        .subcommand(
            Command::new("decision")
                .about("Time of the choice of a chain")
                .arg(text("servers", "50,1100", "Backend servers")),
        )
}

/// Runs what was asked for.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<ExitCode> {
    let (name, of) = arguments.subcommand().expect("clap asks for one");
    let is_json = of.get_flag("json");
    match name {
        "overhead" => {
            let options = overhead_options(of)?;
            print("overhead", is_json, || overhead::measure(&options))?;
        }
        "core" => {
            let options = core_options(of);
            print("core", is_json, || core::measure(options))?;
        }
        "memory" => {
            let counts = list(of, "streams")?;
            let entries = get(of, "entries") as usize;
            print("memory", is_json, || memory::measure(&counts, entries))?;
        }
        "idle" => {
            let (sides, entries) = (list(of, "sides")?, list(of, "entries")?);
            let time_s = get(of, "time-s");
            print("idle", is_json, || {
                idle::measure(&sides, &entries, time_s)
            })?;
        }
        "change" => {
            let options = change_options(of);
            print("change", is_json, || change::measure(options))?;
        }
        "claims" => {
            let (rates, entries) = (list(of, "rates")?, list(of, "entries")?);
            let time = Duration::from_secs(get(of, "time-s"));
            print("claims", is_json, || {
                claims::measure(&rates, &entries, time)
            })?;
        }
        "check" => {
            let mut is_broken = false;
            print("check", is_json, || {
                let check = check::measure()?;
                is_broken = check.is_broken();
                Ok(check)
            })?;
            return Ok(ExitCode::from(u8::from(is_broken)));
        }
        "run-once" => {
            let sizes = list(of, "records")?;
            print("run-once", is_json, || Ok(run_once::measure(&sizes)))?;
        }
        "decision" => {
            let sizes = list(of, "servers")?;
            print("decision", is_json, || Ok(decision::measure(&sizes)))?;
        }
        _ => unreachable!("clap knows the subcommands"),
    }
    Ok(ExitCode::SUCCESS)
}

fn overhead_command() -> Command {
    Command::new("overhead")
        .about("Time added to tokens by entries and sides")
        .arg(text("rates", "50,200,500,1000,2000", "Requests a second"))
        .arg(number("tokens", "4", "Tokens of a request"))
        .arg(number("turn-s", "4", "Seconds of a turn of one way"))
        .arg(number("turns", "2", "Turns of each way"))
        .arg(number("entries", "2", "Entries"))
        .arg(number("chains", "2", "Chains of two backend servers"))
        .arg(number("step-us", "0", "Time of an engine's iteration"))
        .arg(
            Arg::new("engine-calls")
                .long("engine-calls")
                .value_parser(value_parser!(u64))
                .help("Setting of the sides, the shipped one by default"),
        )
}

fn overhead_options(of: &ArgMatches) -> anyhow::Result<overhead::Options> {
    Ok(overhead::Options {
        rates_per_s: list(of, "rates")?,
        max_tokens: get(of, "tokens") as u32,
        turn: Duration::from_secs(get(of, "turn-s")),
        turns: get(of, "turns") as usize,
        entries: get(of, "entries") as usize,
        chains: get(of, "chains") as usize,
        engine_arguments: vec![format!("--step-us={}", get(of, "step-us"))],
        engine_calls: of.get_one("engine-calls").copied(),
    })
}

fn core_command() -> Command {
    Command::new("core")
        .about("Requests and tokens a second of one core, by role")
        .arg(number("rate", "400", "Requests a second"))
        .arg(number("few-tokens", "2", "Tokens of a request, first load"))
        .arg(number("many-tokens", "18", "Tokens of a request, second load"))
        .arg(number("time-s", "8", "Seconds of a load"))
        .arg(number("entries", "2", "Entries"))
        .arg(number("chains", "2", "Chains of two backend servers"))
}

fn core_options(of: &ArgMatches) -> core::Options {
    core::Options {
        rate_per_s: get(of, "rate") as f64,
        few_tokens: get(of, "few-tokens") as u32,
        many_tokens: get(of, "many-tokens") as u32,
        time: Duration::from_secs(get(of, "time-s")),
        entries: get(of, "entries") as usize,
        chains: get(of, "chains") as usize,
    }
}

fn memory_command() -> Command {
    Command::new("memory")
        .about("Memory of an open stream at entries and sides")
        .arg(text("streams", "0,500,1000,2000", "Open streams"))
        .arg(number("entries", "2", "Entries"))
}

fn idle_command() -> Command {
    Command::new("idle")
        .about("What nodes without requests spend")
        .arg(text("sides", "4,8,16,32,64", "Counts of sides"))
        .arg(text("entries", "1,4", "Counts of entries"))
        .arg(number("time-s", "15", "Seconds of each"))
}

fn change_command() -> Command {
    Command::new("change")
        .about("Time until a new generation is in force on every node")
        .arg(number("sides", "96", "Sides"))
        .arg(number("entries", "4", "Entries"))
        .arg(number("accounts", "1600", "Client accounts"))
        .arg(number("changes", "5", "Changes with each state of the store"))
        .arg(number("request-timeout-ms", "2000", "Setting of the nodes"))
}

fn change_options(of: &ArgMatches) -> change::Options {
    change::Options {
        sides: get(of, "sides") as usize,
        entries: get(of, "entries") as usize,
        accounts: get(of, "accounts") as usize,
        changes: get(of, "changes") as usize,
        request_timeout_ms: get(of, "request-timeout-ms"),
        is_healthy_only: false,
    }
}

fn claims_command() -> Command {
    Command::new("claims")
        .about("Store writes and time of the claims of keyed requests")
        .arg(text("rates", "10,100,1000", "Keyed requests a second"))
        .arg(text("entries", "1,4", "Counts of entries"))
        .arg(number("time-s", "5", "Seconds of each"))
}

fn number(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    text(name, default, help).value_parser(value_parser!(u64))
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn get(of: &ArgMatches, name: &str) -> u64 {
    *of.get_one(name).expect("has a default")
}

/// Numbers with commas between.
fn list<T: FromStr>(of: &ArgMatches, name: &str) -> anyhow::Result<Vec<T>> {
    let text: &String = of.get_one(name).expect("has a default");
    let parse = |part: &str| {
        let number = part.trim().parse();
        number.map_err(|_| anyhow::anyhow!("--{name}: {part:?} is no number"))
    };
    text.split(',').map(parse).collect()
}
