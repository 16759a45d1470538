//! What processes use of the machine, from `/proc`.
//!
//! Processor time of daemons is summed over threads from `schedstat`, which
//! counts nanoseconds; the ticks of `stat` are too coarse for idle processes.
//! That of this process is taken from `stat`, which goes on counting threads
//! that have ended.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use chestnutreach_fleet::Fleet;
use serde::Serialize;

/// Place of the time in user mode among the fields of `stat` after the name;
/// that in kernel mode follows.
const USER_TIME_FIELD: usize = 11;
/// Milliseconds of a tick; the same on every Linux of these machines.
const TICK_MS: u64 = 10;

/// Processor time of a group of processes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Used {
    /// Time on a processor.
    pub(crate) cpu: Duration,
    /// Processes counted.
    pub(crate) processes: usize,
}

/// What a group of processes used per second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Rate {
    /// Cores in use by all processes of the group together.
    pub(crate) cores: f64,
    /// Processes in the group.
    pub(crate) processes: usize,
}

/// Processor time of all groups at one moment.
pub(crate) struct Snapshot {
    at: Instant,
    used: BTreeMap<&'static str, Used>,
}

/// The load average of one minute and the count of cores.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct MachineLoad {
    pub(crate) load_average_1_min: f64,
    pub(crate) cores: usize,
}

impl MachineLoad {
    pub(crate) fn now() -> MachineLoad {
        let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let first = text.split(' ').next().and_then(|t| t.parse().ok());
        let cores = std::thread::available_parallelism();
        MachineLoad {
            load_average_1_min: first.unwrap_or(f64::NAN),
            cores: cores.map_or(1, usize::from),
        }
    }
}

impl Snapshot {
    /// Processor time so far of a fleet and of this process.
    pub(crate) fn take(fleet: &Fleet) -> Snapshot {
        let mut used: BTreeMap<&'static str, Used> = BTreeMap::new();
        for (name, id) in fleet.process_ids() {
            let group = used.entry(role_of(&name)).or_default();
            group.cpu += cpu_time(id);
            group.processes += 1;
        }
        let own = Used { cpu: own_cpu_time(), processes: 1 };
        used.insert("load generator", own);
        Snapshot { at: Instant::now(), used }
    }

    /// What each group has used per second since then.
    pub(crate) fn rates_until(
        &self,
        later: &Snapshot,
    ) -> BTreeMap<&'static str, Rate> {
        let elapsed_s = later.at.duration_since(self.at).as_secs_f64();
        let groups = later.used.iter().map(|(group, after)| {
            let before = self.used.get(group).copied().unwrap_or_default();
            let cpu = after.cpu.saturating_sub(before.cpu);
            let cores = cpu.as_secs_f64() / elapsed_s;
            (*group, Rate { cores, processes: after.processes })
        });
        groups.collect()
    }
}

/// Role of a process of a fleet by its name.
pub(crate) fn role_of(name: &str) -> &'static str {
    match name {
        "table" | "objects" | "vm-list" => "platform",
        _ if name.starts_with("entry-") => "entry",
        _ if name.starts_with("side-") => "side",
        _ => "engine",
    }
}

fn cpu_time(id: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return Duration::ZERO;
    };
    let nanos = threads.flatten().filter_map(|thread| {
        let path = thread.path().join("schedstat");
        let text = fs::read_to_string(path).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

fn own_cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name before may hold spaces; what follows it does not.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = fields.iter().skip(USER_TIME_FIELD).take(2);
    let ticks: u64 = ticks.filter_map(|t| t.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * TICK_MS)
}

/// Memory that a process holds, in KiB.
pub(crate) fn resident_kib(id: u32) -> u64 {
    let path = format!("/proc/{id}/status");
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Memory of one process of each role, the mean, in KiB.
pub(crate) fn resident_by_role(fleet: &Fleet) -> BTreeMap<&'static str, f64> {
    let mut sums: BTreeMap<&'static str, (u64, u64)> = BTreeMap::new();
    for (name, id) in fleet.process_ids() {
        let sum = sums.entry(role_of(&name)).or_default();
        sum.0 += resident_kib(id);
        sum.1 += 1;
    }
    let means = sums.into_iter();
    means.map(|(role, (kib, n))| (role, kib as f64 / n as f64)).collect()
}
