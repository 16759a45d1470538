//! Decisions on repeated requests.

use chestnutreach_platform::claims::{
    Claim, ClaimState, OwnerStatus, RepeatAction, SideDecision, SideResponse,
    decide, decide_by_side_response,
};
use chestnutreach_state::RunState;
use rstest::rstest;

use crate::support::{claim, completed};

struct DecideCase {
    held: Claim,
    digest: [u8; 32],
    owner: OwnerStatus,
    now_unix_s: u64,
    expected: fn(&RepeatAction<'_>) -> bool,
}

impl Default for DecideCase {
    fn default() -> DecideCase {
        DecideCase {
            held: claim(1),
            digest: claim(1).request_digest,
            owner: OwnerStatus::Unavailable,
            now_unix_s: 0,
            expected: |_| false,
        }
    }
}

#[rstest]
#[case::completed(DecideCase {
    held: completed(claim(1), b"x"),
    expected: |r| matches!(r, RepeatAction::Replay(a) if a.body == b"x"),
    ..DecideCase::default()
})]
#[case::another_request(DecideCase {
    held: completed(claim(1), b"x"),
    digest: [8; 32],
    expected: |r| matches!(r, RepeatAction::KeyReused),
    ..DecideCase::default()
})]
#[case::running(DecideCase {
    owner: OwnerStatus::Running,
    expected: |r| matches!(r, RepeatAction::InProgress),
    ..DecideCase::default()
})]
#[case::owner_unavailable(DecideCase {
    expected: |r| matches!(
        r,
        RepeatAction::QuerySide { boot_id: 12, request: 1001, .. }
    ),
    ..DecideCase::default()
})]
#[case::owner_does_not_run_the_request(DecideCase {
    owner: OwnerStatus::NotRunning,
    expected: |r| matches!(r, RepeatAction::QuerySide { .. }),
    ..DecideCase::default()
})]
#[case::not_run(DecideCase {
    held: Claim { state: ClaimState::NotRun, ..claim(1) },
    expected: |r| matches!(r, RepeatAction::Run),
    ..DecideCase::default()
})]
#[case::failed(DecideCase {
    held: Claim { state: ClaimState::Failed, ..claim(1) },
    expected: |r| matches!(r, RepeatAction::Failed),
    ..DecideCase::default()
})]
#[case::expired(DecideCase {
    now_unix_s: u64::MAX,
    expected: |r| matches!(r, RepeatAction::Run),
    ..DecideCase::default()
})]
fn a_repeat_is_handled_by_the_state_of_its_claim(#[case] case: DecideCase) {
    let action = decide(&case.held, &case.digest, case.owner, case.now_unix_s);
    assert!((case.expected)(&action), "{action:?}");
}

#[rstest]
#[case(SideResponse::State(RunState::NeverSeen), SideDecision::Run)]
#[case(SideResponse::State(RunState::Refused), SideDecision::Run)]
#[case(SideResponse::State(RunState::Admitted), SideDecision::InProgress)]
#[case(SideResponse::State(RunState::Running), SideDecision::InProgress)]
#[case(SideResponse::State(RunState::Finished), SideDecision::FetchResponse)]
#[case(SideResponse::State(RunState::Failed), SideDecision::Failed)]
#[case(SideResponse::OtherBoot, SideDecision::Unknown)]
#[case(SideResponse::Unreachable, SideDecision::Unknown)]
fn the_side_process_decides_whether_a_repeat_runs(
    #[case] response: SideResponse,
    #[case] expected: SideDecision,
) {
    assert_eq!(decide_by_side_response(response), expected);
}
