//! How each outcome is reported to the caller.

use std::ops::RangeInclusive;

use chestnutreach_protocol::wire::{FailureReason, RefusalReason};
use serde_json::json;

use crate::support::{Fixture, HttpResponse, Reply, Request, Setup};

const NON_IDEMPOTENT_HEADER: &str = "chestnutreach-non-idempotent";
const DEADLINE_HEADER: &str = "chestnutreach-deadline-ms";
/// Valid range of the retry delay if the side process suggests none.
const PLAUSIBLE_RETRY_MS: RangeInclusive<u64> = 1..=60_000;

/// Replies of the side process, and the expected response.
struct Case {
    replies: Vec<Reply>,
    is_non_idempotent: bool,
    status: u16,
    outcome: &'static str,
    code: &'static str,
    should_retry: bool,
    retry_after_ms: Option<RangeInclusive<u64>>,
}

impl Case {
    /// The request did not run and may be retried after a delay.
    fn not_run(replies: Vec<Reply>, status: u16, code: &'static str) -> Case {
        Case {
            replies,
            is_non_idempotent: true,
            status,
            outcome: "not-run",
            code,
            should_retry: true,
            retry_after_ms: Some(PLAUSIBLE_RETRY_MS),
        }
    }

    /// The request started and ended without a complete response.
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

    /// The caller does not mark the request as non-idempotent.
    fn idempotent(mut self) -> Case {
        self.is_non_idempotent = false;
        self
    }

    /// The request may be retried after a delay.
    fn retryable(mut self) -> Case {
        self.should_retry = true;
        self.retry_after_ms = Some(PLAUSIBLE_RETRY_MS);
        self
    }

    fn with_retry_after_ms(mut self, after_ms: u64) -> Case {
        self.retry_after_ms = Some(after_ms..=after_ms);
        self
    }
}

fn check(case: &Case, response: &HttpResponse) {
    let replies = &case.replies;
    let error = &response.json()["error"];
    let outcome = response.header("chestnutreach-outcome");
    assert_eq!(response.status, case.status, "{replies:?}: {response:?}");
    assert_eq!(outcome, Some(case.outcome), "{replies:?}");
    assert_eq!(error["outcome"], case.outcome, "{replies:?}");
    assert_eq!(error["code"], case.code, "{replies:?}");
    assert!(error["message"].is_string(), "{replies:?}");
    assert!(error["type"].is_string(), "{replies:?}");
    let should_retry = case.should_retry.to_string();
    let reported = response.header("x-should-retry");
    assert_eq!(reported, Some(should_retry.as_str()), "{replies:?}");
    assert_eq!(response.header("x-request-id").map(str::len), Some(32));
    check_retry_after(case, response);
}

fn check_retry_after(case: &Case, response: &HttpResponse) {
    let error = &response.json()["error"];
    let Some(expected_range) = &case.retry_after_ms else {
        assert_eq!(response.header("retry-after"), None, "{response:?}");
        assert_eq!(response.header("retry-after-ms"), None, "{response:?}");
        assert!(error["retry_after_ms"].is_null(), "{response:?}");
        return;
    };
    let after_ms = error["retry_after_ms"].as_u64().expect("a delay");
    assert!(expected_range.contains(&after_ms), "{response:?}");
    let in_header = response.header("retry-after-ms").map(str::to_owned);
    assert_eq!(in_header, Some(after_ms.to_string()), "{response:?}");
    let after_s = after_ms.div_ceil(1_000).to_string();
    assert_eq!(response.header("retry-after"), Some(after_s.as_str()));
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
            .with_retry_after_ms(2_500),
        // Accepted and then refused: nothing has run.
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
        Case::failed(fails(F::Deadline), 504).idempotent().retryable(),
        Case::failed(fails(F::BadRequest), 400),
        Case::failed(fails(F::BadRequest), 400).idempotent(),
        // No other chain is left, so the request ends; the caller may retry.
        Case::failed(fails(F::BackendError), 502).idempotent().retryable(),
        Case::failed(
            vec![Reply::Accept, Reply::Token("a"), Reply::Fail(F::StageLost)],
            502,
        ),
    ]
}

