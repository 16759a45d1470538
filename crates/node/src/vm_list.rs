//! Following the platform's list of VMs.
//!
//! While the list does not answer, what was read last stays believed.

use std::collections::BTreeSet;

use async_io::Timer;
use chestnutreach_platform::{VmListClient, vm_list::VmState};

use crate::outage::{Outage, Pause};

/// Follows the platform's list until the process ends; hands on the VMs that
/// are listed as leaving, or none when the list does not answer.
pub async fn follow_vm_list(
    client: VmListClient,
    poll_ms: u64,
    apply: impl Fn(Option<BTreeSet<String>>),
) {
    let mut outage = Outage::new("vm_list");
    let mut pause = Pause::new(poll_ms);
    loop {
        let listed = client.list().await;
        let has_worked = listed.is_ok();
        match listed {
            Ok(entries) => {
                outage.worked();
                let leaving = entries
                    .into_iter()
                    .filter(|entry| entry.state == VmState::Leaving)
                    .map(|entry| entry.vm)
                    .collect();
                apply(Some(leaving));
            }
            Err(e) => {
                outage.failed(&e);
                apply(None);
            }
        }
        Timer::after(pause.after(has_worked)).await;
    }
}
