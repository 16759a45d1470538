//! After which gap between events a stream is checked for a failed engine.
//!
//! When an engine that serves many streams fails, each stream stalls until the
//! failure is noticed, its path is changed, and the replacement engine has
//! prefilled the text written so far. A route may set a target for the longest
//! gap. The check may take a part of that target; the remainder is for the
//! connection attempts, the order and the prefill. An early check costs
//! little, because engines through which other streams progress are not
//! contacted.

/// A stream is checked once its gap exceeds this multiple of its typical gap,
/// plus the slack.
const GAP_FACTOR: f64 = 1.9;
const GAP_SLACK_MS: f64 = 20.0;
/// Share of the gap target that passes before the first check.
const TARGET_SHARE: f64 = 0.25;
/// Range of that share; a route without a target uses the upper end.
const MIN_GAP_RANGE_MS: (u64, u64) = (50, 90);
/// Gap after which any stream is checked.
const MAX_GAP_MS: u64 = 600;

/// Gaps after which the streams of a route are checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StallCheck {
    min_gap_ms: u64,
}

impl StallCheck {
    /// Derives the gaps from the route's target for the longest gap.
    pub fn new(gap_target_ms: Option<u64>) -> StallCheck {
        let share_of =
            |target_ms: u64| (target_ms as f64 * TARGET_SHARE) as u64;
        let (min_gap_ms, max_ms) = MIN_GAP_RANGE_MS;
        let share_ms = gap_target_ms.map_or(max_ms, share_of);
        StallCheck { min_gap_ms: share_ms.clamp(min_gap_ms, max_ms) }
    }

    /// Shortest gap after which a stream is checked.
    pub fn min_gap_ms(&self) -> u64 {
        self.min_gap_ms
    }

    /// Gap after which a stream with this typical gap is checked.
    pub fn gap_ms(&self, typical_gap_ms: f64) -> u64 {
        let gap_ms = GAP_FACTOR * typical_gap_ms + GAP_SLACK_MS;
        (gap_ms as u64).clamp(self.min_gap_ms, MAX_GAP_MS)
    }
}
