//! A slot queue refuses requests that cannot finish in time, and no others.

use chestnutreach_routing::{
    RequestShape,
    slot_queue::{
        LATER_STAGE_MAX_WAIT_MS, ServerCapacity, SlotAdmission, SlotQueue,
        SlotRequest,
    },
};
use rstest::rstest;

const SLOT_COUNT: u32 = 4;
const COST_TOKENS: u64 = 200;
/// Run time on a full server: 100 prompt tokens at 1,000 per second, and 100
/// steps of four requests at 400 tokens per second together.
const RUN_MS: u64 = 1_100;

fn full_queue() -> SlotQueue<u32> {
    let mut queue = SlotQueue::new(1_000_000);
    queue.set_capacity(ServerCapacity {
        max_running: SLOT_COUNT,
        prompt_tokens_per_s: 1_000.0,
        output_tokens_per_s: 400.0,
    });
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..SLOT_COUNT {
        queue.try_acquire(COST_TOKENS, &mut rng).expect("a free slot");
    }
    queue
}

/// A request of one stage with a distant deadline.
fn slot_request<'a>(
    shape: &'a RequestShape,
    account: &'a str,
) -> SlotRequest<'a> {
    SlotRequest {
        account,
        shape,
        cost_tokens: COST_TOKENS,
        deadline_at_ms: 1_000_000,
        stage_count: 1,
    }
}

fn request_slot(
    queue: &mut SlotQueue<u32>,
    slot_request: &SlotRequest<'_>,
) -> SlotAdmission {
    queue.request(slot_request, 0, 0, &mut fastrand::Rng::with_seed(2))
}

/// The account "flood" has 40 requests queued, 20 s of work.
struct DeadlineCase {
    account: &'static str,
    stage_count: u32,
    deadline_at_ms: u64,
    is_queued: bool,
}

#[rstest]
#[case::behind_the_flood_of_its_own_account(DeadlineCase {
    account: "flood", stage_count: 1, deadline_at_ms: 15_000, is_queued: false,
})]
#[case::with_a_long_deadline(DeadlineCase {
    account: "flood", stage_count: 1, deadline_at_ms: 25_000, is_queued: true,
})]
#[case::beside_the_flood_of_another_account(DeadlineCase {
    account: "quiet", stage_count: 1, deadline_at_ms: 2_000, is_queued: true,
})]
#[case::without_time_to_run(DeadlineCase {
    account: "quiet", stage_count: 1, deadline_at_ms: 1_200, is_queued: false,
})]
#[case::with_more_stages(DeadlineCase {
    account: "quiet", stage_count: 2, deadline_at_ms: 2_000, is_queued: false,
})]
fn only_requests_that_cannot_finish_are_refused(#[case] case: DeadlineCase) {
    let shape = RequestShape::new(100, 100);
    let mut queue = full_queue();
    for _ in 0..40 {
        let admission =
            request_slot(&mut queue, &slot_request(&shape, "flood"));
        assert_eq!(admission, SlotAdmission::Queued);
    }
    let DeadlineCase { account, stage_count, deadline_at_ms, .. } = case;
    let request = SlotRequest {
        stage_count,
        deadline_at_ms,
        ..slot_request(&shape, account)
    };
    let admission = request_slot(&mut queue, &request);
    assert_eq!(
        admission == SlotAdmission::Queued,
        case.is_queued,
        "{admission:?}"
    );
}

#[test]
fn a_queued_request_expires_when_it_can_no_longer_finish() {
    let shape = RequestShape::new(100, 100);
    let mut queue = full_queue();
    let deadline_at_ms = 5_000;
    let request = SlotRequest { deadline_at_ms, ..slot_request(&shape, "a") };
    assert_eq!(request_slot(&mut queue, &request), SlotAdmission::Queued);
    let latest_start_ms = deadline_at_ms - RUN_MS;
    assert!(queue.expire(latest_start_ms - 1).is_empty());
    assert_eq!(queue.expire(latest_start_ms), [0]);
}

#[test]
fn a_later_stage_queues_requests_only_up_to_its_wait_limit() {
    let shape = RequestShape::new(100, 100);
    let mut queue = full_queue();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut waiting = 0;
    loop {
        let request = slot_request(&shape, "a");
        match queue.request_later_stage(&request, 0, 0, &mut rng) {
            SlotAdmission::Queued => waiting += 1,
            SlotAdmission::Full { .. } => break,
            other => panic!("{other:?}"),
        }
    }
    // Each waiting request adds 200 tokens at 400 per second.
    assert_eq!(waiting, LATER_STAGE_MAX_WAIT_MS / 500 + 1);
}

#[test]
fn the_expected_wait_follows_the_observed_drain_rate() {
    let shape = RequestShape::new(100, 100);
    let mut queue = full_queue();
    for _ in 0..20 {
        request_slot(&mut queue, &slot_request(&shape, "a"));
    }
    let configured_ms = queue.load().queue_wait_ms;
    // One request leaves every 5 s, ten times slower than configured.
    for turn in 0..5 {
        queue.release(COST_TOKENS, turn * 5_000);
    }
    let queued_tokens = 15 * COST_TOKENS;
    assert_eq!(configured_ms, 20 * 500);
    assert_eq!(
        queue.load().queue_wait_ms,
        queued_tokens * 5_000 / COST_TOKENS
    );
}

/// A process that runs before it has a manifest would report that its server
/// takes hours for a request, and entries would refuse callers.
#[test]
fn a_queue_without_a_capacity_reports_no_speed() {
    let queue = SlotQueue::<u32>::new(1_000_000);
    let load = queue.load();
    assert_eq!((load.prompt_tokens_per_s, load.output_tokens_per_s), (0., 0.));
    let load = full_queue().load();
    let speeds = (load.prompt_tokens_per_s, load.output_tokens_per_s);
    assert_eq!(speeds, (1_000., 400.));
}
