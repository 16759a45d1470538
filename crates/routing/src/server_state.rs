//! Current state of one backend server, held in atomics.
//!
//! The fields are written separately, so a reader may see parts of two
//! reports. One choice then uses a wrong cost, which the server's side process
//! corrects. A lock would slow down every choice.

use std::sync::atomic::{
    AtomicBool, AtomicI32, AtomicI64, AtomicU32, AtomicU64, Ordering::Relaxed,
};

use crate::{
    circuit_breaker::CircuitBreaker,
    load_report::{LoadReport, Presence},
};

/// Cached prefixes that are tracked per server; newer ones overwrite older
/// ones.
const PREFIX_SLOTS: usize = 64;
const LOW_HALF: u64 = 0xffff_ffff;

/// State of one backend server, shared between manifest generations.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) circuit: CircuitBreaker,
    presence: AtomicU64,
    /// Time of the last report plus 1; 0 without a report.
    last_report: AtomicU64,
    /// Packed [`ReportedLoad`] that counts in the fleet mean; 0 for none.
    counted_load: AtomicU64,
    /// Queued and running requests of the last report.
    load: AtomicU64,
    /// Bits of the prefill and output speeds of the last report.
    speeds: AtomicU64,
    /// Queue wait and cache usage of the last report.
    gauges: AtomicU64,
    is_healthy: AtomicBool,
    pub(crate) is_withdrawn: AtomicBool,
    /// Requests sent minus requests ended since the last report.
    request_delta: AtomicI32,
    token_delta: AtomicI64,
    /// Requests sent since the last report.
    sent_since_report: AtomicU32,
    /// Requests of this process that have not ended.
    in_flight: AtomicI32,
    /// Bits of the smoothed response time.
    response_ms: AtomicU32,
    prefixes: [AtomicU32; PREFIX_SLOTS],
}

/// Values of a [`ServerState`] at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSnapshot {
    /// Time of the last report.
    pub(crate) reported_ms: Option<u64>,
    pub(crate) reported_requests: u32,
    pub(crate) request_delta: i32,
    pub(crate) token_delta: i64,
    pub(crate) sent_since_report: u32,
    pub(crate) in_flight: u32,
    /// 0 if unknown, as is the output speed.
    pub(crate) prompt_tokens_per_s: f32,
    pub(crate) output_tokens_per_s: f32,
    pub(crate) queue_wait_ms: u32,
    pub(crate) cache_used_permille: u32,
}

/// Values of a report that count in the fleet mean. They are swapped as one
/// word, so that exactly the added values are subtracted later.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) requests: u32,
    pub(crate) wait_ms: u32,
}

impl ReportedLoad {
    pub(crate) fn new(report: &LoadReport) -> ReportedLoad {
        let requests = report.running.saturating_add(report.queued);
        // `pack` adds 1, because 0 stands for no report.
        let requests = requests.min(u32::MAX - 1);
        ReportedLoad { requests, wait_ms: report.queue_wait_ms }
    }

    fn pack(self) -> u64 {
        pack(self.requests + 1, self.wait_ms)
    }

    fn unpack(packed: u64) -> Option<ReportedLoad> {
        let requests = high(packed).checked_sub(1)?;
        Some(ReportedLoad { requests, wait_ms: low(packed) })
    }
}

