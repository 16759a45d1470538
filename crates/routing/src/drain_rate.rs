//! Measured drain rate of a queue.
//!
//! The learned speed of an engine covers its own batches, but not the time
//! for which a request holds its slot while other stages of its chain work.
//! The expected wait is therefore learned from the tokens of work that leave
//! the slots while other requests wait. Older measurements are halved whenever
//! [`WINDOW_MS`] have been observed.

const WINDOW_MS: f64 = 20_000.0;
/// Observed time below which no wait is derived.
const MIN_OBSERVED_MS: f64 = 500.0;

/// Tokens of work that leave a server's slots while other requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    tokens: f64,
    ms: f64,
    /// Time of the last departure while other requests waited.
    last_departure_ms: Option<u64>,
}

impl DrainRate {
    /// Records work that leaves a slot.
    pub(crate) fn record(
        &mut self,
        tokens: u64,
        is_backlogged: bool,
        now_ms: u64,
    ) {
        let since_ms = self.last_departure_ms.filter(|_| is_backlogged);
        self.last_departure_ms = is_backlogged.then_some(now_ms);
        let Some(since_ms) = since_ms else { return };
        self.tokens += tokens as f64;
        self.ms += now_ms.saturating_sub(since_ms) as f64;
        if self.ms > WINDOW_MS {
            self.tokens /= 2.0;
            self.ms /= 2.0;
        }
    }

    /// Expected wait behind `tokens` of work, once enough has been observed.
    pub(crate) fn wait_ms(&self, tokens: u64) -> Option<u64> {
        let is_significant = self.ms >= MIN_OBSERVED_MS && self.tokens > 0.0;
        let ms_per_token = self.ms / self.tokens;
        is_significant.then(|| (tokens as f64 * ms_per_token).ceil() as u64)
    }
}
