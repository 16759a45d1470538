//! Which requests get the capacity that is left, when callers ask for more
//! than the backend servers have room for.
//!
//! Every entry decides by the same inputs: how full the servers are, and what
//! is asked for in total. So an urgent request gets capacity before a less
//! urgent one at another entry, without a message between them.
//!
//! Per second, as many tokens may start as end, and more or fewer by as much
//! as the fill is below or above [`TARGET_FILL`]. The most urgent class gets
//! what it asks for from this budget, then the next one what is left. A rate,
//! unlike a limit on the fill for each class, needs no capacity that stays
//! free: what is kept for urgent requests is what they ask for.
//!
//! What a less urgent request takes is gone for as long as requests last. If
//! more urgent ones ask for more than ends, they will need free capacity for
//! that time, and it is kept for them.
//!
//! No class starves: each gets at least [`MIN_SHARE_OF_MEAN`] of what requests
//! get on average. Within a class that is admitted in part, accounts get
//! max-min fair shares: an account that asks for less than an even share gets
//! all, and what it leaves is divided evenly among the others. Late requests
//! get what all others leave.

use std::collections::BTreeMap;

use crate::{
    demand::{ClassRates, DemandClass, DemandRates, LATE_CLASS},
    max_min::max_min_limit,
};

/// Fill that the budget aims at. The rest covers requests that others have
/// started and this entry does not know of yet, a few tenths of a second's.
const TARGET_FILL: f64 = 0.95;
/// Time in which free capacity may be used up, in seconds: longer than it takes
/// to know of a change.
const HORIZON_S: f64 = 0.8;
/// Maximum fraction of the free capacity that is kept for more urgent classes.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Minimum share of a class, as a fraction of the mean of all requests. A kind
/// of request that is served less than a quarter as often as all counts as
/// starved; some of those admitted fail for other reasons.
const MIN_SHARE_OF_MEAN: f64 = 0.4;
/// Share from which a class counts as not short.
const FULL_SHARE: f64 = 0.999;

/// How full the backend servers of a service are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetFill {
    /// Tokens that the servers have capacity for.
    pub capacity_tokens: f64,
    /// Fraction of the capacity in use.
    pub fill: f64,
}

impl FleetFill {
    /// The part of one of `entries` entries, which uses `running_tokens`.
    ///
    /// An entry that hears nothing from the others does not know what they use
    /// and ask for. With its own part it never takes more than its share of
    /// the whole.
    pub fn own_part(&self, entries: usize, running_tokens: u64) -> FleetFill {
        let capacity_tokens = self.capacity_tokens / entries.max(1) as f64;
        let own_fill = running_tokens as f64 / capacity_tokens.max(1.0);
        FleetFill { capacity_tokens, fill: self.fill.max(own_fill) }
    }
}

/// Whether an entry hears from so many of the other entries that share the
/// servers that it may count on what they report.
pub fn hears_enough(heard: usize, sharing: usize) -> bool {
    2 * heard >= sharing
}

/// Share of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClassShare {
    share: f64,
    /// Most tokens per second that an account may ask for and get all, in
    /// proportion to what it asks for in all classes; `None` without a limit.
    account_limit: Option<f64>,
}

/// Shares of requests that are admitted now, by class and account.
#[derive(Clone, Debug, Default)]
pub struct CapacityShares {
    by_class: BTreeMap<DemandClass, ClassShare>,
    /// What accounts ask for, in tokens per second.
    accounts: BTreeMap<u32, f64>,
    fill: f64,
}

impl CapacityShares {
    /// The shares for this fill and the demand of all entries.
    pub fn new(fleet: &FleetFill, demand: &DemandRates) -> CapacityShares {
        // Without any capacity there is nothing to share: servers are away, and
        // requests wait for them.
        if !has_competitors(demand) || fleet.capacity_tokens <= 0.0 {
            return CapacityShares { fill: fleet.fill, ..Default::default() };
        }
        let total = demand.total();
        let mean = match total.asked > 0.0 {
            true => (total.started / total.asked).min(1.0),
            false => 1.0,
        };
        let shares = class_shares(fleet, demand, mean);
        let asked: f64 = demand.accounts.values().sum();
        let with_limit = |(class, share): (DemandClass, f64)| {
            let account_limit = match share < FULL_SHARE {
                true => max_min_limit(
                    share * asked,
                    demand.accounts.values().copied(),
                ),
                false => None,
            };
            (class, ClassShare { share, account_limit })
        };
        CapacityShares {
            by_class: shares.into_iter().map(with_limit).collect(),
            accounts: demand.accounts.clone(),
            fill: fleet.fill,
        }
    }

