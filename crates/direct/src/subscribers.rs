//! Wakes tasks that wait for a change.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use async_channel::{Receiver, Sender};

/// The subscribed tasks, such as the streams of an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscribers {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    next_key: AtomicU64,
    senders: Mutex<BTreeMap<u64, Sender<()>>>,
}

/// The subscription of one task, which ends when dropped.
#[derive(Debug)]
pub(crate) struct Subscription {
    key: u64,
    shared: Arc<Shared>,
    receiver: Receiver<()>,
}

impl Subscribers {
    pub(crate) fn subscribe(&self) -> Subscription {
        let (sender, receiver) = async_channel::bounded(1);
        let key = self.shared.next_key.fetch_add(1, Relaxed);
        self.senders().insert(key, sender);
        Subscription { key, shared: self.shared.clone(), receiver }
    }

    /// Wakes all subscribed tasks.
    pub(crate) fn notify_all(&self) {
        for sender in self.senders().values() {
            // A full channel holds a notification that is not consumed yet.
            let _ = sender.try_send(());
        }
    }

    fn senders(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Sender<()>>> {
        self.shared.senders.lock().expect("no holder panics")
    }
}

impl Subscription {
    pub(crate) async fn notified(&self) {
        // The sender stays registered for as long as this subscription.
        let _ = self.receiver.recv().await;
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        let mut senders =
            self.shared.senders.lock().expect("no holder panics");
        senders.remove(&self.key);
    }
}
