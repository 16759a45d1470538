//! Which evidence proves that a backend server has exited.

use chestnutreach_routing::{
    ExitStatus, FailureEvidence, detect_exit,
    exit_detection::SILENCE_TIMEOUT_MS,
};
use rstest::rstest;

struct Case {
    evidence: Option<FailureEvidence>,
    lasted_ms: u64,
    status: ExitStatus,
}

#[rstest]
#[case::nothing(Case {
    evidence: None, lasted_ms: 0, status: ExitStatus::Alive,
})]
#[case::refused(Case {
    evidence: Some(FailureEvidence::Refused),
    lasted_ms: 0,
    status: ExitStatus::Exited,
})]
// A request limited to two engines ran on three, because two connection
// attempts whose responses a busy entry missed counted as an exit.
#[case::two_missed_connection_attempts(Case {
    evidence: Some(FailureEvidence::Silent),
    lasted_ms: 50,
    status: ExitStatus::Unknown,
})]
#[case::silent_just_before(Case {
    evidence: Some(FailureEvidence::Silent),
    lasted_ms: SILENCE_TIMEOUT_MS - 1,
    status: ExitStatus::Unknown,
})]
#[case::silent_up_to_the_timeout(Case {
    evidence: Some(FailureEvidence::Silent),
    lasted_ms: SILENCE_TIMEOUT_MS,
    status: ExitStatus::Exited,
})]
#[case::stalled(Case {
    evidence: Some(FailureEvidence::Stalled),
    lasted_ms: 10_000,
    status: ExitStatus::Alive,
})]
fn silence_proves_an_exit_only_after_the_timeout(#[case] case: Case) {
    let status = detect_exit(case.evidence, case.lasted_ms);
    assert_eq!(status, case.status);
}
