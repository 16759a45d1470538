//! When a stream that pauses is looked at.
//!
//! The load that it answers: an engine dies under many streams. Each pauses
//! until the loss is noticed, its path is changed, and an engine that stands
//! in has read what was written. A route may say which pause is in time; a
//! look may take a part of it, the rest is for dials, the order and the
//! reading. A look that comes too soon costs little: engines through which
//! other streams flow are not dialled.

/// A stream that has begun is looked at after a pause of this many usual ones
/// and a little.
const LOOK_FACTOR: f64 = 1.9;
const LOOK_SLACK_MS: f64 = 20.0;
/// Part of the pause that is in time which passes before the first look at
/// the soonest.
const LOOK_SHARE: f64 = 0.25;
/// Bounds of that part; the upper one is that of a route without a target.
const LEAST_LOOK_MS: (u64, u64) = (50, 90);
/// Longest pause without a look.
const MOST_LOOK_MS: u64 = 600;

/// Pauses of the streams of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StallCheck {
    least_ms: u64,
}

impl StallCheck {
    /// Of a route with this longest pause that is in time, in milliseconds.
    pub fn new(gap_target_ms: Option<u64>) -> StallCheck {
        let part = |target_ms: u64| (target_ms as f64 * LOOK_SHARE) as u64;
        let (least_ms, most_ms) = LEAST_LOOK_MS;
        let part_ms = gap_target_ms.map_or(most_ms, part);
        StallCheck { least_ms: part_ms.clamp(least_ms, most_ms) }
    }

    /// The shortest pause that is worth a look.
    pub fn min_gap_ms(&self) -> u64 {
        self.least_ms
    }

    /// The pause from which on a stream that makes usual ones of so many
    /// milliseconds is looked at.
    pub fn gap_ms(&self, usual_gap_ms: f64) -> u64 {
        let look_ms = LOOK_FACTOR * usual_gap_ms + LOOK_SLACK_MS;
        (look_ms as u64).clamp(self.least_ms, MOST_LOOK_MS)
    }
}
