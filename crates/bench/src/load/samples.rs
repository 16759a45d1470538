//! Histograms of request times.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum of the histograms; longer times are recorded as this value.
const MAX_TIME_NS: u64 = 120_000_000_000;

/// Times of many requests.
#[derive(Clone, Debug)]
pub(crate) struct Samples {
    /// From the scheduled start to the first token.
    first_token: Histogram<u64>,
    /// From one token to the next.
    between_tokens: Histogram<u64>,
    /// From the scheduled to the actual start.
    lateness: Histogram<u64>,
    pub(crate) begun: u64,
    /// Requests that completed.
    pub(crate) whole: u64,
    pub(crate) failed: u64,
    /// Tokens of completed requests.
    pub(crate) tokens: u64,
    pub(crate) first_error: Option<String>,
}

/// Quantiles of a time, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Quantiles {
    pub(crate) p50_us: f64,
    pub(crate) p95_us: f64,
    pub(crate) p99_us: f64,
}

impl Quantiles {
    pub(crate) fn of(histogram: &Histogram<u64>) -> Quantiles {
        let at =
            |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Quantiles { p50_us: at(0.5), p95_us: at(0.95), p99_us: at(0.99) }
    }

    /// Returns the differences from a baseline.
    pub(crate) fn minus(&self, base: &Quantiles) -> Quantiles {
        Quantiles {
            p50_us: self.p50_us - base.p50_us,
            p95_us: self.p95_us - base.p95_us,
            p99_us: self.p99_us - base.p99_us,
        }
    }

    /// Returns the ratios to a baseline.
    pub(crate) fn ratio(&self, base: &Quantiles) -> Quantiles {
        Quantiles {
            p50_us: self.p50_us / base.p50_us,
            p95_us: self.p95_us / base.p95_us,
            p99_us: self.p99_us / base.p99_us,
        }
    }
}

/// An empty histogram of nanoseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_NS, SIGNIFICANT_DIGITS)
        .expect("the bounds and precision are valid")
}

impl Default for Samples {
    fn default() -> Samples {
        Samples::new()
    }
}

impl Samples {
    pub(crate) fn new() -> Samples {
        Samples {
            first_token: histogram(),
            between_tokens: histogram(),
            lateness: histogram(),
            begun: 0,
            whole: 0,
            failed: 0,
            tokens: 0,
            first_error: None,
        }
    }

    /// Records a started request and its delay after the scheduled start.
    pub(crate) fn record_begun(&mut self, lateness: Duration) {
        self.begun += 1;
        self.lateness.saturating_record(lateness.as_nanos() as u64);
    }

    /// Records the result of a request: the times of its tokens, or its error.
    pub(crate) fn record_ended(
        &mut self,
        times: anyhow::Result<Vec<Duration>>,
    ) {
        let times = match times {
            Ok(times) => times,
            Err(e) => {
                self.failed += 1;
                self.first_error.get_or_insert(format!("{e:#}"));
                return;
            }
        };
        self.whole += 1;
        self.tokens += times.len() as u64;
        if let Some(first) = times.first() {
            self.first_token.saturating_record(first.as_nanos() as u64);
        }
        for pair in times.windows(2) {
            let gap = pair[1].saturating_sub(pair[0]);
            self.between_tokens.saturating_record(gap.as_nanos() as u64);
        }
    }

    /// Adds the samples of another thread or round.
    pub(crate) fn merge(&mut self, other: &Samples) {
        let same_bounds = "all histograms have the same bounds";
        self.first_token.add(&other.first_token).expect(same_bounds);
        self.between_tokens.add(&other.between_tokens).expect(same_bounds);
        self.lateness.add(&other.lateness).expect(same_bounds);
        self.begun += other.begun;
        self.whole += other.whole;
        self.failed += other.failed;
        self.tokens += other.tokens;
        if self.first_error.is_none() {
            self.first_error = other.first_error.clone();
        }
    }

    pub(crate) fn first_token(&self) -> Quantiles {
        Quantiles::of(&self.first_token)
    }

    pub(crate) fn between_tokens(&self) -> Quantiles {
        Quantiles::of(&self.between_tokens)
    }

    pub(crate) fn lateness(&self) -> Quantiles {
        Quantiles::of(&self.lateness)
    }
}
