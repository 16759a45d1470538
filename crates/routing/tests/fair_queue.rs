//! Shares, priorities and limits of the fair queue, on a virtual clock.

use std::collections::BTreeMap;

use chestnutreach_routing::{FairQueue, Popped, Priority, PushErrorReason};
use proptest::prelude::*;
use rstest::rstest;

const NO_DEADLINE_MS: u64 = u64::MAX;
const LIMIT_TOKENS: u64 = 100_000_000;

fn account_name(account: usize) -> String {
    format!("account-{account}")
}

/// Keeps every account backlogged and serves `rounds` items. Returns the
/// tokens served to each account.
fn serve_backlogged(
    queue: &mut FairQueue<usize>,
    priorities: &[Priority],
    rounds: usize,
) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(21);
    let mut push = |queue: &mut FairQueue<usize>, at: usize, now_ms| {
        let cost = rng.u64(50..4_000);
        let pushed = queue.push(
            &account_name(at),
            priorities[at],
            cost,
            NO_DEADLINE_MS,
            at,
            now_ms,
        );
        pushed.expect("the queue has space");
    };
    for at in (0..priorities.len()).cycle().take(priorities.len() * 4) {
        push(queue, at, 0);
    }
    let mut served_tokens = vec![0; priorities.len()];
    let mut now_ms = 0;
    for _ in 0..rounds {
        let popped = queue.pop(now_ms).expect("every account is backlogged");
        now_ms += popped.cost_tokens / 10;
        served_tokens[popped.item] += popped.cost_tokens;
        push(queue, popped.item, now_ms);
    }
    served_tokens
}

fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

struct ShareCase {
    weights: &'static [u32],
    priorities: &'static [Priority],
}

#[rstest]
#[case::equal(ShareCase {
    weights: &[1; 10],
    priorities: &[Priority::Normal; 10],
})]
#[case::weighted(ShareCase {
    weights: &[1, 2, 3, 5, 8, 1, 1, 20],
    priorities: &[Priority::Normal; 8],
})]
#[case::priorities_do_not_change_shares(ShareCase {
    weights: &[1, 1, 4, 4],
    priorities: &[
        Priority::High, Priority::Low, Priority::High, Priority::Low,
    ],
})]
fn backlogged_accounts_share_by_weight(#[case] case: ShareCase) {
    let mut queue = FairQueue::new(LIMIT_TOKENS);
    for (at, &weight) in case.weights.iter().enumerate() {
        queue.set_weight(&account_name(at), weight);
    }
    let served_tokens = serve_backlogged(&mut queue, case.priorities, 20_000);
    let shares: Vec<f64> = served_tokens
        .iter()
        .zip(case.weights)
        .map(|(&tokens, &weight)| tokens as f64 / f64::from(weight))
        .collect();
    assert!(jain(&shares) >= 0.99, "{} {shares:?}", jain(&shares));
}

#[test]
fn an_account_that_returns_gets_its_share_and_no_compensation() {
    let mut queue = FairQueue::new(LIMIT_TOKENS);
    let push = |queue: &mut FairQueue<usize>, at: usize, count: usize| {
        for _ in 0..count {
            let pushed = queue.push(
                &account_name(at),
                Priority::Normal,
                100,
                NO_DEADLINE_MS,
                at,
                0,
            );
            pushed.expect("the queue has space");
        }
    };
    push(&mut queue, 0, 2_000);
    (0..1_000).for_each(|_| assert_eq!(queue.pop(0).unwrap().item, 0));
    // The second account returns and gets exactly half.
    push(&mut queue, 1, 500);
    let next: usize = (0..200).map(|_| queue.pop(0).unwrap().item).sum();
    assert!((99..=101).contains(&next), "{next} of 200");
}

