//! What proves that a backend server has ended.

use chestnutreach_routing::{
    ExitStatus, FailureEvidence, detect_exit,
    exit_detection::SILENCE_TIMEOUT_MS,
};
use rstest::rstest;

struct Case {
    evidence: Option<FailureEvidence>,
    lasted_ms: u64,
    proof: ExitStatus,
}

#[rstest]
#[case::nothing(Case {
    evidence: None, lasted_ms: 0, proof: ExitStatus::Alive,
})]
#[case::refused(Case {
    evidence: Some(FailureEvidence::Refused), lasted_ms: 0, proof: ExitStatus::Exited,
})]
// A request ran on three engines of two where two dials that a busy entry
// missed counted as an end.
#[case::two_missed_dials(Case {
    evidence: Some(FailureEvidence::Silent), lasted_ms: 50, proof: ExitStatus::Unknown,
})]
#[case::silent_just_before(Case {
    evidence: Some(FailureEvidence::Silent),
    lasted_ms: SILENCE_TIMEOUT_MS - 1,
    proof: ExitStatus::Unknown,
})]
#[case::silent_for_long(Case {
    evidence: Some(FailureEvidence::Silent),
    lasted_ms: SILENCE_TIMEOUT_MS,
    proof: ExitStatus::Exited,
})]
#[case::waited_for(Case {
    evidence: Some(FailureEvidence::Stalled),
    lasted_ms: 10_000,
    proof: ExitStatus::Alive,
})]
fn silence_proves_an_end_only_once_it_has_lasted(#[case] case: Case) {
    let proof = detect_exit(case.evidence, case.lasted_ms);
    assert_eq!(proof, case.proof);
}
