//! How often entries tell each other, and what their silence means.
//!
//! The load that this answers: hundreds of entries, each of which would tell
//! all others five times a second. Entries of a data centre use the same
//! engines, so they tell each other often; those of others hear more rarely
//! the more there are. Whoever plans tells many more at once, since all wait
//! for its moves and take over when it falls silent.
//!
//! A bound on silence is a count of messages that did not come, at the
//! interval at which this process would be told; in milliseconds it would
//! fall below a single message as entries become more.

/// Time between messages to those that are told at once.
pub const BASE_INTERVAL_MS: u64 = 200;
/// Messages in a row that an entry misses before it no longer counts among
/// those that share duties: one or two are lost now and then.
const ABSENT_MESSAGES: f64 = 4.5;
/// The same for the planner, before others look at its lease.
const PLANNER_SILENT_MESSAGES: f64 = 3.5;
/// The same for an entry that is forgotten.
const FORGOTTEN_MESSAGES: f64 = 12.5;

/// Who is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerScope {
    /// Entries of the own data centre.
    SameDataCentre,
    /// Entries of others.
    OtherDataCentre,
    /// Any, by whoever plans.
    FromPlanner,
}

impl PeerScope {
    /// How many are told at once. A message costs some 15 us of a core to
    /// send and as much to take.
    pub fn fan_out(self) -> usize {
        match self {
            PeerScope::SameDataCentre => 24,
            PeerScope::OtherDataCentre => 12,
            PeerScope::FromPlanner => 96,
        }
    }

    /// Time between two messages to one of so many.
    pub fn interval_ms(self, count: usize) -> u64 {
        BASE_INTERVAL_MS * count.div_ceil(self.fan_out()).max(1) as u64
    }

    /// Silence after which one of so many no longer shares duties.
    pub fn absence_timeout_ms(self, count: usize) -> u64 {
        (ABSENT_MESSAGES * self.interval_ms(count) as f64) as u64
    }

    /// Silence after which one of so many is forgotten.
    pub fn expiry_ms(self, count: usize) -> u64 {
        (FORGOTTEN_MESSAGES * self.interval_ms(count) as f64) as u64
    }
}

/// Silence of the planner after which others look at its lease, among so
/// many entries.
pub fn planner_timeout_ms(count: usize) -> u64 {
    let interval_ms = PeerScope::FromPlanner.interval_ms(count);
    (PLANNER_SILENT_MESSAGES * interval_ms as f64) as u64
}

/// Whose turn it is to be told, in rounds over a list that may change.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Those that are told now.
    pub fn next_batch<T: Copy>(
        &mut self,
        all: &[T],
        at_once: usize,
    ) -> Vec<T> {
        let count = all.len().min(at_once);
        let at = |offset| all[(self.next + offset) % all.len()];
        let taken = (0..count).map(at).collect();
        self.next = (self.next + count) % all.len().max(1);
        taken
    }
}
