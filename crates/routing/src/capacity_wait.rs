//! Whether a request that finds no room may wait for it, and when one that
//! may not is to come back.
//!
//! The load that this answers: more is asked for than there is room, for
//! longer than a moment. Whatever waits then takes room from what comes later;
//! if all wait for as long as they may, all begin late, and the longer they
//! wait the more of them go unserved. So once requests have waited for longer
//! than a short peak explains ([`PEAK_MS`]), only those wait that will begin
//! in time by the rate at which room was taken of late; the others are
//! refused at once.
//!
//! A queue that short gives each account its share no more: who asks most
//! would get most. So an account that has had its share of late waits no more
//! while others ask for more than they get ([`FairShares`]).
//!
//! In a short peak, or while a part of the engines is away, room comes back:
//! then all may wait, those that can still begin in time first
//! (see [`SearchTurns`]).
//!
//! Who is refused comes back once what runs now has ended, which is when there
//! is room: what runs, over the rate at which room is taken, and spread over
//! as long again, so that those who are refused together do not come back
//! together.
//!
//! [`SearchTurns`]: crate::SearchTurns

use std::collections::VecDeque;

use crate::fair_shares::FairShares;

/// Waiting for room that a peak explains: as long as a request may wait.
pub const PEAK_MS: u64 = MAX_WAIT_MS;
/// Longest wait for room: clients leave 2 s after they asked, and what begins
/// needs some of that.
pub const MAX_WAIT_MS: u64 = 1_500;
/// Time over which the rate is taken: some tens of requests at an entry that
/// is full, and less than what is refused for it may wait.
const RATE_WINDOW_MS: u64 = 1_000;
/// Share of the time to begin that the expected wait may be: what comes later
/// from accounts that had less goes before, and room comes unevenly.
const EXPECTED_SHARE: f64 = 0.5;
/// Bounds of the time after which who is refused comes back: no sooner than
/// some requests have ended, and no later than clients heed, a third of the
/// 20 s that they have.
const COME_BACK_MS: (u64, u64) = (500, 3_000);

/// A request that finds no room.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRequest<'a> {
    /// Whose it is.
    pub account: &'a str,
    /// Tokens that it will hold.
    pub tokens: u64,
    /// Tokens of requests that go before it.
    pub tokens_before: u64,
    /// How long it may wait to begin in time, in milliseconds.
    pub start_within_ms: u64,
    /// For how long others have waited without a break, in milliseconds.
    pub contended_for_ms: u64,
}

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapacityWait {
    /// It may, for so long in milliseconds.
    UpTo(u64),
    /// It would begin late, or its account has had its share; the expected
    /// wait in milliseconds, none where nothing begins at all.
    Refused(Option<u64>),
}

/// What was asked for and began of late at an entry, and what runs.
#[derive(Clone, Debug, Default)]
pub struct CapacityWaits {
    /// When each began, and its tokens.
    begun: VecDeque<(u64, u64)>,
    shares: FairShares,
    running_tokens: u64,
}

impl CapacityWaits {
    /// Nothing has begun yet.
    pub fn new() -> CapacityWaits {
        CapacityWaits::default()
    }

    /// A request has come.
    pub fn record_request(&mut self, account: &str, tokens: u64, now_ms: u64) {
        self.shares.ask(account, tokens, now_ms);
    }

    /// A request has found room.
    pub fn record_start(&mut self, account: &str, tokens: u64, now_ms: u64) {
        self.forget(now_ms);
        self.shares.begin(account, tokens, now_ms);
        self.begun.push_back((now_ms, tokens));
        self.running_tokens += tokens;
    }

    /// A request has given its room back.
    pub fn record_end(&mut self, tokens: u64) {
        self.running_tokens = self.running_tokens.saturating_sub(tokens);
    }

    /// Tokens a second that found room of late.
    pub fn tokens_per_s(&mut self, now_ms: u64) -> u64 {
        self.forget(now_ms);
        let tokens: u64 = self.begun.iter().map(|begun| begun.1).sum();
        tokens * 1_000 / RATE_WINDOW_MS
    }

    /// Whether a request may wait.
    pub fn decide(
        &mut self,
        need: &CapacityRequest<'_>,
        now_ms: u64,
    ) -> CapacityWait {
        if need.contended_for_ms < PEAK_MS {
            return CapacityWait::UpTo(MAX_WAIT_MS);
        }
        let tokens = need.tokens_before + need.tokens;
        let expected_ms = wait_ms(tokens, self.tokens_per_s(now_ms));
        let is_over = self.shares.is_over(need.account, now_ms);
        let most_ms = EXPECTED_SHARE * need.start_within_ms as f64;
        match expected_ms {
            Some(ms) if !is_over && ms as f64 <= most_ms => {
                CapacityWait::UpTo(need.start_within_ms)
            }
            expected_ms => CapacityWait::Refused(expected_ms),
        }
    }

    /// Time after which a request that is refused now is to come back, in
    /// milliseconds.
    pub fn retry_after_ms(
        &mut self,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> u64 {
        let (least_ms, most_ms) = COME_BACK_MS;
        let rate = self.tokens_per_s(now_ms);
        let turnover_ms = wait_ms(self.running_tokens, rate);
        let from_ms = turnover_ms.unwrap_or(0).clamp(least_ms, most_ms);
        from_ms + rng.u64(0..=from_ms)
    }

    fn forget(&mut self, now_ms: u64) {
        let is_old = |begun: &(u64, u64)| begun.0 + RATE_WINDOW_MS < now_ms;
        while self.begun.front().is_some_and(is_old) {
            self.begun.pop_front();
        }
    }
}

/// Time for so many tokens at a rate; none at no rate.
fn wait_ms(tokens: u64, tokens_per_s: u64) -> Option<u64> {
    (tokens * 1_000).checked_div(tokens_per_s)
}
