//! Weighted fair queueing of tokens between client accounts.
//!
//! # Shares
//!
//! Each account has a virtual time: the tokens it was served, divided by its
//! weight. The account with the lowest virtual time goes next (start-time fair
//! queueing). The queue's own virtual time is the lowest of all backlogged
//! accounts. An account that becomes backlogged again starts there, so share
//! that it left idle goes to the others and is neither saved up nor paid back.
//!
//! # Priorities
//!
//! *Between* accounts, a priority lowers an account's rank by a bounded lead
//! ([`LEAD_TOKENS`] per level) but does not change what the account is
//! charged. Urgent work goes first for a while, and the long-run shares are
//! those of the weights, whatever priorities an account gives its requests.
//! *Within* an account, the higher priority goes first, and each
//! [`PROMOTE_MS`] of waiting promotes an item by one level; among equals the
//! oldest goes first. A low item therefore waits behind later items of its
//! account for at most `2 * PROMOTE_MS`.
//!
//! # Limit
//!
//! The queue is limited in tokens of work. An account may hold at most
//! [`FREE_SPACE_FACTOR`] times the free space, so that a flood of one account
//! leaves space for the others, and the allowance shrinks as the queue fills
//! (dynamic thresholds, as for shared switch memory).
//!
//! `push` and `pop` take `O(log n)`; `remove` visits every item.

use std::collections::{BTreeMap, BTreeSet};

pub use crate::queue_account::LEAD_TOKENS;
use crate::{
    priority::Priority,
    push_error::{PushError, PushErrorReason},
    queue_account::{
        Account, DEFAULT_WEIGHT, LEVEL_COUNT, Sequence, VirtualTime,
    },
};

/// Waiting time that promotes an item by one level within its account.
pub const PROMOTE_MS: u64 = 5_000;
/// An account may hold this many times the free space.
pub const FREE_SPACE_FACTOR: u64 = 8;

type AccountIndex = usize;

/// Fair queue of one backend server; used by one thread at a time.
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
    /// Backlogged accounts by rank.
    by_rank: BTreeSet<(VirtualTime, AccountIndex)>,
    /// Backlogged accounts by virtual time.
    by_virtual_time: BTreeSet<(VirtualTime, AccountIndex)>,
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

