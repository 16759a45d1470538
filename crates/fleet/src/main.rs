//! The demo: starts a small Kaolack fleet of separate processes and sends a
//! few requests.

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

/// Layer count of the fleet's model.
const LAYER_COUNT: u32 = 24;
/// Lengths of the summary and the letter.
const SUMMARY_TOKENS: u32 = 24;
const LETTER_TOKENS: u32 = 12;

const SUMMARY_PROMPT: &str =
    "Summarise loan file 2417 of the Ndiaye cooperative";
const LETTER_PROMPT: &str = "Write the repayment letter for loan 2417";

fn main() -> ExitCode {
    let arguments = Command::new("chestnutreach-demo")
        .about("Starts a small fleet on this machine and uses it")
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the fleet running until interrupted"),
        )
        .get_matches();
    let keeps_running = arguments.get_flag("keep");
    match run(keeps_running) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("demo: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(keeps_running: bool) -> anyhow::Result<()> {
    println!("Starting the platform, engines and daemons of a small fleet.");
    let mut fleet = Fleet::start(Plan::new())?;
    if keeps_running {
        return run_until_interrupted(&mut fleet);
    }
    request_summary(&fleet)?;
    request_letter_twice(&fleet)?;
    look_up_schedule(&fleet)?;
    send_receipt_twice(&fleet)?;
    check_records(&fleet.engine_records())?;
    stop(&mut fleet)
}

fn run_until_interrupted(fleet: &mut Fleet) -> anyhow::Result<()> {
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
    // Ctrl-C also stops the fleet, whose processes are in the same process
    // group.
    let (_sender, receiver) = mpsc::channel::<()>();
    let _ = receiver.recv();
    thread::sleep(Duration::from_millis(1));
    Ok(())
}

fn request_summary(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA clerk's summary, streamed by {}:", fleet.entry_address(0));
    let caller = fleet.caller(0).header("chestnutreach-priority", "high");
    let response = caller.stream(SUMMARY_PROMPT, SUMMARY_TOKENS, |_| {});
    show_text(fleet, SUMMARY_PROMPT, SUMMARY_TOKENS, &response)
}

fn request_letter_twice(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA repayment letter, with a key, asked for twice:");
    let first = request_letter(&fleet.caller(0));
    show_text(fleet, LETTER_PROMPT, LETTER_TOKENS, &first)?;
    let again = request_letter(&fleet.caller(1));
    println!("  again, from the other entry: {}", again.content());
    ensure!(
        again.content() == first.content(),
        "the repeated request returned a different letter: {again:?}"
    );
    let runs = engines_of(&fleet.engine_records(), again.request());
    ensure!(
        runs.is_empty(),
        "the repeated request of the letter ran on {runs:?}"
    );
    Ok(())
}

fn request_letter(caller: &Caller) -> Response {
    caller
        .header("idempotency-key", "letter-2417")
        .header("chestnutreach-priority", "high")
        .chat(LETTER_PROMPT, LETTER_TOKENS)
}

fn look_up_schedule(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA schedule lookup at the plain service:");
    let response =
        fleet.caller(1).call("GET", "/ledger-app/schedules/2417", "");
    show_plain(&response)
}

fn send_receipt_twice(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\nA receipt, which runs at most once:");
    let body = "{\"loan\":2417,\"paid\":15000}";
    let caller = fleet.caller(0).header("idempotency-key", "receipt-88");
    let first = caller.call("POST", "/ledger-app/receipts", body);
    show_plain(&first)?;
    let caller = fleet.caller(1).header("idempotency-key", "receipt-88");
    let again = caller.call("POST", "/ledger-app/receipts", body);
    ensure!(
        again.text == first.text,
        "the repeated receipt returned a different response: {again:?}"
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
    response: &Response,
) -> anyhow::Result<()> {
    ensure!(response.is_complete, "the answer is incomplete: {response:?}");
    println!("  {}", response.content());
    let chain = engines_of(&fleet.engine_records(), response.request());
    println!("  request {} crossed {}", response.request(), chain.join(", "));
    let expected: String = expected_answer(prompt, LAYER_COUNT, count)
        .into_iter()
        .map(|(_, text)| text)
        .collect();
    ensure!(
        response.content() == expected,
        "the answer differs from the expected one: {expected:?}"
    );
    ensure!(chain.len() >= 2, "the answer was computed only by {chain:?}");
    Ok(())
}

fn show_plain(response: &Response) -> anyhow::Result<()> {
    ensure!(response.status == 200, "the call failed: {response:?}");
    println!("  {}", response.text.trim());
    Ok(())
}

/// Returns the engines that ran a request, with their layers.
fn engines_of(
    records: &BTreeMap<String, Vec<NumberedRun>>,
    request: &str,
) -> Vec<String> {
    let mut chain = Vec::new();
    for (engine, runs) in records {
        let run = runs.iter().find(|r| r.entry.request == request);
        if let Some(run) = run {
            let (first, end) = (run.entry.first_layer, run.entry.end_layer);
            chain.push(format!("{engine} (layers {first}..{end})"));
        }
    }
    chain
}

fn check_records(
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> anyhow::Result<()> {
    let violations = guarantee_violations(records);
    ensure!(violations.is_empty(), "guarantees violated: {violations:#?}");
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
        ensure!(code == Some(0), "{name} exited with {code:?}");
    }
    println!("{count} daemons stopped gracefully.");
    Ok(())
}
