//! What is known of one backend server now, in atomics.
//!
//! Each field is written on its own, so a reader may see half of a report.
//! That is a wrong cost for one choice, which the server's side process
//! corrects; a lock on the request path would cost every choice.

use std::sync::atomic::{
    AtomicBool, AtomicI32, AtomicI64, AtomicU32, AtomicU64, Ordering::Relaxed,
};

use crate::{
    circuit_breaker::CircuitBreaker,
    load_report::{LoadReport, Presence},
};

/// Prefixes remembered of each server; older ones are overwritten.
const PREFIX_SLOTS: usize = 64;
const LOW_HALF: u64 = 0xffff_ffff;

/// State of one backend server, shared by the fleets of all generations.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) health: CircuitBreaker,
    presence: AtomicU64,
    /// Time of the last report plus 1; 0 for none.
    reported: AtomicU64,
    /// What counts in the fleet's mean, see [`Told`]; 0 for nothing.
    told: AtomicU64,
    /// Queued and running.
    load: AtomicU64,
    /// Bits of the two speeds.
    speeds: AtomicU64,
    /// Wait and cache use.
    gauges: AtomicU64,
    is_healthy: AtomicBool,
    pub(crate) is_withdrawn: AtomicBool,
    /// Sent less ended since the last report.
    request_change: AtomicI32,
    token_change: AtomicI64,
    /// Sent since the last report.
    sent: AtomicU32,
    /// Sent by this process and not ended.
    in_flight: AtomicI32,
    /// Bits of the smoothed time of a whole answer.
    answer_ms: AtomicU32,
    prefixes: [AtomicU32; PREFIX_SLOTS],
}

/// One reading of a [`Server`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    /// Time of the last report, if there ever was one.
    pub(crate) reported_ms: Option<u64>,
    pub(crate) reported_requests: u32,
    pub(crate) request_change: i32,
    pub(crate) token_change: i64,
    pub(crate) sent: u32,
    pub(crate) in_flight: u32,
    /// 0 where unknown.
    pub(crate) prompt_tokens_per_s: f32,
    pub(crate) output_tokens_per_s: f32,
    pub(crate) queue_wait_ms: u32,
    pub(crate) cache_used_permille: u32,
}

/// Part of a report that counts in the fleet's mean. It is swapped as one
/// word, so that what is added is taken away again exactly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    pub(crate) requests: u32,
    pub(crate) wait_ms: u32,
}

impl Told {
    pub(crate) fn new(report: &LoadReport) -> Told {
        let requests = report.running.saturating_add(report.queued);
        // One is added when packed.
        let requests = requests.min(u32::MAX - 1);
        Told { requests, wait_ms: report.queue_wait_ms }
    }

    fn pack(self) -> u64 {
        pack(self.requests + 1, self.wait_ms)
    }

    fn unpack(packed: u64) -> Option<Told> {
        let requests = high(packed).checked_sub(1)?;
        Some(Told { requests, wait_ms: low(packed) })
    }
}

impl Server {
    pub(crate) fn new() -> Server {
        Server {
            health: CircuitBreaker::new(),
            presence: AtomicU64::new(pack_presence(Presence::Absent)),
            reported: AtomicU64::new(0),
            told: AtomicU64::new(0),
            load: AtomicU64::new(0),
            speeds: AtomicU64::new(0),
            gauges: AtomicU64::new(0),
            is_healthy: AtomicBool::new(true),
            is_withdrawn: AtomicBool::new(false),
            request_change: AtomicI32::new(0),
            token_change: AtomicI64::new(0),
            sent: AtomicU32::new(0),
            in_flight: AtomicI32::new(0),
            answer_ms: AtomicU32::new(0),
            prefixes: [const { AtomicU32::new(0) }; PREFIX_SLOTS],
        }
    }

    pub(crate) fn presence(&self) -> Presence {
        unpack_presence(self.presence.load(Relaxed))
    }

    pub(crate) fn set_presence(&self, presence: Presence) {
        self.presence.store(pack_presence(presence), Relaxed);
    }

    pub(crate) fn is_suspect(&self, now_ms: u64) -> bool {
        !self.is_healthy.load(Relaxed) || !self.health.allows_requests(now_ms)
    }

    /// Takes a report; gives back what counted in the mean before.
    pub(crate) fn report(
        &self,
        report: &LoadReport,
        now_ms: u64,
    ) -> Option<Told> {
        let load = pack(report.queued, report.running);
        let speeds = pack(
            clean(report.prompt_tokens_per_s).to_bits(),
            clean(report.output_tokens_per_s).to_bits(),
        );
        let gauges = pack(report.queue_wait_ms, report.cache_used_permille);
        self.load.store(load, Relaxed);
        self.gauges.store(gauges, Relaxed);
        self.speeds.store(speeds, Relaxed);
        self.is_healthy.store(report.is_healthy, Relaxed);
        self.request_change.store(0, Relaxed);
        self.token_change.store(0, Relaxed);
        self.sent.store(0, Relaxed);
        self.reported.store(now_ms + 1, Relaxed);
        Told::unpack(self.told.swap(Told::new(report).pack(), Relaxed))
    }

