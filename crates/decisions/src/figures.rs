//! What a run came to.

use hdrhistogram::Histogram;
use serde::Serialize;

/// How requests ended in the measured part.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Whole and in time.
    pub completed: u64,
    /// Out of time before they were whole.
    pub late: u64,
    /// Told that nothing has run, for good.
    pub not_run: u64,
    /// Attempts that a backend server refused.
    pub refused_attempts: u64,
    /// Those of them that a later stage refused.
    pub refused_by_later_stages: u64,
}

impl Outcomes {
    pub(crate) fn in_time_share(&self) -> f64 {
        let all = self.completed + self.late + self.not_run;
        self.completed as f64 / all.max(1) as f64
    }
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// How requests ended.
    pub outcomes: Outcomes,
    /// The flow bound for the mix of the answers in time.
    pub bound_tokens_per_s: f64,
    /// Tokens of answers in time.
    pub tokens_per_s: f64,
    /// The same as a share of the bound.
    pub share_of_bound: f64,
    /// Share of requests answered in time.
    pub in_time_share: f64,
    /// The same of summaries, letters and lookups.
    pub in_time_by_trade: [f64; 3],
    /// Price of the time in iterations, for each answer in time.
    pub busy_micros_per_request: f64,
    /// Price of the whole fleet, for each answer in time.
    pub fleet_micros_per_request: f64,
    /// Price of the time in iterations, for a thousand tokens in time.
    pub busy_micros_per_1000_tokens: f64,
    /// Time to the whole answer.
    pub p50_ms: u64,
    /// Time to the whole answer.
    pub p95_ms: u64,
    /// Jain's index of the accounts' tokens over their weights.
    pub jain: f64,
    /// Mean share of time in iterations.
    pub mean_use: f64,
    /// Standard deviation of that share between servers.
    pub use_deviation: f64,
    /// Largest of these shares.
    pub most_use: f64,
    /// Mean length of a chain.
    pub stages_per_chain: f64,
    /// Mean count of data centres of a chain.
    pub data_centres_per_chain: f64,
    /// Share of running requests that the worst single server holds.
    pub server_loss: f64,
    /// Share of running requests that the worst data centre holds.
    pub data_centre_loss: f64,
    /// What a new server was sent in ten seconds, in times its likes.
    pub newcomer_times: f64,
    /// Most requests that it held or queued.
    pub newcomer_peak: u32,
    /// Callers that came back.
    pub comebacks: u32,
    /// Most that came back within 100 ms, in times the mean.
    pub comeback_peak_times: f64,
    #[serde(skip)]
    pub(crate) response_times_ms: Vec<Histogram<u64>>,
}

impl Figures {
    /// 95th percentile over all accounts but one.
    pub(crate) fn p95_ms_excluding(&self, account: usize) -> u64 {
        let mut all = Histogram::new(3).expect("three digits are allowed");
        for (at, response_times_ms) in
            self.response_times_ms.iter().enumerate()
        {
            if at != account {
                all.add(response_times_ms).expect("histograms of one kind");
            }
        }
        all.value_at_quantile(0.95)
    }
}

/// Jain's index: 1 where all are equal, `1 / n` where one has everything.
pub(crate) fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (values.len() as f64 * squares)
}

pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

pub(crate) fn standard_deviation(values: &[f64]) -> f64 {
    let mean = mean(values);
    let squares = values.iter().map(|value| (value - mean).powi(2));
    (squares.sum::<f64>() / values.len().max(1) as f64).sqrt()
}

pub(crate) fn peak_to_mean(counts: &[u32]) -> f64 {
    let sum: u32 = counts.iter().sum();
    if sum == 0 {
        return 0.0;
    }
    let peak = counts.iter().copied().max().unwrap_or(0);
    f64::from(peak) * counts.len() as f64 / f64::from(sum)
}
