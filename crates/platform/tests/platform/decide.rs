//! What a repeated request gets.

use chestnutreach_platform::claims::{
    Claim, ClaimState, Owner, Repeat, SideAnswer, SideVerdict, decide,
    decide_by_side,
};
use chestnutreach_state::RunState;
use rstest::rstest;

use crate::support::{claim, completed};

struct DecideCase {
    held: Claim,
    digest: [u8; 32],
    owner: Owner,
    now_unix_s: u64,
    expected: fn(&Repeat<'_>) -> bool,
}

impl Default for DecideCase {
    fn default() -> DecideCase {
        DecideCase {
            held: claim(1),
            digest: claim(1).request_digest,
            owner: Owner::Gone,
            now_unix_s: 0,
            expected: |_| false,
        }
    }
}

#[rstest]
#[case::answer(DecideCase {
    held: completed(claim(1), b"x"),
    expected: |r| matches!(r, Repeat::Answer(a) if a.body == b"x"),
    ..DecideCase::default()
})]
#[case::another_request(DecideCase {
    held: completed(claim(1), b"x"),
    digest: [8; 32],
    expected: |r| matches!(r, Repeat::KeyReused),
    ..DecideCase::default()
})]
#[case::running(DecideCase {
    owner: Owner::Running,
    expected: |r| matches!(r, Repeat::InProgress),
    ..DecideCase::default()
})]
#[case::owner_gone(DecideCase {
    expected: |r| matches!(
        r,
        Repeat::AskSide { boot_id: 12, request: 1001, .. }
    ),
    ..DecideCase::default()
})]
#[case::owner_does_not_run_it(DecideCase {
    owner: Owner::NotRunning,
    expected: |r| matches!(r, Repeat::AskSide { .. }),
    ..DecideCase::default()
})]
#[case::not_run(DecideCase {
    held: Claim { state: ClaimState::NotRun, ..claim(1) },
    expected: |r| matches!(r, Repeat::Run),
    ..DecideCase::default()
})]
#[case::failed(DecideCase {
    held: Claim { state: ClaimState::Failed, ..claim(1) },
    expected: |r| matches!(r, Repeat::Failed),
    ..DecideCase::default()
})]
#[case::expired(DecideCase {
    now_unix_s: u64::MAX,
    expected: |r| matches!(r, Repeat::Run),
    ..DecideCase::default()
})]
fn a_repeat_is_decided(#[case] case: DecideCase) {
    let repeat = decide(&case.held, &case.digest, case.owner, case.now_unix_s);
    assert!((case.expected)(&repeat), "{repeat:?}");
}

#[rstest]
#[case(SideAnswer::State(RunState::NeverSeen), SideVerdict::Run)]
#[case(SideAnswer::State(RunState::Refused), SideVerdict::Run)]
#[case(SideAnswer::State(RunState::Admitted), SideVerdict::InProgress)]
#[case(SideAnswer::State(RunState::Running), SideVerdict::InProgress)]
#[case(SideAnswer::State(RunState::Finished), SideVerdict::TakeAnswer)]
#[case(SideAnswer::State(RunState::Failed), SideVerdict::Failed)]
#[case(SideAnswer::OtherBoot, SideVerdict::Unknown)]
#[case(SideAnswer::Unreachable, SideVerdict::Unknown)]
fn a_side_process_has_the_word(
    #[case] answer: SideAnswer,
    #[case] expected: SideVerdict,
) {
    assert_eq!(decide_by_side(answer), expected);
}
