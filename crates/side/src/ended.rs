//! Outputs of ended requests, kept for later queries.
//!
//! An entry whose connection was lost, or another entry after the first one
//! failed, queries a request by its id. Outputs are kept up to a limit in
//! bytes and in time; queries for dropped outputs get only the state in the
//! run-once table.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::run::Run;

/// Maximum size of the kept outputs.
const MAX_BYTES: usize = 64 << 20;
/// Bytes accounted for each ended request in addition to its output.
const RUN_OVERHEAD_BYTES: usize = 512;

/// Ended requests by id.
#[derive(Default)]
pub(crate) struct EndedRuns {
    runs: BTreeMap<u128, Kept>,
    order: VecDeque<(u64, u128)>,
    bytes: usize,
}

struct Kept {
    run: Arc<Run>,
    until_ms: u64,
    bytes: usize,
}

impl EndedRuns {
    /// Keeps the output of a request until `until_ms`.
    pub(crate) fn insert(
        &mut self,
        run: Arc<Run>,
        output_bytes: usize,
        until_ms: u64,
    ) {
        let bytes = output_bytes + RUN_OVERHEAD_BYTES;
        let request = run.id;
        let kept = Kept { run, until_ms, bytes };
        if let Some(old) = self.runs.insert(request, kept) {
            self.bytes -= old.bytes;
        }
        self.bytes += bytes;
        self.order.push_back((until_ms, request));
        while self.bytes > MAX_BYTES && self.drop_oldest() {}
    }

    /// Returns the ended request if its output is still kept.
    pub(crate) fn find(&self, request: u128) -> Option<Arc<Run>> {
        self.runs.get(&request).map(|kept| kept.run.clone())
    }

    /// Drops outputs whose retention time has passed.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        // The retention time differs between requests, so an output may be
        // kept too long behind an output with a longer time. The limit in
        // bytes holds regardless.
        while let Some((until_ms, _)) = self.order.front() {
            if *until_ms > now_ms {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) -> bool {
        let Some((until_ms, request)) = self.order.pop_front() else {
            return false;
        };
        let is_current =
            self.runs.get(&request).is_some_and(|k| k.until_ms == until_ms);
        if is_current && let Some(kept) = self.runs.remove(&request) {
            self.bytes -= kept.bytes;
        }
        true
    }
}
