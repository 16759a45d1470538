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
pub(crate) const REMEMBERED: usize = 2;

const SLOT_COUNT: usize = 32;
const NOTHING: u32 = u32::MAX;

/// The servers that were chosen last, written by all threads.
#[derive(Debug)]
pub(crate) struct Memory {
    slots: [[AtomicU32; REMEMBERED]; SLOT_COUNT],
}

impl Memory {
    pub(crate) fn new() -> Memory {
        let slot = || [const { AtomicU32::new(NOTHING) }; REMEMBERED];
        Memory { slots: std::array::from_fn(|_| slot()) }
    }

    /// What was chosen last at a boundary, or at one with the same slot.
    pub(crate) fn at(
        &self,
        boundary: usize,
    ) -> impl Iterator<Item = BackendIndex> {
        let slot = &self.slots[boundary % SLOT_COUNT];
        slot.iter()
            .map(|index| index.load(Relaxed))
            .filter(|&index| index != NOTHING)
            .map(BackendIndex)
    }

    /// Notes a choice. Two threads may note one server twice, which loses
    /// the other until the next choice.
    pub(crate) fn note(&self, boundary: usize, index: BackendIndex) {
        let [last, before] = &self.slots[boundary % SLOT_COUNT];
        let old = last.load(Relaxed);
        if old != index.0 {
            before.store(old, Relaxed);
            last.store(index.0, Relaxed);
        }
    }
}
