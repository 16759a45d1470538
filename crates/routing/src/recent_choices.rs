//! Servers that were chosen most recently at each layer boundary.
//!
//! A few samples rarely include a good server of a large fleet. Adding the
//! servers that were chosen before, at their current cost, keeps a good server
//! in use as long as its cost stays low ("the power of two choices with
//! memory", Mitzenmacher, Prabhakar and Shah, 2002). Packing requests onto few
//! servers depends on this, because the search has to find the same server
//! again.
//!
//! If there are more than [`SLOT_COUNT`] boundaries, some share a slot, and
//! the search skips servers that belong to another boundary.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use crate::fleet::BackendIndex;

/// Servers stored per boundary.
pub(crate) const CHOICES_PER_BOUNDARY: usize = 2;

const SLOT_COUNT: usize = 32;
const EMPTY: u32 = u32::MAX;

/// Servers that were chosen most recently, shared by all threads.
#[derive(Debug)]
pub(crate) struct RecentChoices {
    slots: [[AtomicU32; CHOICES_PER_BOUNDARY]; SLOT_COUNT],
}

impl RecentChoices {
    pub(crate) fn new() -> RecentChoices {
        let slot = || [const { AtomicU32::new(EMPTY) }; CHOICES_PER_BOUNDARY];
        RecentChoices { slots: std::array::from_fn(|_| slot()) }
    }

    /// Servers that were chosen at a boundary, or at a boundary with the same
    /// slot.
    pub(crate) fn recent(
        &self,
        boundary: usize,
    ) -> impl Iterator<Item = BackendIndex> {
        let slot = &self.slots[boundary % SLOT_COUNT];
        slot.iter()
            .map(|index| index.load(Relaxed))
            .filter(|&index| index != EMPTY)
            .map(BackendIndex)
    }

    /// Records a choice. Concurrent calls may store the same server twice and
    /// lose the other one, until the next choice.
    pub(crate) fn record(&self, boundary: usize, index: BackendIndex) {
        let [last, before] = &self.slots[boundary % SLOT_COUNT];
        let old = last.load(Relaxed);
        if old != index.0 {
            before.store(old, Relaxed);
            last.store(index.0, Relaxed);
        }
    }
}
