//! Whether the store answers a feed, as this entry asks it.

use std::time::Duration;

use chestnutreach_adapter::store::StoreError;
use chestnutreach_telemetry::{Event, emit};

use crate::{clock::now_ms, cluster::feeds::Feed, core::Core};

/// Wait of a call while the store is away: its return should show at once.
const WAIT_WHILE_DOWN: Duration = Duration::from_millis(50);
/// An outage of the store, from which on lapsed entries are kept.
const OUTAGE_MS: u64 = 400;

/// A feed's health, told in the logs when it changes.
pub(crate) struct Health {
    table: &'static str,
    down_since_ms: Option<u64>,
    /// When the store last answered.
    heard_ms: u64,
}

impl Health {
    pub(crate) fn new(table: &'static str) -> Health {
        Health { table, down_since_ms: None, heard_ms: now_ms() }
    }

    pub(crate) fn failed(&mut self, core: &Core, error: &StoreError) {
        if self.down_since_ms.is_some() {
            return;
        }
        // A call without an answer does not show since when the store was
        // away; one that was refused or reset does.
        let since_ms = match error {
            StoreError::NoResponse { is_timeout: true, .. } => self.heard_ms,
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

    pub(crate) fn answered(&mut self, feed: &Feed, row_version: u64) {
        let now_ms = now_ms();
        self.heard_ms = now_ms;
        let Some(since_ms) = self.down_since_ms.take() else {
            return;
        };
        let down_ms = now_ms - since_ms;
        if down_ms >= OUTAGE_MS {
            feed.note_back(now_ms);
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
    pub(crate) fn set_aside(&mut self) {
        self.down_since_ms = None;
        self.heard_ms = now_ms();
    }

    /// How long a call of the feed is to wait at the store.
    pub(crate) fn wait(&self, usual: Duration) -> Duration {
        match self.down_since_ms {
            Some(_) => WAIT_WHILE_DOWN,
            None => usual,
        }
    }
}
