//! Measures the time from a fault to the next token, and the share of requests
//! that complete while engines crash.
//!
//! Uses the default settings, apart from the retry budget in the second
//! measurement. Run this example in release mode after
//! `cargo build --release --workspace`.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use chestnutreach_fleet::{Caller, Fleet, Plan, Response, fleet::side_name};
use chestnutreach_standins::engine::expected_answer;

const LAYER_COUNT: u32 = 24;
/// Length of the prompt; each word is a token.
const PROMPT_TOKENS: usize = 400;
const MAX_TOKENS: u32 = 120;
/// Token at which the fault is injected.
const FAULT_AT_TOKEN: usize = 40;
/// Repetitions of each fault.
const REPETITIONS: usize = 5;
/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(20);
/// Interval between two engine crashes.
const CRASH_INTERVAL: Duration = Duration::from_secs(1);
/// Retry budgets to measure, in percent; the default is 20.
const RETRY_PERCENTS: [&str; 2] = ["20", "100"];
/// Time from the crash of an engine to its restart.
const DOWNTIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
enum Fault {
    SideKilled,
    SideFrozen,
    EngineKilled,
    EngineFrozen,
    Reset,
    Silent,
}

const FAULTS: [(Fault, &str); 6] = [
    (Fault::SideKilled, "side process killed"),
    (Fault::SideFrozen, "side process frozen"),
    (Fault::EngineKilled, "engine killed"),
    (Fault::EngineFrozen, "engine frozen"),
    (Fault::Reset, "connection to side reset"),
    (Fault::Silent, "connection to side silent"),
];

fn main() -> anyhow::Result<()> {
    println!("fault, stage | whole | median ms | longest ms");
    for (fault, name) in FAULTS {
        for (stage, label) in [(0, "first"), (1, "last")] {
            measure_recovery(fault, stage, &format!("{name}, {label}"))?;
        }
    }
    for percent in RETRY_PERCENTS {
        measure_crashes(percent)?;
    }
    Ok(())
}

fn plan() -> Plan {
    Plan::new()
        .plain_servers(0)
        .engine_argument("--step-us=5000")
        .engine_argument("--prompt-tokens-per-s=20000")
}

fn measure_recovery(
    fault: Fault,
    stage: usize,
    name: &str,
) -> anyhow::Result<()> {
    let mut gaps_ms = Vec::new();
    let mut complete = 0;
    for _ in 0..REPETITIONS {
        let plan = plan().stages(&[0, 12, LAYER_COUNT], 2).relays();
        let servers = plan.stage_names(stage);
        let mut fleet = Fleet::start(plan)?;
        let response = run_with_fault(&mut fleet, fault, &servers);
        complete += usize::from(is_complete(&response, MAX_TOKENS));
        gaps_ms.push(longest_gap_ms(&response));
    }
    gaps_ms.sort_unstable();
    let median = gaps_ms[gaps_ms.len() / 2];
    let longest = gaps_ms[gaps_ms.len() - 1];
    println!("{name} | {complete}/{REPETITIONS} | {median} | {longest}");
    Ok(())
}

/// Sends a request, injects the fault into the server that runs the request
/// after some tokens, and returns the response.
fn run_with_fault(
    fleet: &mut Fleet,
    fault: Fault,
    servers: &[String],
) -> Response {
    let caller = fleet.caller(0);
    let (sender, reached) = mpsc::channel();
    let call = thread::spawn(move || {
        caller.stream(&prompt(), MAX_TOKENS, |chunks| {
            if chunks == FAULT_AT_TOKEN {
                let _ = sender.send(());
            }
        })
    });
    let _ = reached.recv();
    let active_server = servers.iter().find(|name| {
        let status = fleet.side_status(name);
        status["runs"] == 1 || status["seats"] == 1
    });
    if let Some(name) = active_server {
        inject(fleet, fault, name);
    }
    let response = call.join().expect("the caller thread doesn't panic");
    for name in servers {
        fleet.process(name).thaw();
        fleet.process(&side_name(name)).thaw();
    }
    response
}

