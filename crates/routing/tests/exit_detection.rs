//! Which evidence proves that a backend server has exited.

use std::io::ErrorKind;

use chestnutreach_routing::{
    ExitStatus, FailedConnect, FailureEvidence, SilenceCheck, SilenceVerdict,
    detect_exit,
    exit_detection::{ATTEMPT_INTERVAL_MS, SILENCE_TIMEOUT_MS},
};
use rstest::rstest;

struct Case {
    evidence: Option<FailureEvidence>,
    has_connection_ended: bool,
    status: ExitStatus,
}

#[rstest]
#[case::nothing(Case {
    evidence: None,
    has_connection_ended: true,
    status: ExitStatus::Alive,
})]
#[case::refused(Case {
    evidence: Some(FailureEvidence::Refused),
    has_connection_ended: true,
    status: ExitStatus::Exited,
})]
// The server has closed its port and goes on with the request.
#[case::refused_beside_an_open_connection(Case {
    evidence: Some(FailureEvidence::Refused),
    has_connection_ended: false,
    status: ExitStatus::Alive,
})]
// A request limited to two engines ran on three, because a suspicion of 0.36 s
// by an entry that hardly ran counted as an exit.
#[case::silent(Case {
    evidence: Some(FailureEvidence::Silent),
    has_connection_ended: false,
    status: ExitStatus::Unknown,
})]
#[case::stalled(Case {
    evidence: Some(FailureEvidence::Stalled),
    has_connection_ended: true,
    status: ExitStatus::Alive,
})]
fn only_a_refusal_proves_an_exit_without_a_check(#[case] case: Case) {
    let status = detect_exit(case.evidence, case.has_connection_ended);
    assert_eq!(status, case.status);
}

struct Check {
    /// Length of each interval without an answer, in milliseconds.
    interval_ms: u64,
    /// Intervals until the check ends.
    intervals: u64,
    verdict: SilenceVerdict,
}

const ATTEMPTS: u64 = SILENCE_TIMEOUT_MS / ATTEMPT_INTERVAL_MS;

#[rstest]
#[case::entry_that_runs(Check {
    interval_ms: ATTEMPT_INTERVAL_MS + 2,
    intervals: ATTEMPTS,
    verdict: SilenceVerdict::Silent,
})]
#[case::busy_entry(Check {
    interval_ms: 2 * ATTEMPT_INTERVAL_MS,
    intervals: ATTEMPTS,
    verdict: SilenceVerdict::Silent,
})]
// The processor of a small VM is given out in slices of 250 ms.
#[case::throttled_entry(Check {
    interval_ms: 250,
    intervals: 5,
    verdict: SilenceVerdict::Inconclusive,
})]
#[case::entry_that_froze(Check {
    interval_ms: 3_000,
    intervals: 1,
    verdict: SilenceVerdict::Inconclusive,
})]
fn silence_counts_only_while_the_entry_runs(#[case] case: Check) {
    let mut check = SilenceCheck::new();
    for at in 1..=case.intervals {
        let verdict = check.record_interval(case.interval_ms);
        let expected = match at == case.intervals {
            true => case.verdict,
            false => SilenceVerdict::Undecided,
        };
        assert_eq!(verdict, expected, "interval {at}");
    }
}

/// Pauses of the entry neither count as silence nor end the check.
#[test]
fn an_entry_that_pauses_between_intervals_needs_as_many_as_before() {
    let mut check = SilenceCheck::new();
    for _ in 1..ATTEMPTS {
        assert_eq!(check.record_interval(50), SilenceVerdict::Undecided);
        assert_eq!(check.record_interval(120), SilenceVerdict::Undecided);
    }
    assert_eq!(check.record_interval(50), SilenceVerdict::Silent);
}

/// One interval fewer than the timeout decides nothing.
#[test]
fn silence_up_to_the_last_interval_is_undecided() {
    let mut check = SilenceCheck::new();
    for _ in 1..ATTEMPTS {
        let verdict = check.record_interval(ATTEMPT_INTERVAL_MS);
        assert_eq!(verdict, SilenceVerdict::Undecided);
    }
}

struct Connect {
    kind: ErrorKind,
    waited_ms: u64,
    quiet_ms: u64,
    evidence: Option<FailureEvidence>,
}

/// Timeout of the attempts.
const TIMEOUT_MS: u64 = 25;
/// No stream used the server before.
const NEVER_MS: u64 = 40_000_000;

#[rstest]
#[case::refused(Connect {
    kind: ErrorKind::ConnectionRefused,
    waited_ms: 0,
    quiet_ms: 3,
    evidence: Some(FailureEvidence::Refused),
})]
#[case::timed_out(Connect {
    kind: ErrorKind::TimedOut,
    waited_ms: TIMEOUT_MS,
    quiet_ms: NEVER_MS,
    evidence: Some(FailureEvidence::Silent),
})]
#[case::no_route_to_the_host(Connect {
    kind: ErrorKind::HostUnreachable,
    waited_ms: 1,
    quiet_ms: NEVER_MS,
    evidence: Some(FailureEvidence::Silent),
})]
// The entry did not run for 0.25 s, and interrupted its streams at two dozen
// servers that ran.
#[case::timeout_noticed_late(Connect {
    kind: ErrorKind::TimedOut,
    waited_ms: 250,
    quiet_ms: NEVER_MS,
    evidence: None,
})]
#[case::stream_made_progress_meanwhile(Connect {
    kind: ErrorKind::TimedOut,
    waited_ms: TIMEOUT_MS,
    quiet_ms: 3,
    evidence: None,
})]
// A server over its connection limit resets connections and runs on.
#[case::reset(Connect {
    kind: ErrorKind::ConnectionReset,
    waited_ms: 1,
    quiet_ms: NEVER_MS,
    evidence: None,
})]
// This VM has no descriptor left.
#[case::local_error(Connect {
    kind: ErrorKind::Other,
    waited_ms: 0,
    quiet_ms: NEVER_MS,
    evidence: None,
})]
fn a_failed_connect_counts_only_against_a_silent_server(
    #[case] case: Connect,
) {
    let failed = FailedConnect {
        kind: case.kind,
        timeout_ms: TIMEOUT_MS,
        waited_ms: case.waited_ms,
    };
    assert_eq!(failed.evidence(case.quiet_ms), case.evidence);
}