fn unknowns() -> Vec<Case> {
    let already_run = Reply::Refuse(RefusalReason::AlreadyRun, 0);
    vec![
        Case::unknown(vec![already_run.clone()], 502),
        Case::unknown(vec![already_run], 502).idempotent().retryable(),
        // The request was sent, and whether it started is unknown.
        Case::unknown(vec![Reply::CloseLink], 502),
        Case::failed(vec![Reply::Accept, Reply::CloseLink], 502),
        Case::unknown(vec![], 504),
        Case::failed(vec![Reply::Accept], 504),
    ]
}

fn check_all(cases: Vec<Case>) {
    for case in cases {
        // Failures affect later routing, so each case has its own fleet.
        let fixture = Fixture::start();
        fixture.side.set_replies(&case.replies);
        let mut request =
            Request::chat(json!({})).header(DEADLINE_HEADER, "1000");
        if case.is_non_idempotent {
            request = request.header(NON_IDEMPOTENT_HEADER, "true");
        }
        check(&case, &fixture.call(&request));
        let runs = fixture.side.take_run_count();
        assert_eq!(runs, 1, "{:?} ran {runs} times", case.replies);
        assert_eq!(fixture.entry.in_flight(), 0);
        assert_eq!(in_flight_at_servers(&fixture), 0, "{:?}", case.replies);
    }
}

/// Requests that the entry counts at backend servers.
fn in_flight_at_servers(fixture: &Fixture) -> u64 {
    let status = fixture.entry.status();
    let services = status["services"].as_object().into_iter().flatten();
    let servers = services.filter_map(|(_, servers)| servers.as_object());
    let counts = servers.flatten().map(|(_, server)| &server["in_flight"]);
    counts.filter_map(serde_json::Value::as_u64).sum()
}

#[test]
fn refusals_are_reported_as_not_run() {
    check_all(refusals());
}

#[test]
fn failures_are_reported_as_failed() {
    check_all(failures());
}

#[test]
fn ambiguous_outcomes_are_reported_as_unknown() {
    check_all(unknowns());
}

#[test]
fn failures_before_the_first_output_of_a_stream_set_the_status() {
    for case in refusals().into_iter().chain(failures()) {
        let has_output =
            case.replies.iter().any(|r| matches!(r, Reply::Token(_)));
        if has_output {
            continue;
        }
        let fixture = Fixture::start();
        fixture.side.set_replies(&case.replies);
        let mut request = Request::chat(json!({"stream": true}));
        if case.is_non_idempotent {
            request = request.header(NON_IDEMPOTENT_HEADER, "true");
        }
        check(&case, &fixture.call(&request));
    }
}

#[test]
fn a_complete_response_is_reported_as_completed() {
    let fixture = Fixture::start();
    let token = Reply::Token;
    fixture.side.set_replies(&[
        Reply::Accept,
        token("a"),
        token("b"),
        Reply::Finish,
    ]);
    let response = fixture.call(&Request::chat(json!({})));
    assert_eq!(response.status, 200);
    assert_eq!(response.header("chestnutreach-outcome"), Some("completed"));
    let request = response.header("x-request-id").unwrap();
    let json = response.json();
    assert_eq!(json["id"], format!("chatcmpl-{request}"));
    assert_eq!(json["choices"][0]["message"]["content"], "ab");
    assert_eq!(json["usage"]["total_tokens"], 7);
}

#[test]
fn requests_are_not_run_if_the_side_process_is_unreachable() {
    let fixture = Setup::new().without_side().start();
    let case = Case::not_run(vec![], 503, "no_chain");
    for request in [
        Request::chat(json!({})),
        Request::chat(json!({"stream": true})),
        Request::new("GET", "/ledger-app/schedules/1"),
    ] {
        check(&case, &fixture.call(&request));
    }
}

#[test]
fn requests_over_the_in_flight_limit_are_refused_as_full() {
    let fixture = Setup::new().max_requests_in_flight(1).start();
    let request = Request::chat(json!({}));
    let mut first = fixture.caller();
    first.send(&request);
    fixture.side.next_run();
    let case = Case::not_run(vec![], 503, "full");
    check(&case, &fixture.call(&request));
    fixture.side.continue_last_run(&[
        Reply::Accept,
        Reply::Token("a"),
        Reply::Finish,
    ]);
    assert_eq!(first.read_response(&request).status, 200);
}
