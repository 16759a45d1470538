//! How each outcome is told.

use std::ops::RangeInclusive;

use chestnutreach_protocol::wire::{FailureReason, RefusalReason};
use serde_json::json;

use crate::support::{Answer, Reply, Request, Setup, Stage};

const MARK: &str = "chestnutreach-non-idempotent";
const DEADLINE: &str = "chestnutreach-deadline-ms";
/// What a caller may be told to wait when nothing is known, in milliseconds.
const PLAUSIBLE_MS: RangeInclusive<u64> = 1..=60_000;

/// What the side process does, and what the caller is told.
struct Case {
    replies: Vec<Reply>,
    is_once: bool,
    status: u16,
    outcome: &'static str,
    code: &'static str,
    should_retry: bool,
    retry_after_ms: Option<RangeInclusive<u64>>,
}

impl Case {
    /// The request did not run, and may be sent again after a time.
    fn not_run(replies: Vec<Reply>, status: u16, code: &'static str) -> Case {
        Case {
            replies,
            is_once: true,
            status,
            outcome: "not-run",
            code,
            should_retry: true,
            retry_after_ms: Some(PLAUSIBLE_MS),
        }
    }

    /// The request began and ended without a whole answer.
    fn failed(replies: Vec<Reply>, status: u16) -> Case {
        Case {
            outcome: "failed",
            should_retry: false,
            retry_after_ms: None,
            ..Case::not_run(replies, status, "failed")
        }
    }

    fn unknown(replies: Vec<Reply>, status: u16) -> Case {
        let failed = Case::failed(replies, status);
        Case { outcome: "unknown", code: "unknown", ..failed }
    }

    /// The caller does not mark the request.
    fn idempotent(mut self) -> Case {
        self.is_once = false;
        self
    }

    /// It may be sent again, and the caller is told when.
    fn retried(mut self) -> Case {
        self.should_retry = true;
        self.retry_after_ms = Some(PLAUSIBLE_MS);
        self
    }

    fn after_ms(mut self, after_ms: u64) -> Case {
        self.retry_after_ms = Some(after_ms..=after_ms);
        self
    }
}

fn check(case: &Case, answer: &Answer) {
    let replies = &case.replies;
    let error = &answer.json()["error"];
    let outcome = answer.header("chestnutreach-outcome");
    assert_eq!(answer.status, case.status, "{replies:?}: {answer:?}");
    assert_eq!(outcome, Some(case.outcome), "{replies:?}");
    assert_eq!(error["outcome"], case.outcome, "{replies:?}");
    assert_eq!(error["code"], case.code, "{replies:?}");
    assert!(error["message"].is_string(), "{replies:?}");
    assert!(error["type"].is_string(), "{replies:?}");
    let should_retry = case.should_retry.to_string();
    let told = answer.header("x-should-retry");
    assert_eq!(told, Some(should_retry.as_str()), "{replies:?}");
    assert_eq!(answer.header("x-request-id").map(str::len), Some(32));
    check_retry_after(case, answer);
}

fn check_retry_after(case: &Case, answer: &Answer) {
    let error = &answer.json()["error"];
    let Some(plausible) = &case.retry_after_ms else {
        assert_eq!(answer.header("retry-after"), None, "{answer:?}");
        assert_eq!(answer.header("retry-after-ms"), None, "{answer:?}");
        assert!(error["retry_after_ms"].is_null(), "{answer:?}");
        return;
    };
    let after_ms = error["retry_after_ms"].as_u64().expect("a time");
    assert!(plausible.contains(&after_ms), "{answer:?}");
    let in_header = answer.header("retry-after-ms").map(str::to_owned);
    assert_eq!(in_header, Some(after_ms.to_string()), "{answer:?}");
    let after_s = after_ms.div_ceil(1_000).to_string();
    assert_eq!(answer.header("retry-after"), Some(after_s.as_str()));
}

fn refusals() -> Vec<Case> {
    use RefusalReason as R;
    let refused = |reason, status, code| {
        Case::not_run(vec![Reply::Refuse(reason, 0)], status, code)
    };
    vec![
        refused(R::Full, 503, "full"),
        refused(R::TableFull, 503, "full"),
        refused(R::Share, 429, "share_used"),
        refused(R::TooLate, 503, "too_late"),
        refused(R::Leaving, 503, "no_chain"),
        refused(R::BackendDown, 503, "no_chain"),
        refused(R::WrongTarget, 503, "no_chain"),
        refused(R::StageUnreachable, 503, "no_chain"),
        refused(R::Full, 503, "full").idempotent(),
        Case::not_run(vec![Reply::Refuse(R::Full, 2_500)], 503, "full")
            .after_ms(2_500),
        // It had a place and lost it again: still nothing has run.
        Case::not_run(
            vec![Reply::Accept, Reply::Refuse(R::BackendDown, 0)],
            503,
            "no_chain",
        ),
    ]
}

