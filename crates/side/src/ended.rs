//! Answers of requests that have ended, kept so that they can be asked for.
//!
//! An entry whose connection went silent, or another entry after the first
//! died, asks by request id. The store is bounded in bytes and in time; what
//! it has dropped is answered from the run-once table alone.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::run::Run;

/// Bytes of answers kept at most.
const MAX_BYTES: usize = 64 << 20;
/// Bytes counted for each kept answer beside its text.
const OVERHEAD_BYTES: usize = 512;

/// Ended requests by number.
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
    /// Keeps a request's answer until `until_ms`.
    pub(crate) fn insert(
        &mut self,
        run: Arc<Run>,
        answer_bytes: usize,
        until_ms: u64,
    ) {
        let bytes = answer_bytes + OVERHEAD_BYTES;
        let request = run.id;
        let kept = Kept { run, until_ms, bytes };
        if let Some(old) = self.runs.insert(request, kept) {
            self.bytes -= old.bytes;
        }
        self.bytes += bytes;
        self.order.push_back((until_ms, request));
        while self.bytes > MAX_BYTES && self.drop_oldest() {}
    }

    /// The ended request, if its answer is still kept.
    pub(crate) fn find(&self, request: u128) -> Option<Arc<Run>> {
        self.runs.get(&request).map(|kept| kept.run.clone())
    }

    /// Drops answers whose time has passed.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        // Times differ by kind of request, so an answer may stay behind one
        // that is kept longer; the bound on bytes holds all the same.
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
