//! Control traffic of nodes, from their metrics.

use std::collections::BTreeMap;

use chestnutreach_fleet::{Caller, Fleet};

use crate::machine::role_of;

const SENT: &str = "chestnutreach_control_sent_bytes_total";
const RECEIVED: &str = "chestnutreach_control_received_bytes_total";

/// Bytes sent and received over control links, averaged over the processes
/// of a role.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlBytes {
    pub(crate) sent: f64,
    pub(crate) received: f64,
}

/// Returns the bytes since the start of the processes, by role.
pub(crate) fn control_bytes(
    fleet: &Fleet,
) -> BTreeMap<&'static str, ControlBytes> {
    let mut sums: BTreeMap<&'static str, (ControlBytes, f64)> =
        BTreeMap::new();
    for (name, address) in fleet.ops_addresses() {
        let caller = Caller::new(address, "");
        let text = caller.call("GET", "/metrics", "").text;
        let (sum, count) = sums.entry(role_of(&name)).or_default();
        sum.sent += metric_value(&text, SENT);
        sum.received += metric_value(&text, RECEIVED);
        *count += 1.0;
    }
    let mean = |(role, (sum, count)): (_, (ControlBytes, f64))| {
        let sent = sum.sent / count;
        let received = sum.received / count;
        (role, ControlBytes { sent, received })
    };
    sums.into_iter().map(mean).collect()
}

/// Returns the value of a metric that has a single sample, or 0 if the metric
/// is missing.
fn metric_value(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let number = line.and_then(|line| line.rsplit(' ').next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0.0)
}