fn failures() -> Vec<Case> {
    use FailureReason as F;
    let fails = |reason| vec![Reply::Accept, Reply::Fail(reason)];
    vec![
        Case::failed(fails(F::BackendError), 502),
        Case::failed(fails(F::BackendSilent), 502),
        Case::failed(fails(F::StageLost), 502),
        Case::failed(fails(F::Stopped), 502),
        Case::failed(fails(F::Deadline), 504),
        Case::failed(fails(F::Deadline), 504).idempotent().retried(),
        Case::failed(fails(F::BadRequest), 400),
        Case::failed(fails(F::BadRequest), 400).idempotent(),
        // No other chain is left, so it ends; the caller may ask again.
        Case::failed(fails(F::BackendError), 502).idempotent().retried(),
        Case::failed(
            vec![Reply::Accept, Reply::Token("a"), Reply::Fail(F::StageLost)],
            502,
        ),
    ]
}

fn unknowns() -> Vec<Case> {
    let seen = Reply::Refuse(RefusalReason::AlreadyRun, 0);
    vec![
        Case::unknown(vec![seen.clone()], 502),
        Case::unknown(vec![seen], 502).idempotent().retried(),
        // It was sent, and nobody can tell whether it was begun.
        Case::unknown(vec![Reply::CloseLink], 502),
        Case::failed(vec![Reply::Accept, Reply::CloseLink], 502),
        Case::unknown(vec![], 504),
        Case::failed(vec![Reply::Accept], 504),
    ]
}

fn check_all(cases: Vec<Case>) {
    for case in cases {
        // A failure is remembered, so that each case has its own fleet.
        let stage = Stage::start();
        stage.side.reply(&case.replies);
        let mut request = Request::chat(json!({})).header(DEADLINE, "1000");
        if case.is_once {
            request = request.header(MARK, "true");
        }
        check(&case, &stage.call(&request));
        let runs = stage.side.runs();
        assert_eq!(runs, 1, "{:?} ran {runs} times", case.replies);
        assert_eq!(stage.entry.in_flight(), 0);
    }
}

#[test]
fn refusals_are_told_as_not_run() {
    check_all(refusals());
}

#[test]
fn failures_are_told_as_failed() {
    check_all(failures());
}

#[test]
fn what_nobody_knows_is_told_as_unknown() {
    check_all(unknowns());
}

#[test]
fn streams_that_did_not_begin_are_told_by_status() {
    for case in refusals().into_iter().chain(failures()) {
        let has_begun =
            case.replies.iter().any(|r| matches!(r, Reply::Token(_)));
        if has_begun {
            continue;
        }
        let stage = Stage::start();
        stage.side.reply(&case.replies);
        let mut request = Request::chat(json!({"stream": true}));
        if case.is_once {
            request = request.header(MARK, "true");
        }
        check(&case, &stage.call(&request));
    }
}

#[test]
fn a_whole_answer_is_told_as_completed() {
    let stage = Stage::start();
    let token = Reply::Token;
    stage.side.reply(&[Reply::Accept, token("a"), token("b"), Reply::Finish]);
    let answer = stage.call(&Request::chat(json!({})));
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("chestnutreach-outcome"), Some("completed"));
    let request = answer.header("x-request-id").unwrap();
    let json = answer.json();
    assert_eq!(json["id"], format!("chatcmpl-{request}"));
    assert_eq!(json["choices"][0]["message"]["content"], "ab");
    assert_eq!(json["usage"]["total_tokens"], 7);
}

#[test]
fn without_a_side_process_nothing_runs() {
    let stage = Setup::new().without_side().start();
    let case = Case::not_run(vec![], 503, "no_chain");
    for request in [
        Request::chat(json!({})),
        Request::chat(json!({"stream": true})),
        Request::new("GET", "/ledger-app/schedules/1"),
    ] {
        check(&case, &stage.call(&request));
    }
}

#[test]
fn a_full_vm_says_so() {
    let stage = Setup::new().max_requests_in_flight(1).start();
    let request = Request::chat(json!({}));
    let mut first = stage.caller();
    first.send(&request);
    stage.side.next_run();
    let case = Case::not_run(vec![], 503, "full");
    check(&case, &stage.call(&request));
    stage.side.go_on(&[Reply::Accept, Reply::Token("a"), Reply::Finish]);
    assert_eq!(first.answer(&request).status, 200);
}
