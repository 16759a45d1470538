//! Turns to seek a path, where requests wait for room.
//!
//! Where no path has room, whoever happens to look first after some is free
//! would take it: a client account with many requests looks most often, and
//! a large request finds less room than the small ones around it. So
//! requests wait in a [`FairQueue`], and only those with a turn look.
//!
//! A few turns are held at the same time, so that small requests go on
//! beside a large one that waits for its room. Once a turn has lasted
//! [`HELD_BACK_MS`], no further ones are granted: what becomes free then adds
//! up for the request that has waited, which is the bound on starvation by
//! size. The bound by urgency and by account is that of the queue.

use std::collections::BTreeMap;

use crate::{
    fair::FairQueue, fair_refusal::PushRefusalReason, priority::Priority,
};

/// Turns at the same time: enough for small requests to go on beside a large
/// one, few enough that looking costs little.
pub const MOST_TURNS: usize = 4;
/// A turn that has lasted so long holds back further ones; a fifth of the
/// longest wait, so that several large requests in a row get theirs.
pub const HELD_BACK_MS: u64 = 300;

/// A request that asks for a turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnNeed<'a> {
    /// Whose it is.
    pub account: &'a str,
    /// How urgent it is.
    pub priority: Priority,
    /// Tokens that it will hold.
    pub tokens: u64,
    /// When it stops waiting.
    pub until_ms: u64,
}

/// Who seeks a path now, and who waits to.
#[derive(Debug)]
pub struct Turns {
    waiting: FairQueue<u64>,
    /// Since when each turn is held, by key.
    held: BTreeMap<u64, u64>,
    next_key: u64,
}

impl Turns {
    /// Nobody waits; at most so many tokens may.
    pub fn new(limit_tokens: u64) -> Turns {
        Turns {
            waiting: FairQueue::new(limit_tokens),
            held: BTreeMap::new(),
            next_key: 0,
        }
    }

    /// Whether nobody seeks a path or waits to.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.waiting.is_empty()
    }

    /// How many wait for a turn.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Joins; the key by which turns are granted and ended.
    ///
    /// # Errors
    ///
    /// The queue has no room for it, or its time is over.
    pub fn try_join(
        &mut self,
        need: &TurnNeed<'_>,
        now_ms: u64,
    ) -> Result<u64, PushRefusalReason> {
        let key = self.next_key;
        let pushed = self.waiting.push(
            need.account,
            need.priority,
            need.tokens,
            need.until_ms,
            key,
            now_ms,
        );
        pushed.map_err(|refusal| refusal.reason)?;
        self.next_key += 1;
        Ok(key)
    }

    /// Grants the turns that are free, in order.
    pub fn grant(&mut self, now_ms: u64) -> Vec<u64> {
        self.waiting.expire(now_ms);
        let mut granted = Vec::new();
        while self.may_grant(now_ms)
            && let Some(next) = self.waiting.pop(now_ms)
        {
            self.held.insert(next.item, now_ms);
            granted.push(next.item);
        }
        granted
    }

    /// Ends a turn, or the wait for one.
    pub fn end(&mut self, key: u64) {
        if self.held.remove(&key).is_none() {
            self.waiting.remove(|waiting| *waiting == key);
        }
    }

    fn may_grant(&self, now_ms: u64) -> bool {
        let is_old =
            |since: &u64| now_ms.saturating_sub(*since) >= HELD_BACK_MS;
        self.held.len() < MOST_TURNS && !self.held.values().any(is_old)
    }
}
