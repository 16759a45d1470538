//! What happens next on the virtual clock.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, binary_heap::PeekMut},
};

use chestnutreach_routing::{BackendIndex, LoadReport};

/// Place of a request in a run.
pub(crate) type RequestIndex = u32;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A caller asks at its entry, for the first time or again.
    Arrive(RequestIndex),
    /// The table service has answered the entry.
    TableRead(RequestIndex),
    /// The request reaches its first stage.
    ReachFirstStage(RequestIndex),
    /// The reservations reach the later stages.
    Reserve(RequestIndex),
    /// All stages are held.
    Begin(RequestIndex),
    /// The request has waited long enough at the stage that it waits at.
    WaitTimeout(RequestIndex, u32),
    /// The first stage hears that a later one has refused.
    StageRefused(RequestIndex, Refusal),
    /// The entry hears that nothing has run.
    Refused(RequestIndex, Refusal),
    /// The entry hears the end.
    Finished(RequestIndex),
    /// The caller's time is over.
    Deadline(RequestIndex),
    /// A server's iteration has ended.
    IterationEnd(BackendIndex),
    /// A step has reached an idle server.
    Wake(BackendIndex),
    /// A server's load is read and sent.
    Report(BackendIndex),
    /// A load report reaches the entries.
    ReportArrives(BackendIndex, LoadReport),
    /// The new server is there.
    AddServer(BackendIndex),
    /// The run is looked at for averages.
    Sample,
}

/// Who refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) by: BackendIndex,
    pub(crate) retry_after_ms: u64,
}

#[derive(Debug)]
struct ScheduledEvent {
    at_us: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

/// Events by time; those of the same time in the order they were added.
#[derive(Debug, Default)]
pub(crate) struct Events {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    next_sequence: u64,
    now_us: u64,
}

impl Events {
    pub(crate) fn now_us(&self) -> u64 {
        self.now_us
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Adds an event that happens after a while.
    pub(crate) fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    pub(crate) fn schedule_at(&mut self, at_us: u64, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at_us, sequence, event }));
    }

    /// Moves the clock to the next event, unless that is at or past the end.
    pub(crate) fn next(&mut self, end_us: u64) -> Option<Event> {
        let next = self.heap.peek_mut()?;
        if next.0.at_us >= end_us {
            return None;
        }
        let Reverse(scheduled) = PeekMut::pop(next);
        self.now_us = scheduled.at_us;
        Some(scheduled.event)
    }
}
