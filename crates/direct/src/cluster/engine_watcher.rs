//! Idle connections that show at once when the process of an engine ends.
//!
//! Engines end idle connections after a while, so each one costs a dial a
//! second or two. If every entry held one to every engine, 68 entries before
//! 130 engines would make 90,000 dials in 48 s; so two entries of its data
//! centre watch an engine, and tell all others what they find.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_http::relay::Outbound;
use chestnutreach_membership::rendezvous;

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, probe},
    core::Core,
};

/// Entries that watch an engine: one may be busy, cut off or about to end.
const WATCHERS: usize = 2;
/// An entry that has just started does not know the others yet, and would
/// watch all engines.
const LEAST_AGE_MS: u64 = 1_800;
/// Time between looks at whose duty an engine is.
const LOOK: Duration = Duration::from_millis(500);
/// Time for a dial, which is in no hurry.
const DIAL: Duration = Duration::from_millis(300);
/// A connection that ends sooner makes the next dial wait longer: an engine
/// with a long queue resets those that it has no room for.
const LIVES_MS: u64 = 500;
/// Pause before the next dial then, and most doublings of it.
const REDIAL: Duration = Duration::from_millis(300);
const MAX_DOUBLINGS: u32 = 4;

/// The live entries of each data centre, by its index.
struct Around {
    here: BTreeMap<usize, Vec<u64>>,
    all: Vec<u64>,
}

impl Around {
    fn new(core: &Core) -> Around {
        let names = core.settings.data_centres.iter().enumerate();
        let now_ms = now_ms();
        let mut here: BTreeMap<usize, Vec<u64>> = names
            .map(|(at, name)| (at, core.peers.live_in(name, now_ms)))
            .collect();
        here.entry(core.own_data_centre_index())
            .or_default()
            .push(core.boot_id);
        let all = here.values().flatten().copied().collect();
        Around { here, all }
    }

    /// Whether an engine is this entry's to watch: one of its data centre,
    /// or of one that has no entry.
    fn is_own(&self, core: &Core, engine: &Engine) -> bool {
        let here = self.here.get(&engine.data_centre);
        let entries = here.filter(|h| !h.is_empty()).unwrap_or(&self.all);
        entries.contains(&core.boot_id)
            && rendezvous::is_assigned(
                core.boot_id,
                entries.iter().copied(),
                engine.hash.into(),
                WATCHERS,
            )
    }
}

/// Watches the engines that are this entry's, until the process ends.
pub(crate) async fn run(core: Arc<Core>) {
    loop {
        Timer::after(LOOK).await;
        if core.age_ms() < LEAST_AGE_MS {
            continue;
        }
        let around = Around::new(&core);
        for engine in core.fleet.all() {
            if is_watchable(&core, &engine)
                && around.is_own(&core, &engine)
                && !engine.is_watched.swap(true, Relaxed)
            {
                let watch = watch(core.clone(), engine);
                core.executor.spawn(watch).detach();
            }
        }
    }
}

/// Who serves nothing that is configured may be anybody's address.
fn is_watchable(core: &Core, engine: &Engine) -> bool {
    let state = engine.lock();
    let is_model_engine = state.row.kind.is_some();
    is_model_engine && !state.is_removed && core.has_service(&engine.service)
}

async fn watch(core: Arc<Core>, engine: Arc<Engine>) {
    let mut short_lived = 0;
    while is_watchable(&core, &engine)
        && Around::new(&core).is_own(&core, &engine)
    {
        let since_ms = now_ms();
        match Outbound::connect(engine.address, DIAL).await {
            Ok(connection) => {
                probe::clear(&core, &engine);
                connection.closed().await;
                // Idle for long, or its process has ended: the next dial
                // shows.
            }
            Err(e) => probe::record_unreachable(&core, &engine, &e),
        }
        if now_ms() - since_ms >= LIVES_MS {
            short_lived = 0;
            continue;
        }
        short_lived += 1;
        let doublings = (short_lived - 1).min(MAX_DOUBLINGS);
        // The first time at once: it may have ended just after the dial.
        if short_lived > 1 {
            Timer::after(REDIAL * (1 << doublings)).await;
        }
    }
    engine.is_watched.store(false, Relaxed);
}
