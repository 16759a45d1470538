//! Versions of the configuration that other entries have and this one lacks.
//!
//! The age of a copy does not tell whether it is out of date: while the store
//! is unavailable, the copies of all entries grow old together, and serving by
//! them is right. What the others report tells the cases apart. A change does
//! not reach all entries at once, so an entry may go by its own version for a
//! while after it has heard of a newer one.

use std::collections::BTreeMap;

/// Limit on versions that are kept. If there are more, the first ones decide.
const MAX_VERSIONS: usize = 32;

/// Newer versions that other entries have reported.
///
/// # Example
///
/// ```
/// use chestnutreach_membership::NewerVersions;
///
/// let mut newer = NewerVersions::default();
/// newer.record(8, 1_000);
/// assert_eq!(newer.lacking_since_ms(7, 900), Some(1_000));
/// // The store has confirmed version 7 since, so the report was wrong.
/// assert_eq!(newer.lacking_since_ms(7, 1_100), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct NewerVersions {
    /// When each was first reported.
    reported_ms: BTreeMap<u64, u64>,
}

impl NewerVersions {
    /// Records that another entry has a version in force.
    pub fn record(&mut self, version: u64, now_ms: u64) {
        if self.reported_ms.len() < MAX_VERSIONS {
            self.reported_ms.entry(version).or_insert(now_ms);
        }
    }

    /// Since when this entry is known to lack a version, given its own and
    /// when the store last confirmed that. Forgets what no longer counts.
    pub fn lacking_since_ms(
        &mut self,
        own_version: u64,
        confirmed_ms: u64,
    ) -> Option<u64> {
        self.reported_ms.retain(|version, reported_ms| {
            *version > own_version && *reported_ms > confirmed_ms
        });
        self.reported_ms.values().min().copied()
    }
}

/// Time for which an entry may go by its own version after a report of a newer
/// one, in milliseconds. Reports may be late by up to `report_delay_ms`, and a
/// change must be in force everywhere within `apply_ms`.
pub fn grace_ms(apply_ms: u64, report_delay_ms: u64) -> u64 {
    // In a large fleet reports take longer than a change itself.
    apply_ms.saturating_sub(report_delay_ms).max(apply_ms / 2)
}
