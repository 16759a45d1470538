//! Resource usage of nodes without requests, by count of sides and entries.

use std::{collections::BTreeMap, thread, time::Duration};

use chestnutreach_fleet::{Fleet, Plan};
use serde::Serialize;

use crate::{
    control::control_bytes,
    machine::{Snapshot, resident_by_role},
    polls::{self, PollBytes},
    report::{Show, Table, decimals},
};

/// Time until links are set up and manifests are in force.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Figures of all fleet sizes.
#[derive(Debug, Serialize)]
pub(crate) struct Idle {
    pub(crate) seconds: u64,
    pub(crate) rows: Vec<Row>,
    pub(crate) polls: Vec<PollBytes>,
}

/// Figures of one fleet size.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) sides: usize,
    pub(crate) entries: usize,
    pub(crate) roles: BTreeMap<&'static str, RoleIdle>,
    /// Reads from the table service.
    pub(crate) table_reads_per_node_s: f64,
    /// Reads of the VM list.
    pub(crate) list_reads_per_entry_s: f64,
}

/// Mean resource usage per node of one role.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct RoleIdle {
    pub(crate) link_sent_bytes_per_s: f64,
    pub(crate) link_received_bytes_per_s: f64,
    pub(crate) core_percent: f64,
    pub(crate) resident_mib: f64,
}

/// Measures each combination of side count and entry count.
pub(crate) fn measure(
    sides: &[usize],
    entries: &[usize],
    seconds: u64,
) -> anyhow::Result<Idle> {
    let mut rows = Vec::new();
    for entries in entries {
        for sides in sides {
            rows.push(measure_row(*sides, *entries, seconds)?);
        }
    }
    Ok(Idle { seconds, rows, polls: polls::measure()? })
}

/// Plans a fleet whose chains have two stages, or four if there are more than
/// 16 sides. The count of sides is rounded down to whole chains.
pub(crate) fn fleet_plan(sides: usize, entries: usize) -> Plan {
    let layer_bounds: &[u32] =
        if sides <= 16 { &[0, 12, 24] } else { &[0, 6, 12, 18, 24] };
    let stages = layer_bounds.len() - 1;
    Plan::new()
        .entries(entries)
        .stages(layer_bounds, sides / stages)
        .plain_servers(0)
}

fn measure_row(
    sides: usize,
    entries: usize,
    seconds: u64,
) -> anyhow::Result<Row> {
    let fleet = Fleet::start(fleet_plan(sides, entries))?;
    thread::sleep(SETTLE_TIME);
    let reads = |name: &str| fleet.stats(name)["reads"].as_u64();
    let before = (control_bytes(&fleet), reads("table"), reads("vm-list"));
    let cpu_before = Snapshot::take(&fleet);
    thread::sleep(Duration::from_secs(seconds));
    let cpu = cpu_before.rates_until(&Snapshot::take(&fleet));
    let after = (control_bytes(&fleet), reads("table"), reads("vm-list"));
    let resident = resident_by_role(&fleet);
    let per_s = |after: f64, before: f64| (after - before) / seconds as f64;
    let roles = ["entry", "side"].map(|role| {
        let (a, b) = (after.0[role], before.0[role]);
        let rate = cpu[role];
        let idle = RoleIdle {
            link_sent_bytes_per_s: per_s(a.sent, b.sent),
            link_received_bytes_per_s: per_s(a.received, b.received),
            core_percent: rate.cores * 100.0 / rate.processes as f64,
            resident_mib: resident[role] / 1_024.0,
        };
        (role, idle)
    });
    let reads_per_s = |after: Option<u64>, before: Option<u64>| {
        per_s(after.unwrap_or(0) as f64, before.unwrap_or(0) as f64)
    };
    Ok(Row {
        sides,
        entries,
        roles: roles.into(),
        table_reads_per_node_s: reads_per_s(after.1, before.1)
            / (sides + entries) as f64,
        list_reads_per_entry_s: reads_per_s(after.2, before.2)
            / entries as f64,
    })
}

impl Show for Idle {
    fn show(&self) -> String {
        let mut table = Table::new(&[
            "sides",
            "entries",
            "role",
            "link B/s out",
            "link B/s in",
            "% of a core",
            "MiB",
            "table reads/s a node",
            "list reads/s an entry",
        ]);
        for row in &self.rows {
            for (role, idle) in &row.roles {
                table.push_row(vec![
                    row.sides.to_string(),
                    row.entries.to_string(),
                    (*role).to_owned(),
                    decimals(idle.link_sent_bytes_per_s, 0),
                    decimals(idle.link_received_bytes_per_s, 0),
                    decimals(idle.core_percent, 3),
                    decimals(idle.resident_mib, 1),
                    decimals(row.table_reads_per_node_s, 3),
                    decimals(row.list_reads_per_entry_s, 3),
                ]);
            }
        }
        let mut text = format!(
            "{} s without requests; figures of one node\n\n{}\n",
            self.seconds,
            table.to_text()
        );
        for poll in &self.polls {
            text += &format!(
                "one {}: {} bytes out, {} bytes in\n",
                poll.what, poll.sent_bytes, poll.received_bytes
            );
        }
        text
    }
}
