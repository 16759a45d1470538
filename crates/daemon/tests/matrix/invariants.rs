//! What must hold, by what the stand-ins have recorded.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_fleet::{
    Response,
    record::{NumberedRun, guarantee_violations},
};
use chestnutreach_standins::plain::PlainRecord;

use crate::{
    cell::{Kind, PROMPT_TOKENS, Step, Told, expected_text, told},
    driver::Driver,
};

/// Checks what the caller was told, and when.
pub fn check_answer(driver: &Driver, answer: &Response) {
    let expect = driver.cell.expect;
    assert_eq!(told(answer), expect.told, "{answer:?}");
    check_text(driver.cell.kind, answer);
    let waited = driver.waited;
    assert!(waited <= expect.within, "answered after {waited:?}");
}

/// Checks the text: whole if it completed, and a beginning of the expected
/// one in any case.
fn check_text(kind: Kind, answer: &Response) {
    if kind.is_plain() {
        let is_whole = answer.json()["run"].is_u64();
        let is_completed = told(answer) == Told::Completed;
        assert!(is_whole || !is_completed, "{answer:?}");
        return;
    }
    let expected = expected_text();
    match told(answer) {
        Told::Completed => assert_eq!(answer.content(), expected),
        _ => {
            let text = if answer.chunks > 0 { &*answer.text } else { "" };
            assert!(expected.starts_with(text), "{answer:?}");
        }
    }
    if told(answer) == Told::NotRun {
        let headers = &answer.headers;
        assert!(headers.contains_key("retry-after"), "{answer:?}");
    }
}

/// Checks that nothing has run so far.
pub fn check_nothing_ran(driver: &Driver) {
    let ran = runs(driver);
    assert!(ran.is_empty(), "was told as not run: {ran:?}");
}

/// Checks what has run, over all that was asked for.
pub fn check_records(driver: &Driver, answer: &Response) {
    let expect = driver.cell.expect;
    let ran = runs(driver);
    if driver.cell.kind.is_once() {
        assert!(ran.len() <= 1, "ran more than once: {ran:?}");
    }
    check_resumed(driver, answer, &ran);
    // A repeat of a key may run as the request that holds the key.
    let is_repeated =
        driver.cell.kind.is_keyed() && told(answer) == Told::NotRun;
    let own = ran.iter().filter(|run| run.request == answer.request());
    let count = own.count();
    // Without an answer there is no request to look for.
    if let Some(attempts) = expect.attempts
        && !answer.request().is_empty()
        && !is_repeated
    {
        assert_eq!(count, attempts, "attempts of {answer:?}: {ran:?}");
    }
}

/// Checks that a later attempt goes on after what was delivered.
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
        assert!(is_resumed, "{run:?} began at the beginning");
    }
}

/// Checks a repeat: the same answer, or an honest word that there is none.
pub fn check_repeat(driver: &Driver, answer: &Response, repeat: &Response) {
    assert_eq!(told(repeat), driver.cell.expect.repeat, "{repeat:?}");
    check_text(driver.cell.kind, repeat);
    let are_whole =
        told(answer) == Told::Completed && told(repeat) == Told::Completed;
    if are_whole && driver.cell.kind.is_keyed() {
        let same = (answer.content(), repeat.content());
        assert_eq!(same.0, same.1, "another answer to the same key");
        if driver.cell.kind.is_plain() {
            assert_eq!(answer.text, repeat.text, "another answer");
        }
    }
}

/// An attempt that engines have run, or a call that a plain service has.
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
    let broken = guarantee_violations(&records);
    assert!(broken.is_empty(), "promises broken: {broken:#?}");
    engine_runs(driver, &records)
}

fn engine_records(driver: &Driver) -> BTreeMap<String, Vec<NumberedRun>> {
    let mut records = driver.fleet.engine_records();
    records.extend(driver.lost_records.clone());
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
    let mut records: Vec<PlainRecord> = driver.lost_plain.clone();
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
