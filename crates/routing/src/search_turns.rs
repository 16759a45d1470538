//! Turns to seek a path, where requests wait for room.
//!
//! Where no path has room, whoever happens to look first after some is free
//! would take it: a client account with many requests looks most often, and
//! a large request finds less room than the small ones around it. So
//! requests wait in a [`FairQueue`], and only those with a turn look.
//!
//! A few turns are held at the same time, so that small requests go on
//! beside a large one that waits for its room. Once a turn has lasted
//! [`HOLD_BACK_AFTER_MS`], no further ones are granted: what becomes free then adds
//! up for the request that has waited, which is the bound on starvation by
//! size. The bound by urgency and by account is that of the queue.
//!
//! Requests that can no longer begin in time wait in a queue of their own,
//! which has its turns once the other one is empty: what is late anyway must
//! not make late what could begin in time.

use std::collections::BTreeMap;

use crate::{
    fair_queue::FairQueue, priority::Priority, push_error::PushErrorReason,
};

/// Turns at the same time: enough for small requests to go on beside a large
/// one, few enough that looking costs little.
pub const MAX_TURNS: usize = 4;
/// A turn that has lasted so long holds back further ones; a fifth of the
/// longest wait, so that several large requests in a row get theirs.
pub const HOLD_BACK_AFTER_MS: u64 = 300;

/// Nobody waits for so long before it counts as a break: a queue that lets in
/// only what begins in time is empty now and then while more is asked for than
/// fits.
pub const IDLE_GAP_MS: u64 = 500;

/// A request that asks for a turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnRequest<'a> {
    /// Whose it is.
    pub account: &'a str,
    /// How urgent it is.
    pub priority: Priority,
    /// Tokens that it will hold.
    pub tokens: u64,
    /// Until when it can begin in time.
    pub start_by_ms: u64,
    /// When it stops waiting.
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

/// A turn.
#[derive(Clone, Copy, Debug)]
struct Held {
    since_ms: u64,
    tokens: u64,
}

/// Who seeks a path now, and who waits to.
#[derive(Debug)]
pub struct SearchTurns {
    /// Those that can begin in time.
    waiting: FairQueue<Waiter>,
    /// Those that can't any more.
    late: FairQueue<Waiter>,
    /// Since when and until when somebody sought or waited without a break.
    busy_ms: Option<(u64, u64)>,
    /// Turns, by key.
    held: BTreeMap<u64, Held>,
    next_key: u64,
}

impl SearchTurns {
    /// Nobody waits; at most so many tokens may.
    pub fn new(limit_tokens: u64) -> SearchTurns {
        SearchTurns {
            waiting: FairQueue::new(limit_tokens),
            late: FairQueue::new(limit_tokens),
            busy_ms: None,
            held: BTreeMap::new(),
            next_key: 0,
        }
    }

    /// Whether nobody seeks a path or waits to.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.waiting.is_empty() && self.late.is_empty()
    }

    /// For how long somebody has sought or waited, without a break of
    /// [`IDLE_GAP_MS`].
    pub fn contended_for_ms(&self, now_ms: u64) -> u64 {
        let Some((since_ms, until_ms)) = self.busy_ms else { return 0 };
        let is_over =
            self.is_idle() && now_ms.saturating_sub(until_ms) >= IDLE_GAP_MS;
        if is_over { 0 } else { now_ms.saturating_sub(since_ms) }
    }

    /// Tokens of the requests that would have their turn before one of an
    /// account that joins now, at most.
    pub fn tokens_before(&self, account: &str, tokens: u64) -> u64 {
        let held: u64 = self.held.values().map(|held| held.tokens).sum();
        held + self.waiting.tokens_before(account, tokens)
    }

    /// How many wait for a turn.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len() + self.late.len()
    }

    /// Joins; the key by which turns are granted and ended.
    ///
    /// # Errors
    ///
    /// The queue has no room for it, or its time is over.
    pub fn try_join(
        &mut self,
        need: &TurnRequest<'_>,
        now_ms: u64,
    ) -> Result<u64, PushErrorReason> {
        let key = self.next_key;
        let waiter = Waiter {
            key,
            account: need.account.to_owned(),
            priority: need.priority,
            tokens: need.tokens,
            until_ms: need.wait_until_ms,
        };
        let start_by_ms = need.start_by_ms.min(need.wait_until_ms);
        push(&mut self.waiting, waiter, start_by_ms, now_ms)?;
        self.next_key += 1;
        self.note_busy(now_ms);
        Ok(key)
    }

    /// Grants the turns that are free, in order.
    pub fn grant(&mut self, now_ms: u64) -> Vec<u64> {
        if !self.is_idle() {
            self.note_busy(now_ms);
        }
        for waiter in self.waiting.expire(now_ms) {
            let until_ms = waiter.until_ms;
            // One that may not wait any longer has no place there, and whose
            // queue is full leaves at its time.
            let _ = push(&mut self.late, waiter, until_ms, now_ms);
        }
        self.late.expire(now_ms);
        let mut granted = Vec::new();
        while self.may_grant(now_ms)
            && let Some(next) = self.pop(now_ms)
        {
            let held = Held { since_ms: now_ms, tokens: next.tokens };
            self.held.insert(next.key, held);
            granted.push(next.key);
        }
        granted
    }

    /// Somebody seeks or waits now.
    fn note_busy(&mut self, now_ms: u64) {
        let since_ms = now_ms - self.contended_for_ms(now_ms);
        self.busy_ms = Some((since_ms, now_ms));
    }

    fn pop(&mut self, now_ms: u64) -> Option<Waiter> {
        let next = self.waiting.pop(now_ms);
        let next = next.or_else(|| self.late.pop(now_ms));
        next.map(|next| next.item)
    }

    /// Ends a turn, or the wait for one.
    pub fn leave(&mut self, key: u64) {
        if self.held.remove(&key).is_none() {
            self.waiting.remove(|waiter| waiter.key == key);
            self.late.remove(|waiter| waiter.key == key);
        }
    }

    fn may_grant(&self, now_ms: u64) -> bool {
        let is_old = |held: &Held| {
            now_ms.saturating_sub(held.since_ms) >= HOLD_BACK_AFTER_MS
        };
        self.held.len() < MAX_TURNS && !self.held.values().any(is_old)
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
        .map_err(|refusal| refusal.reason)
}
