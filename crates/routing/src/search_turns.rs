//! Turns to search for a path, where requests wait for capacity.
//!
//! Without turns, the request that happens to search first after capacity is
//! freed would take it. A client account with many requests searches most
//! often, and a large request fits less often than the small ones around it.
//! So requests wait in a [`FairQueue`], and only a request with a turn
//! searches.
//!
//! A few requests have a turn at the same time, so that small requests proceed
//! beside a large one that waits for capacity. Once a turn has lasted for
//! [`HOLD_BACK_AFTER_MS`], no more turns are granted, and freed capacity
//! accumulates for the request that has waited. This bounds the starvation of
//! large requests; the queue bounds that of low priorities and accounts.
//!
//! Requests that can no longer start within their target wait in a separate
//! queue. It gets turns only while the other queue is empty, so that late
//! requests do not delay those that can still start within their target.

use std::collections::BTreeMap;

use crate::{
    fair_queue::FairQueue, priority::Priority, push_error::PushErrorReason,
};

/// Limit on simultaneous turns: enough for small requests to proceed beside a
/// large one, few enough that searching costs little.
pub const MAX_TURNS: usize = 4;
/// A turn that has lasted this long holds back more turns. This is a fifth of
/// the longest wait, so that several large requests in a row get their turn.
pub const HOLD_BACK_AFTER_MS: u64 = 300;

/// Contention ends after this time without a request: a queue that admits only
/// requests that start within their target is empty at times even under
/// overload.
pub const IDLE_GAP_MS: u64 = 500;

/// A request for a turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnRequest<'a> {
    /// Client account of the request.
    pub account: &'a str,
    /// Priority of the request.
    pub priority: Priority,
    /// Tokens that the request will hold.
    pub tokens: u64,
    /// Latest start within the target.
    pub start_by_ms: u64,
    /// When the request stops waiting.
    pub wait_until_ms: u64,
}

/// A request that waits for a turn.
#[derive(Clone, Debug)]
struct Waiter {
    key: u64,
    account: String,
    priority: Priority,
    tokens: u64,
    until_ms: u64,
}

/// A turn that is held.
#[derive(Clone, Copy, Debug)]
struct Turn {
    since_ms: u64,
    tokens: u64,
}

/// The requests that search for a path now, and those that wait for a turn.
#[derive(Debug)]
pub struct SearchTurns {
    /// Requests that can start within their target.
    in_time: FairQueue<Waiter>,
    /// Requests that no longer can.
    late: FairQueue<Waiter>,
    /// Start and last sign of the current contention.
    contended_ms: Option<(u64, u64)>,
    /// Turns that are held, by key.
    turns: BTreeMap<u64, Turn>,
    next_key: u64,
}

impl SearchTurns {
    /// Creates a queue for at most `limit_tokens` of waiting requests.
    pub fn new(limit_tokens: u64) -> SearchTurns {
        SearchTurns {
            in_time: FairQueue::new(limit_tokens),
            late: FairQueue::new(limit_tokens),
            contended_ms: None,
            turns: BTreeMap::new(),
            next_key: 0,
        }
    }

    /// Whether no request holds a turn or waits for one.
    pub fn is_idle(&self) -> bool {
        self.turns.is_empty()
            && self.in_time.is_empty()
            && self.late.is_empty()
    }

    /// Time for which requests have searched or waited without a break of
    /// [`IDLE_GAP_MS`].
    pub fn contended_for_ms(&self, now_ms: u64) -> u64 {
        let Some((since_ms, until_ms)) = self.contended_ms else { return 0 };
        let is_over =
            self.is_idle() && now_ms.saturating_sub(until_ms) >= IDLE_GAP_MS;
        if is_over { 0 } else { now_ms.saturating_sub(since_ms) }
    }

    /// Upper estimate of the tokens of requests that get a turn before a
    /// request of this account that joins now.
    pub fn tokens_before(&self, account: &str, tokens: u64) -> u64 {
        let searching: u64 = self.turns.values().map(|turn| turn.tokens).sum();
        searching + self.in_time.tokens_before(account, tokens)
    }

    /// Number of requests that wait for a turn.
    pub fn waiting_count(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Joins the queue and returns the key under which the turn is granted and
    /// ended.
    ///
    /// # Errors
    ///
    /// The queue is full, or the request may not wait any longer.
    pub fn try_join(
        &mut self,
        request: &TurnRequest<'_>,
        now_ms: u64,
    ) -> Result<u64, PushErrorReason> {
        let key = self.next_key;
        let waiter = Waiter {
            key,
            account: request.account.to_owned(),
            priority: request.priority,
            tokens: request.tokens,
            until_ms: request.wait_until_ms,
        };
        let start_by_ms = request.start_by_ms.min(request.wait_until_ms);
        push(&mut self.in_time, waiter, start_by_ms, now_ms)?;
        self.next_key += 1;
        self.record_contention(now_ms);
        Ok(key)
    }

    /// Grants the turns that are free, in order, and returns their keys.
    pub fn grant(&mut self, now_ms: u64) -> Vec<u64> {
        if !self.is_idle() {
            self.record_contention(now_ms);
        }
        for waiter in self.in_time.expire(now_ms) {
            let until_ms = waiter.until_ms;
            // The push fails if the request may not wait any longer or the
            // queue is full. Such a request leaves when its wait ends.
            let _ = push(&mut self.late, waiter, until_ms, now_ms);
        }
        self.late.expire(now_ms);
        let mut granted = Vec::new();
        while self.may_grant(now_ms)
            && let Some(next) = self.pop(now_ms)
        {
            let turn = Turn { since_ms: now_ms, tokens: next.tokens };
            self.turns.insert(next.key, turn);
            granted.push(next.key);
        }
        granted
    }

    /// Records that a request searches or waits now.
    fn record_contention(&mut self, now_ms: u64) {
        let since_ms = now_ms - self.contended_for_ms(now_ms);
        self.contended_ms = Some((since_ms, now_ms));
    }

    fn pop(&mut self, now_ms: u64) -> Option<Waiter> {
        let next = self.in_time.pop(now_ms);
        let next = next.or_else(|| self.late.pop(now_ms));
        next.map(|next| next.item)
    }

    /// Ends a turn, or the wait for one.
    pub fn leave(&mut self, key: u64) {
        if self.turns.remove(&key).is_none() {
            self.in_time.remove(|waiter| waiter.key == key);
            self.late.remove(|waiter| waiter.key == key);
        }
    }

    fn may_grant(&self, now_ms: u64) -> bool {
        let blocks_others = |turn: &Turn| {
            now_ms.saturating_sub(turn.since_ms) >= HOLD_BACK_AFTER_MS
        };
        self.turns.len() < MAX_TURNS && !self.turns.values().any(blocks_others)
    }
}

fn push(
    queue: &mut FairQueue<Waiter>,
    waiter: Waiter,
    until_ms: u64,
    now_ms: u64,
) -> Result<(), PushErrorReason> {
    let account = waiter.account.clone();
    let (priority, tokens) = (waiter.priority, waiter.tokens);
    queue
        .push(&account, priority, tokens, until_ms, waiter, now_ms)
        .map_err(|error| error.reason)
}
