//! CPU time and memory of processes, from `/proc`.
//!
//! The CPU time of daemons is the sum of `schedstat` over their threads,
//! which counts nanoseconds; the ticks of `stat` are too coarse for idle
//! processes. The CPU time of this process is read from `stat`, which includes
//! threads that have exited.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use chestnutreach_fleet::Fleet;
use serde::Serialize;

/// Index of the user time among the fields of `stat` that follow the process
/// name; the kernel time is the next field.
const USER_TIME_FIELD: usize = 11;
/// Milliseconds per clock tick of `stat`; the same on all machines in use.
const TICK_MS: u64 = 10;

/// CPU time of a group of processes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CpuUsage {
    pub(crate) cpu: Duration,
    pub(crate) processes: usize,
}

/// CPU usage of a group of processes over a period.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct CpuRate {
    /// Cores in use by all processes of the group together, on average.
    pub(crate) cores: f64,
    pub(crate) processes: usize,
}

/// CPU time of all groups at one moment.
pub(crate) struct Snapshot {
    at: Instant,
    usage: BTreeMap<&'static str, CpuUsage>,
}

/// Load average of the machine and its count of cores.
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
    /// Reads the CPU time of the processes of a fleet and of this process.
    pub(crate) fn take(fleet: &Fleet) -> Snapshot {
        let mut usage: BTreeMap<&'static str, CpuUsage> = BTreeMap::new();
        for (name, id) in fleet.process_ids() {
            let group = usage.entry(role_of(&name)).or_default();
            group.cpu += cpu_time(id);
            group.processes += 1;
        }
        let own = CpuUsage { cpu: own_cpu_time(), processes: 1 };
        usage.insert("load generator", own);
        Snapshot { at: Instant::now(), usage }
    }

    /// Returns the CPU usage of each group from this snapshot to a later one.
    pub(crate) fn rates_until(
        &self,
        later: &Snapshot,
    ) -> BTreeMap<&'static str, CpuRate> {
        let elapsed_s = later.at.duration_since(self.at).as_secs_f64();
        let groups = later.usage.iter().map(|(group, after)| {
            let before = self.usage.get(group).copied().unwrap_or_default();
            let cpu = after.cpu.saturating_sub(before.cpu);
            let cores = cpu.as_secs_f64() / elapsed_s;
            (*group, CpuRate { cores, processes: after.processes })
        });
        groups.collect()
    }
}

/// Returns the role of a fleet process, given its name.
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
    // The process name can contain spaces; the fields after it cannot.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = fields.iter().skip(USER_TIME_FIELD).take(2);
    let ticks: u64 = ticks.filter_map(|t| t.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * TICK_MS)
}

/// Returns the resident memory of a process in KiB, or 0 if unknown.
pub(crate) fn resident_kib(id: u32) -> u64 {
    let path = format!("/proc/{id}/status");
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the mean resident memory per process of each role, in KiB.
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
