//! Settings of a chain choice and the cost function that they control.
//!
//! # The weight between throughput and recovery
//!
//! With `w = recovery_weight_percent / 100`, the cost of a chain is, in
//! milliseconds:
//!
//! ```text
//! wait + (0.25 + 0.75 w) * time * urgency   time: prompt, output and links
//!      + (1 - w) * price                    price as time, see below
//!      + (0.25 + 0.75 w) * load             load cost by utilisation
//!      + w * (stages - 1) * stage_penalty_ms
//!      + w * interconnect_links * interconnect_penalty_ms
//! ```
//!
//! At 0 the choice packs requests onto the cheapest hardware that meets the
//! deadline: price dominates, a token is cheaper on a server with a larger
//! batch, and load counts just enough to keep servers from filling up. At 100
//! price does not count. Each additional stage and each link between data
//! centres is charged as one more thing that can fail, and utilisation counts
//! four times as much, which leaves headroom on every server for the requests
//! of a failed server. Costs within a band count as equal and are ordered at
//! random; the band is `near_equal_permille` at 0 and twice that at 100.
//!
//! `urgency` is 1/2, 1 or 2 for a low, normal or high priority, so that
//! requests that can wait run on cheap hardware. The price is converted to
//! time: the price of the server time divided by the fleet's mean price per
//! millisecond, times [`PRICE_SCALE`], because about that many requests share
//! a server and each is charged only its share of the time.

use crate::priority::Priority;

/// Approximate number of requests that share a server; converts price to time.
pub const PRICE_SCALE: f64 = 16.0;
/// Maximum number of samples per layer boundary.
pub const MAX_SAMPLE_COUNT: u32 = 16;

const BASE_WEIGHT: f64 = 0.25;
const MAX_PERCENT: u32 = 100;

/// Settings of a chain choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    pub(crate) recovery_weight: f64,
    pub(crate) sample_count: usize,
    pub(crate) ramp_ms: u64,
    pub(crate) max_report_age_ms: u64,
    pub(crate) entry_count: u32,
    pub(crate) near_equal_permille: u32,
    pub(crate) stage_penalty_ms: u32,
    pub(crate) interconnect_penalty_ms: u32,
    pub(crate) activation_bytes_per_token: u32,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            recovery_weight: 0.5,
            sample_count: 6,
            ramp_ms: 30_000,
            max_report_age_ms: 3_000,
            entry_count: 3,
            near_equal_permille: 50,
            stage_penalty_ms: 200,
            interconnect_penalty_ms: 400,
            activation_bytes_per_token: 16_384,
        }
    }
}

impl Policy {
    /// Sets the weight of recovery against throughput, as described in the
    /// module documentation. Values above 100 count as 100.
    pub fn recovery_weight_percent(mut self, percent: u32) -> Policy {
        self.recovery_weight = f64::from(percent.min(MAX_PERCENT)) / 100.0;
        self
    }

    /// Sets the number of candidates that are sampled at each layer boundary,
    /// from 1 to [`MAX_SAMPLE_COUNT`].
    pub fn sample_count(mut self, count: u32) -> Policy {
        self.sample_count = count.clamp(1, MAX_SAMPLE_COUNT) as usize;
        self
    }

    /// Sets the time in which a joining server reaches its full share.
    pub fn ramp_ms(mut self, ramp_ms: u64) -> Policy {
        self.ramp_ms = ramp_ms;
        self
    }

    /// Sets the age above which a load report counts as stale.
    pub fn max_report_age_ms(mut self, limit_ms: u64) -> Policy {
        self.max_report_age_ms = limit_ms;
        self
    }

    /// Sets the number of entries that share the traffic. Until the next
    /// report, each request of this entry counts for one request of every
    /// entry.
    pub fn entry_count(mut self, count: u32) -> Policy {
        self.entry_count = count.max(1);
        self
    }

    /// Sets the band in which costs count as equal, in thousandths.
    pub fn near_equal_permille(mut self, permille: u32) -> Policy {
        self.near_equal_permille = permille.min(1_000);
        self
    }

    /// Sets the penalty for each additional stage at full recovery weight.
    pub fn stage_penalty_ms(mut self, penalty_ms: u32) -> Policy {
        self.stage_penalty_ms = penalty_ms;
        self
    }

    /// Sets the penalty for each link between data centres at full recovery
    /// weight.
    pub fn interconnect_penalty_ms(mut self, penalty_ms: u32) -> Policy {
        self.interconnect_penalty_ms = penalty_ms;
        self
    }

    /// Sets the size of one token's activations between stages, in bytes.
    pub fn activation_bytes_per_token(mut self, bytes: u32) -> Policy {
        self.activation_bytes_per_token = bytes;
        self
    }

    pub(crate) fn weights(&self, priority: Priority) -> CostWeights {
        let w = self.recovery_weight;
        let weight = BASE_WEIGHT + (1.0 - BASE_WEIGHT) * w;
        CostWeights {
            time: weight * urgency(priority),
            price: (1.0 - w) * PRICE_SCALE,
            load: weight,
            stage_ms: w * f64::from(self.stage_penalty_ms),
            interconnect_ms: w * f64::from(self.interconnect_penalty_ms),
            band: f64::from(self.near_equal_permille) / 1_000.0 * (1.0 + w),
        }
    }
}

fn urgency(priority: Priority) -> f64 {
    match priority {
        Priority::Low => 0.5,
        Priority::Normal => 1.0,
        Priority::High => 2.0,
    }
}

/// Weights of the cost components.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostWeights {
    pub(crate) time: f64,
    pub(crate) price: f64,
    pub(crate) load: f64,
    pub(crate) stage_ms: f64,
    pub(crate) interconnect_ms: f64,
    pub(crate) band: f64,
}

impl CostWeights {
    /// Weights that count only time, for requests with a short deadline.
    pub(crate) fn fastest() -> CostWeights {
        CostWeights {
            time: 1.0,
            price: 0.0,
            load: 0.0,
            stage_ms: 0.0,
            interconnect_ms: 0.0,
            band: 0.0,
        }
    }
}