    /// Takes the server out of the mean; gives back what counted there.
    pub(crate) fn leave_mean(&self) -> Option<Told> {
        Told::unpack(self.told.swap(0, Relaxed))
    }

    pub(crate) fn is_in_mean(&self) -> bool {
        self.told.load(Relaxed) != 0
    }

    /// Takes a server out that the manifest no longer has.
    pub(crate) fn withdraw(&self) -> Option<Told> {
        self.is_withdrawn.store(true, Relaxed);
        self.set_presence(Presence::Absent);
        self.leave_mean()
    }

    pub(crate) fn note_sent(&self, tokens: u32, now_ms: u64) {
        self.request_change.fetch_add(1, Relaxed);
        self.token_change.fetch_add(i64::from(tokens), Relaxed);
        self.sent.fetch_add(1, Relaxed);
        self.in_flight.fetch_add(1, Relaxed);
        self.health.record_sent(now_ms);
    }

    pub(crate) fn note_ended(&self, tokens: u32) {
        self.request_change.fetch_sub(1, Relaxed);
        self.token_change.fetch_sub(i64::from(tokens), Relaxed);
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// A refused request goes, but the load that refused it stays counted
    /// until the next report.
    pub(crate) fn note_refused(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    pub(crate) fn note_answer_ms(&self, total_ms: u32) {
        const SMOOTHING: f32 = 0.1;
        let old = f32::from_bits(self.answer_ms.load(Relaxed));
        let total_ms = (total_ms as f32).max(1.0);
        let new = if old == 0.0 {
            total_ms
        } else {
            old + SMOOTHING * (total_ms - old)
        };
        self.answer_ms.store(new.to_bits(), Relaxed);
    }

    /// Smoothed time of a whole answer; 0 where unknown.
    pub(crate) fn answer_ms(&self) -> f32 {
        f32::from_bits(self.answer_ms.load(Relaxed))
    }

    pub(crate) fn read(&self) -> Reading {
        let load = self.load.load(Relaxed);
        let speeds = self.speeds.load(Relaxed);
        let gauges = self.gauges.load(Relaxed);
        Reading {
            reported_ms: self.reported.load(Relaxed).checked_sub(1),
            reported_requests: requests(load),
            request_change: self.request_change.load(Relaxed),
            token_change: self.token_change.load(Relaxed),
            sent: self.sent.load(Relaxed),
            in_flight: self.in_flight.load(Relaxed).max(0) as u32,
            prompt_tokens_per_s: f32::from_bits(high(speeds)),
            output_tokens_per_s: f32::from_bits(low(speeds)),
            queue_wait_ms: high(gauges),
            cache_used_permille: low(gauges),
        }
    }

    pub(crate) fn record_prefix(&self, prefix: u64) {
        let (slot, mark) = prefix_slot(prefix);
        self.prefixes[slot].store(mark, Relaxed);
    }

    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        let (slot, mark) = prefix_slot(prefix);
        self.prefixes[slot].load(Relaxed) == mark
    }

    pub(crate) fn forget_prefixes(&self) {
        for slot in &self.prefixes {
            slot.store(0, Relaxed);
        }
    }
}

fn pack(high: u32, low: u32) -> u64 {
    (u64::from(high) << 32) | u64::from(low)
}

fn high(packed: u64) -> u32 {
    (packed >> 32) as u32
}

fn low(packed: u64) -> u32 {
    (packed & LOW_HALF) as u32
}

fn requests(load: u64) -> u32 {
    high(load).saturating_add(low(load))
}

/// A speed that is no positive number is unknown.
fn clean(speed: f32) -> f32 {
    if speed.is_finite() && speed > 0.0 { speed } else { 0.0 }
}

fn prefix_slot(prefix: u64) -> (usize, u32) {
    let slot = prefix as usize % PREFIX_SLOTS;
    // 0 marks an empty slot.
    (slot, high(prefix).max(1))
}

const ABSENT: u64 = 0;
const JOINING: u64 = 1;
const SERVING: u64 = 2;
const LEAVING: u64 = 3;
const TAG_BITS: u32 = 2;
const TAG_MASK: u64 = 3;

fn pack_presence(presence: Presence) -> u64 {
    match presence {
        Presence::Absent => ABSENT,
        Presence::Joining { since_ms } => (since_ms << TAG_BITS) | JOINING,
        Presence::Serving => SERVING,
        Presence::Leaving => LEAVING,
    }
}

fn unpack_presence(packed: u64) -> Presence {
    match packed & TAG_MASK {
        ABSENT => Presence::Absent,
        JOINING => Presence::Joining { since_ms: packed >> TAG_BITS },
        SERVING => Presence::Serving,
        _ => Presence::Leaving,
    }
}
