//! Rows of a table that another entry sends.

use std::time::Duration;

use chestnutreach_adapter::store::Rows;
use chestnutreach_site::StoreVersion;

use crate::cluster::{
    feed_server::{FeedClient, FetchError, FetchedFeed},
    feeds::{Feed, RowForm, STALE_MS, UnknownRow},
};

/// Rows that another entry sent.
pub(crate) struct ReceivedRows {
    pub(crate) rows: Rows,
    /// Length of the response.
    pub(crate) bytes: usize,
    pub(crate) is_full_table: bool,
    /// Whether the store has not confirmed the rows recently.
    pub(crate) is_stale: bool,
    /// When the store confirmed the rows.
    pub(crate) confirmed_ms: u64,
    /// When the store was available again after its last outage.
    pub(crate) recovered_ms: Option<u64>,
    /// Time for which the other entry waited for a change.
    pub(crate) waited_ms: u64,
}

/// A poll of a table at another entry.
#[derive(Clone, Copy)]
pub(crate) struct PeerPoll<'a> {
    pub(crate) client: &'a FeedClient,
    /// Copy that the rows are for.
    pub(crate) feed: &'a Feed,
    /// Version up to which the copy is complete.
    pub(crate) after: Option<StoreVersion>,
    /// Limit on the wait for a change.
    pub(crate) wait: Duration,
    /// Limit on the time until the response begins.
    pub(crate) timeout: Duration,
}

impl PeerPoll<'_> {
    /// Receives rows, all with their values if those of a short response refer
    /// to a version that the copy does not have.
    pub(crate) async fn receive(&self) -> Result<ReceivedRows, FetchError> {
        let fetched = self.fetch(RowForm::Short).await?;
        if let Ok(received) = self.try_into_received(fetched) {
            return Ok(received);
        }
        let fetched = self.fetch(RowForm::Compressed).await?;
        self.try_into_received(fetched).map_err(FetchError::UnknownRow)
    }

    async fn fetch(&self, form: RowForm) -> Result<FetchedFeed, FetchError> {
        let PeerPoll { client, feed, after, wait, timeout } = *self;
        client.fetch(feed.table, after, form, wait, timeout).await
    }

    fn try_into_received(
        &self,
        fetched: FetchedFeed,
    ) -> Result<ReceivedRows, UnknownRow> {
        let (created_ms, answer) = (fetched.created_ms, fetched.answer);
        let time_of = |age_ms: u64| created_ms.saturating_sub(age_ms);
        Ok(ReceivedRows {
            bytes: fetched.bytes,
            is_full_table: answer.is_whole,
            is_stale: answer.is_failing || answer.confirmed_age_ms > STALE_MS,
            confirmed_ms: time_of(answer.confirmed_age_ms),
            recovered_ms: answer.back_age_ms.map(time_of),
            waited_ms: answer.waited_ms,
            rows: self.feed.try_into_rows(answer)?,
        })
    }
}
