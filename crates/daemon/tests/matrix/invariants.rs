//! Checks the invariants of a cell against the records of the stand-ins.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_fleet::{
    Response,
    record::{NumberedRun, guarantee_violations},
};
use chestnutreach_standins::plain::PlainRecord;

use crate::{
    cell::{Kind, Outcome, PROMPT_TOKENS, Step, expected_text, outcome_of},
    driver::Driver,
};

/// Checks the outcome that was reported to the caller, and the latency.
pub fn check_answer(driver: &Driver, answer: &Response) {
    let expect = driver.cell.expect;
    assert_eq!(outcome_of(answer), expect.outcome, "{answer:?}");
    check_text(driver.cell.kind, answer);
    let latency = driver.latency;
    let max_latency = expect.max_latency;
    assert!(latency <= max_latency, "after {latency:?}: {answer:?}");
}

/// Checks that the text is the expected one if the request completed, and a
/// prefix of the expected text otherwise.
fn check_text(kind: Kind, answer: &Response) {
    if kind.is_plain() {
        let has_result = answer.json()["run"].is_u64();
        let is_completed = outcome_of(answer) == Outcome::Completed;
        assert!(has_result || !is_completed, "{answer:?}");
        return;
    }
    let expected = expected_text();
    match outcome_of(answer) {
        Outcome::Completed => assert_eq!(answer.content(), expected),
        _ => {
            let text = if answer.chunks > 0 { &*answer.text } else { "" };
            assert!(expected.starts_with(text), "{answer:?}");
        }
    }
    if outcome_of(answer) == Outcome::NotRun {
        let headers = &answer.headers;
        assert!(headers.contains_key("retry-after"), "{answer:?}");
    }
}

/// Checks that nothing has run so far.
pub fn check_nothing_ran(driver: &Driver) {
    let ran = runs(driver);
    assert!(ran.is_empty(), "reported as not run: {ran:?}");
}

/// Checks the runs of the request and of its repeat.
pub fn check_records(driver: &Driver, answer: &Response) {
    let expect = driver.cell.expect;
    let ran = runs(driver);
    if driver.cell.kind.is_once() {
        assert!(ran.len() <= 1, "ran more than once: {ran:?}");
    }
    check_resumed(driver, answer, &ran);
    // A repeat of a request with a key may run under the id of the request
    // that claimed the key.
    let is_repeated =
        driver.cell.kind.is_keyed() && outcome_of(answer) == Outcome::NotRun;
    let own = ran.iter().filter(|run| run.request == answer.request());
    let count = own.count();
    // Without a response, the id of the request is unknown.
    if let Some(attempts) = expect.attempts
        && !answer.request().is_empty()
        && !is_repeated
    {
        assert_eq!(count, attempts, "attempts of {answer:?}: {ran:?}");
    }
}

/// Checks that a later attempt continues after the delivered tokens.
fn check_resumed(driver: &Driver, answer: &Response, ran: &BTreeSet<Run>) {
    let is_between = driver.cell.step == Step::BetweenTokens;
    if driver.cell.kind != Kind::Stream || !is_between {
        return;
    }
    let own = ran.iter().filter(|run| run.request == answer.request());
    for run in own.filter(|run| run.number > 1) {
        let records = engine_records(driver);
        let mut steps = records.values().flatten().filter(|ran| {
            ran.entry.request == run.request
                && u64::from(ran.entry.attempt) == run.number
        });
        let is_resumed = steps.all(|ran| {
            ran.entry.position > 0 || ran.entry.span > PROMPT_TOKENS
        });
        assert!(is_resumed, "{run:?} started from the first token");
    }
}

/// Checks that a repeat gets the same response or the expected outcome.
pub fn check_repeat(driver: &Driver, answer: &Response, repeat: &Response) {
    assert_eq!(outcome_of(repeat), driver.cell.expect.repeat, "{repeat:?}");
    check_text(driver.cell.kind, repeat);
    let both_completed = outcome_of(answer) == Outcome::Completed
        && outcome_of(repeat) == Outcome::Completed;
    if both_completed && driver.cell.kind.is_keyed() {
        let same = (answer.content(), repeat.content());
        assert_eq!(same.0, same.1, "different responses to the same key");
        if driver.cell.kind.is_plain() {
            assert_eq!(answer.text, repeat.text, "different responses");
        }
    }
}

/// An attempt that engines have run, or a call that a plain service has run.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    request: String,
    number: u64,
}

fn runs(driver: &Driver) -> BTreeSet<Run> {
    if driver.cell.kind.is_plain() {
        return plain_runs(driver);
    }
    let records = engine_records(driver);
    let violations = guarantee_violations(&records);
    assert!(violations.is_empty(), "invariants violated: {violations:#?}");
    engine_runs(driver, &records)
}

fn engine_records(driver: &Driver) -> BTreeMap<String, Vec<NumberedRun>> {
    let mut records = driver.fleet.engine_records();
    records.extend(driver.killed_engine_records.clone());
    records
}

fn engine_runs(
    driver: &Driver,
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> BTreeSet<Run> {
    let runs = records.values().flatten().map(|ran| Run {
        request: ran.entry.request.clone(),
        number: ran.entry.attempt.into(),
    });
    runs.filter(|run| !driver.fillers.contains(&run.request)).collect()
}

fn plain_runs(driver: &Driver) -> BTreeSet<Run> {
    let mut records: Vec<PlainRecord> = driver.killed_plain_records.clone();
    for name in driver.plain_names() {
        let record = driver.fleet.plain_record(&name);
        records.extend(record.into_iter().map(|r| r.entry));
    }
    let runs = records.into_iter().enumerate().map(|(number, r)| Run {
        request: r.request_id,
        number: number as u64,
    });
    runs.collect()
}
