//! Which client accounts have had their share of what began of late.
//!
//! Shares are max-min fair: an account that asks for less than an even part
//! gets all that it asks for, and what it leaves is dealt out evenly among the
//! others. The level is found from what each asked for and what began in all,
//! so it needs no setting and is there only while more is asked for than
//! begins.

use std::collections::{BTreeMap, VecDeque};

/// Time over which shares are counted: a few requests of each account at an
/// entry of 40 requests a second and ten accounts.
const WINDOW_MS: u64 = 4_000;

/// Multiple of what began from which on more is asked for than begins: what
/// waits now was asked for as well.
const MORE_ASKED: f64 = 1.1;

/// Tokens of an account within the window.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u64,
    begun: u64,
}

#[derive(Clone, Debug)]
struct Recent {
    at_ms: u64,
    account: String,
    tally: Tally,
}

/// What accounts asked for and got of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    recent: VecDeque<Recent>,
    tallies: BTreeMap<String, Tally>,
}

impl FairShares {
    /// An account asks for so many tokens.
    pub(crate) fn ask(&mut self, account: &str, tokens: u64, now_ms: u64) {
        self.note(account, Tally { asked: tokens, begun: 0 }, now_ms);
    }

    /// A request of an account begins.
    pub(crate) fn begin(&mut self, account: &str, tokens: u64, now_ms: u64) {
        self.note(account, Tally { asked: 0, begun: tokens }, now_ms);
    }

    /// Whether an account has had its share.
    pub(crate) fn is_over(&mut self, account: &str, now_ms: u64) -> bool {
        self.forget(now_ms);
        let begun = self.tallies.get(account).map_or(0, |tally| tally.begun);
        self.level().is_some_and(|level| begun >= level)
    }

    /// Most that an account gets; none where all get what they ask for.
    fn level(&self) -> Option<u64> {
        let mut left: u64 = self.tallies.values().map(|t| t.begun).sum();
        let mut asked: Vec<u64> =
            self.tallies.values().map(|tally| tally.asked).collect();
        if asked.iter().sum::<u64>() as f64 <= MORE_ASKED * left as f64 {
            return None;
        }
        asked.sort_unstable();
        for (at, asked_tokens) in asked.iter().enumerate() {
            let even = left / (asked.len() - at) as u64;
            if *asked_tokens > even {
                return Some(even);
            }
            left -= asked_tokens;
        }
        None
    }

    fn note(&mut self, account: &str, tally: Tally, now_ms: u64) {
        self.forget(now_ms);
        let account = account.to_owned();
        let sum = self.tallies.entry(account.clone()).or_default();
        sum.asked += tally.asked;
        sum.begun += tally.begun;
        self.recent.push_back(Recent { at_ms: now_ms, account, tally });
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some(old) = self.recent.front()
            && old.at_ms + WINDOW_MS < now_ms
        {
            if let Some(sum) = self.tallies.get_mut(&old.account) {
                sum.asked -= old.tally.asked;
                sum.begun -= old.tally.begun;
                if sum.asked == 0 && sum.begun == 0 {
                    self.tallies.remove(&old.account);
                }
            }
            self.recent.pop_front();
        }
    }
}
