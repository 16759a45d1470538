//! The entries among which a limit is divided.
//!
//! An entry that falls silent may have exited, or may only be cut off from
//! this one and go on. Entries of both sides of a cut that divided a limit by
//! those that they hear would together use it several times. An entry
//! therefore stays in the roster until the table of the store no longer lists
//! it. Nothing else can tell: the table is what all entries share.
//!
//! Entries that read the table pass their rosters on, with the age of each
//! confirmation, so that an entry that is gone does not stay because others
//! pass it on to each other.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::startup::LONG_PAUSE_MS;

/// Time for which an entry stays in the roster after its last message or
/// listing. A listing passes one reader of the table, each with a pause
/// between reads, and a read may fail.
pub const UNLISTED_TIMEOUT_MS: u64 = 3 * LONG_PAUSE_MS;

/// An entry of a roster as others are told of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedEntry {
    /// Address for messages between entries.
    pub address: SocketAddr,
    /// Time since the entry was confirmed, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Member {
    /// When the last message was sent, if any arrived.
    heard_ms: Option<u64>,
    /// When the last message was sent or the table listed it.
    confirmed_ms: u64,
}

/// The other entries among which a limit is divided.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<SocketAddr, Member>,
    /// When the table was read for the last list; `None` before the first.
    read_ms: Option<u64>,
}

impl Roster {
    /// Starts without entries and without a list.
    pub fn new() -> Roster {
        Roster::default()
    }

    /// Records a message of an entry, which was sent at `sent_ms`: one that
    /// waited does not tell of the time at which it was read.
    pub fn record_heard(&mut self, address: SocketAddr, sent_ms: u64) {
        let member = self.members.entry(address).or_default();
        member.heard_ms = Some(sent_ms);
        member.confirmed_ms = member.confirmed_ms.max(sent_ms);
    }

    /// Applies a list that was read from the table `read_age_ms` ago, and
    /// removes the entries that it lacks and that were not heard for long.
    pub fn apply_list(
        &mut self,
        listed: &[ListedEntry],
        read_age_ms: u64,
        now_ms: u64,
    ) {
        for entry in listed {
            let confirmed_ms = now_ms.saturating_sub(entry.age_ms);
            let member = self.members.entry(entry.address).or_default();
            member.confirmed_ms = member.confirmed_ms.max(confirmed_ms);
        }
        let read_ms = now_ms.saturating_sub(read_age_ms);
        self.read_ms = self.read_ms.max(Some(read_ms));
        self.members.retain(|_, member| {
            member.confirmed_ms + UNLISTED_TIMEOUT_MS > read_ms
        });
    }

    /// Removes an address that is no other entry, or an entry that is known to
    /// have ended.
    pub fn remove(&mut self, address: SocketAddr) {
        self.members.remove(&address);
    }

    /// Number of entries including this one; `None` before the first list.
    pub fn entry_count(&self) -> Option<usize> {
        self.read_ms.map(|_| self.members.len() + 1)
    }

    /// Whether from every other entry a message was sent within a time.
    pub fn are_all_heard(&self, within_ms: u64, now_ms: u64) -> bool {
        let is_heard = |member: &Member| {
            let heard_ms = member.heard_ms;
            heard_ms.is_some_and(|ms| now_ms.saturating_sub(ms) <= within_ms)
        };
        self.members.values().all(is_heard)
    }

    /// The entries with the ages of their confirmations, and the age of the
    /// last list; `None` before the first.
    pub fn to_list(&self, now_ms: u64) -> Option<(Vec<ListedEntry>, u64)> {
        let read_age_ms = now_ms.saturating_sub(self.read_ms?);
        let listed = |(address, member): (&SocketAddr, &Member)| ListedEntry {
            address: *address,
            age_ms: now_ms.saturating_sub(member.confirmed_ms),
        };
        Some((self.members.iter().map(listed).collect(), read_age_ms))
    }
}
