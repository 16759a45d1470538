//! Availability of the store, as observed by the polls of one feed.

use std::time::Duration;

use chestnutreach_adapter::store::StoreError;
use chestnutreach_site::StoreVersion;
use chestnutreach_telemetry::{Event, emit};

use crate::{clock::now_ms, cluster::feeds::Feed, core::Core};

/// Wait of a poll while the store is unavailable; short, so that a recovery
/// shows immediately.
const OUTAGE_WAIT: Duration = Duration::from_millis(50);
/// Minimum outage of the store after which lapsed rows are kept for a while.
const MIN_OUTAGE_MS: u64 = 400;

/// Whether the store responds to a feed; logs each change.
pub(crate) struct StoreHealth {
    table: &'static str,
    down_since_ms: Option<u64>,
    /// When the store, or a peer in place of the store, last responded.
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
        // A refused or reset call fails at once. After a timeout, the store
        // may have been unavailable since its last response.
        let since_ms = match error {
            StoreError::NoResponse { is_timeout: true, .. } => {
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

    pub(crate) fn record_response(
        &mut self,
        feed: &Feed,
        version: StoreVersion,
    ) {
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
                ("row_version", &version.number()),
            ],
        );
    }

    /// Records a response of another entry in place of the store. The next
    /// failure of the store is logged again.
    pub(crate) fn record_peer_response(&mut self) {
        self.down_since_ms = None;
        self.last_response_ms = now_ms();
    }

    /// How long the next poll is to wait at the store.
    pub(crate) fn poll_wait(&self, default_wait: Duration) -> Duration {
        match self.down_since_ms {
            Some(_) => OUTAGE_WAIT,
            None => default_wait,
        }
    }
}
