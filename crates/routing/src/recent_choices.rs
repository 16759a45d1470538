//! The servers that were chosen last at each layer boundary.
//!
//! A few draws find a good server of many only by luck. The ones that won
//! before are looked at again beside the fresh draws, at today's cost, so
//! that what was found is kept while it stays good ("the power of two choices
//! with memory", Mitzenmacher, Prabhakar and Shah, 2002). Filling a server
//! before the next is used lives by it: it means to find the same one again.
//!
//! Boundaries share a slot when there are more than [`SLOT_COUNT`]; a server
//! of another boundary is then passed over.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use crate::fleet::BackendIndex;

/// Servers remembered at a boundary.
pub(crate) const CHOICES_PER_BOUNDARY: usize = 2;

const SLOT_COUNT: usize = 32;
const EMPTY: u32 = u32::MAX;

/// The servers that were chosen last, written by all threads.
#[derive(Debug)]
pub(crate) struct RecentChoices {
    slots: [[AtomicU32; CHOICES_PER_BOUNDARY]; SLOT_COUNT],
}

impl RecentChoices {
    pub(crate) fn new() -> RecentChoices {
        let slot = || [const { AtomicU32::new(EMPTY) }; CHOICES_PER_BOUNDARY];
        RecentChoices { slots: std::array::from_fn(|_| slot()) }
    }

    /// What was chosen last at a boundary, or at one with the same slot.
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

    /// Notes a choice. Two threads may note one server twice, which loses
    /// the other until the next choice.
    pub(crate) fn record(&self, boundary: usize, index: BackendIndex) {
        let [last, before] = &self.slots[boundary % SLOT_COUNT];
        let old = last.load(Relaxed);
        if old != index.0 {
            before.store(old, Relaxed);
            last.store(index.0, Relaxed);
        }
    }
}
