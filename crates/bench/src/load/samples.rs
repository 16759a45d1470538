//! Times of requests, as histograms.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Digits of a time that are kept.
const DIGITS: u8 = 3;
/// Longest time told apart, in nanoseconds; longer ones count as this.
const MAX_NS: u64 = 120_000_000_000;

/// Times of many requests.
#[derive(Clone, Debug)]
pub(crate) struct Samples {
    /// From the intended begin to the first token.
    first_token: Histogram<u64>,
    /// From one token to the next.
    between_tokens: Histogram<u64>,
    /// From the intended begin to the real one.
    lateness: Histogram<u64>,
    /// Requests begun.
    pub(crate) begun: u64,
    /// Requests that ended whole.
    pub(crate) whole: u64,
    /// Requests that failed.
    pub(crate) failed: u64,
    /// Tokens of whole requests.
    pub(crate) tokens: u64,
    /// The first failure.
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

    /// What these are above others.
    pub(crate) fn above(&self, base: &Quantiles) -> Quantiles {
        Quantiles {
            p50_us: self.p50_us - base.p50_us,
            p95_us: self.p95_us - base.p95_us,
            p99_us: self.p99_us - base.p99_us,
        }
    }

    /// How many times others these are.
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
    Histogram::new_with_bounds(1, MAX_NS, DIGITS)
        .expect("these bounds are sound")
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

    /// A request begins, this much late.
    pub(crate) fn begun(&mut self, lateness: Duration) {
        self.begun += 1;
        self.lateness.saturating_record(lateness.as_nanos() as u64);
    }

    /// A request has ended.
    pub(crate) fn ended(&mut self, times: anyhow::Result<Vec<Duration>>) {
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

    /// Takes in other samples.
    pub(crate) fn add(&mut self, other: &Samples) {
        let sound = "histograms of one precision";
        self.first_token.add(&other.first_token).expect(sound);
        self.between_tokens.add(&other.between_tokens).expect(sound);
        self.lateness.add(&other.lateness).expect(sound);
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
