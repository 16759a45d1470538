//! Idle connections that detect immediately when an engine's process exits.
//!
//! Engines close idle connections after a second or two, so each connection
//! costs a connect in that time. If every entry watched every engine, 68
//! entries and 130 engines would make 90,000 connects in 48 s. Therefore two
//! entries of its data centre watch each engine and alert all other entries.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_membership::rendezvous;

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, probe},
    core::Core,
};

/// Two, because one entry may be overloaded, partitioned or about to exit.
const WATCHERS_PER_ENGINE: usize = 2;
/// Until this uptime an entry does not know the others, and would assign
/// every engine to itself.
const MIN_UPTIME_MS: u64 = 1_800;
/// Time between checks of which engines are assigned to this entry.
const ASSIGNMENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longer than the timeout of a probe: no request waits for this connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// After a connection shorter than this, the next connect is delayed: an
/// engine with a long queue resets connections that exceed its capacity.
const SHORT_CONNECTION_MS: u64 = 500;
/// Initial delay of that connect; it doubles up to `MAX_DOUBLINGS` times.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);
const MAX_DOUBLINGS: u32 = 4;

/// Boot ids of the live entries, including this entry.
struct LiveEntries {
    by_data_centre: BTreeMap<usize, Vec<u64>>,
    all: Vec<u64>,
}

impl LiveEntries {
    fn new(core: &Core) -> LiveEntries {
        let names = core.settings.data_centres.iter().enumerate();
        let now_ms = now_ms();
        let mut by_data_centre: BTreeMap<usize, Vec<u64>> = names
            .map(|(at, name)| (at, core.peers.live_in(name, now_ms)))
            .collect();
        by_data_centre
            .entry(core.own_data_centre_index())
            .or_default()
            .push(core.boot_id);
        let all = by_data_centre.values().flatten().copied().collect();
        LiveEntries { by_data_centre, all }
    }

    /// Whether this entry is assigned to watch an engine. Candidates are the
    /// entries of the engine's data centre, or all if that has none.
    fn is_assigned(&self, core: &Core, engine: &Engine) -> bool {
        let local_entries = self.by_data_centre.get(&engine.data_centre);
        let entries =
            local_entries.filter(|e| !e.is_empty()).unwrap_or(&self.all);
        entries.contains(&core.boot_id)
            && rendezvous::is_assigned(
                core.boot_id,
                entries.iter().copied(),
                engine.hash.into(),
                WATCHERS_PER_ENGINE,
            )
    }
}

/// Watches the engines assigned to this entry, until the process exits.
pub(crate) async fn run(core: Arc<Core>) {
    loop {
        Timer::after(ASSIGNMENT_CHECK_INTERVAL).await;
        if core.age_ms() < MIN_UPTIME_MS {
            continue;
        }
        let entries = LiveEntries::new(&core);
        for engine in core.fleet.all() {
            if is_watchable(&core, &engine)
                && entries.is_assigned(&core, &engine)
                && !engine.is_watched.swap(true, Relaxed)
            {
                let watch = watch(core.clone(), engine);
                core.executor.spawn(watch).detach();
            }
        }
    }
}

/// Whether an engine may be watched. If a row names no configured service, its
/// address may belong to any host, to which the entry must not connect.
fn is_watchable(core: &Core, engine: &Engine) -> bool {
    let state = engine.lock();
    let is_model_engine = state.row.kind.is_some();
    is_model_engine && !state.is_removed && core.has_service(&engine.service)
}

async fn watch(core: Arc<Core>, engine: Arc<Engine>) {
    let mut short_lived = 0;
    while is_watchable(&core, &engine)
        && LiveEntries::new(&core).is_assigned(&core, &engine)
    {
        let started_ms = now_ms();
        match probe::connect_once(&engine, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                probe::record_connected(&core, &engine);
                connection.idle_ended().await;
                // The idle timeout, the exit of the process, or bytes that
                // belong to no response ended the connection; the next
                // connect tells whether the process runs.
            }
            Err(e) => probe::record_unreachable(&core, &engine, &e),
        }
        if now_ms() - started_ms >= SHORT_CONNECTION_MS {
            short_lived = 0;
            continue;
        }
        short_lived += 1;
        let doublings = (short_lived - 1).min(MAX_DOUBLINGS);
        // The first reconnect is immediate: the process may have exited just
        // after the connect.
        if short_lived > 1 {
            Timer::after(RECONNECT_PAUSE * (1 << doublings)).await;
        }
    }
    engine.is_watched.store(false, Relaxed);
}
