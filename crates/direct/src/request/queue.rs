//! Queues of the streams that wait for a path.
//!
//! [`SearchTurns`] decides which request may search next; this module wakes
//! that request. A request leaves its queue when its [`QueueEntry`] is
//! dropped.

use std::{collections::BTreeMap, sync::Arc};

use async_channel::{Receiver, Sender};
use chestnutreach_routing::{
    Priority, PushErrorReason, SearchTurns, TurnRequest,
};

use crate::{by_name::ByName, clock::now_ms};

/// Maximum number of queued tokens per service: what the engines of the
/// largest deployment prefill and generate within the maximum wait, 1.5 s at
/// 1.4 M tokens/s, if all requests arrive at one entry.
const MAX_QUEUED_TOKENS: u64 = 2_100_000;
/// Highest urgency value, on a scale from 0 to 9, of requests for which a
/// person waits.
const MAX_HIGH_URGENCY: u8 = 1;
/// Highest urgency value of normal priority, the value of requests that state
/// none.
const MAX_NORMAL_URGENCY: u8 = 5;

/// The queues of an entry, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathQueues {
    by_service: Arc<ByName<Queue>>,
}

#[derive(Debug)]
struct Queue {
    turns: SearchTurns,
    signals: BTreeMap<u64, Sender<()>>,
}

/// The load that is queued ahead of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadAhead {
    /// Time for which requests have waited without a break.
    pub(crate) contended_for_ms: u64,
    pub(crate) tokens: u64,
}

/// A queued request and later its search turn; leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct QueueEntry {
    queues: PathQueues,
    service: String,
    key: u64,
    granted: Receiver<()>,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            turns: SearchTurns::new(MAX_QUEUED_TOKENS),
            signals: BTreeMap::new(),
        }
    }
}

impl Queue {
    fn grant(&mut self) {
        for key in self.turns.grant(now_ms()) {
            if let Some(signal) = self.signals.get(&key) {
                // Each key is signalled once, and the channel holds one
                // signal.
                let _ = signal.try_send(());
            }
        }
    }
}

impl PathQueues {
    /// Whether no request waits, so that a request may search without a turn.
    pub(crate) fn is_idle(&self, service: &str) -> bool {
        let is_idle = |queue: &Queue| queue.turns.is_idle();
        self.by_service.read(service, is_idle).unwrap_or(true)
    }

    /// Number of requests that wait for a search turn at a service.
    pub(crate) fn waiting_count(&self, service: &str) -> usize {
        let count = |queue: &Queue| queue.turns.waiting_count();
        self.by_service.read(service, count).unwrap_or(0)
    }

    /// The load queued ahead of a request that joins now.
    pub(crate) fn ahead(
        &self,
        service: &str,
        account: &str,
        tokens: u64,
    ) -> LoadAhead {
        let ahead = |queue: &Queue| LoadAhead {
            contended_for_ms: queue.turns.contended_for_ms(now_ms()),
            tokens: queue.turns.tokens_before(account, tokens),
        };
        self.by_service.read(service, ahead).unwrap_or_default()
    }

    /// Adds a request to the queue of a service.
    ///
    /// # Errors
    ///
    /// The queue, or the account's share of the queue, is full.
    pub(crate) fn try_join(
        &self,
        service: &str,
        request: &TurnRequest<'_>,
    ) -> Result<QueueEntry, PushErrorReason> {
        let (signal, granted) = async_channel::bounded(1);
        let join = |queue: &mut Queue| {
            let key = queue.turns.try_join(request, now_ms())?;
            queue.signals.insert(key, signal);
            queue.grant();
            Ok(key)
        };
        let key = self.by_service.update(service, join)?;
        let service = service.to_owned();
        Ok(QueueEntry { queues: self.clone(), service, key, granted })
    }
}

impl QueueEntry {
    /// Waits for the search turn.
    pub(crate) async fn await_turn(&self) {
        // The sender stays in the queue for as long as this entry.
        let _ = self.granted.recv().await;
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.queues.by_service.update(&self.service, |queue| {
            queue.signals.remove(&self.key);
            queue.turns.leave(self.key);
            queue.grant();
        });
    }
}

/// The priority of an urgency on the platform's scale, where 0 is most urgent.
pub(crate) fn priority_of(urgency: u8) -> Priority {
    match urgency {
        0..=MAX_HIGH_URGENCY => Priority::High,
        _ if urgency <= MAX_NORMAL_URGENCY => Priority::Normal,
        _ => Priority::Low,
    }
}
