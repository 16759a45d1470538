//! Streams that wait for a path, in turns.
//!
//! Who may look next is decided by [`SearchTurns`]; here are the wake-ups. A place
//! in a queue ends when it is dropped, whatever became of its request.

use std::{collections::BTreeMap, sync::Arc};

use async_channel::{Receiver, Sender};
use chestnutreach_routing::{
    Priority, PushErrorReason, SearchTurns, TurnRequest,
};

use crate::{by_service::ByService, clock::now_ms};

/// Tokens that may wait at an entry for a service: what the largest
/// deployment's engines write and read in the longest wait, 1.5 s at
/// 1.4 M tokens/s, all at one entry.
const LIMIT_TOKENS: u64 = 2_100_000;
/// Last value of urgency, from 0 to 9, for which a person waits.
const HIGH_UNTIL: u8 = 1;
/// The value of a request that states none: 5.
const NORMAL_UNTIL: u8 = 5;

/// The queues of an entry, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathQueues {
    by_service: Arc<ByService<Queue>>,
}

#[derive(Debug)]
struct Queue {
    turns: SearchTurns,
    signals: BTreeMap<u64, Sender<()>>,
}

/// What goes before a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Before {
    /// For how long somebody has waited without a break.
    pub(crate) busy_for_ms: u64,
    pub(crate) tokens: u64,
}

/// A place in a queue, and later a turn, until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    queues: PathQueues,
    service: String,
    key: u64,
    granted: Receiver<()>,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            turns: SearchTurns::new(LIMIT_TOKENS),
            signals: BTreeMap::new(),
        }
    }
}

impl Queue {
    fn grant(&mut self) {
        for key in self.turns.grant(now_ms()) {
            if let Some(signal) = self.signals.get(&key) {
                // Sent once for each key, into room for one.
                let _ = signal.try_send(());
            }
        }
    }
}

impl PathQueues {
    /// Whether nobody waits, so that a request may look without a turn.
    pub(crate) fn is_idle(&self, service: &str) -> bool {
        let is_idle = |queue: &Queue| queue.turns.is_idle();
        self.by_service.read(service, is_idle).unwrap_or(true)
    }

    /// How many wait for a turn at a service.
    pub(crate) fn waiting_count(&self, service: &str) -> usize {
        let count = |queue: &Queue| queue.turns.waiting_count();
        self.by_service.read(service, count).unwrap_or(0)
    }

    /// What goes before a request that comes now.
    pub(crate) fn before(
        &self,
        service: &str,
        account: &str,
        tokens: u64,
    ) -> Before {
        let before = |queue: &Queue| Before {
            busy_for_ms: queue.turns.contended_for_ms(now_ms()),
            tokens: queue.turns.tokens_before(account, tokens),
        };
        self.by_service.read(service, before).unwrap_or_default()
    }

    /// Takes a place.
    ///
    /// # Errors
    ///
    /// The queue, or the account's part of it, is full.
    pub(crate) fn try_join(
        &self,
        service: &str,
        need: &TurnRequest<'_>,
    ) -> Result<Place, PushErrorReason> {
        let (signal, granted) = async_channel::bounded(1);
        let join = |queue: &mut Queue| {
            let key = queue.turns.try_join(need, now_ms())?;
            queue.signals.insert(key, signal);
            queue.grant();
            Ok(key)
        };
        let key = self.by_service.update(service, join)?;
        let service = service.to_owned();
        Ok(Place { queues: self.clone(), service, key, granted })
    }
}

impl Place {
    /// Waits for the turn.
    pub(crate) async fn turn(&self) {
        // The sender lives in the queue as long as this does.
        let _ = self.granted.recv().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queues.by_service.update(&self.service, |queue| {
            queue.signals.remove(&self.key);
            queue.turns.leave(self.key);
            queue.grant();
        });
    }
}

/// The priority of an urgency on the platform's scale, 0 first.
pub(crate) fn priority_of(urgency: u8) -> Priority {
    match urgency {
        0..=HIGH_UNTIL => Priority::High,
        _ if urgency <= NORMAL_UNTIL => Priority::Normal,
        _ => Priority::Low,
    }
}