    /// Probability with which a request is admitted.
    pub fn share(&self, class: DemandClass, account: u32) -> f64 {
        let Some(class) = self.by_class.get(&class) else { return 1.0 };
        let asked = self.accounts.get(&account).copied();
        match (class.account_limit, asked) {
            // Of the accounts, only those that ask for most are known.
            (None, _) | (_, None) => class.share,
            (Some(limit), Some(asked)) if asked <= limit => 1.0,
            (Some(limit), Some(asked)) => {
                (limit / asked).max(MIN_SHARE_OF_MEAN * class.share)
            }
        }
    }

    /// Whether shares decide: requests of several classes or accounts compete.
    pub fn is_active(&self) -> bool {
        !self.by_class.is_empty()
    }

    /// Whether some requests of a class are refused now.
    pub fn is_short(&self, class: DemandClass) -> bool {
        let class = self.by_class.get(&class);
        class.is_some_and(|class| class.share < FULL_SHARE)
    }

    /// Whether some requests of any class are refused now.
    pub fn is_any_short(&self) -> bool {
        self.by_class.values().any(|class| class.share < FULL_SHARE)
    }

    /// Fraction of the capacity in use.
    pub fn fill(&self) -> f64 {
        self.fill
    }

    /// Most tokens per second that an account gets of what it asks for in a
    /// class; `None` without a limit.
    pub fn account_limit(&self, class: DemandClass) -> Option<f64> {
        self.by_class.get(&class)?.account_limit
    }

    /// Shares by class.
    pub fn by_class(&self) -> impl Iterator<Item = (DemandClass, f64)> {
        self.by_class.iter().map(|(class, of)| (*class, of.share))
    }
}

/// Whether requests of several classes or accounts compete.
fn has_competitors(demand: &DemandRates) -> bool {
    let classes = demand.classes.keys().filter(|c| **c != LATE_CLASS);
    classes.count() > 1 || demand.accounts.len() > 1
}

/// Tokens per second that may start, if up to `needed` free tokens are kept.
fn budget(fleet: &FleetFill, demand: &DemandRates, needed: f64) -> f64 {
    let free = (TARGET_FILL - fleet.fill) * fleet.capacity_tokens;
    let reserved = needed.min(MAX_RESERVED_SHARE * free.max(0.0));
    (demand.ended + (free - reserved) / HORIZON_S).max(0.0)
}

/// Shares of the classes. `mean` is the share of all requests that start.
fn class_shares(
    fleet: &FleetFill,
    demand: &DemandRates,
    mean: f64,
) -> BTreeMap<DemandClass, f64> {
    let min_share = |class: DemandClass| match class {
        LATE_CLASS => 0.0,
        _ => MIN_SHARE_OF_MEAN * mean,
    };
    let classes = demand.classes.iter();
    let minimum = |(class, rates): (&DemandClass, &ClassRates)| {
        min_share(*class) * rates.asked
    };
    let minima: f64 = classes.clone().map(minimum).sum();
    let mut more_urgent = 0.0;
    let mut given = minima;
    let share = |(class, rates): (&DemandClass, &ClassRates)| {
        let needed = (more_urgent - demand.ended).max(0.0) * demand.hold_s();
        let budget = budget(fleet, demand, needed);
        more_urgent += rates.asked;
        let min_share = min_share(*class);
        let wanted = (1.0 - min_share) * rates.asked;
        let more = wanted.min((budget - given).max(0.0));
        given += more;
        let share = match rates.asked > 0.0 {
            true => (min_share + more / rates.asked).min(1.0),
            false => 1.0,
        };
        (*class, share)
    };
    classes.map(share).collect()
}

/// Admits the given share of requests as evenly as possible.
#[derive(Clone, Copy, Debug)]
pub struct Admitter {
    credit: f64,
}

impl Admitter {
    /// Starts with a random credit from 0 to 1. If many entries that get few
    /// requests each started with none, all would refuse their first ones.
    pub fn new(credit: f64) -> Admitter {
        Admitter { credit: credit.clamp(0.0, 1.0) }
    }

    /// Whether the next request is admitted.
    pub fn admit(&mut self, share: f64) -> bool {
        self.credit += share;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}
