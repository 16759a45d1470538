//! Whether a request waits for free capacity, and when a refused request may
//! retry.
//!
//! When demand exceeds capacity for longer than a short peak, each waiting
//! request takes capacity from later ones. If all requests waited for as long
//! as they may, all would start late, and longer waits would leave more of
//! them unserved. So once requests have waited for longer than a short peak
//! explains ([`PEAK_MS`]), a request waits only if it is expected to start
//! within its target at the rate at which requests started recently. All
//! others are refused at once.
//!
//! A queue this short no longer gives each account its fair share, because the
//! account with the most requests would get the most capacity. So an account
//! that has recently used its share does not wait while other accounts request
//! more than they get (`FairShares`).
//!
//! In a short peak, or while some engines are unavailable, capacity becomes
//! free again. Then all requests may wait, and those that can still start
//! within their target go first (see [`SearchTurns`]).
//!
//! A refused caller may retry once the requests that run now have ended and
//! their capacity is free. That time is the tokens of running requests divided
//! by the start rate, plus jitter of up to as long again, so that callers
//! refused together do not retry together.
//!
//! [`SearchTurns`]: crate::SearchTurns

use std::collections::VecDeque;

use crate::fair_shares::FairShares;

/// Contention that a peak explains: as long as a request may wait.
pub const PEAK_MS: u64 = MAX_WAIT_MS;
/// Longest wait for capacity: callers give up 2 s after their request, and a
/// request that starts needs some of that time.
pub const MAX_WAIT_MS: u64 = 1_500;
/// Window of the start rate: some tens of requests at a full entry, and
/// shorter than a request refused because of the rate could have waited.
const RATE_WINDOW_MS: u64 = 1_000;
/// Share of the time to start that the expected wait may take, because later
/// requests of accounts that had less go first and capacity is freed unevenly.
const MAX_EXPECTED_SHARE: f64 = 0.5;
/// Range of the retry time before jitter: no sooner than some requests have
/// ended, and no later than callers accept, a third of their 20 s.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (500, 3_000);

/// A request that finds no free capacity.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRequest<'a> {
    /// Client account of the request.
    pub account: &'a str,
    /// Tokens that the request will hold.
    pub tokens: u64,
    /// Tokens of requests that go first.
    pub tokens_before: u64,
    /// Longest wait to start within the target, in milliseconds.
    pub start_within_ms: u64,
    /// Time for which requests have waited without a break, in milliseconds.
    pub contended_for_ms: u64,
}

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapacityWait {
    /// It may wait for up to this many milliseconds.
    UpTo(u64),
    /// It would start late, or its account has used its share. Holds the
    /// expected wait in milliseconds, or `None` if nothing starts at all.
    Refused(Option<u64>),
}

/// Recent requests and starts at an entry, and the load that runs.
#[derive(Clone, Debug, Default)]
pub struct CapacityWaits {
    /// Start time and tokens of each recent start.
    started: VecDeque<(u64, u64)>,
    shares: FairShares,
    running_tokens: u64,
}

impl CapacityWaits {
    /// Starts without requests.
    pub fn new() -> CapacityWaits {
        CapacityWaits::default()
    }

    /// Records that a request has arrived.
    pub fn record_request(&mut self, account: &str, tokens: u64, now_ms: u64) {
        self.shares.record_request(account, tokens, now_ms);
    }

    /// Records that a request has started.
    pub fn record_start(&mut self, account: &str, tokens: u64, now_ms: u64) {
        self.remove_expired(now_ms);
        self.shares.record_start(account, tokens, now_ms);
        self.started.push_back((now_ms, tokens));
        self.running_tokens += tokens;
    }

    /// Records that a request has released its capacity.
    pub fn record_end(&mut self, tokens: u64) {
        self.running_tokens = self.running_tokens.saturating_sub(tokens);
    }

    /// Tokens per second of recent starts.
    pub fn tokens_per_s(&mut self, now_ms: u64) -> u64 {
        self.remove_expired(now_ms);
        let tokens: u64 = self.started.iter().map(|started| started.1).sum();
        tokens * 1_000 / RATE_WINDOW_MS
    }

    /// Decides whether a request may wait.
    pub fn decide(
        &mut self,
        request: &CapacityRequest<'_>,
        now_ms: u64,
    ) -> CapacityWait {
        if request.contended_for_ms < PEAK_MS {
            return CapacityWait::UpTo(MAX_WAIT_MS);
        }
        let tokens = request.tokens_before + request.tokens;
        let expected_ms = wait_ms(tokens, self.tokens_per_s(now_ms));
        let has_used_share =
            self.shares.has_used_share(request.account, now_ms);
        let max_ms = MAX_EXPECTED_SHARE * request.start_within_ms as f64;
        match expected_ms {
            Some(ms) if !has_used_share && ms as f64 <= max_ms => {
                CapacityWait::UpTo(request.start_within_ms)
            }
            expected_ms => CapacityWait::Refused(expected_ms),
        }
    }

    /// Time after which a request that is refused now may retry, in
    /// milliseconds.
    pub fn retry_after_ms(
        &mut self,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> u64 {
        let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
        let tokens_per_s = self.tokens_per_s(now_ms);
        let turnover_ms = wait_ms(self.running_tokens, tokens_per_s);
        let base_ms = turnover_ms.unwrap_or(0).clamp(min_ms, max_ms);
        base_ms + rng.u64(0..=base_ms)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_old =
            |started: &(u64, u64)| started.0 + RATE_WINDOW_MS < now_ms;
        while self.started.front().is_some_and(is_old) {
            self.started.pop_front();
        }
    }
}

/// Time for `tokens` at a rate; `None` at rate zero.
fn wait_ms(tokens: u64, tokens_per_s: u64) -> Option<u64> {
    (tokens * 1_000).checked_div(tokens_per_s)
}
