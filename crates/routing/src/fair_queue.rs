//! Weighted fair queueing of tokens between client accounts.
//!
//! # Shares
//!
//! Each account has a virtual time: the tokens it was served, over its
//! weight. The account that is furthest behind goes next (start-time fair
//! queueing). The queue's own virtual time is that of the backlogged account
//! furthest behind; an account that comes back starts there, so idle share
//! is lent to the others and is neither saved up nor paid back.
//!
//! # Priorities
//!
//! *Between* accounts, a priority moves an account's place by a bounded lead
//! ([`LEAD_TOKENS`] a level) but not what it is charged. Urgent work goes
//! first for a while, and the shares over any longer run stay those of the
//! weights, whatever priorities an account gives its requests.
//! *Within* an account, the higher priority goes first, and each
//! [`PROMOTE_MS`] of waiting raises an item by one level; among equals the
//! oldest goes first. So a low item waits behind later ones for at most
//! `2 * PROMOTE_MS` of its account's turns.
//!
//! # Bound
//!
//! The queue is bounded in tokens of work. An account may hold at most
//! [`FREE_SPACE_FACTOR`] times what is still free, so that one account's flood
//! leaves room for others and the room it may take shrinks as the queue
//! fills (dynamic thresholds, as for shared switch memory).
//!
//! `push` and `pop` take `O(log n)`; `remove` looks at every item.

use std::collections::{BTreeMap, BTreeSet};

pub use crate::queue_account::LEAD_TOKENS;
use crate::{
    priority::Priority,
    push_error::{PushError, PushErrorReason},
    queue_account::{
        Account, DEFAULT_WEIGHT, LEVEL_COUNT, Sequence, VirtualTime,
    },
};

/// Waiting that raises an item by one level within its account.
pub const PROMOTE_MS: u64 = 5_000;
/// An account may hold this many times the free room.
pub const FREE_SPACE_FACTOR: u64 = 8;

type AccountIndex = usize;

/// Queue of one backend server; used by one thread at a time.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit_tokens: u64,
    pending_tokens: u64,
    next_sequence: Sequence,
    virtual_time: VirtualTime,
    by_name: BTreeMap<String, AccountIndex>,
    accounts: Vec<Account>,
    items: BTreeMap<Sequence, Item<T>>,
    by_deadline: BTreeSet<(u64, Sequence)>,
    /// Backlogged accounts by their place.
    by_place: BTreeSet<(VirtualTime, AccountIndex)>,
    /// Backlogged accounts by their virtual time.
    by_served: BTreeSet<(VirtualTime, AccountIndex)>,
}

#[derive(Debug)]
struct Item<T> {
    account: AccountIndex,
    priority: Priority,
    cost_tokens: u64,
    deadline_ms: u64,
    pushed_ms: u64,
    item: T,
}

/// An item whose turn has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Popped<T> {
    /// What was pushed.
    pub item: T,
    /// Whose it is.
    pub account: String,
    /// How urgent it was when pushed.
    pub priority: Priority,
    /// What its account was charged.
    pub cost_tokens: u64,
    /// When its caller gives up.
    pub deadline_ms: u64,
    /// How long it was queued.
    pub waited_ms: u64,
}

impl<T> FairQueue<T> {
    /// An empty queue for so many tokens of work.
    pub fn new(limit_tokens: u64) -> Self {
        FairQueue {
            limit_tokens,
            pending_tokens: 0,
            next_sequence: 0,
            virtual_time: 0,
            by_name: BTreeMap::new(),
            accounts: Vec::new(),
            items: BTreeMap::new(),
            by_deadline: BTreeSet::new(),
            by_place: BTreeSet::new(),
            by_served: BTreeSet::new(),
        }
    }

    /// Sets an account's share against the others; 0 counts as 1.
    pub fn set_weight(&mut self, account: &str, weight: u32) {
        let at = self.account(account);
        self.leave(at);
        self.accounts[at].weight = weight.max(1);
        self.enter(at);
    }

    /// Queues an item of `cost_tokens`, until `deadline_ms` on the clock of
    /// `now_ms`. An empty queue takes an item of any cost.
    pub fn push(
        &mut self,
        account: &str,
        priority: Priority,
        cost_tokens: u64,
        deadline_ms: u64,
        item: T,
        now_ms: u64,
    ) -> Result<(), PushError<T>> {
        let at = self.account(account);
        if let Err(reason) = self.check(at, cost_tokens, deadline_ms, now_ms) {
            return Err(PushError { item, reason });
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.leave(at);
        self.pending_tokens += cost_tokens;
        let account = &mut self.accounts[at];
        if account.is_idle() {
            account.served = account.served.max(self.virtual_time);
        }
        account.pending_tokens += cost_tokens;
        account.lanes[priority.level()].insert(sequence);
        self.enter(at);
        self.by_deadline.insert((deadline_ms, sequence));
        let item = Item {
            account: at,
            priority,
            cost_tokens,
            deadline_ms,
            pushed_ms: now_ms,
            item,
        };
        self.items.insert(sequence, item);
        Ok(())
    }

    /// Takes the item whose turn it is and charges its account. It may have
    /// expired: call [`FairQueue::expire`] before.
    pub fn pop(&mut self, now_ms: u64) -> Option<Popped<T>> {
        let &(_, at) = self.by_place.first()?;
        let sequence = self.next_of(at, now_ms)?;
        if let Some(&(served, _)) = self.by_served.first() {
            self.virtual_time = self.virtual_time.max(served);
        }
        self.leave(at);
        let item = self.take(sequence)?;
        let account = &mut self.accounts[at];
        account.charge(i128::from(item.cost_tokens));
        let name = account.name.clone();
        self.enter(at);
        Some(Popped {
            item: item.item,
            account: name,
            priority: item.priority,
            cost_tokens: item.cost_tokens,
            deadline_ms: item.deadline_ms,
            waited_ms: now_ms.saturating_sub(item.pushed_ms),
        })
    }

    /// Takes out every item whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some(&(deadline_ms, sequence)) = self.by_deadline.first()
            && deadline_ms <= now_ms
        {
            expired.extend(self.take_out(sequence));
        }
        expired
    }