/// An item taken from the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Popped<T> {
    /// The item that was pushed.
    pub item: T,
    /// Client account of the item.
    pub account: String,
    /// Priority with which the item was pushed.
    pub priority: Priority,
    /// Tokens charged to the account.
    pub cost_tokens: u64,
    /// Time at which the caller gives up.
    pub deadline_ms: u64,
    /// Time that the item spent in the queue.
    pub waited_ms: u64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for `limit_tokens` of work.
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
            by_rank: BTreeSet::new(),
            by_virtual_time: BTreeSet::new(),
        }
    }

    /// Sets an account's weight relative to the others; 0 counts as 1.
    pub fn set_weight(&mut self, account: &str, weight: u32) {
        let at = self.account_index(account);
        self.remove_account(at);
        self.accounts[at].weight = weight.max(1);
        self.insert_account(at);
    }

    /// Queues an item of `cost_tokens` until `deadline_ms`, on the clock of
    /// `now_ms`. An empty queue accepts an item of any cost.
    pub fn push(
        &mut self,
        account: &str,
        priority: Priority,
        cost_tokens: u64,
        deadline_ms: u64,
        item: T,
        now_ms: u64,
    ) -> Result<(), PushError<T>> {
        let at = self.account_index(account);
        if let Err(reason) =
            self.check_push(at, cost_tokens, deadline_ms, now_ms)
        {
            return Err(PushError { item, reason });
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.remove_account(at);
        self.pending_tokens += cost_tokens;
        let account = &mut self.accounts[at];
        if account.is_idle() {
            account.virtual_time = account.virtual_time.max(self.virtual_time);
        }
        account.pending_tokens += cost_tokens;
        account.lanes[priority.level()].insert(sequence);
        self.insert_account(at);
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

    /// Takes the next item and charges its account. The item may have expired;
    /// call [`FairQueue::expire`] first.
    pub fn pop(&mut self, now_ms: u64) -> Option<Popped<T>> {
        let &(_, at) = self.by_rank.first()?;
        let sequence = self.next_item_of(at, now_ms)?;
        if let Some(&(virtual_time, _)) = self.by_virtual_time.first() {
            self.virtual_time = self.virtual_time.max(virtual_time);
        }
        self.remove_account(at);
        let item = self.take(sequence)?;
        let account = &mut self.accounts[at];
        account.charge(i128::from(item.cost_tokens));
        let name = account.name.clone();
        self.insert_account(at);
        Some(Popped {
            item: item.item,
            account: name,
            priority: item.priority,
            cost_tokens: item.cost_tokens,
            deadline_ms: item.deadline_ms,
            waited_ms: now_ms.saturating_sub(item.pushed_ms),
        })
    }

    /// Removes every item whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some(&(deadline_ms, sequence)) = self.by_deadline.first()
            && deadline_ms <= now_ms
        {
            expired.extend(self.take_and_reorder(sequence));
        }
        expired
    }

    /// Removes every item that matches.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        let sequences: Vec<Sequence> = self
            .items
            .iter()
            .filter(|(_, item)| matches(&item.item))
            .map(|(&sequence, _)| sequence)
            .collect();
        sequences
            .into_iter()
            .filter_map(|at| self.take_and_reorder(at))
            .collect()
    }

    /// Corrects an account's charge after the actual usage is known; a
    /// negative number refunds tokens.
    pub fn charge(&mut self, account: &str, tokens: i64) {
        let at = self.account_index(account);
        self.remove_account(at);
        self.accounts[at].charge(i128::from(tokens));
        self.insert_account(at);
    }

    /// Queued work in tokens.
    pub fn pending_tokens(&self) -> u64 {
        self.pending_tokens
    }

    /// Upper estimate of the work served before an item of `cost_tokens`
    /// pushed now: all queued work of its own account, and each other
    /// account's share until then. Priorities are ignored, because they change
    /// the order only slightly.
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

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Earliest deadline of a queued item, when [`FairQueue::expire`] is next
    /// due.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.by_deadline.first().map(|&(deadline_ms, _)| deadline_ms)
    }

    fn check_push(
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

    fn account_index(&mut self, name: &str) -> AccountIndex {
        if let Some(&at) = self.by_name.get(name) {
            return at;
        }
        let at = self.accounts.len();
        self.accounts.push(Account::new(name, self.virtual_time));
        self.by_name.insert(name.to_string(), at);
        at
    }

    /// Removes an account from the order before its rank changes.
    fn remove_account(&mut self, at: AccountIndex) {
        let account = &mut self.accounts[at];
        if let Some(rank) = account.rank.take() {
            self.by_rank.remove(&(rank, at));
            self.by_virtual_time.remove(&(account.virtual_time, at));
        }
    }

    /// Inserts an account into the order if it is backlogged.
    fn insert_account(&mut self, at: AccountIndex) {
        let account = &mut self.accounts[at];
        if let Some(rank) = account.next_rank() {
            account.rank = Some(rank);
            self.by_rank.insert((rank, at));
            self.by_virtual_time.insert((account.virtual_time, at));
        }
    }

    /// The next item of an account.
    fn next_item_of(&self, at: AccountIndex, now_ms: u64) -> Option<Sequence> {
        let lanes = self.accounts[at].lanes.iter().enumerate();
        lanes
            .filter_map(|(level, lane)| Some((level, *lane.first()?)))
            .max_by_key(|&(level, sequence)| {
                let item = &self.items[&sequence];
                let waited_ms = now_ms.saturating_sub(item.pushed_ms);
                let promoted_level = level as u64 + waited_ms / PROMOTE_MS;
                let promoted_level =
                    promoted_level.min(LEVEL_COUNT as u64 - 1);
                (promoted_level, std::cmp::Reverse(sequence))
            })
            .map(|(_, sequence)| sequence)
    }

    fn take_and_reorder(&mut self, sequence: Sequence) -> Option<T> {
        let at = self.items.get(&sequence)?.account;
        self.remove_account(at);
        let item = self.take(sequence);
        self.insert_account(at);
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
