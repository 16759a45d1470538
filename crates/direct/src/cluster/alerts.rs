//! Findings that this entry sends to all other entries without delay.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
};

use async_channel::{Receiver, Sender};
use chestnutreach_protocol::peers::{EngineNotice, EngineUse, RequestTrial};
use chestnutreach_routing::Fingerprint;

use crate::{clock::now_ms, cluster::permits, core::Core};

/// Suspects in one alert, which must fit into a datagram.
const MAX_SUSPECTS: usize = 32;

/// Content of the next alert.
#[derive(Debug, Default)]
pub(crate) struct PendingAlert {
    /// Updates of engines, by short hash.
    pub(crate) engines: BTreeMap<u32, EngineUse>,
    /// Suspect requests with a change.
    pub(crate) suspects: BTreeSet<Fingerprint>,
    /// Trials that began at the engine with this hash, or ended (`None`).
    trials: BTreeMap<Fingerprint, Option<u32>>,
    /// Engines with a new notice, by short hash.
    notices: BTreeSet<u32>,
}

impl PendingAlert {
    /// The trials as messages.
    pub(crate) fn trials(&self) -> Vec<RequestTrial> {
        let trial =
            |(request, engine): (&Fingerprint, &Option<u32>)| RequestTrial {
                fingerprint: request.0,
                engine: engine.unwrap_or_default(),
            };
        self.trials.iter().map(trial).collect()
    }

    /// The notices of engines as messages.
    pub(crate) fn notices(&self, core: &Core) -> Vec<EngineNotice> {
        let (index, now_ms) = (core.fleet.index(), now_ms());
        let notice =
            |hash| permits::peer_notice(index.by_hash.get(hash)?, now_ms);
        self.notices.iter().filter_map(notice).collect()
    }
}

/// Collects findings and wakes the task that sends alerts.
#[derive(Debug)]
pub(crate) struct Alerts {
    pending: Mutex<PendingAlert>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Alerts {
    fn default() -> Alerts {
        let (sender, receiver) = async_channel::bounded(1);
        Alerts { pending: Mutex::default(), sender, receiver }
    }
}

impl Alerts {
    fn lock(&self) -> MutexGuard<'_, PendingAlert> {
        self.pending.lock().expect("no holder panics")
    }

    fn wake(&self) {
        // If the channel is full, a signal is already pending.
        let _ = self.sender.try_send(());
    }

    /// Queues an update of an engine for the next alert.
    pub(crate) fn queue_engine(&self, update: EngineUse) {
        self.lock().engines.insert(update.engine, update);
        self.wake();
    }

    /// Queues a request under which engines crashed.
    pub(crate) fn queue_suspect(&self, request: Fingerprint) {
        self.lock().suspects.insert(request);
        self.wake();
    }

    /// Queues the start of a trial at an engine, or the end of one (`None`).
    pub(crate) fn queue_trial(
        &self,
        request: Fingerprint,
        engine: Option<u32>,
    ) {
        self.lock().trials.insert(request, engine);
        self.wake();
    }

    /// Queues the current notice of an engine.
    pub(crate) fn queue_notice(&self, engine: u32) {
        self.lock().notices.insert(engine);
        self.wake();
    }

    /// Waits until something is queued.
    pub(crate) async fn wait(&self) {
        // This never fails: `self` owns the sender.
        let _ = self.receiver.recv().await;
    }

    /// Takes what fits into one alert; the rest stays queued.
    pub(crate) fn take(&self) -> PendingAlert {
        let mut pending = self.lock();
        let mut taken = std::mem::take(&mut *pending);
        let rest = taken.suspects.iter().nth(MAX_SUSPECTS).copied();
        if let Some(first) = rest {
            pending.suspects = taken.suspects.split_off(&first);
            self.wake();
        }
        taken
    }
}

/// Converts a factor to the percentage used in messages.
pub(crate) fn percent(factor: f64) -> u32 {
    (factor * 100.0).round() as u32
}
