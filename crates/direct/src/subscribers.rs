//! Waking whoever waits for something that has changed.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use async_channel::{Receiver, Sender};

/// Those that wait, such as the streams of an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscribers {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    next: AtomicU64,
    nudges: Mutex<BTreeMap<u64, Sender<()>>>,
}

/// One among them, until it is dropped.
#[derive(Debug)]
pub(crate) struct Subscription {
    key: u64,
    shared: Arc<Shared>,
    nudged: Receiver<()>,
}

impl Subscribers {
    pub(crate) fn subscribe(&self) -> Subscription {
        let (sender, nudged) = async_channel::bounded(1);
        let key = self.shared.next.fetch_add(1, Relaxed);
        self.nudges().insert(key, sender);
        Subscription { key, shared: self.shared.clone(), nudged }
    }

    /// Has all of them look again.
    pub(crate) fn notify_all(&self) {
        for sender in self.nudges().values() {
            // One that is full has been nudged and not looked yet.
            let _ = sender.try_send(());
        }
    }

    fn nudges(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Sender<()>>> {
        self.shared.nudges.lock().expect("no holder panics")
    }
}

impl Subscription {
    pub(crate) async fn notified(&self) {
        // The sender lives in the list as long as this does.
        let _ = self.nudged.recv().await;
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        let mut nudges = self.shared.nudges.lock().expect("no holder panics");
        nudges.remove(&self.key);
    }
}