/// Mean wait of all accounts but the first, in milliseconds. Each of them
/// offers `load` times a tenth of the capacity in random arrivals. The first
/// keeps `backlog` items queued, so that it always uses its share.
fn mean_wait_of_others_ms(load: f64, backlog: usize) -> f64 {
    const ACCOUNT_COUNT: usize = 10;
    const TOKENS_PER_MS: f64 = 10.0;
    const MEAN_COST: f64 = 1_000.0;
    const ITEM_COUNT: usize = 100_000;
    let mut rng = fastrand::Rng::with_seed(4);
    let gap_ms = MEAN_COST / TOKENS_PER_MS * ACCOUNT_COUNT as f64
        / (load * (ACCOUNT_COUNT - 1) as f64);
    let mut queue = FairQueue::new(LIMIT_TOKENS);
    let push = |queue: &mut FairQueue<(usize, f64)>, at, at_ms, cost| {
        let item = (at, at_ms);
        let pushed = queue.push(
            &account_name(at),
            Priority::Normal,
            cost,
            NO_DEADLINE_MS,
            item,
            at_ms as u64,
        );
        pushed.expect("the queue has space");
    };
    for _ in 0..backlog {
        push(&mut queue, 0, 0.0, MEAN_COST as u64);
    }
    let (mut now_ms, mut arrival_ms): (f64, f64) = (0.0, 0.0);
    let (mut waits_ms, mut count) = (0.0, 0);
    while count < ITEM_COUNT {
        while arrival_ms <= now_ms {
            let at = rng.usize(1..ACCOUNT_COUNT);
            push(&mut queue, at, arrival_ms, rng.u64(500..1_500));
            arrival_ms += -gap_ms * (1.0 - rng.f64()).ln();
        }
        let popped = queue
            .pop(now_ms as u64)
            .expect("the first account has queued items");
        let (at, at_ms) = popped.item;
        if at != 0 {
            waits_ms += now_ms - at_ms;
            count += 1;
        }
        now_ms += popped.cost_tokens as f64 / TOKENS_PER_MS;
        if at == 0 {
            push(&mut queue, 0, now_ms, MEAN_COST as u64);
        }
    }
    waits_ms / count as f64
}

/// Both runs have an account that uses its full share. Compared with an
/// account that uses less, any queue that grants it its share would delay the
/// others.
#[rstest]
#[case::half(0.5)]
#[case::most(0.8)]
#[case::nearly_all(0.95)]
fn ten_times_the_backlog_of_one_account_hardly_delays_others(
    #[case] load: f64,
) {
    let calm_ms = mean_wait_of_others_ms(load, 2);
    let flood_ms = mean_wait_of_others_ms(load, 20);
    let wait_increase = flood_ms / calm_ms - 1.0;
    println!("{calm_ms:.1} ms to {flood_ms:.1} ms");
    assert!(wait_increase < 0.10, "{calm_ms:.0} ms to {flood_ms:.0} ms");
}

#[test]
fn low_priority_items_are_served_after_promotion() {
    let mut queue = FairQueue::new(LIMIT_TOKENS);
    let push = |queue: &mut FairQueue<u32>, priority, item, now_ms| {
        let pushed =
            queue.push("one", priority, 1_000, NO_DEADLINE_MS, item, now_ms);
        pushed.expect("the queue has space");
    };
    let low = (1_u32..=10).collect::<Vec<_>>();
    low.iter().for_each(|&at| push(&mut queue, Priority::Low, at, 0));
    // One high-priority item arrives for each item that is served.
    let mut seen = Vec::new();
    for turn in 0..400_u64 {
        let now_ms = turn * 100;
        push(&mut queue, Priority::High, 0, now_ms);
        let popped = queue.pop(now_ms).expect("the queue is not empty");
        if popped.item != 0 {
            assert!(now_ms >= 5_000, "high-priority items go first");
            seen.push(popped.item);
        }
    }
    assert_eq!(seen, low);
}

#[test]
fn high_priority_goes_first_within_and_between_accounts() {
    let mut queue = FairQueue::new(LIMIT_TOKENS);
    let items = [
        ("a", Priority::Low, 1),
        ("b", Priority::Normal, 2),
        ("a", Priority::High, 3),
        ("c", Priority::High, 4),
    ];
    for (account, priority, item) in items {
        let pushed =
            queue.push(account, priority, 100, NO_DEADLINE_MS, item, 0);
        pushed.expect("the queue has space");
    }
    let order: Vec<i32> =
        std::iter::from_fn(|| queue.pop(0)).map(|p| p.item).collect();
    assert_eq!(order, [3, 4, 2, 1]);
}

