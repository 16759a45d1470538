//! The log of calls that a stand-in ran, for tests to check.
//!
//! `GET /record?since=<seq>` returns one line of JSON for each entry from that
//! sequence number on. `DELETE /record` deletes all entries but doesn't reset
//! the sequence numbers.

use std::{collections::VecDeque, sync::Mutex};

use serde::{Deserialize, Serialize};

/// Maximum number of entries; the oldest are dropped first_seq.
const MAX_ENTRIES: usize = 1_000_000;

/// An entry with its sequence number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Numbered<T> {
    /// Sequence number from 0, in the order of runs.
    pub seq: u64,
    /// The recorded run.
    #[serde(flatten)]
    pub entry: T,
}

/// Log of the most recent entries.
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

    /// Entries from sequence number `since` on.
    pub(crate) fn since(&self, since: u64) -> Vec<Numbered<T>> {
        let entries = self.entries.lock().expect("no holder panics");
        let first_seq = entries.next_seq - entries.kept.len() as u64;
        let skipped = since.saturating_sub(first_seq) as usize;
        let seqs = first_seq.max(since)..;
        let kept = entries.kept.iter().skip(skipped).cloned();
        seqs.zip(kept).map(|(seq, entry)| Numbered { seq, entry }).collect()
    }

    /// Entries from sequence number `since` on, as lines of JSON.
    pub(crate) fn json_lines_since(&self, since: u64) -> Vec<u8> {
        let mut lines = Vec::new();
        for numbered in self.since(since) {
            serde_json::to_writer(&mut lines, &numbered)
                .expect("plain structs make JSON");
            lines.push(b'\n');
        }
        lines
    }
}
