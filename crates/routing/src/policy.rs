//! What an operator sets of a choice, and what it means.
//!
//! # The weight between throughput and recovery
//!
//! With `w = recovery_weight_percent / 100`, a chain costs, in milliseconds:
//!
//! ```text
//! wait + (0.25 + 0.75 w) * time * urgency   time: prompt, output and links
//!      + (1 - w) * price                    price as time, see below
//!      + (0.25 + 0.75 w) * load             work here, by utilisation
//!      + w * (stages - 1) * stage_penalty_ms
//!      + w * crossings * crossing_penalty_ms
//! ```
//!
//! At 0 the cheapest hardware that meets the deadline is packed: price rules,
//! a token is cheaper where more share its step, and load counts just enough
//! to keep servers from filling up. At 100 price counts
//! nothing; each further stage and each link between data centres is one
//! more thing that can fail and is charged, and utilisation counts four
//! times as much, which leaves headroom on every server for what a lost one
//! sheds. Candidates within a band of each other are drawn at random; the
//! band is `near_equal_permille` at 0 and twice that at 100.
//!
//! `urgency` is 1/2, 1, 2 for a low, normal, high priority: cheap hardware
//! for what can wait. Price is stated in time so that it can be added: the
//! price of the work divided by the fleet's mean price of a millisecond,
//! times [`PRICE_SCALE`], because a request has its server for itself for
//! only about one part in so many of its time.

use crate::priority::Priority;

/// Requests that share a server, roughly: scales price to time.
pub const PRICE_SCALE: f64 = 16.0;
/// Most samples of one layer boundary.
pub const MAX_SAMPLE_COUNT: u32 = 16;

const BASE_SHARE: f64 = 0.25;
const MAX_PERCENT: u32 = 100;

/// Settings of a choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    pub(crate) recovery_weight: f64,
    pub(crate) sample_count: usize,
    pub(crate) ramp_ms: u64,
    pub(crate) max_report_age_ms: u64,
    pub(crate) entry_count: u32,
    pub(crate) near_equal_permille: u32,
    pub(crate) stage_penalty_ms: u32,
    pub(crate) crossing_penalty_ms: u32,
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
            crossing_penalty_ms: 400,
            activation_bytes_per_token: 16_384,
        }
    }
}

impl Policy {
    /// Recovery against throughput, see the module; above 100 is 100.
    pub fn recovery_weight_percent(mut self, percent: u32) -> Policy {
        self.recovery_weight = f64::from(percent.min(MAX_PERCENT)) / 100.0;
        self
    }

    /// Candidates drawn at each layer boundary, 1 to [`MAX_SAMPLE_COUNT`].
    pub fn sample_count(mut self, count: u32) -> Policy {
        self.sample_count = count.clamp(1, MAX_SAMPLE_COUNT) as usize;
        self
    }

    /// Time in which a joining server reaches its full share.
    pub fn ramp_ms(mut self, ramp_ms: u64) -> Policy {
        self.ramp_ms = ramp_ms;
        self
    }

    /// Age past which a load report is no longer believed.
    pub fn max_report_age_ms(mut self, limit_ms: u64) -> Policy {
        self.max_report_age_ms = limit_ms;
        self
    }

    /// Entries that share the traffic: each of its own requests stands for
    /// as many unseen ones until the next report.
    pub fn entry_count(mut self, count: u32) -> Policy {
        self.entry_count = count.max(1);
        self
    }

    /// Band in which costs count as equal, in parts of 1000.
    pub fn near_equal_permille(mut self, permille: u32) -> Policy {
        self.near_equal_permille = permille.min(1_000);
        self
    }

    /// Charge for each further stage at full recovery weight.
    pub fn stage_penalty_ms(mut self, penalty_ms: u32) -> Policy {
        self.stage_penalty_ms = penalty_ms;
        self
    }

    /// Charge for each link between data centres at full recovery weight.
    pub fn crossing_penalty_ms(mut self, penalty_ms: u32) -> Policy {
        self.crossing_penalty_ms = penalty_ms;
        self
    }

    /// Bytes that one token's activations take between stages.
    pub fn activation_bytes_per_token(mut self, bytes: u32) -> Policy {
        self.activation_bytes_per_token = bytes;
        self
    }

    pub(crate) fn weights(&self, priority: Priority) -> Weights {
        let w = self.recovery_weight;
        let share = BASE_SHARE + (1.0 - BASE_SHARE) * w;
        Weights {
            time: share * urgency(priority),
            price: (1.0 - w) * PRICE_SCALE,
            load: share,
            stage_ms: w * f64::from(self.stage_penalty_ms),
            crossing_ms: w * f64::from(self.crossing_penalty_ms),
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

/// What each part of a cost counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weights {
    pub(crate) time: f64,
    pub(crate) price: f64,
    pub(crate) load: f64,
    pub(crate) stage_ms: f64,
    pub(crate) crossing_ms: f64,
    pub(crate) band: f64,
}

impl Weights {
    /// Only time counts: for a request that is short of it.
    pub(crate) fn fastest() -> Weights {
        Weights {
            time: 1.0,
            price: 0.0,
            load: 0.0,
            stage_ms: 0.0,
            crossing_ms: 0.0,
            band: 0.0,
        }
    }
}
