//! Requests that find only servers in cooldown.

use chestnutreach_routing::{CooldownWait, cooldown_wait};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_refused_client_does_not_retry_before_a_server_is_ready(
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

/// Without jitter, a hundred clients refused at once would retry at once, at
/// an engine that refuses more than ten simultaneous requests.
#[test]
fn clients_refused_together_retry_apart() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut counts = [0; 40];
    for _ in 0..100 {
        let CooldownWait::Refuse(ms) = cooldown_wait(3_000, 1_500, &mut rng)
        else {
            panic!("a cooldown of 3 s exceeds the wait limit of 1.5 s");
        };
        counts[(ms / 100) as usize] += 1;
    }
    let max_count = counts.into_iter().max().unwrap_or(0);
    assert!(max_count <= 20, "{max_count} of 100 retry within 100 ms");
}
