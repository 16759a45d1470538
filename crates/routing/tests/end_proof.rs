//! What proves that a backend server has ended.

use chestnutreach_routing::{
    EndProof, Evidence, end_proof, end_proof::SILENCE_PROVES_MS,
};
use rstest::rstest;

struct Case {
    evidence: Option<Evidence>,
    lasted_ms: u64,
    proof: EndProof,
}

#[rstest]
#[case::nothing(Case {
    evidence: None, lasted_ms: 0, proof: EndProof::Lives,
})]
#[case::refused(Case {
    evidence: Some(Evidence::Refused), lasted_ms: 0, proof: EndProof::Ended,
})]
// A request ran on three engines of two where two dials that a busy entry
// missed counted as an end.
#[case::two_missed_dials(Case {
    evidence: Some(Evidence::Silent), lasted_ms: 50, proof: EndProof::Unsure,
})]
#[case::silent_just_before(Case {
    evidence: Some(Evidence::Silent),
    lasted_ms: SILENCE_PROVES_MS - 1,
    proof: EndProof::Unsure,
})]
#[case::silent_for_long(Case {
    evidence: Some(Evidence::Silent),
    lasted_ms: SILENCE_PROVES_MS,
    proof: EndProof::Ended,
})]
#[case::waited_for(Case {
    evidence: Some(Evidence::Stalled),
    lasted_ms: 10_000,
    proof: EndProof::Lives,
})]
fn silence_proves_an_end_only_once_it_has_lasted(#[case] case: Case) {
    let proof = end_proof(case.evidence, case.lasted_ms);
    assert_eq!(proof, case.proof);
}
