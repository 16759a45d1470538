//! Follows the platform's list of VMs.
//!
//! While the list is unavailable, the last list that was read stays valid.

use std::collections::BTreeSet;

use async_io::Timer;
use chestnutreach_platform::{VmListClient, vm_list::VmState};

use crate::outage::{Outage, PollInterval};

/// Follows the platform's list; never returns. Calls `apply` after each poll
/// with the VMs that are listed as leaving, or `None` if the list is
/// unavailable.
pub async fn follow_vm_list(
    client: VmListClient,
    poll_ms: u64,
    apply: impl Fn(Option<BTreeSet<String>>),
) {
    let mut outage = Outage::new("vm_list");
    let mut poll_interval = PollInterval::new(poll_ms);
    loop {
        let listed = client.list().await;
        let has_succeeded = listed.is_ok();
        match listed {
            Ok(entries) => {
                outage.record_success();
                let leaving = entries
                    .into_iter()
                    .filter(|entry| entry.state == VmState::Leaving)
                    .map(|entry| entry.vm)
                    .collect();
                apply(Some(leaving));
            }
            Err(e) => {
                outage.record_failure(&e);
                apply(None);
            }
        }
        Timer::after(poll_interval.next(has_succeeded)).await;
    }
}
