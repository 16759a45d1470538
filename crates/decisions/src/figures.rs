//! Results of a run.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Outcomes of requests during the measurement.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Completed by the deadline.
    pub completed: u64,
    /// Not completed by the deadline.
    pub late: u64,
    /// Refused without having run, after all retries of the caller.
    pub not_run: u64,
    /// Attempts that a backend server refused.
    pub refused_attempts: u64,
    /// Refused attempts of which a later stage was the cause.
    pub refused_by_later_stages: u64,
}

impl Outcomes {
    pub(crate) fn in_time_share(&self) -> f64 {
        let all = self.completed + self.late + self.not_run;
        self.completed as f64 / all.max(1) as f64
    }
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Outcomes of requests.
    pub outcomes: Outcomes,
    /// Throughput bound for the token mix of requests completed by their
    /// deadline.
    pub bound_tokens_per_s: f64,
    /// Tokens per second of requests completed by their deadline.
    pub tokens_per_s: f64,
    /// The same throughput as a share of the bound.
    pub share_of_bound: f64,
    /// Share of requests completed by their deadline.
    pub in_time_share: f64,
    /// The same share for summaries, letters and lookups.
    pub in_time_by_trade: [f64; 3],
    /// Price of the time spent in iterations, per request completed by
    /// its deadline.
    pub busy_micros_per_request: f64,
    /// Price of the whole fleet, per request completed by its deadline.
    pub fleet_micros_per_request: f64,
    /// Price of the time spent in iterations, per thousand tokens of
    /// requests completed by their deadline.
    pub busy_micros_per_1000_tokens: f64,
    /// Median response time.
    pub p50_ms: u64,
    /// 95th percentile of the response time.
    pub p95_ms: u64,
    /// Jain's index of the tokens of each account over its weight.
    pub jain: f64,
    /// Mean utilisation of the servers (share of time in iterations).
    pub mean_use: f64,
    /// Standard deviation of the utilisation across servers.
    pub use_deviation: f64,
    /// Highest utilisation of a server.
    pub most_use: f64,
    /// Mean number of stages of a chain.
    pub stages_per_chain: f64,
    /// Mean number of data centres of a chain.
    pub data_centres_per_chain: f64,
    /// Highest share of running requests that one server holds.
    pub server_loss: f64,
    /// Highest share of running requests that one data centre holds.
    pub data_centre_loss: f64,
    /// Requests sent to a new server in its first ten seconds over the
    /// mean of similar servers.
    pub newcomer_times: f64,
    /// Peak of requests that the new server held or queued.
    pub newcomer_peak: u32,
    /// Retries by callers.
    pub comebacks: u32,
    /// Peak of retries by callers within 100 ms over the mean.
    pub comeback_peak_times: f64,
    #[serde(skip)]
    pub(crate) response_times_ms: Vec<Histogram<u64>>,
}

impl Figures {
    /// 95th percentile of the response time over all accounts but one.
    pub(crate) fn p95_ms_excluding(&self, account: usize) -> u64 {
        let mut all =
            Histogram::new(3).expect("three significant digits are valid");
        for (at, response_times_ms) in
            self.response_times_ms.iter().enumerate()
        {
            if at != account {
                all.add(response_times_ms)
                    .expect("the histograms have the same precision");
            }
        }
        all.value_at_quantile(0.95)
    }
}

/// Jain's index: 1 if all values are equal, `1 / n` if only one is not 0.
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