#[test]
fn corrected_charges_count_towards_the_share() {
    let mut queue = FairQueue::new(LIMIT_TOKENS);
    for item in 0..200 {
        let account = account_name(item % 2);
        let pushed = queue.push(
            &account,
            Priority::Normal,
            100,
            NO_DEADLINE_MS,
            item % 2,
            0,
        );
        pushed.expect("the queue has space");
    }
    // The first account uses three times what it stated.
    let mut counts = [0; 2];
    for _ in 0..80 {
        let popped = queue.pop(0).expect("the queue is not empty");
        counts[popped.item] += 1;
        if popped.item == 0 {
            queue.charge(&popped.account, 200);
        }
    }
    assert!((19..=21).contains(&counts[0]), "{counts:?}");
}

#[test]
fn push_errors_state_the_reason() {
    let mut queue = FairQueue::new(1_000);
    let mut push = |account: &str, cost, deadline_ms| {
        let normal = Priority::Normal;
        let pushed = queue.push(account, normal, cost, deadline_ms, 7, 50);
        pushed.map_err(|refusal| {
            assert_eq!(refusal.item, 7);
            refusal.reason
        })
    };
    assert_eq!(push("a", 10, 50), Err(PushErrorReason::Expired));
    assert_eq!(push("a", 900, 60), Ok(()));
    let full =
        PushErrorReason::Full { pending_tokens: 900, limit_tokens: 1_000 };
    assert_eq!(push("b", 101, 60), Err(full));
    let account_full = PushErrorReason::AccountFull {
        pending_tokens: 900,
        allowed_tokens: 800,
    };
    assert_eq!(push("a", 1, 60), Err(account_full));
    assert_eq!(push("b", 100, 70), Ok(()));
    assert_eq!(queue.next_deadline_ms(), Some(60));
    assert_eq!(queue.expire(60), [7]);
    assert_eq!(queue.pending_tokens(), 100);
}

#[derive(Clone, Debug)]
enum Step {
    Push { account: usize, level: usize, cost: u64, deadline_ms: u64 },
    Pop,
    Expire,
    Remove { item: u32 },
    Charge { account: usize, tokens: i64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_usize, 0..3_usize, 0..500_u64, 0..200_u64).prop_map(
            |(account, level, cost, deadline_ms)| {
                Step::Push { account, level, cost, deadline_ms }
            }
        ),
        2 => Just(Step::Pop),
        1 => Just(Step::Expire),
        1 => (0..40_u32).prop_map(|item| Step::Remove { item }),
        1 => (0..4_usize, -400..400_i64).prop_map(|(account, tokens)| {
            Step::Charge { account, tokens }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_item_leaves_once_and_the_totals_match(
        steps in prop::collection::vec(step(), 0..150),
    ) {
        let mut queue = FairQueue::new(2_000);
        let mut model: BTreeMap<u32, u64> = BTreeMap::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now_ms = at as u64;
            let removed: Vec<u32> = match step {
                Step::Push { account, level, cost, deadline_ms } => {
                    let item = at as u32;
                    let priority = Priority::ALL[level];
                    let pushed = queue.push(
                        &account_name(account), priority, cost, deadline_ms,
                        item, now_ms,
                    );
                    if pushed.is_ok() {
                        model.insert(item, cost);
                    }
                    Vec::new()
                }
                Step::Pop => {
                    let popped = queue.pop(now_ms);
                    prop_assert_eq!(popped.is_none(), model.is_empty());
                    popped.map(|p: Popped<u32>| p.item).into_iter().collect()
                }
                Step::Expire => queue.expire(now_ms),
                Step::Remove { item } => queue.remove(|&i| i == item),
                Step::Charge { account, tokens } => {
                    queue.charge(&account_name(account), tokens);
                    Vec::new()
                }
            };
            for item in removed {
                prop_assert!(model.remove(&item).is_some());
            }
            prop_assert_eq!(queue.len(), model.len());
            let pending: u64 = model.values().sum();
            prop_assert_eq!(queue.pending_tokens(), pending);
            prop_assert!(pending <= 2_000);
        }
    }
}
