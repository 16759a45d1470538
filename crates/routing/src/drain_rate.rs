//! How fast a queue drains, as it was seen to.
//!
//! The speeds of an engine say what its batches take; they miss what holds a
//! place up at the other stages of its chain. So the wait is learned from
//! what really left while others waited: tokens of work over time. Older
//! times count half as much after [`RECENT_MS`] of them.

const RECENT_MS: f64 = 20_000.0;
/// Too little to tell.
const MIN_MS: f64 = 500.0;

/// Tokens of work that leave a server's places while others wait for one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    tokens: f64,
    ms: f64,
    /// When work last left while others waited.
    last_ms: Option<u64>,
}

impl DrainRate {
    /// Notes work that leaves.
    pub(crate) fn note(
        &mut self,
        tokens: u64,
        is_backlogged: bool,
        now_ms: u64,
    ) {
        let since_ms = self.last_ms.filter(|_| is_backlogged);
        self.last_ms = is_backlogged.then_some(now_ms);
        let Some(since_ms) = since_ms else { return };
        self.tokens += tokens as f64;
        self.ms += now_ms.saturating_sub(since_ms) as f64;
        if self.ms > RECENT_MS {
            self.tokens /= 2.0;
            self.ms /= 2.0;
        }
    }

    /// Wait behind so much work; none until enough was seen.
    pub(crate) fn wait_ms(&self, tokens: u64) -> Option<u64> {
        let is_known = self.ms >= MIN_MS && self.tokens > 0.0;
        let ms_per_token = self.ms / self.tokens;
        is_known.then(|| (tokens as f64 * ms_per_token).ceil() as u64)
    }
}
