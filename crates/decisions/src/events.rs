//! Event queue and virtual clock.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, binary_heap::PeekMut},
};

use chestnutreach_routing::{BackendIndex, LoadReport};

/// Index of a request in a run.
pub(crate) type RequestIndex = u32;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A request or a retry of its caller arrives at the entry.
    Arrive(RequestIndex),
    /// The response of the table service arrives at the entry.
    TableRead(RequestIndex),
    /// The request arrives at its first stage.
    ReachFirstStage(RequestIndex),
    /// A reservation arrives at the later stages.
    Reserve(RequestIndex),
    /// All stages are reserved.
    Begin(RequestIndex),
    /// The wait of this number at a later stage has timed out.
    WaitTimeout(RequestIndex, u32),
    /// The refusal of a later stage arrives at the first stage.
    StageRefused(RequestIndex, Refusal),
    /// The refusal arrives at the entry; the request has not run.
    Refused(RequestIndex, Refusal),
    /// The last token arrives at the entry.
    Finished(RequestIndex),
    /// The deadline of the request has passed.
    Deadline(RequestIndex),
    /// An iteration of a server ends.
    IterationEnd(BackendIndex),
    /// A step arrives at an idle server.
    Wake(BackendIndex),
    /// A server sends a load report.
    Report(BackendIndex),
    /// A load report arrives at the entries.
    ReportArrives(BackendIndex, LoadReport),
    /// The new server is added.
    AddServer(BackendIndex),
    /// The recorder takes a sample for its averages.
    Sample,
}

/// The server that refused, and its `Retry-After`.
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

/// Events in time order; events of the same time in insertion order.
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

    /// Schedules an event after a delay.
    pub(crate) fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    pub(crate) fn schedule_at(&mut self, at_us: u64, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at_us, sequence, event }));
    }

    /// Advances the clock to the next event and returns it, or `None` if
    /// no event is left before `end_us`.
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
