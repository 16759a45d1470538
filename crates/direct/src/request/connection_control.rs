//! Leaves new connections to other entries while this one is overloaded.
//!
//! [`chestnutreach_routing::connection_limit`] makes the decisions. This
//! module observes the lateness of timers and the bytes that are sent.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_routing::{
    ConnectionLimit, LoadSample, connection_limit::SAMPLE_INTERVAL_MS,
};
use chestnutreach_telemetry::{Event, emit};

use crate::{clock::now_ms, core::Core};

/// Minimum interval between two log lines.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Limit on new connections, and what it is based on.
#[derive(Debug, Default)]
pub(crate) struct ConnectionControl {
    limit: Mutex<ConnectionLimit>,
    /// Bytes of streams sent to callers since the last sample.
    sent_bytes: AtomicU64,
    /// Connections left to other entries since the last log line.
    unlogged: AtomicU64,
}

impl ConnectionControl {
    fn lock(&self) -> MutexGuard<'_, ConnectionLimit> {
        self.limit.lock().expect("no holder panics")
    }

    /// Records bytes of a stream that were sent to a caller.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
    }

    /// The limit on concurrent requests, if there is one.
    pub(crate) fn limit(&self) -> Option<usize> {
        self.lock().limit()
    }
}

/// Whether a new connection is served here, and not left to another entry.
pub(crate) fn try_accept(core: &Core) -> bool {
    let control = &core.connections;
    let in_flight = core.stop.in_flight();
    let is_accepted = control.lock().try_accept(in_flight);
    if !is_accepted {
        control.unlogged.fetch_add(1, Relaxed);
        core.metrics.connections_left.inc();
    }
    is_accepted
}

/// Samples the load of this entry until it exits.
pub(crate) async fn run(core: Arc<Core>) {
    let interval = Duration::from_millis(SAMPLE_INTERVAL_MS);
    let mut logged_ms = 0;
    let (mut unread, mut unread_logged_ms) = (0, 0);
    loop {
        let due_at = Instant::now() + interval;
        Timer::at(due_at).await;
        let lag = due_at.elapsed();
        let elapsed = interval + lag;
        let sample = sample(&core, lag, elapsed);
        let now_ms = now_ms();
        core.connections.lock().record(&sample, now_ms);
        let held_bytes = core.fleet.response_memory.held_bytes();
        core.metrics.response_memory_bytes.set(held_bytes as i64);
        let held_bytes = core.fleet.request_memory.held_bytes();
        core.metrics.request_memory_bytes.set(held_bytes as i64);
        let count = core.metrics.requests_unread.get() - unread;
        if count > 0 && now_ms >= unread_logged_ms + LOG_INTERVAL_MS {
            (unread, unread_logged_ms) = (unread + count, now_ms);
            emit(
                Event::RequestMemoryFull,
                &[("held_bytes", &held_bytes), ("count", &count)],
            );
        }
        if now_ms >= logged_ms + LOG_INTERVAL_MS {
            log_left(&core, &sample, &mut logged_ms, now_ms);
        }
    }
}

fn sample(core: &Core, lag: Duration, elapsed: Duration) -> LoadSample {
    let control = &core.connections;
    let sent_bytes = control.sent_bytes.swap(0, Relaxed) as f64;
    let sent_mbps = sent_bytes * 8.0 / 1e6 / elapsed.as_secs_f64();
    let link_mbps = core.settings.link_mbps;
    let mut sample = LoadSample {
        lag_ms: lag.as_millis() as u64,
        link_share: link_mbps.map_or(0.0, |mbps| sent_mbps / mbps),
        in_flight: core.stop.in_flight(),
        ..LoadSample::default()
    };
    if sample.is_overloaded() {
        let own = core.sent_by_service();
        let own = own.iter().map(|(_, sent)| f64::from(sent.requests));
        sample.own_requests = own.sum();
        sample.mean_of_others = core.peers.mean_requests();
    }
    sample
}

fn log_left(
    core: &Core,
    sample: &LoadSample,
    logged_ms: &mut u64,
    now_ms: u64,
) {
    let count = core.connections.unlogged.swap(0, Relaxed);
    if count == 0 {
        return;
    }
    *logged_ms = now_ms;
    let limit = core.connections.limit();
    emit(
        Event::ConnectionsLeft,
        &[
            ("count", &count),
            ("limit", &limit.map_or_else(String::new, |l| l.to_string())),
            ("in_flight", &sample.in_flight),
            ("lag_ms", &sample.lag_ms),
            ("link_percent", &((sample.link_share * 1e2) as u64)),
        ],
    );
}
