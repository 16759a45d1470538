//! Rows of a server that state an earlier start than the process in use.
//!
//! A server that starts again under its id states a later start time, and a
//! row that the process before wrote may arrive late. But start times can
//! mislead: a clock was set back, or another writer left a row with a start in
//! the future. The process that runs writes its row at each heartbeat. So once
//! no other row has followed for as long as a silent server stays listed, the
//! earlier one is that of the process that runs.

/// Heartbeats of silence after which a server is no longer listed.
const SILENT_HEARTBEATS: u64 = 3;

/// An earlier start that rows of a server state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EarlierStarts {
    latest: Option<Stated>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Stated {
    started_unix_ms: u64,
    since_ms: u64,
}

impl EarlierStarts {
    /// Records a row with an earlier start, and returns how long it is to be
    /// ignored; 0 if the process that it states is the one that runs.
    pub fn record(
        &mut self,
        started_unix_ms: u64,
        heartbeat_ms: u64,
        now_ms: u64,
    ) -> u64 {
        let known = self.latest;
        let known = known.filter(|s| s.started_unix_ms == started_unix_ms);
        let stated =
            known.unwrap_or(Stated { started_unix_ms, since_ms: now_ms });
        self.latest = Some(stated);
        let until_ms = stated.since_ms + SILENT_HEARTBEATS * heartbeat_ms;
        until_ms.saturating_sub(now_ms)
    }

    /// Records a row of the process in use.
    pub fn clear(&mut self) {
        self.latest = None;
    }
}
