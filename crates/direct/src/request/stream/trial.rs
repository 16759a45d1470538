//! Path search for a stream that may crash its engines.

use super::{Stream, search::SearchResult};
use crate::{
    clock::now_ms,
    request::{isolation::RunPermission, route::least_used_first_engine},
};

/// Time to find a path from the engine of a trial, before another engine is
/// tried, which may have capacity.
const TRIAL_SEARCH_MS: u64 = 250;

impl Stream<'_> {
    /// Finds a path, in a trial if the request is suspect; false if there is
    /// none.
    pub(super) async fn find_path(&mut self) -> bool {
        let until_ms = self.search_until_ms();
        loop {
            if !self.suspicion.is_suspect() {
                if !self.acquire_path().await {
                    return false;
                }
                // The request may have become suspect while it waited.
                if !self.suspicion.is_suspect() {
                    return true;
                }
                self.release_path();
            }
            if !self.can_change_first_engine() {
                return false;
            }
            match self.await_permission(until_ms).await {
                RunPermission::Unrestricted => continue,
                RunPermission::Denied => return false,
                RunPermission::Trial(trial) => self.trial = Some(trial),
            }
            let path_until_ms = until_ms.min(now_ms() + TRIAL_SEARCH_MS);
            match self.search_until(path_until_ms).await {
                SearchResult::Found => return true,
                SearchResult::RetryDenied => return false,
                SearchResult::NotFound => self.trial = None,
            }
            if now_ms() >= until_ms {
                return false;
            }
        }
    }

    async fn await_permission(&mut self, until_ms: u64) -> RunPermission {
        let (core, admitted) = (self.core, self.admitted);
        let excluded = &self.excluded;
        let choose = |excluded_hashes: &_| {
            let service = &admitted.service.name;
            least_used_first_engine(core, service, excluded, excluded_hashes)
        };
        self.suspicion.await_permission(until_ms, choose).await
    }
}
