//! Rows of the store about requests that crash backend servers.
//!
//! What entries know of such requests is in their memory, and they tell each
//! other. If all processes end at the same moment, only the store has it. A
//! process reads the table when it starts. The entry that sees a crash writes
//! the row of a request with several crashes; each entry that wrote or read a
//! row deletes it once the crashes no longer count.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use chestnutreach_adapter::store::{Row, StoreError};
use chestnutreach_protocol::peers::SuspectRequest;
use chestnutreach_routing::{Fingerprint, quarantine::MAX_SUSPECTS};
use chestnutreach_site::tables::SUSPECTS;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{cluster::suspects, core::Core};

const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before another attempt after a failure of the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time in which entries that see a crash at the same moment tell each other.
const COLLECTION_PAUSE: Duration = Duration::from_millis(50);
/// Interval between checks for rows of requests that are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Limit on requests whose rows wait to be written.
const MAX_QUEUED: usize = 256;
/// Calls of the store between two pauses.
const MAX_CALLS: usize = 8;

/// Requests whose rows may have to change.
#[derive(Debug)]
pub(crate) struct SuspectRows {
    sender: Sender<Fingerprint>,
    receiver: Receiver<Fingerprint>,
}

impl Default for SuspectRows {
    fn default() -> SuspectRows {
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED);
        SuspectRows { sender, receiver }
    }
}

impl SuspectRows {
    /// Queues a request. If the queue is full, the row changes with the next
    /// crash.
    pub(crate) fn queue(&self, request: Fingerprint) {
        let _ = self.sender.try_send(request);
    }

    /// Waits for a request for at most an interval.
    async fn next(&self, limit: Duration) -> Option<Fingerprint> {
        let queued = async { self.receiver.recv().await.ok() };
        let limit = async {
            Timer::after(limit).await;
            None
        };
        queued.or(limit).await
    }
}

/// Reads the table, and keeps its rows until the process exits.
pub(crate) async fn run(core: Arc<Core>) {
    let stored = read_at_start(&core).await;
    let keeper = Keeper { core, stored, due: BTreeSet::new() };
    keeper.run().await;
}

/// Applies the rows; returns the requests that they name.
async fn read_at_start(core: &Core) -> BTreeSet<Fingerprint> {
    loop {
        match core.store.read_table(SUSPECTS, STORE_TIMEOUT).await {
            Ok(rows) => return apply(core, &rows.rows),
            Err(error) => log_failure("", &error),
        }
        Timer::after(STORE_RETRY_PAUSE).await;
    }
}

fn apply(core: &Core, rows: &[Row]) -> BTreeSet<Fingerprint> {
    let parsed = rows.iter().filter_map(parse).take(MAX_SUSPECTS);
    let mut stored = BTreeSet::new();
    for suspect in parsed {
        suspects::apply_row(core, &suspect);
        stored.insert(Fingerprint(suspect.fingerprint));
    }
    emit(
        Event::SuspectsRead,
        &[("rows", &stored.len()), ("unusable", &(rows.len() - stored.len()))],
    );
    stored
}

/// The content of a row; `None` if another writer stored it.
fn parse(row: &Row) -> Option<SuspectRequest> {
    let key: Fingerprint = row.key.parse().ok()?;
    let suspect = SuspectRequest::decode(&*row.value).ok()?;
    (suspect.fingerprint == key.0).then_some(suspect)
}

/// Writes and deletes the rows of this entry.
struct Keeper {
    core: Arc<Core>,
    /// Requests whose rows this process wrote or read.
    stored: BTreeSet<Fingerprint>,
    /// Requests whose rows may have to change.
    due: BTreeSet<Fingerprint>,
}

impl Keeper {
    async fn run(mut self) {
        let queue = self.core.clone();
        loop {
            let pause = match self.due.is_empty() {
                true => EXPIRY_INTERVAL,
                false => STORE_RETRY_PAUSE,
            };
            match queue.suspects.rows.next(pause).await {
                Some(request) => {
                    self.due.insert(request);
                    Timer::after(COLLECTION_PAUSE).await;
                }
                None => self.due.extend(self.forgotten()),
            }
            while let Ok(request) = queue.suspects.rows.receiver.try_recv() {
                self.due.insert(request);
            }
            self.update_rows().await;
        }
    }

    fn forgotten(&self) -> Vec<Fingerprint> {
        let is_forgotten = |request: &&Fingerprint| {
            self.core.suspects.report_of(**request).is_none()
        };
        self.stored.iter().filter(is_forgotten).copied().collect()
    }

    /// Updates some rows that are due; the others stay due.
    async fn update_rows(&mut self) {
        let due: Vec<Fingerprint> =
            self.due.iter().take(MAX_CALLS).copied().collect();
        for request in due {
            match self.update_row(request).await {
                Ok(()) => {
                    self.due.remove(&request);
                }
                Err(error) => {
                    return log_failure(&request.to_string(), &error);
                }
            }
        }
        if let Some(next) = self.due.first() {
            self.core.suspects.rows.queue(*next);
        }
    }

    async fn update_row(
        &mut self,
        request: Fingerprint,
    ) -> Result<(), StoreError> {
        let (store, key) = (&self.core.store, request.to_string());
        let report = self.core.suspects.report_of(request);
        match report.filter(|_| !self.core.suspects.is_free(request)) {
            Some(report) => {
                let value = report.encode_to_vec();
                let write = store.write_row(
                    SUSPECTS,
                    &key,
                    None,
                    &value,
                    STORE_TIMEOUT,
                );
                write.await?;
                self.stored.insert(request);
            }
            None if self.stored.contains(&request) => {
                store.remove_row(SUSPECTS, &key, STORE_TIMEOUT).await?;
                self.stored.remove(&request);
            }
            None => {}
        }
        Ok(())
    }
}

fn log_failure(request: &str, error: &StoreError) {
    emit(
        Event::SuspectRowFailed,
        &[("fingerprint", &request), ("error", error)],
    );
}
