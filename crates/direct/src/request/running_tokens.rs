//! Accounts for the capacity of a service that running requests use.

use std::sync::Arc;

use chestnutreach_routing::CapacityWaits;

use crate::{by_name::ByName, clock::now_ms};

/// The tokens of a running request, which count until this value is dropped.
pub(crate) struct RunningTokens {
    waits: Arc<ByName<CapacityWaits>>,
    service: String,
    tokens: u64,
}

impl RunningTokens {
    /// Records that a request found capacity.
    pub(crate) fn begin(
        waits: &Arc<ByName<CapacityWaits>>,
        service: &str,
        account: &str,
        tokens: u64,
    ) -> RunningTokens {
        let begin = |waits: &mut CapacityWaits| {
            waits.record_start(account, tokens, now_ms());
        };
        waits.update(service, begin);
        let (waits, service) = (waits.clone(), service.to_owned());
        RunningTokens { waits, service, tokens }
    }
}

impl Drop for RunningTokens {
    fn drop(&mut self) {
        let end = |waits: &mut CapacityWaits| waits.record_end(self.tokens);
        self.waits.update(&self.service, end);
    }
}
