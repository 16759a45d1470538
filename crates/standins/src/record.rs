//! What a stand-in has run, for tests to check.
//!
//! `GET /record?since=<seq>` answers a line of JSON for each entry from that
//! number on; `DELETE /record` forgets all entries, but numbers go on.

use std::{collections::VecDeque, sync::Mutex};

use serde::{Deserialize, Serialize};

/// Most entries kept; the oldest go first.
const MAX_ENTRIES: usize = 1_000_000;

/// An entry with its number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Numbered<T> {
    /// Number of the entry, from 0, in the order of runs.
    pub seq: u64,
    /// The entry.
    #[serde(flatten)]
    pub entry: T,
}

/// The latest entries.
#[derive(Debug)]
pub(crate) struct Record<T> {
    entries: Mutex<Entries<T>>,
}

#[derive(Debug)]
struct Entries<T> {
    kept: VecDeque<T>,
    next_seq: u64,
}

impl<T: Clone + Serialize> Record<T> {
    pub(crate) fn new() -> Record<T> {
        let entries = Entries { kept: VecDeque::new(), next_seq: 0 };
        Record { entries: Mutex::new(entries) }
    }

    pub(crate) fn push(&self, entry: T) {
        let mut entries = self.entries.lock().expect("no holder panics");
        if entries.kept.len() == MAX_ENTRIES {
            entries.kept.pop_front();
        }
        entries.kept.push_back(entry);
        entries.next_seq += 1;
    }

    pub(crate) fn clear(&self) {
        self.entries.lock().expect("no holder panics").kept.clear();
    }

    /// Entries from the number `since` on.
    pub(crate) fn since(&self, since: u64) -> Vec<Numbered<T>> {
        let entries = self.entries.lock().expect("no holder panics");
        let first = entries.next_seq - entries.kept.len() as u64;
        let skipped = since.saturating_sub(first) as usize;
        let numbers = first.max(since)..;
        let kept = entries.kept.iter().skip(skipped).cloned();
        numbers.zip(kept).map(|(seq, entry)| Numbered { seq, entry }).collect()
    }

    /// Entries as lines of JSON.
    pub(crate) fn lines_since(&self, since: u64) -> Vec<u8> {
        let mut lines = Vec::new();
        for numbered in self.since(since) {
            serde_json::to_writer(&mut lines, &numbered)
                .expect("plain structs make JSON");
            lines.push(b'\n');
        }
        lines
    }
}
