//! When a request is sent to a second server beside one that has not answered.
//!
//! A hedge pays if the other server is likely to answer sooner than the first.
//! It is therefore due after what answers of the other server usually take, so
//! that none is sent where all servers are as slow. A token bucket of its own
//! keeps hedges to a few in a hundred requests: slow answers leave retries for
//! failures. A server that is far slower than the others of its service is no
//! failure either, but the others go first.

/// Share of the answers of a server that take less than its usual time.
const USUAL_QUANTILE: f64 = 0.95;
/// Relative step of the estimate. The estimate follows answers that take four
/// times as long within some twenty of them.
const STEP: f64 = 0.1;
/// Multiple of the usual time after which an answer is late.
const LATE_FACTOR: f64 = 1.5;
/// Multiple of the usual time after which a server is held for silent.
const SILENT_FACTOR: f64 = 4.0;
/// Multiple of the least usual time above which a server is an outlier.
const OUTLIER_FACTOR: f64 = 3.0;
/// Least time before a hedge as a fraction of the route's target. Below it the
/// caller gains little.
const MIN_TARGET_SHARE: f64 = 0.3;
/// The same for a server without a known answer.
const UNKNOWN_TARGET_SHARE: f64 = 0.9;
/// Hedges per request.
const HEDGES_PER_REQUEST: f64 = 0.03;
/// Limit on hedges in the bucket.
const MAX_HEDGES: f64 = 4.0;
/// Hedges in the bucket at the start.
const INITIAL_HEDGES: f64 = 1.0;

/// Streaming estimate of a quantile of the time to an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerTimes {
    /// The estimate; without an answer the longest wait for one.
    estimate_ms: Option<f64>,
    has_answer: bool,
}

impl AnswerTimes {
    /// What most answers take; `None` before the first.
    pub fn usual_ms(&self) -> Option<u64> {
        self.min_usual_ms().filter(|_| self.has_answer)
    }

    /// What most answers take at least; `None` if none was waited for.
    pub fn min_usual_ms(&self) -> Option<u64> {
        self.estimate_ms.map(|ms| ms.ceil() as u64)
    }

    /// Records the time to an answer.
    pub fn record(&mut self, took_ms: u64) {
        let took_ms = took_ms.max(1) as f64;
        let known_ms = self.estimate_ms.filter(|_| self.has_answer);
        self.estimate_ms = Some(next_estimate_ms(known_ms, took_ms));
        self.has_answer = true;
    }

    /// Records a wait that ended before the answer. It counts as an answer
    /// that took longer; a shorter wait says nothing.
    pub fn record_unanswered(&mut self, waited_ms: u64) {
        let waited_ms = waited_ms as f64;
        let estimate_ms = self.estimate_ms.unwrap_or(0.0);
        if waited_ms <= estimate_ms {
            return;
        }
        self.estimate_ms = match self.has_answer {
            true => Some(next_estimate_ms(self.estimate_ms, waited_ms)),
            false => Some(waited_ms),
        };
    }
}

fn next_estimate_ms(known_ms: Option<f64>, took_ms: f64) -> f64 {
    let Some(known_ms) = known_ms else { return took_ms };
    match took_ms > known_ms {
        true => took_ms.min(known_ms * (1.0 + STEP * USUAL_QUANTILE)),
        false => took_ms.max(known_ms * (1.0 - STEP * (1.0 - USUAL_QUANTILE))),
    }
}

/// Time from the begin of an attempt until a hedge is due, at a server whose
/// answers take `usual_ms`.
pub fn hedge_after_ms(target_ms: u64, usual_ms: Option<u64>) -> u64 {
    let target_ms = target_ms as f64;
    let after_ms = match usual_ms {
        Some(usual_ms) => {
            let late_ms = LATE_FACTOR * usual_ms as f64;
            late_ms.max(MIN_TARGET_SHARE * target_ms)
        }
        None => UNKNOWN_TARGET_SHARE * target_ms,
    };
    after_ms as u64
}

/// Whether a wait is so long that the first server has rather failed than
/// answers slowly. The hedge is then a retry, and the bucket does not limit it.
pub fn is_silent(target_ms: u64, usual_ms: u64, waited_ms: u64) -> bool {
    let late_ms = SILENT_FACTOR * usual_ms as f64;
    waited_ms as f64 >= late_ms.max(UNKNOWN_TARGET_SHARE * target_ms as f64)
}

/// Whether a server whose answers take at least `min_usual_ms` is far slower
/// than the fastest one of its service, whose answers take `least_ms`.
pub fn is_outlier(target_ms: u64, min_usual_ms: u64, least_ms: u64) -> bool {
    let usual_ms = min_usual_ms as f64;
    usual_ms > OUTLIER_FACTOR * least_ms as f64
        && usual_ms > MIN_TARGET_SHARE * target_ms as f64
}

/// Token bucket of hedges that requests fill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeBudget {
    tokens: f64,
}

impl Default for HedgeBudget {
    fn default() -> HedgeBudget {
        HedgeBudget { tokens: INITIAL_HEDGES }
    }
}

impl HedgeBudget {
    /// Records a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + HEDGES_PER_REQUEST).min(MAX_HEDGES);
    }

    /// Takes a hedge from the bucket; false if there is none.
    pub fn try_take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