impl ServerState {
    pub(crate) fn new() -> ServerState {
        ServerState {
            circuit: CircuitBreaker::new(),
            presence: AtomicU64::new(pack_presence(Presence::Absent)),
            last_report: AtomicU64::new(0),
            counted_load: AtomicU64::new(0),
            load: AtomicU64::new(0),
            speeds: AtomicU64::new(0),
            gauges: AtomicU64::new(0),
            is_healthy: AtomicBool::new(true),
            is_withdrawn: AtomicBool::new(false),
            request_delta: AtomicI32::new(0),
            token_delta: AtomicI64::new(0),
            sent_since_report: AtomicU32::new(0),
            in_flight: AtomicI32::new(0),
            response_ms: AtomicU32::new(0),
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
        !self.is_healthy.load(Relaxed) || !self.circuit.allows_requests(now_ms)
    }

    /// Stores a report and returns the previous contribution to the mean.
    pub(crate) fn record_report(
        &self,
        report: &LoadReport,
        now_ms: u64,
    ) -> Option<ReportedLoad> {
        let load = pack(report.queued, report.running);
        let speeds = pack(
            valid_or_zero(report.prompt_tokens_per_s).to_bits(),
            valid_or_zero(report.output_tokens_per_s).to_bits(),
        );
        let gauges = pack(report.queue_wait_ms, report.cache_used_permille);
        self.load.store(load, Relaxed);
        self.gauges.store(gauges, Relaxed);
        self.speeds.store(speeds, Relaxed);
        self.is_healthy.store(report.is_healthy, Relaxed);
        self.request_delta.store(0, Relaxed);
        self.token_delta.store(0, Relaxed);
        self.sent_since_report.store(0, Relaxed);
        self.last_report.store(now_ms + 1, Relaxed);
        ReportedLoad::unpack(
            self.counted_load.swap(ReportedLoad::new(report).pack(), Relaxed),
        )
    }

    /// Removes the server from the mean and returns its contribution.
    pub(crate) fn remove_from_mean(&self) -> Option<ReportedLoad> {
        ReportedLoad::unpack(self.counted_load.swap(0, Relaxed))
    }

    pub(crate) fn is_in_mean(&self) -> bool {
        self.counted_load.load(Relaxed) != 0
    }

    /// Marks a server that the manifest no longer lists, and returns its
    /// contribution to the mean.
    pub(crate) fn withdraw(&self) -> Option<ReportedLoad> {
        self.is_withdrawn.store(true, Relaxed);
        self.set_presence(Presence::Absent);
        self.remove_from_mean()
    }

    pub(crate) fn record_sent(&self, tokens: u32, now_ms: u64) {
        self.request_delta.fetch_add(1, Relaxed);
        self.token_delta.fetch_add(i64::from(tokens), Relaxed);
        self.sent_since_report.fetch_add(1, Relaxed);
        self.in_flight.fetch_add(1, Relaxed);
        self.circuit.record_sent(now_ms);
    }

    pub(crate) fn record_ended(&self, tokens: u32) {
        self.request_delta.fetch_sub(1, Relaxed);
        self.token_delta.fetch_sub(i64::from(tokens), Relaxed);
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Removes a refused request from those in flight. The request still
    /// counts as load until the next report, because the server is full.
    pub(crate) fn record_refused(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    pub(crate) fn record_response_ms(&self, total_ms: u32) {
        const SMOOTHING: f32 = 0.1;
        let old = f32::from_bits(self.response_ms.load(Relaxed));
        let total_ms = (total_ms as f32).max(1.0);
        let new = if old == 0.0 {
            total_ms
        } else {
            old + SMOOTHING * (total_ms - old)
        };
        self.response_ms.store(new.to_bits(), Relaxed);
    }

    /// Smoothed response time; 0 if unknown.
    pub(crate) fn response_ms(&self) -> f32 {
        f32::from_bits(self.response_ms.load(Relaxed))
    }

    pub(crate) fn snapshot(&self) -> ServerSnapshot {
        let load = self.load.load(Relaxed);
        let speeds = self.speeds.load(Relaxed);
        let gauges = self.gauges.load(Relaxed);
        ServerSnapshot {
            reported_ms: self.last_report.load(Relaxed).checked_sub(1),
            reported_requests: request_count(load),
            request_delta: self.request_delta.load(Relaxed),
            token_delta: self.token_delta.load(Relaxed),
            sent_since_report: self.sent_since_report.load(Relaxed),
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

fn request_count(load: u64) -> u32 {
    high(load).saturating_add(low(load))
}

/// Returns 0 (unknown) for a speed that is not positive and finite.
fn valid_or_zero(speed: f32) -> f32 {
    if speed.is_finite() && speed > 0.0 { speed } else { 0.0 }
}

fn prefix_slot(prefix: u64) -> (usize, u32) {
    let slot = prefix as usize % PREFIX_SLOTS;
    // 0 stands for an empty slot.
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
