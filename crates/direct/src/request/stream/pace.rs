//! How fast a stream goes, and when a pause is worth a look.

use chestnutreach_routing::{RunProgress, StallCheck};

use crate::clock::now_ms;

/// A stream that has not begun is looked at after this time.
const FIRST_LOOK_MS: u64 = 260;
/// Usual pause before any was seen.
const USUAL_GAP_MS: f64 = 45.0;
/// Weight of the newest pause in the usual one.
const GAP_WEIGHT: f64 = 0.1;
/// Time between looks at a stream that pauses, at first; it doubles.
const LOOK_AGAIN_MS: u64 = 40;

/// Time after a refused order to change the path until the next, at first; it
/// doubles, and up to a half is added, so that streams that meet the same
/// refusal do not all ask again together. Without it a stream would give the
/// same order at each look.
const ORDER_AGAIN_MS: u64 = 50;
/// Most doublings of that time: 0.8 s, less than clients wait.
const MAX_ORDER_DOUBLINGS: u32 = 4;

/// How fast a stream goes.
pub(super) struct Pace {
    look: StallCheck,
    /// When the last event came, or the attempt began.
    pub(super) moved_ms: u64,
    /// When the path was last changed.
    pub(super) changed_ms: u64,
    pub(super) usual_gap_ms: f64,
    pub(super) has_begun: bool,
    /// The start of the run of this attempt.
    pub(super) run: RunProgress,
    /// Time until the next look at a pause.
    pub(super) look_again_ms: u64,
    /// Whether the pause was told in the logs.
    pub(super) is_told: bool,
    /// Orders to change the path that were refused in a row.
    refused_orders: u32,
    /// No further one is given before.
    order_again_ms: u64,
}

impl Pace {
    /// Of a stream whose route has this longest pause that is in time.
    pub(super) fn new(gap_target_ms: Option<u64>) -> Pace {
        Pace {
            look: StallCheck::new(gap_target_ms),
            moved_ms: now_ms(),
            changed_ms: 0,
            usual_gap_ms: USUAL_GAP_MS,
            has_begun: false,
            run: RunProgress::new(),
            look_again_ms: LOOK_AGAIN_MS,
            is_told: false,
            refused_orders: 0,
            order_again_ms: 0,
        }
    }

    /// Whether the path may be ordered to change now.
    pub(super) fn may_order(&self, now_ms: u64) -> bool {
        now_ms >= self.order_again_ms
    }

    /// The path has changed.
    pub(super) fn note_order_taken(&mut self, now_ms: u64) {
        self.changed_ms = now_ms;
        self.refused_orders = 0;
        self.order_again_ms = 0;
    }

    /// The path could not be changed: what stands against it takes a while
    /// to change. The time until it may be tried again.
    pub(super) fn note_order_refused(&mut self, now_ms: u64) -> u64 {
        let doublings = self.refused_orders.min(MAX_ORDER_DOUBLINGS);
        self.refused_orders += 1;
        let pause_ms = ORDER_AGAIN_MS << doublings;
        let pause_ms = pause_ms + fastrand::u64(0..=pause_ms / 2);
        self.order_again_ms = now_ms + pause_ms;
        pause_ms
    }

    pub(super) fn begin_attempt(&mut self) {
        self.moved_ms = now_ms();
        self.has_begun = false;
        self.run = RunProgress::new();
    }

    pub(super) fn moved(&mut self, now_ms: u64) -> u64 {
        let gap_ms = now_ms.saturating_sub(self.moved_ms);
        if self.has_begun {
            let gap = (gap_ms as f64).min(4.0 * self.usual_gap_ms);
            self.usual_gap_ms += GAP_WEIGHT * (gap - self.usual_gap_ms);
        }
        self.has_begun = true;
        self.moved_ms = now_ms;
        self.look_again_ms = LOOK_AGAIN_MS;
        self.is_told = false;
        gap_ms
    }

    /// Time since the last event, or since the path was changed after it.
    pub(super) fn quiet_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.moved_ms.max(self.changed_ms))
    }

    /// Pause from which a stream is looked at.
    pub(super) fn look_ms(&self) -> u64 {
        if !self.has_begun {
            return FIRST_LOOK_MS;
        }
        self.look.gap_ms(self.usual_gap_ms)
    }

    /// The shortest pause that is worth a look.
    pub(super) fn least_look_ms(&self) -> u64 {
        self.look.min_gap_ms()
    }
}
