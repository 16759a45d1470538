//! Whether the store answers a feed, as this entry asks it.

use std::time::Duration;

use chestnutreach_adapter::store::StoreError;
use chestnutreach_telemetry::{Event, emit};

use crate::{clock::now_ms, cluster::feeds::Feed, core::Core};

/// Wait of a call while the store is away: its return should show at once.
const OUTAGE_WAIT: Duration = Duration::from_millis(50);
/// An outage of the store, from which on lapsed entries are kept.
const MIN_OUTAGE_MS: u64 = 400;

/// A feed's health, told in the logs when it changes.
pub(crate) struct StoreHealth {
    table: &'static str,
    down_since_ms: Option<u64>,
    /// When the store last answered.
    last_response_ms: u64,
}

impl StoreHealth {
    pub(crate) fn new(table: &'static str) -> StoreHealth {
        StoreHealth { table, down_since_ms: None, last_response_ms: now_ms() }
    }

    pub(crate) fn record_failure(&mut self, core: &Core, error: &StoreError) {
        if self.down_since_ms.is_some() {
            return;
        }
        // A call without an answer does not show since when the store was
        // away; one that was refused or reset does.
        let since_ms = match error {
            StoreError::Unanswered { is_timeout: true, .. } => {
                self.last_response_ms
            }
            _ => now_ms(),
        };
        self.down_since_ms = Some(since_ms);
        emit(
            Event::FeedLost,
            &[
                ("table", &self.table),
                ("error", error),
                ("confirmed_age_ms", &core.confirmed_age_ms()),
            ],
        );
    }

    pub(crate) fn record_response(&mut self, feed: &Feed, row_version: u64) {
        let now_ms = now_ms();
        self.last_response_ms = now_ms;
        let Some(since_ms) = self.down_since_ms.take() else {
            return;
        };
        let down_ms = now_ms - since_ms;
        if down_ms >= MIN_OUTAGE_MS {
            feed.record_recovery(now_ms);
        }
        emit(
            Event::FeedBack,
            &[
                ("table", &self.table),
                ("down_ms", &down_ms),
                ("row_version", &row_version),
            ],
        );
    }

    /// Another entry has answered in place of the store: from here on a
    /// failure of the store is told anew.
    pub(crate) fn record_peer_response(&mut self) {
        self.down_since_ms = None;
        self.last_response_ms = now_ms();
    }

    /// How long a call of the feed is to wait at the store.
    pub(crate) fn poll_wait(&self, usual: Duration) -> Duration {
        match self.down_since_ms {
            Some(_) => OUTAGE_WAIT,
            None => usual,
        }
    }
}