    /// Takes out every item that matches.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        let sequences: Vec<Sequence> = self
            .items
            .iter()
            .filter(|(_, item)| matches(&item.item))
            .map(|(&sequence, _)| sequence)
            .collect();
        sequences.into_iter().filter_map(|at| self.take_out(at)).collect()
    }

    /// Corrects what an account was charged by what was really used: more
    /// tokens, or fewer when negative.
    pub fn charge(&mut self, account: &str, tokens: i64) {
        let at = self.account(account);
        self.leave(at);
        self.accounts[at].charge(i128::from(tokens));
        self.enter(at);
    }

    /// Tokens of work that are queued.
    pub fn pending_tokens(&self) -> u64 {
        self.pending_tokens
    }

    /// Tokens of work that go before an item of `cost_tokens` pushed now, at
    /// most: all of its own account's, and of each other account its share
    /// until then. Priorities move places by little and are left out.
    pub fn tokens_before(&self, account: &str, cost_tokens: u64) -> u64 {
        let own = self.by_name.get(account).map(|&at| &self.accounts[at]);
        let weight = own.map_or(DEFAULT_WEIGHT, |own| own.weight);
        let own_tokens = own.map_or(0, |own| own.pending_tokens);
        let turn_tokens = own_tokens.saturating_add(cost_tokens);
        let others = self.accounts.iter().filter(|a| a.name != account);
        let share_of = |other: &Account| {
            let share = turn_tokens.saturating_mul(other.weight.into());
            (share / u64::from(weight)).min(other.pending_tokens)
        };
        own_tokens + others.map(share_of).sum::<u64>()
    }

    /// How many items are queued.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Earliest deadline of a queued item: when to call
    /// [`FairQueue::expire`] next.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.by_deadline.first().map(|&(deadline_ms, _)| deadline_ms)
    }

    fn check(
        &self,
        at: AccountIndex,
        cost_tokens: u64,
        deadline_ms: u64,
        now_ms: u64,
    ) -> Result<(), PushErrorReason> {
        if deadline_ms <= now_ms {
            return Err(PushErrorReason::Expired);
        }
        if self.is_empty() {
            return Ok(());
        }
        let free = self.limit_tokens.saturating_sub(self.pending_tokens);
        if cost_tokens > free {
            return Err(PushErrorReason::Full {
                pending_tokens: self.pending_tokens,
                limit_tokens: self.limit_tokens,
            });
        }
        let allowed_tokens = free.saturating_mul(FREE_SPACE_FACTOR);
        let pending_tokens = self.accounts[at].pending_tokens;
        if pending_tokens > allowed_tokens {
            return Err(PushErrorReason::AccountFull {
                pending_tokens,
                allowed_tokens,
            });
        }
        Ok(())
    }

    fn account(&mut self, name: &str) -> AccountIndex {
        if let Some(&at) = self.by_name.get(name) {
            return at;
        }
        let at = self.accounts.len();
        self.accounts.push(Account::new(name, self.virtual_time));
        self.by_name.insert(name.to_string(), at);
        at
    }

    /// Takes an account out of the order before it changes.
    fn leave(&mut self, at: AccountIndex) {
        let account = &mut self.accounts[at];
        if let Some(place) = account.place.take() {
            self.by_place.remove(&(place, at));
            self.by_served.remove(&(account.served, at));
        }
    }

    /// Puts an account back in the order if it is backlogged.
    fn enter(&mut self, at: AccountIndex) {
        let account = &mut self.accounts[at];
        if let Some(place) = account.next_place() {
            account.place = Some(place);
            self.by_place.insert((place, at));
            self.by_served.insert((account.served, at));
        }
    }

    /// The item of an account that goes first.
    fn next_of(&self, at: AccountIndex, now_ms: u64) -> Option<Sequence> {
        let lanes = self.accounts[at].lanes.iter().enumerate();
        lanes
            .filter_map(|(level, lane)| Some((level, *lane.first()?)))
            .max_by_key(|&(level, sequence)| {
                let item = &self.items[&sequence];
                let waited_ms = now_ms.saturating_sub(item.pushed_ms);
                let raised = level as u64 + waited_ms / PROMOTE_MS;
                let raised = raised.min(LEVEL_COUNT as u64 - 1);
                (raised, std::cmp::Reverse(sequence))
            })
            .map(|(_, sequence)| sequence)
    }

    fn take_out(&mut self, sequence: Sequence) -> Option<T> {
        let at = self.items.get(&sequence)?.account;
        self.leave(at);
        let item = self.take(sequence);
        self.enter(at);
        item.map(|item| item.item)
    }

    fn take(&mut self, sequence: Sequence) -> Option<Item<T>> {
        let item = self.items.remove(&sequence)?;
        self.by_deadline.remove(&(item.deadline_ms, sequence));
        self.pending_tokens -= item.cost_tokens;
        let account = &mut self.accounts[item.account];
        account.pending_tokens -= item.cost_tokens;
        account.lanes[item.priority.level()].remove(&sequence);
        Some(item)
    }
}
