//! Which client accounts have recently used their fair share.
//!
//! Shares are max-min fair: an account that requests less than an even share
//! gets all that it requests, and what it leaves is divided evenly among the
//! others. The limit follows from what each account requested and what started
//! in total, so it needs no setting, and it exists only while accounts request
//! more than starts.

use std::collections::{BTreeMap, VecDeque};

use crate::max_min::max_min_limit;

/// Window over which shares are counted: a few requests of each account at an
/// entry with 40 requests per second and ten accounts.
const WINDOW_MS: u64 = 4_000;

/// Ratio of requested to started tokens above which shares are limited; above
/// 1, because requests that still wait count as requested too.
const OVERLOAD_FACTOR: f64 = 1.1;

/// Tokens of an account within the window.
#[derive(Clone, Copy, Debug, Default)]
struct TokenCounts {
    requested: u64,
    started: u64,
}

#[derive(Clone, Debug)]
struct Recent {
    at_ms: u64,
    account: String,
    counts: TokenCounts,
}

/// Tokens that accounts recently requested and started.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    recent: VecDeque<Recent>,
    by_account: BTreeMap<String, TokenCounts>,
}

impl FairShares {
    /// Records a request of an account.
    pub(crate) fn record_request(
        &mut self,
        account: &str,
        tokens: u64,
        now_ms: u64,
    ) {
        self.record(
            account,
            TokenCounts { requested: tokens, started: 0 },
            now_ms,
        );
    }

    /// Records the start of a request of an account.
    pub(crate) fn record_start(
        &mut self,
        account: &str,
        tokens: u64,
        now_ms: u64,
    ) {
        self.record(
            account,
            TokenCounts { requested: 0, started: tokens },
            now_ms,
        );
    }

    /// Whether an account has used its share.
    pub(crate) fn has_used_share(
        &mut self,
        account: &str,
        now_ms: u64,
    ) -> bool {
        self.remove_expired(now_ms);
        let started =
            self.by_account.get(account).map_or(0, |counts| counts.started);
        self.share_limit().is_some_and(|share_limit| started >= share_limit)
    }

    /// Most tokens that an account gets, or `None` if all accounts get what
    /// they request.
    fn share_limit(&self) -> Option<u64> {
        let counts = self.by_account.values();
        let started: u64 = counts.clone().map(|of| of.started).sum();
        let requested = counts.map(|of| of.requested as f64);
        if requested.clone().sum::<f64>() <= OVERLOAD_FACTOR * started as f64 {
            return None;
        }
        max_min_limit(started as f64, requested).map(|limit| limit as u64)
    }

    fn record(&mut self, account: &str, counts: TokenCounts, now_ms: u64) {
        self.remove_expired(now_ms);
        let account = account.to_owned();
        let sum = self.by_account.entry(account.clone()).or_default();
        sum.requested += counts.requested;
        sum.started += counts.started;
        self.recent.push_back(Recent { at_ms: now_ms, account, counts });
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(old) = self.recent.front()
            && old.at_ms + WINDOW_MS < now_ms
        {
            if let Some(sum) = self.by_account.get_mut(&old.account) {
                sum.requested -= old.counts.requested;
                sum.started -= old.counts.started;
                if sum.requested == 0 && sum.started == 0 {
                    self.by_account.remove(&old.account);
                }
            }
            self.recent.pop_front();
        }
    }
}
