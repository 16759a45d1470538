//! Rows of the table of entries whose machines are gone for good.
//!
//! Each entry writes its row again at intervals, so that the version of a row
//! rises while its entry runs and reaches the store. An entry that reads the
//! table deletes a row whose version has stayed for long, under the condition
//! that it still has that version: of two that delete only one takes effect,
//! and a row that is written meanwhile stays. Entries can't write while the
//! store is away, so ages count from the first of a series of reads without a
//! long gap.

use std::collections::BTreeMap;

use crate::startup::LONG_PAUSE_MS;

/// Interval at which an entry writes its row again.
pub const RENEWAL_MS: u64 = LONG_PAUSE_MS;
/// Time without a new version after which a row is deleted: several renewals
/// and the pauses between reads.
pub const ROW_EXPIRY_MS: u64 = 5 * RENEWAL_MS;
/// Longest gap between two reads of a series.
const MAX_READ_GAP_MS: u64 = 3 * LONG_PAUSE_MS;

#[derive(Clone, Copy, Debug)]
struct Seen<V> {
    version: V,
    since_ms: u64,
}

/// Versions of rows over a series of reads. `V` is the version of a row.
#[derive(Clone, Debug)]
pub struct RowAges<V> {
    rows: BTreeMap<String, Seen<V>>,
    read_ms: Option<u64>,
}

impl<V> Default for RowAges<V> {
    fn default() -> RowAges<V> {
        RowAges { rows: BTreeMap::new(), read_ms: None }
    }
}

impl<V: Copy + PartialEq> RowAges<V> {
    /// Starts without reads.
    pub fn new() -> RowAges<V> {
        RowAges::default()
    }

    /// Records the keys and versions of all rows of a successful read, and
    /// returns the rows that have expired.
    pub fn record_read<'a>(
        &mut self,
        rows: impl IntoIterator<Item = (&'a str, V)>,
        now_ms: u64,
    ) -> Vec<(String, V)> {
        let previous_ms = self.read_ms.replace(now_ms);
        let is_series = previous_ms
            .is_some_and(|ms| now_ms.saturating_sub(ms) <= MAX_READ_GAP_MS);
        let old = std::mem::take(&mut self.rows);
        for (key, version) in rows {
            let known = old.get(key).filter(|_| is_series);
            let known = known.filter(|seen| seen.version == version);
            let since_ms = known.map_or(now_ms, |seen| seen.since_ms);
            self.rows.insert(key.to_owned(), Seen { version, since_ms });
        }
        let is_expired = |(_, seen): &(&String, &Seen<V>)| {
            now_ms.saturating_sub(seen.since_ms) >= ROW_EXPIRY_MS
        };
        let expired = self.rows.iter().filter(is_expired);
        expired.map(|(key, seen)| (key.clone(), seen.version)).collect()
    }
}
