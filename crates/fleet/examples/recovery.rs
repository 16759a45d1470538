//! Measures the time from a fault to the next token, and the share of
//! requests that are answered whole while engines die.
//!
//! All settings are the shipped ones. Run it in release mode after
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
/// Words of the prompt, each a token.
const PROMPT_TOKENS: usize = 400;
const MAX_TOKENS: u32 = 120;
/// Token at which the fault strikes.
const STRIKE_AT: usize = 40;
/// Repetitions of each fault.
const TRIES: usize = 5;
/// Callers, the time they call, and the time between two deaths of engines.
const CALLERS: usize = 8;
const CALLING: Duration = Duration::from_secs(20);
const BETWEEN_DEATHS: Duration = Duration::from_secs(1);
/// Budgets of retries that the deaths are met with; 20 is shipped.
const RETRY_PERCENTS: [&str; 2] = ["20", "100"];
/// How long a dead engine is away.
const AWAY: Duration = Duration::from_millis(500);

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
        for (stage, place) in [(0, "first"), (1, "last")] {
            measure(fault, stage, &format!("{name}, {place}"))?;
        }
    }
    for percent in RETRY_PERCENTS {
        deaths(percent)?;
    }
    Ok(())
}

fn plan() -> Plan {
    Plan::new()
        .plain_servers(0)
        .engine_argument("--step-us=5000")
        .engine_argument("--prompt-tokens-per-s=20000")
}

fn measure(fault: Fault, stage: usize, name: &str) -> anyhow::Result<()> {
    let mut gaps_ms = Vec::new();
    let mut whole = 0;
    for _ in 0..TRIES {
        let plan = plan().stages(&[0, 12, LAYER_COUNT], 2).relays();
        let servers = plan.stage_names(stage);
        let mut fleet = Fleet::start(plan)?;
        let answer = struck(&mut fleet, fault, &servers);
        whole += usize::from(is_whole(&answer, MAX_TOKENS));
        gaps_ms.push(longest_gap_ms(&answer));
    }
    gaps_ms.sort_unstable();
    let median = gaps_ms[gaps_ms.len() / 2];
    let longest = gaps_ms[gaps_ms.len() - 1];
    println!("{name} | {whole}/{TRIES} | {median} | {longest}");
    Ok(())
}

/// The answer to a request whose chain is struck in the middle of it.
fn struck(fleet: &mut Fleet, fault: Fault, servers: &[String]) -> Response {
    let caller = fleet.caller(0);
    let (sender, reached) = mpsc::channel();
    let call = thread::spawn(move || {
        caller.stream(&prompt(), MAX_TOKENS, |parts| {
            if parts == STRIKE_AT {
                let _ = sender.send(());
            }
        })
    });
    let _ = reached.recv();
    let used = servers.iter().find(|name| {
        let status = fleet.side_status(name);
        status["runs"] == 1 || status["seats"] == 1
    });
    if let Some(name) = used {
        strike(fleet, fault, name);
    }
    let answer = call.join().expect("a caller does not panic");
    for name in servers {
        fleet.process(name).thaw();
        fleet.process(&side_name(name)).thaw();
    }
    answer
}

fn strike(fleet: &mut Fleet, fault: Fault, name: &str) {
    match fault {
        Fault::SideKilled => fleet.process(&side_name(name)).kill(),
        Fault::SideFrozen => fleet.process(&side_name(name)).freeze(),
        Fault::EngineKilled => fleet.process(name).kill(),
        Fault::EngineFrozen => fleet.process(name).freeze(),
        Fault::Reset => fleet.relay(name).reset(),
        Fault::Silent => fleet.relay(name).blackhole(),
    }
}

fn longest_gap_ms(answer: &Response) -> u128 {
    let pairs = answer.chunk_times.windows(2);
    let gaps = pairs.map(|pair| pair[1].saturating_sub(pair[0]));
    gaps.max().unwrap_or_default().as_millis()
}

fn prompt() -> String {
    let words: Vec<String> =
        (0..PROMPT_TOKENS).map(|n| format!("word{n}")).collect();
    words.join(" ")
}

fn is_whole(answer: &Response, max_tokens: u32) -> bool {
    let expected = expected_answer(&prompt(), LAYER_COUNT, max_tokens);
    let text: String = expected.into_iter().map(|(_, text)| text).collect();
    answer.outcome() == Some("completed") && answer.text == text
}

/// Counts of outcomes.
#[derive(Debug, Default)]
struct Counts {
    whole: usize,
    not_run: usize,
    other: usize,
}

/// One engine after another dies and comes back while callers call.
fn deaths(retry_percent: &str) -> anyhow::Result<()> {
    let plan = plan().stages(&[0, 12, LAYER_COUNT], 4).setting(
        "entry",
        "retry-budget-percent",
        retry_percent,
    );
    let engines = plan.engine_names();
    let mut fleet = Fleet::start(plan)?;
    let has_ended = AtomicBool::new(false);
    let callers: Vec<Caller> =
        (0..CALLERS).map(|n| fleet.caller(n % 2)).collect();
    let counts = thread::scope(|scope| {
        let calls: Vec<_> = callers
            .iter()
            .map(|caller| scope.spawn(|| call_until(caller, &has_ended)))
            .collect();
        let killed = kill_in_turn(&mut fleet, &engines);
        has_ended.store(true, Ordering::Release);
        let mut sum = Counts::default();
        for call in calls {
            let counts = call.join().expect("a caller does not panic");
            sum.whole += counts.whole;
            sum.not_run += counts.not_run;
            sum.other += counts.other;
        }
        killed.map(|killed| (killed, sum))
    });
    let (killed, counts) = counts?;
    let all = counts.whole + counts.not_run + counts.other;
    println!(
        "\nretry budget {retry_percent} %, {killed} deaths of {} engines in \
         {} s: {} of {all} requests whole, {} not run, {} failed",
        engines.len(),
        CALLING.as_secs(),
        counts.whole,
        counts.not_run,
        counts.other
    );
    Ok(())
}

fn call_until(caller: &Caller, has_ended: &AtomicBool) -> Counts {
    let mut counts = Counts::default();
    while !has_ended.load(Ordering::Acquire) {
        let answer = caller.stream(&prompt(), MAX_TOKENS, |_| {});
        if is_whole(&answer, MAX_TOKENS) {
            counts.whole += 1;
        } else if answer.outcome() == Some("not-run") {
            counts.not_run += 1;
        } else {
            counts.other += 1;
        }
    }
    counts
}

fn kill_in_turn(
    fleet: &mut Fleet,
    engines: &[String],
) -> anyhow::Result<usize> {
    let started = Instant::now();
    let mut killed = 0;
    while started.elapsed() < CALLING {
        let name = &engines[killed % engines.len()];
        fleet.process(name).kill();
        thread::sleep(AWAY);
        fleet.process(name).restart()?;
        killed += 1;
        thread::sleep(BETWEEN_DEATHS - AWAY);
    }
    Ok(killed)
}
