//! The demo: a small Kaolack fleet of separate processes, used once.

use std::{
    collections::BTreeMap, process::ExitCode, sync::mpsc, thread,
    time::Duration,
};

use anyhow::ensure;
use chestnutreach_fleet::{
    Caller, Fleet, Plan, Response,
    fleet::ACCOUNTS,
    record::{NumberedRun, guarantee_violations},
};
use chestnutreach_standins::engine::expected_answer;
use clap::{Arg, ArgAction, Command};

/// Layers of the fleet's model.
const LAYER_COUNT: u32 = 24;
/// Words of a summary and of a letter.
const SUMMARY_TOKENS: u32 = 24;
const LETTER_TOKENS: u32 = 12;

const SUMMARY: &str = "Summarise loan file 2417 of the Ndiaye cooperative";
const LETTER: &str = "Write the repayment letter for loan 2417";

fn main() -> ExitCode {
    let arguments = Command::new("chestnutreach-demo")
        .about("Starts a small fleet on this machine and uses it")
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leave the fleet up until interrupted"),
        )
        .get_matches();
    let is_kept = arguments.get_flag("keep");
    match run(is_kept) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("demo: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(is_kept: bool) -> anyhow::Result<()> {
    println!("Starting the platform, engines and daemons of a small fleet.");
    let mut fleet = Fleet::start(Plan::new())?;
    if is_kept {
        return keep(&mut fleet);
    }
    summary(&fleet)?;
    letter(&fleet)?;
    lookup(&fleet)?;
    receipt(&fleet)?;
    check_records(&fleet.engine_records())?;
    stop(&mut fleet)
}

fn keep(fleet: &mut Fleet) -> anyhow::Result<()> {
    let entry = fleet.entry_address(0);
    let key = ACCOUNTS[0].1;
    println!("Entries: {entry} {}", fleet.entry_address(1));
    println!("Key of {}: {key}", ACCOUNTS[0].0);
    println!("Settings and logs: {}", fleet.directory().display());
    for (name, address) in fleet.ops_addresses() {
        println!("Metrics of {name}: http://{address}/metrics");
    }
    for (name, address) in fleet.control_addresses() {
        println!("Control of {name}: {address}");
    }
    println!(
        "curl -N http://{entry}/v1/chat/completions \
         -H 'authorization: Bearer {key}' \
         -H 'content-type: application/json' \
         -d '{{\"model\":\"desk-llm\",\"max_tokens\":16,\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Summarise loan \
         file 2417\"}}]}}'"
    );
    println!("Interrupt (Ctrl-C) to end.");
    // An interrupt ends this process and, as one process group, the fleet.
    let (_sender, receiver) = mpsc::channel::<()>();
    let _ = receiver.recv();
    thread::sleep(Duration::from_millis(1));
    Ok(())
}

fn summary(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA clerk's summary, streamed by {}:", fleet.entry_address(0));
    let caller = fleet.caller(0).header("chestnutreach-priority", "high");
    let answer = caller.stream(SUMMARY, SUMMARY_TOKENS, |_| {});
    show_text(fleet, SUMMARY, SUMMARY_TOKENS, &answer)
}

fn letter(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA repayment letter, with a key, asked for twice:");
    let first = ask_letter(&fleet.caller(0));
    show_text(fleet, LETTER, LETTER_TOKENS, &first)?;
    let again = ask_letter(&fleet.caller(1));
    println!("  again, from the other entry: {}", again.content());
    ensure!(
        again.content() == first.content(),
        "the repeat of the letter is another letter: {again:?}"
    );
    let runs = chain_of(&fleet.engine_records(), again.request());
    ensure!(runs.is_empty(), "the repeat of the letter ran on {runs:?}");
    Ok(())
}

fn ask_letter(caller: &Caller) -> Response {
    caller
        .header("idempotency-key", "letter-2417")
        .header("chestnutreach-priority", "high")
        .chat(LETTER, LETTER_TOKENS)
}

fn lookup(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA schedule lookup at the plain service:");
    let answer = fleet.caller(1).call("GET", "/ledger-app/schedules/2417", "");
    show_plain(&answer)
}

fn receipt(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA receipt, which runs at most once:");
    let body = "{\"loan\":2417,\"paid\":15000}";
    let caller = fleet.caller(0).header("idempotency-key", "receipt-88");
    let first = caller.call("POST", "/ledger-app/receipts", body);
    show_plain(&first)?;
    let caller = fleet.caller(1).header("idempotency-key", "receipt-88");
    let again = caller.call("POST", "/ledger-app/receipts", body);
    ensure!(
        again.text == first.text,
        "the repeat of the receipt has another answer: {again:?}"
    );
    let record = fleet.plain_record("ledger-0");
    let runs =
        record.iter().filter(|r| r.entry.response.path == "/receipts").count();
    println!("  asked for twice, ran {runs} time");
    ensure!(runs == 1, "the receipt ran {runs} times");
    Ok(())
}

fn show_text(
    fleet: &Fleet,
    prompt: &str,
    count: u32,
    answer: &Response,
) -> anyhow::Result<()> {
    ensure!(answer.is_complete, "the answer is not whole: {answer:?}");
    println!("  {}", answer.content());
    let chain = chain_of(&fleet.engine_records(), answer.request());
    println!("  request {} crossed {}", answer.request(), chain.join(", "));
    let expected: String = expected_answer(prompt, LAYER_COUNT, count)
        .into_iter()
        .map(|(_, text)| text)
        .collect();
    ensure!(
        answer.content() == expected,
        "the answer is not the model's: {expected:?}"
    );
    ensure!(chain.len() >= 2, "the answer crossed only {chain:?}");
    Ok(())
}

fn show_plain(answer: &Response) -> anyhow::Result<()> {
    ensure!(answer.status == 200, "the call failed: {answer:?}");
    println!("  {}", answer.text.trim());
    Ok(())
}

/// Engines that ran a request, with their layers.
fn chain_of(
    records: &BTreeMap<String, Vec<NumberedRun>>,
    request: &str,
) -> Vec<String> {
    let mut chain = Vec::new();
    for (engine, runs) in records {
        let ran = runs.iter().find(|r| r.entry.request == request);
        if let Some(ran) = ran {
            let (first, end) = (ran.entry.first_layer, ran.entry.end_layer);
            chain.push(format!("{engine} (layers {first}..{end})"));
        }
    }
    chain
}

fn check_records(
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> anyhow::Result<()> {
    let broken = guarantee_violations(records);
    ensure!(broken.is_empty(), "promises broken: {broken:#?}");
    let runs: usize = records.values().map(Vec::len).sum();
    println!(
        "\n{runs} steps on engines: no layer ran twice, none was missed."
    );
    Ok(())
}

fn stop(fleet: &mut Fleet) -> anyhow::Result<()> {
    let codes = fleet.stop_daemons()?;
    let count = codes.len();
    for (name, code) in codes {
        ensure!(code == Some(0), "{name} ended with {code:?}");
    }
    println!("{count} daemons stopped gracefully.");
    Ok(())
}
