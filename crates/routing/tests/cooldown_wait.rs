//! Requests that only find servers at rest.

use chestnutreach_routing::{CooldownWait, cooldown_wait};
use proptest::prelude::*;

proptest! {
    #[test]
    fn who_is_refused_does_not_come_back_before_a_server_is_ready(
        ready_in_ms in 0_u64..4_000_000,
        may_wait_ms in 0_u64..20_000,
        seed in any::<u64>(),
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        match cooldown_wait(ready_in_ms, may_wait_ms, &mut rng) {
            CooldownWait::Wait => prop_assert!(ready_in_ms <= may_wait_ms),
            CooldownWait::Refuse(ms) => {
                prop_assert!(ready_in_ms > may_wait_ms);
                prop_assert!((ready_in_ms..=ready_in_ms + 1_000).contains(&ms));
            }
        }
    }
}

/// The load that the spread answers: a hundred clients that are refused in
/// the same moment, and an engine that turns away more than ten at once.
#[test]
fn clients_that_are_refused_together_come_back_apart() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut counts = [0; 40];
    for _ in 0..100 {
        let CooldownWait::Refuse(ms) = cooldown_wait(3_000, 1_500, &mut rng)
        else {
            panic!("a rest of 3 s is longer than 1.5 s");
        };
        counts[(ms / 100) as usize] += 1;
    }
    let most = counts.into_iter().max().unwrap_or(0);
    assert!(most <= 20, "{most} of 100 come back within 100 ms");
}
