//! Runs a stand-in as a process of its own.

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use anyhow::Context as _;
use async_executor::Executor;
use async_io::{Async, block_on};
use chestnutreach_standins::{
    engine::{self, EngineOptions},
    plain,
    platform::{Faults, serve_objects, serve_table, serve_vm_list},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Threads besides the one that accepts connections.
const EXTRA_THREADS: usize = 1;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("engine", matches)) => run_engine(matches),
        Some(("plain", matches)) => run(matches, plain::serve),
        Some(("table", matches)) => run(matches, |executor, listener| {
            serve_table(listener, Arc::new(Faults::new()), executor)
        }),
        Some(("objects", matches)) => run(matches, |executor, listener| {
            serve_objects(listener, Arc::new(Faults::new()), executor)
        }),
        Some(("vm-list", matches)) => run(matches, |executor, listener| {
            serve_vm_list(listener, Arc::new(Faults::new()), executor)
        }),
        _ => unreachable!("clap asks for a known subcommand"),
    }
}

fn command() -> Command {
    Command::new("chestnutreach-standin")
        .about("Stands in for engines, plain services and the platform")
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(
            Command::new("plain")
                .about("A plain service whose runs are counted")
                .arg(listen_arg()),
        )
        .subcommand(
            Command::new("table")
                .about("The platform's table service")
                .arg(listen_arg()),
        )
        .subcommand(
            Command::new("objects")
                .about("The platform's object store")
                .arg(listen_arg()),
        )
        .subcommand(
            Command::new("vm-list")
                .about("The platform's list of live and leaving VMs")
                .arg(listen_arg()),
        )
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("A model engine that holds a range of layers")
        .arg(listen_arg())
        .arg(Arg::new("model").long("model").default_value("desk-llm"))
        .arg(number("first-layer", "0", "First layer to hold"))
        .arg(number("end-layer", "24", "Layer after the last to hold"))
        .arg(number("layer-count", "24", "Layers of the whole model"))
        .arg(number("prompt-tokens-per-s", "0", "0 takes no time"))
        .arg(number("output-tokens-per-s", "0", "0 takes no time"))
        .arg(number("step-us", "0", "Time of an iteration"))
        .arg(number("cache-tokens", "1000000", "KV memory in positions"))
        .arg(number("sequence-idle-ms", "60000", "Idle time in memory"))
        .arg(number("max-batch", "64", "Most steps in an iteration"))
        .arg(number("report-lag-ms", "0", "Lag of the reported load"))
        .arg(number("load-ms-per-layer", "0", "Time to load weights"))
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("Refuse orders with an old fencing number"),
        )
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Where to listen; port 0 takes a free one")
}

fn number(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

fn run_engine(matches: &ArgMatches) -> anyhow::Result<()> {
    let options = engine_options(matches)?;
    run(matches, |executor, listener| {
        engine::serve(executor, listener, options)
    })
}

fn engine_options(matches: &ArgMatches) -> anyhow::Result<EngineOptions> {
    let get = |name: &str| get_number(matches, name);
    let layer = |name: &str| {
        u32::try_from(get(name)).with_context(|| format!("--{name}"))
    };
    let model = matches.get_one::<String>("model").expect("has a default");
    let options = EngineOptions::new(
        model,
        layer("first-layer")?,
        layer("end-layer")?,
        layer("layer-count")?,
    )
    .map_err(anyhow::Error::from)?
    .prompt_tokens_per_s(get("prompt-tokens-per-s"))
    .output_tokens_per_s(get("output-tokens-per-s"))
    .step_us(get("step-us"))
    .cache_tokens(get("cache-tokens"))
    .sequence_idle_ms(get("sequence-idle-ms"))
    .max_batch(get("max-batch") as usize)
    .report_lag_ms(get("report-lag-ms"))
    .load_ms_per_layer(get("load-ms-per-layer"))
    .checks_fencing(matches.get_flag("checks-fencing"));
    Ok(options)
}

fn get_number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("has a default")
}

/// Serves at the address asked for until the process is ended.
fn run<S, F>(matches: &ArgMatches, serve: S) -> anyhow::Result<()>
where
    S: FnOnce(Arc<Executor<'static>>, Async<TcpListener>) -> F,
    F: Future<Output = io::Result<()>>,
{
    let address = *matches.get_one("listen").expect("has a default");
    let listener = Async::<TcpListener>::bind::<SocketAddr>(address)
        .with_context(|| format!("cannot listen on {address}"))?;
    let address = listener.get_ref().local_addr()?;
    let executor = Arc::new(Executor::new());
    for _ in 0..EXTRA_THREADS {
        let executor = executor.clone();
        thread::spawn(move || {
            block_on(executor.run(std::future::pending::<()>()))
        });
    }
    let mut stdout = io::stdout();
    writeln!(stdout, "listening on {address}")?;
    stdout.flush()?;
    let serving = serve(executor.clone(), listener);
    Ok(block_on(executor.run(serving))?)
}
