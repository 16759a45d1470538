//! Runs one stand-in as a separate process.

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

/// Executor threads in addition to the main thread.
const EXTRA_EXECUTOR_THREADS: usize = 1;

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
        _ => unreachable!("clap accepts only the listed subcommands"),
    }
}

fn command() -> Command {
    Command::new("chestnutreach-standin")
        .about(
            "Runs a stand-in for an engine, a plain service or the platform",
        )
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(
            Command::new("plain")
                .about("A plain service that counts how often each call ran")
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
                .about("The platform's list of VMs with their states")
                .arg(listen_arg()),
        )
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("A model engine that serves a range of layers")
        .arg(listen_arg())
        .arg(Arg::new("model").long("model").default_value("desk-llm"))
        .arg(number("first-layer", "0", "First layer to load"))
        .arg(number("end-layer", "24", "Layer after the last one to load"))
        .arg(number(
            "layer-count",
            "24",
            "Number of layers of the whole model",
        ))
        .arg(number(
            "prompt-tokens-per-s",
            "0",
            "Prefill rate; 0 is unlimited",
        ))
        .arg(number("output-tokens-per-s", "0", "Decode rate; 0 is unlimited"))
        .arg(number("step-us", "0", "Fixed time per iteration"))
        .arg(number(
            "cache-tokens",
            "1000000",
            "KV cache capacity in positions",
        ))
        .arg(number(
            "sequence-idle-ms",
            "60000",
            "Idle time before a sequence may be evicted",
        ))
        .arg(number(
            "max-batch",
            "64",
            "Maximum number of steps per iteration",
        ))
        .arg(number(
            "report-lag-ms",
            "0",
            "Interval at which the load report is refreshed",
        ))
        .arg(number(
            "load-ms-per-layer",
            "0",
            "Time to load the weights of a layer",
        ))
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("Reject load orders with an old fencing number"),
        )
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Address to listen on; port 0 selects a free port")
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

/// Listens on the address of `--listen` and serves until the process exits.
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
    for _ in 0..EXTRA_EXECUTOR_THREADS {
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
