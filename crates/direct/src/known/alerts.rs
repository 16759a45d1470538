//! What this entry has just found of engines, to tell all others at once.

use std::{collections::BTreeMap, sync::Mutex};

use async_channel::{Receiver, Sender};
use chestnutreach_protocol::peers::EngineUse;

/// What is told with the next alert, by the short hash of the engine.
#[derive(Debug)]
pub(crate) struct Alerts {
    pending: Mutex<BTreeMap<u32, EngineUse>>,
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
    /// Tells of an engine with the next alert.
    pub(crate) fn tell(&self, news: EngineUse) {
        let mut pending = self.pending.lock().expect("no holder panics");
        pending.insert(news.engine, news);
        drop(pending);
        // One that is full has a signal on the way.
        let _ = self.sender.try_send(());
    }

    /// Waits until there is something to tell.
    pub(crate) async fn wait(&self) {
        // The sender lives as long as this does.
        let _ = self.receiver.recv().await;
    }

    pub(crate) fn take(&self) -> Vec<EngineUse> {
        let mut pending = self.pending.lock().expect("no holder panics");
        std::mem::take(&mut *pending).into_values().collect()
    }
}

/// A factor as a percentage, as entries tell it.
pub(crate) fn percent(factor: f64) -> u32 {
    (factor * 100.0).round() as u32
}
