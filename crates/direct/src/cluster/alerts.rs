//! What this entry has just found, to tell all others at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
};

use async_channel::{Receiver, Sender};
use chestnutreach_protocol::peers::{EngineNotice, EngineUse, RequestTrial};
use chestnutreach_routing::Fingerprint;

use crate::{clock::now_ms, cluster::permits, core::Core};

/// What is told with the next alert.
#[derive(Debug, Default)]
pub(crate) struct PendingAlert {
    /// Engines, by their short hash.
    pub(crate) engines: BTreeMap<u32, EngineUse>,
    /// Requests of which something is new.
    pub(crate) suspects: BTreeSet<Fingerprint>,
    /// Trials that began at an engine, or ended.
    trials: BTreeMap<Fingerprint, Option<u32>>,
    /// Engines that said something new of themselves, by their short hash.
    notices: BTreeSet<u32>,
}

impl PendingAlert {
    /// The trials as they are told.
    pub(crate) fn trials(&self) -> Vec<RequestTrial> {
        let trial =
            |(of, engine): (&Fingerprint, &Option<u32>)| RequestTrial {
                fingerprint: of.0,
                engine: engine.unwrap_or_default(),
            };
        self.trials.iter().map(trial).collect()
    }

    /// What engines said, as it is told.
    pub(crate) fn notices(&self, core: &Core) -> Vec<EngineNotice> {
        let (listed, now_ms) = (core.fleet.index(), now_ms());
        let news =
            |hash| permits::peer_notice(listed.by_hash.get(hash)?, now_ms);
        self.notices.iter().filter_map(news).collect()
    }
}

/// What waits for the next alert.
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
        // One that is full has a signal on the way.
        let _ = self.sender.try_send(());
    }

    /// Tells of an engine with the next alert.
    pub(crate) fn queue_engine(&self, news: EngineUse) {
        self.lock().engines.insert(news.engine, news);
        self.wake();
    }

    /// Tells of a request under which engines crashed.
    pub(crate) fn queue_suspect(&self, request: Fingerprint) {
        self.lock().suspects.insert(request);
        self.wake();
    }

    /// Tells that a request is on trial at an engine, or no longer.
    pub(crate) fn queue_trial(&self, of: Fingerprint, engine: Option<u32>) {
        self.lock().trials.insert(of, engine);
        self.wake();
    }

    /// Tells of what an engine said of itself.
    pub(crate) fn queue_notice(&self, engine: u32) {
        self.lock().notices.insert(engine);
        self.wake();
    }

    /// Waits until there is something to tell.
    pub(crate) async fn wait(&self) {
        // The sender lives as long as this does.
        let _ = self.receiver.recv().await;
    }

    pub(crate) fn take(&self) -> PendingAlert {
        std::mem::take(&mut *self.lock())
    }
}

/// A factor as a percentage, as entries tell it.
pub(crate) fn percent(factor: f64) -> u32 {
    (factor * 100.0).round() as u32
}
