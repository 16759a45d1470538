//! A gate tells at once what it cannot do in time, and no more than that.

use chestnutreach_routing::{
    RequestShape,
    slot_queue::{
        LATER_STAGE_MAX_WAIT_MS, ServerCapacity, SlotAdmission, SlotQueue,
        SlotRequest,
    },
};
use rstest::rstest;

const PLACES: u32 = 4;
const COST_TOKENS: u64 = 200;
/// On a full server: 100 prompt tokens at 1,000 a second, and 100 steps of
/// four requests at 400 tokens a second together.
const RUN_MS: u64 = 1_100;

fn full_gate() -> SlotQueue<u32> {
    let mut gate = SlotQueue::new(1_000_000);
    gate.set_capacity(ServerCapacity {
        max_running: PLACES,
        prompt_tokens_per_s: 1_000.0,
        output_tokens_per_s: 400.0,
    });
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..PLACES {
        gate.try_acquire(COST_TOKENS, &mut rng).expect("a free place");
    }
    gate
}

/// Of one stage, in good time.
fn asked<'a>(shape: &'a RequestShape, account: &'a str) -> SlotRequest<'a> {
    SlotRequest {
        account,
        shape,
        cost_tokens: COST_TOKENS,
        deadline_at_ms: 1_000_000,
        stage_count: 1,
    }
}

fn offer(gate: &mut SlotQueue<u32>, asked: &SlotRequest<'_>) -> SlotAdmission {
    gate.request(asked, 0, 0, &mut fastrand::Rng::with_seed(2))
}

/// The account "flood" has 40 requests queued, 20 s of work.
struct TimeCase {
    account: &'static str,
    stage_count: u32,
    deadline_at_ms: u64,
    is_taken: bool,
}

#[rstest]
#[case::behind_its_own_flood(TimeCase {
    account: "flood", stage_count: 1, deadline_at_ms: 15_000, is_taken: false,
})]
#[case::in_good_time(TimeCase {
    account: "flood", stage_count: 1, deadline_at_ms: 25_000, is_taken: true,
})]
#[case::beside_a_flood(TimeCase {
    account: "quiet", stage_count: 1, deadline_at_ms: 2_000, is_taken: true,
})]
#[case::no_time_to_run(TimeCase {
    account: "quiet", stage_count: 1, deadline_at_ms: 1_200, is_taken: false,
})]
#[case::over_more_stages(TimeCase {
    account: "quiet", stage_count: 2, deadline_at_ms: 2_000, is_taken: false,
})]
fn only_what_cannot_finish_is_turned_away(#[case] case: TimeCase) {
    let shape = RequestShape::new(100, 100);
    let mut gate = full_gate();
    for _ in 0..40 {
        let offer = offer(&mut gate, &asked(&shape, "flood"));
        assert_eq!(offer, SlotAdmission::Queued);
    }
    let TimeCase { account, stage_count, deadline_at_ms, .. } = case;
    let request =
        SlotRequest { stage_count, deadline_at_ms, ..asked(&shape, account) };
    let offer = offer(&mut gate, &request);
    assert_eq!(offer == SlotAdmission::Queued, case.is_taken, "{offer:?}");
}

#[test]
fn a_request_leaves_while_it_could_still_be_told_in_time() {
    let shape = RequestShape::new(100, 100);
    let mut gate = full_gate();
    let deadline_at_ms = 5_000;
    let request = SlotRequest { deadline_at_ms, ..asked(&shape, "a") };
    assert_eq!(offer(&mut gate, &request), SlotAdmission::Queued);
    let last_start_ms = deadline_at_ms - RUN_MS;
    assert!(gate.expire(last_start_ms - 1).is_empty());
    assert_eq!(gate.expire(last_start_ms), [0]);
}

#[test]
fn a_later_stage_lets_wait_only_for_a_while() {
    let shape = RequestShape::new(100, 100);
    let mut gate = full_gate();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut waiting = 0;
    loop {
        let request = asked(&shape, "a");
        match gate.request_later_stage(&request, 0, 0, &mut rng) {
            SlotAdmission::Queued => waiting += 1,
            SlotAdmission::Full { .. } => break,
            other => panic!("{other:?}"),
        }
    }
    // 200 tokens at 400 a second for each that waits.
    assert_eq!(waiting, LATER_STAGE_MAX_WAIT_MS / 500 + 1);
}

#[test]
fn the_wait_is_learned_from_what_leaves() {
    let shape = RequestShape::new(100, 100);
    let mut gate = full_gate();
    for _ in 0..20 {
        offer(&mut gate, &asked(&shape, "a"));
    }
    let guess_ms = gate.load().queue_wait_ms;
    // One leaves in 5 s: ten times slower than the guess.
    for turn in 0..5 {
        gate.release(COST_TOKENS, turn * 5_000);
    }
    let left_tokens = 15 * COST_TOKENS;
    assert_eq!(guess_ms, 20 * 500);
    assert_eq!(gate.load().queue_wait_ms, left_tokens * 5_000 / COST_TOKENS);
}