fn inject(fleet: &mut Fleet, fault: Fault, name: &str) {
    match fault {
        Fault::SideKilled => fleet.process(&side_name(name)).kill(),
        Fault::SideFrozen => fleet.process(&side_name(name)).freeze(),
        Fault::EngineKilled => fleet.process(name).kill(),
        Fault::EngineFrozen => fleet.process(name).freeze(),
        Fault::Reset => fleet.relay(name).reset(),
        Fault::Silent => fleet.relay(name).blackhole(),
    }
}

fn longest_gap_ms(response: &Response) -> u128 {
    let pairs = response.chunk_times.windows(2);
    let gaps = pairs.map(|pair| pair[1].saturating_sub(pair[0]));
    gaps.max().unwrap_or_default().as_millis()
}

fn prompt() -> String {
    let words: Vec<String> =
        (0..PROMPT_TOKENS).map(|n| format!("word{n}")).collect();
    words.join(" ")
}

fn is_complete(response: &Response, max_tokens: u32) -> bool {
    let expected = expected_answer(&prompt(), LAYER_COUNT, max_tokens);
    let text: String = expected.into_iter().map(|(_, text)| text).collect();
    response.outcome() == Some("completed") && response.text == text
}

/// Counts of requests by outcome.
#[derive(Debug, Default)]
struct Counts {
    complete: usize,
    not_run: usize,
    other: usize,
}

/// Crashes and restarts one engine after another under load, and prints the
/// outcomes of the requests.
fn measure_crashes(retry_percent: &str) -> anyhow::Result<()> {
    let plan = plan().stages(&[0, 12, LAYER_COUNT], 4).setting(
        "entry",
        "retry-budget-percent",
        retry_percent,
    );
    let engines = plan.engine_names();
    let mut fleet = Fleet::start(plan)?;
    let is_stopped = AtomicBool::new(false);
    let callers: Vec<Caller> =
        (0..CALLERS).map(|n| fleet.caller(n % 2)).collect();
    let counts = thread::scope(|scope| {
        let calls: Vec<_> = callers
            .iter()
            .map(|caller| scope.spawn(|| call_until(caller, &is_stopped)))
            .collect();
        let killed = crash_engines_in_turn(&mut fleet, &engines);
        is_stopped.store(true, Ordering::Release);
        let mut sum = Counts::default();
        for call in calls {
            let counts = call.join().expect("the caller thread doesn't panic");
            sum.complete += counts.complete;
            sum.not_run += counts.not_run;
            sum.other += counts.other;
        }
        killed.map(|killed| (killed, sum))
    });
    let (killed, counts) = counts?;
    let total = counts.complete + counts.not_run + counts.other;
    println!(
        "\nretry budget {retry_percent} %, {killed} deaths of {} engines in \
         {} s: {} of {total} requests whole, {} not run, {} failed",
        engines.len(),
        LOAD_DURATION.as_secs(),
        counts.complete,
        counts.not_run,
        counts.other
    );
    Ok(())
}

fn call_until(caller: &Caller, is_stopped: &AtomicBool) -> Counts {
    let mut counts = Counts::default();
    while !is_stopped.load(Ordering::Acquire) {
        let response = caller.stream(&prompt(), MAX_TOKENS, |_| {});
        if is_complete(&response, MAX_TOKENS) {
            counts.complete += 1;
        } else if response.outcome() == Some("not-run") {
            counts.not_run += 1;
        } else {
            counts.other += 1;
        }
    }
    counts
}

fn crash_engines_in_turn(
    fleet: &mut Fleet,
    engines: &[String],
) -> anyhow::Result<usize> {
    let started = Instant::now();
    let mut killed = 0;
    while started.elapsed() < LOAD_DURATION {
        let name = &engines[killed % engines.len()];
        fleet.process(name).kill();
        thread::sleep(DOWNTIME);
        fleet.process(name).restart()?;
        killed += 1;
        thread::sleep(CRASH_INTERVAL - DOWNTIME);
    }
    Ok(killed)
}
