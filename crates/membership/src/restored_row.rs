//! Rows that are older than what is known, after the store has lost changes.
//!
//! A store that is restored from an older copy lists servers as they were
//! then: servers that have left are back, and servers that are leaving seem
//! ready. Servers that run write their rows again soon, and the platform
//! removes the rows of those that do not. Until then, an older row must not
//! replace what is known.
//!
//! Versions of the store cannot tell which row is older, because the copy
//! belongs to a new history. The heartbeats that a server counts in its row
//! can: they rise for as long as its process runs.

use std::cmp::Ordering;

use chestnutreach_site::StoreVersion;

/// Time in which a running server whose row is missing or older writes it
/// again, once the store has returned.
pub const REWRITE_MS: u64 = 1_900;
/// Heartbeats after which the platform removes the row of a silent server.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// What a row says of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerRow {
    /// Unix time of the process start, in milliseconds, if reported.
    pub started_unix_ms: Option<u64>,
    /// Heartbeats that the process has counted.
    pub heartbeats: u64,
    /// Whether the server accepts no new requests.
    pub is_draining: bool,
    /// Version of the store at the last change of the row.
    pub version: StoreVersion,
}

/// What is known of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownServer {
    /// The last row that was applied.
    pub row: ServerRow,
    /// Whether the row was removed since.
    pub is_gone: bool,
}

/// The first read of a history of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HistoryStart {
    /// Version of that read. Later rows were written in this history.
    pub version: StoreVersion,
    /// When the history was read first.
    pub read_ms: u64,
}

/// How long to wait, in milliseconds, before a row is applied; `None` if it
/// is applied now.
pub fn deferral_ms(
    known: &KnownServer,
    row: &ServerRow,
    history: &HistoryStart,
    heartbeat_ms: u64,
    now_ms: u64,
) -> Option<u64> {
    let is_from_copy = row.version <= history.version
        && known.row.version.era() < row.version.era();
    if !is_from_copy {
        return None;
    }
    let has_left = known.is_gone || known.row.is_draining && !row.is_draining;
    let is_older = match row.started_unix_ms.cmp(&known.row.started_unix_ms) {
        Ordering::Less => true,
        Ordering::Equal => has_left || row.heartbeats < known.row.heartbeats,
        Ordering::Greater => false,
    };
    let expiry_ms = MAX_MISSED_HEARTBEATS * heartbeat_ms;
    let wait_ms = REWRITE_MS + if has_left { expiry_ms } else { 0 };
    let left_ms = (history.read_ms + wait_ms).saturating_sub(now_ms);
    (is_older && left_ms > 0).then_some(left_ms)
}
