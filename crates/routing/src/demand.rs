//! Demand for a service, as rates of tokens by urgency and client account.
//!
//! Each entry measures the requests that it receives and reports the rates to
//! the others, with the state that it sends anyway. The rates of all entries
//! are added up, so a message does not grow with the number of entries.
//!
//! A rate is a sum that decays exponentially, so that it needs no list of
//! recent requests. [`DEMAND_DECAY_MS`] is short enough for a change of the
//! demand to show within a second, and long enough that the sum over some
//! twenty entries is steady.

use std::collections::BTreeMap;

/// Time in which a rate by urgency decays to 37%.
pub const DEMAND_DECAY_MS: f64 = 400.0;
/// Time in which a rate by account decays to 37%. An entry gets a few requests
/// a second of an account.
pub const ACCOUNT_DECAY_MS: f64 = 2_000.0;
/// Time in which the rate of ended requests decays to 37%. Requests last for
/// seconds, so the rate changes slowly.
const ENDED_DECAY_MS: f64 = 1_000.0;
/// Rate below which a class or an account is no longer reported, in tokens per
/// second.
const MIN_RATE: f64 = 1.0;
/// Maximum number of accounts that an entry reports: those with the highest
/// rates. An account that has more than its share of the whole is among the
/// first at the entries where its requests arrive.
const MAX_REPORTED_ACCOUNTS: usize = 16;

/// Class of requests that compete for capacity, lower for more urgent ones.
/// Requests whose target has passed already are in [`LATE_CLASS`].
pub type DemandClass = u8;

/// Class of requests that can't be served within their target any more.
pub const LATE_CLASS: DemandClass = u8::MAX;

/// Rates of a class, in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassRates {
    /// Tokens of the requests that arrived.
    pub asked: f64,
    /// Tokens of the requests that found capacity.
    pub started: f64,
}

impl ClassRates {
    /// The sum of two rates.
    pub fn plus(self, other: ClassRates) -> ClassRates {
        ClassRates {
            asked: self.asked + other.asked,
            started: self.started + other.started,
        }
    }
}

/// Rates of a service, in tokens per second: of one entry, or of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandRates {
    /// By class.
    pub classes: BTreeMap<DemandClass, ClassRates>,
    /// Tokens of the requests that arrived, by hash of the account's name.
    pub accounts: BTreeMap<u32, f64>,
    /// Tokens of the requests that released their capacity.
    pub ended: f64,
    /// The same tokens times the seconds for which they were held.
    pub held: f64,
}

impl DemandRates {
    /// Adds the rates of another entry.
    pub fn add(&mut self, other: &DemandRates) {
        for (class, rates) in &other.classes {
            let sum = self.classes.entry(*class).or_default();
            *sum = sum.plus(*rates);
        }
        self.ended += other.ended;
        self.held += other.held;
        for (account, rate) in &other.accounts {
            *self.accounts.entry(*account).or_default() += rate;
        }
    }

    /// Mean time for which requests held their capacity, in seconds; 0 if none
    /// has ended recently.
    pub fn hold_s(&self) -> f64 {
        match self.ended > 0.0 {
            true => self.held / self.ended,
            false => 0.0,
        }
    }

    /// Rates of all classes together, but for late requests.
    pub fn total(&self) -> ClassRates {
        let zero = ClassRates::default();
        let in_time = self.classes.iter().filter(|c| *c.0 != LATE_CLASS);
        in_time.fold(zero, |sum, (_, rates)| sum.plus(*rates))
    }
}

/// A sum that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    fn add(&mut self, amount: f64, decay_ms: f64, now_ms: u64) {
        self.sum = self.value(decay_ms, now_ms) + amount;
        self.at_ms = self.at_ms.max(now_ms);
    }

    fn value(&self, decay_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / decay_ms).exp()
    }

    fn per_s(&self, decay_ms: f64, now_ms: u64) -> f64 {
        self.value(decay_ms, now_ms) * 1e3 / decay_ms
    }
}

/// Measures the demand for a service at one entry.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    asked: BTreeMap<DemandClass, DecayingSum>,
    started: BTreeMap<DemandClass, DecayingSum>,
    accounts: BTreeMap<u32, DecayingSum>,
    ended: DecayingSum,
    /// Tokens times seconds of the requests that ended.
    held: DecayingSum,
}

impl DemandMeter {
    /// Records a request that has arrived.
    pub fn record_asked(
        &mut self,
        class: DemandClass,
        account: u32,
        tokens: u64,
        now_ms: u64,
    ) {
        let tokens = tokens as f64;
        let asked = self.asked.entry(class).or_default();
        asked.add(tokens, DEMAND_DECAY_MS, now_ms);
        let by_account = self.accounts.entry(account).or_default();
        by_account.add(tokens, ACCOUNT_DECAY_MS, now_ms);
    }

    /// Records a request that has found capacity.
    pub fn record_started(
        &mut self,
        class: DemandClass,
        tokens: u64,
        now_ms: u64,
    ) {
        let started = self.started.entry(class).or_default();
        started.add(tokens as f64, DEMAND_DECAY_MS, now_ms);
    }

    /// Records a request that has released its capacity after `held_ms`.
    pub fn record_ended(&mut self, tokens: u64, held_ms: u64, now_ms: u64) {
        let tokens = tokens as f64;
        self.ended.add(tokens, ENDED_DECAY_MS, now_ms);
        let token_s = tokens * held_ms as f64 / 1e3;
        self.held.add(token_s, ENDED_DECAY_MS, now_ms);
    }

    /// The rates at this entry; of the accounts, only the highest.
    pub fn rates(&mut self, now_ms: u64) -> DemandRates {
        self.accounts
            .retain(|_, sum| sum.per_s(ACCOUNT_DECAY_MS, now_ms) >= MIN_RATE);
        let rate = |sums: &BTreeMap<DemandClass, DecayingSum>, class| {
            let sum = sums.get(&class);
            sum.map_or(0.0, |sum| sum.per_s(DEMAND_DECAY_MS, now_ms))
        };
        let classes = self.asked.keys().map(|class| {
            let rates = ClassRates {
                asked: rate(&self.asked, *class),
                started: rate(&self.started, *class),
            };
            (*class, rates)
        });
        let is_reported =
            |(_, rates): &(_, ClassRates)| rates.asked >= MIN_RATE;
        DemandRates {
            classes: classes.filter(is_reported).collect(),
            accounts: self.highest_accounts(now_ms),
            ended: self.ended.per_s(ENDED_DECAY_MS, now_ms),
            held: self.held.per_s(ENDED_DECAY_MS, now_ms),
        }
    }

    fn highest_accounts(&self, now_ms: u64) -> BTreeMap<u32, f64> {
        let rate = |(account, sum): (&u32, &DecayingSum)| {
            (*account, sum.per_s(ACCOUNT_DECAY_MS, now_ms))
        };
        let mut rates: Vec<(u32, f64)> =
            self.accounts.iter().map(rate).collect();
        rates.sort_by(|a, b| b.1.total_cmp(&a.1));
        rates.truncate(MAX_REPORTED_ACCOUNTS);
        rates.into_iter().collect()
    }
}
