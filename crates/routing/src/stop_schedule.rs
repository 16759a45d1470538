//! What a stopping entry does until its process must have ended.
//!
//! The platform ends a process that still runs at the end of the grace period,
//! and with it all requests in progress. A stopping entry therefore takes a
//! request only if it can end before that, and gives each request that still
//! runs its final answer some time earlier.

/// Time kept free at the end of the grace period for the final answers.
const FINAL_ANSWERS_MS: u64 = 350;
/// How long new connections are accepted: the load balancer needs two checks to
/// send callers elsewhere.
const MAX_ACCEPT_MS: u64 = 2_600;
/// Least time between the end of the accept period and the final answers.
const MIN_SERVE_MS: u64 = 300;
/// How long idle connections stay open after the stop begins, since a request
/// may be in transit.
const MAX_IDLE_MS: u64 = 1_000;
/// Divisor of the usual duration for the margin by which a request may exceed
/// it.
const MARGIN_DIVISOR: u64 = 4;
/// Margin for requests that are over at once.
const MIN_MARGIN_MS: u64 = 100;
/// Divisor of the difference by which an estimate falls with each request that
/// took less time.
const DECAY_DIVISOR: u64 = 64;

/// Schedule of a planned stop; times are since its begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    grace_ms: u64,
}

impl StopSchedule {
    /// The schedule for a grace period.
    pub fn new(grace_ms: u64) -> StopSchedule {
        StopSchedule { grace_ms }
    }

    /// When the requests that still run get their final answers.
    pub fn final_answers_ms(&self) -> u64 {
        self.grace_ms.saturating_sub(FINAL_ANSWERS_MS)
    }

    /// Until when connections and requests are taken.
    pub fn accept_until_ms(&self) -> u64 {
        let latest_ms = self.final_answers_ms().saturating_sub(MIN_SERVE_MS);
        MAX_ACCEPT_MS.min(latest_ms)
    }

    /// How long a connection stays open without a request.
    pub fn idle_ms(&self) -> u64 {
        MAX_IDLE_MS.min(self.accept_until_ms() / 2)
    }

    /// Whether a request ends before the final answers if it is sent at
    /// `elapsed_ms`. `usual_ms` is what such requests take, if that is known.
    pub fn can_end(
        &self,
        elapsed_ms: u64,
        deadline_in_ms: u64,
        usual_ms: Option<u64>,
    ) -> bool {
        let left_ms = self.final_answers_ms().saturating_sub(elapsed_ms);
        let margin_ms =
            |usual_ms: u64| MIN_MARGIN_MS.max(usual_ms / MARGIN_DIVISOR);
        let needed_ms = usual_ms.map(|ms| ms.saturating_add(margin_ms(ms)));
        needed_ms.unwrap_or(u64::MAX).min(deadline_in_ms) <= left_ms
    }
}

/// What the longest of the recent requests took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsualDuration {
    ms: Option<u64>,
}

impl UsualDuration {
    /// The estimate; `None` without a request.
    pub fn ms(&self) -> Option<u64> {
        self.ms
    }

    /// Records what a request took.
    pub fn record(&mut self, took_ms: u64) {
        let known_ms = self.ms.unwrap_or(0);
        let excess_ms = known_ms.saturating_sub(took_ms);
        let decayed_ms = known_ms - excess_ms.div_ceil(DECAY_DIVISOR);
        self.ms = Some(took_ms.max(decayed_ms));
    }
}
