//! The command line.

use std::{process::ExitCode, str::FromStr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{core, overhead, report::print};

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
