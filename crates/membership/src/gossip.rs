//! How often entries send their state to peers, and what silence means.
//!
//! With hundreds of entries, sending to all others five times per second would
//! cost too much. Entries of a data centre use the same engines, so they send
//! to each other often. Entries of other data centres receive messages less
//! often the more of them there are. The planner sends to many more entries at
//! once, because all entries wait for its moves and take over when it falls
//! silent.
//!
//! A timeout on silence is a number of missed messages at the interval at
//! which this process should receive them. A timeout in fixed milliseconds
//! would fall below a single interval as the number of entries grows.

/// Interval between messages to peers that fit into one batch.
pub const BASE_INTERVAL_MS: u64 = 200;
/// Consecutive missed messages after which an entry no longer shares
/// assignments; one or two are lost at times.
const ABSENCE_MESSAGES: f64 = 4.5;
/// Missed messages of the planner after which other entries check its lease.
const PLANNER_TIMEOUT_MESSAGES: f64 = 3.5;
/// Messages of an entry of which one arrives; the other may be lost.
const REPORT_MESSAGES: u64 = 2;
/// Time for which a message may wait on slow VMs and links.
const REPORT_MARGIN_MS: u64 = 300;
/// Shortest timeout of reported demand. Allows for several lost messages where
/// these come often.
const MIN_DEMAND_TIMEOUT_MS: u64 = 3_000;
/// Shortest timeout of a state that is repeated while it lasts.
const MIN_REPEAT_TIMEOUT_MS: u64 = 4_000;
/// Missed messages after which an entry is removed.
const EXPIRY_MESSAGES: f64 = 12.5;

/// Which peers a message goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerScope {
    /// Entries of the same data centre.
    SameDataCentre,
    /// Entries of other data centres.
    OtherDataCentre,
    /// All entries, from the planner.
    FromPlanner,
}

impl PeerScope {
    /// Number of peers that get a message at once. A message costs about 15 us
    /// of a core to send and as much to receive.
    pub fn fan_out(self) -> usize {
        match self {
            PeerScope::SameDataCentre => 24,
            PeerScope::OtherDataCentre => 12,
            PeerScope::FromPlanner => 96,
        }
    }

    /// Interval between two messages to one of `count` peers.
    pub fn interval_ms(self, count: usize) -> u64 {
        BASE_INTERVAL_MS * count.div_ceil(self.fan_out()).max(1) as u64
    }

    /// Silence after which one of `count` peers no longer shares assignments.
    pub fn absence_timeout_ms(self, count: usize) -> u64 {
        (ABSENCE_MESSAGES * self.interval_ms(count) as f64) as u64
    }

    /// Silence after which one of `count` peers is removed.
    pub fn expiry_ms(self, count: usize) -> u64 {
        (EXPIRY_MESSAGES * self.interval_ms(count) as f64) as u64
    }
}

/// Silence of the planner after which other entries check its lease, among
/// `count` entries.
pub fn planner_timeout_ms(count: usize) -> u64 {
    let interval_ms = PeerScope::FromPlanner.interval_ms(count);
    (PLANNER_TIMEOUT_MESSAGES * interval_ms as f64) as u64
}

/// Longest interval between two messages of an entry to one of its peers.
fn longest_interval_ms(same: usize, other: usize) -> u64 {
    let same_ms = PeerScope::SameDataCentre.interval_ms(same);
    same_ms.max(PeerScope::OtherDataCentre.interval_ms(other))
}

/// Time within which all entries have received what one of them reports, with
/// as many peers in its data centre and in others.
pub fn report_delay_ms(same: usize, other: usize) -> u64 {
    REPORT_MESSAGES * longest_interval_ms(same, other) + REPORT_MARGIN_MS
}

/// Age up to which what an entry reported of its requests counts, with as many
/// peers in its data centre and in others. An entry that is cut off or has
/// ended gets no requests, so this is little more than one interval.
pub fn demand_timeout_ms(same: usize, other: usize) -> u64 {
    let renewed_ms = longest_interval_ms(same, other) + REPORT_MARGIN_MS;
    renewed_ms.max(MIN_DEMAND_TIMEOUT_MS)
}

/// Age up to which a state counts that an entry repeats while it lasts.
pub fn repeat_timeout_ms(same: usize, other: usize) -> u64 {
    report_delay_ms(same, other).max(MIN_REPEAT_TIMEOUT_MS)
}

/// Rotates through a list of peers that may change between batches.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// The peers that are next, at most `batch_size`.
    pub fn next_batch<T: Copy>(
        &mut self,
        all: &[T],
        batch_size: usize,
    ) -> Vec<T> {
        let count = all.len().min(batch_size);
        let at = |offset| all[(self.next + offset) % all.len()];
        let batch = (0..count).map(at).collect();
        self.next = (self.next + count) % all.len().max(1);
        batch
    }
}
