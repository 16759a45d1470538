//! Gaps between the events of a stream, and when a gap counts as a stall.

use chestnutreach_routing::{RunProgress, StallCheck};

use crate::clock::now_ms;

/// Time after which a stream without a first event is checked.
const FIRST_EVENT_CHECK_MS: u64 = 260;
/// Typical gap that is assumed before one was observed.
const DEFAULT_GAP_MS: f64 = 45.0;
/// Weight of the newest gap in the moving average.
const GAP_WEIGHT: f64 = 0.1;
/// Initial interval between checks of a stalled stream; doubles with each
/// check.
const CHECK_INTERVAL_MS: u64 = 40;

/// Initial back-off after a refused order to change the path; doubles with
/// each refusal, with a jitter of up to a half so that streams with the same
/// refusal don't retry together. Without a back-off, a stream would repeat the
/// order at each check.
const ORDER_BACKOFF_MS: u64 = 50;
/// Maximum number of doublings: up to 0.8 s, less than callers wait.
const MAX_ORDER_DOUBLINGS: u32 = 4;

/// Progress of a stream, and the timing of its checks.
pub(super) struct Pace {
    stall_check: StallCheck,
    /// When the last event arrived, or the attempt began.
    pub(super) progress_ms: u64,
    /// When the path was last changed.
    pub(super) path_changed_ms: u64,
    pub(super) typical_gap_ms: f64,
    pub(super) has_begun: bool,
    /// How far the run of this attempt has come.
    pub(super) run_progress: RunProgress,
    /// Time until the next check of a stall.
    pub(super) check_interval_ms: u64,
    /// Whether the stall was logged.
    pub(super) is_stall_logged: bool,
    /// Number of refused orders to change the path, in a row.
    refused_orders: u32,
    /// No further order is sent before this time.
    next_order_ms: u64,
}

impl Pace {
    /// The pace of a new stream; `gap_target_ms` is the route's target for
    /// gaps.
    pub(super) fn new(gap_target_ms: Option<u64>) -> Pace {
        Pace {
            stall_check: StallCheck::new(gap_target_ms),
            progress_ms: now_ms(),
            path_changed_ms: 0,
            typical_gap_ms: DEFAULT_GAP_MS,
            has_begun: false,
            run_progress: RunProgress::new(),
            check_interval_ms: CHECK_INTERVAL_MS,
            is_stall_logged: false,
            refused_orders: 0,
            next_order_ms: 0,
        }
    }

    /// Whether an order to change the path may be sent now.
    pub(super) fn may_order(&self, now_ms: u64) -> bool {
        now_ms >= self.next_order_ms
    }

    /// Records that the first engine accepted another path.
    pub(super) fn record_order_accepted(&mut self, now_ms: u64) {
        self.path_changed_ms = now_ms;
        self.refused_orders = 0;
        self.next_order_ms = 0;
    }

    /// Records that the path could not be changed. The obstacle usually lasts
    /// a while, so further orders are delayed by the returned back-off.
    pub(super) fn record_order_refused(&mut self, now_ms: u64) -> u64 {
        let doublings = self.refused_orders.min(MAX_ORDER_DOUBLINGS);
        self.refused_orders += 1;
        let backoff_ms = ORDER_BACKOFF_MS << doublings;
        let backoff_ms = backoff_ms + fastrand::u64(0..=backoff_ms / 2);
        self.next_order_ms = now_ms + backoff_ms;
        backoff_ms
    }

    pub(super) fn begin_attempt(&mut self) {
        self.progress_ms = now_ms();
        self.has_begun = false;
        self.run_progress = RunProgress::new();
    }

    /// Records an event; returns the gap before the event.
    pub(super) fn record_event(&mut self, now_ms: u64) -> u64 {
        let gap_ms = now_ms.saturating_sub(self.progress_ms);
        if self.has_begun {
            let gap = (gap_ms as f64).min(4.0 * self.typical_gap_ms);
            self.typical_gap_ms += GAP_WEIGHT * (gap - self.typical_gap_ms);
        }
        self.has_begun = true;
        self.progress_ms = now_ms;
        self.check_interval_ms = CHECK_INTERVAL_MS;
        self.is_stall_logged = false;
        gap_ms
    }

    /// Time since the last event or the last change of the path.
    pub(super) fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms.max(self.path_changed_ms))
    }

    /// Gap after which a stream is checked for a stall.
    pub(super) fn stall_after_ms(&self) -> u64 {
        if !self.has_begun {
            return FIRST_EVENT_CHECK_MS;
        }
        self.stall_check.gap_ms(self.typical_gap_ms)
    }

    /// The shortest gap that counts as a stall.
    pub(super) fn min_stall_ms(&self) -> u64 {
        self.stall_check.min_gap_ms()
    }
}
