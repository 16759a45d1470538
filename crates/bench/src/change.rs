//! Time and cost of putting a new generation in force on every node.
//!
//! Nodes log an event when a generation is in force; the benchmark follows
//! their log files, which costs the nodes nothing. Times start when the
//! submission is accepted. The manifest has as many client accounts as the
//! target deployment; each change gives one account a new weight and resets
//! the account of the change before.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::File,
    io::{Read as _, Seek as _, SeekFrom},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use anyhow::bail;
use chestnutreach_config::key_digest;
use chestnutreach_fleet::Fleet;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    control::control_bytes,
    idle::fleet_plan,
    load::{Quantiles, histogram},
    machine::Snapshot,
    report::{Show, Table, decimals},
};

/// Interval between two reads of the logs, which limits the precision of the
/// times.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a change counts as not in force.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// The process that is restarted to measure its boot time.
const RESTARTED_PROCESS: &str = "side-desk-0a";
/// Time after a change until its last messages have been delivered.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Attempts to submit a manifest while the store has faults.
const SUBMIT_ATTEMPTS: usize = 40;

/// Parameters of the benchmark.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) sides: usize,
    pub(crate) entries: usize,
    pub(crate) accounts: usize,
    pub(crate) changes: usize,
    pub(crate) request_timeout_ms: u64,
    /// Skips the conditions with faults of the store.
    pub(crate) is_healthy_only: bool,
}

/// Figures of all store conditions.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    pub(crate) nodes: usize,
    pub(crate) accounts: usize,
    pub(crate) changes: usize,
    pub(crate) request_timeout_ms: u64,
    pub(crate) rows: Vec<Row>,
}

/// Figures of one store condition.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) store: &'static str,
    /// Time until a node has the generation in force, over all nodes and
    /// changes.
    pub(crate) node: Quantiles,
    /// Time until the last node has the generation in force, the maximum of
    /// all changes.
    pub(crate) last_ms: f64,
    pub(crate) submit_ms: f64,
    /// Changes that were not in force everywhere within the limit.
    pub(crate) not_in_force: usize,
    /// Time until a restarted process has its first generation in force;
    /// `None` if it takes longer than the limit.
    pub(crate) boot_ms: Option<f64>,
    /// Cost per change and node, from here on; the cost of nodes without
    /// changes is subtracted.
    pub(crate) object_reads: f64,
    pub(crate) object_bytes: f64,
    pub(crate) table_reads: f64,
    pub(crate) entry_link_bytes: f64,
    pub(crate) side_link_bytes: f64,
    pub(crate) entry_cpu_ms: f64,
    pub(crate) side_cpu_ms: f64,
}

/// Faults injected into the table and object services.
struct StoreCondition {
    name: &'static str,
    faults: fn() -> Value,
}

const STORE_CONDITIONS: [StoreCondition; 3] = [
    StoreCondition { name: "healthy", faults: || json!({}) },
    StoreCondition {
        name: "30% errors",
        faults: || json!({"error_permille": 300}),
    },
    StoreCondition { name: "500 ms slow", faults: || json!({"slow_ms": 500}) },
];

/// Measures changes under each store condition.
pub(crate) fn measure(options: Options) -> anyhow::Result<Change> {
    let timeout_ms = options.request_timeout_ms.to_string();
    let plan = fleet_plan(options.sides, options.entries).setting(
        "platform",
        "request-timeout-ms",
        &timeout_ms,
    );
    let fleet = Fleet::start(plan)?;
    let mut run =
        Run { logs: Logs::new(&fleet), fleet, options, generation: 1 };
    // Adds the accounts, so that later changes only update their weights.
    run.apply_change(0)?;
    thread::sleep(SETTLE_TIME);
    let conditions = if options.is_healthy_only {
        &STORE_CONDITIONS[..1]
    } else {
        &STORE_CONDITIONS
    };
    let rows: Result<Vec<Row>, _> = conditions
        .iter()
        .map(|condition| run.measure_row(condition))
        .collect();
    Ok(Change {
        nodes: options.sides + options.entries,
        accounts: options.accounts,
        changes: options.changes,
        request_timeout_ms: options.request_timeout_ms,
        rows: rows?,
    })
}

struct Run {
    fleet: Fleet,
    logs: Logs,
    options: Options,
    generation: u64,
}

/// Times of one change.
struct Times {
    submit: Duration,
    nodes: Vec<Duration>,
    is_complete: bool,
}

/// Counters at one moment.
struct Counts {
    at: Instant,
    cpu: Snapshot,
    links: BTreeMap<&'static str, f64>,
    table_reads: f64,
    object_reads: f64,
    object_bytes: f64,
}

/// Increase of the counters per second.
#[derive(Clone, Copy, Default)]
struct Rates {
    table_reads: f64,
    object_reads: f64,
    object_bytes: f64,
    entry_link_bytes: f64,
    side_link_bytes: f64,
    entry_cpu_ms: f64,
    side_cpu_ms: f64,
}

impl Run {
    fn measure_row(
        &mut self,
        condition: &StoreCondition,
    ) -> anyhow::Result<Row> {
        let faults = (condition.faults)();
        for service in ["table", "objects"] {
            self.fleet.set_faults(service, &faults);
        }
        let idle = self.idle_rates();
        let before = self.counts();
        let mut node = histogram();
        let mut last = Duration::ZERO;
        let mut submit = Duration::ZERO;
        let mut not_in_force = 0;
        for number in 0..self.options.changes {
            let times = self.apply_change(number + 1)?;
            submit += times.submit;
            not_in_force += usize::from(!times.is_complete);
            for time in times.nodes {
                node.saturating_record(time.as_nanos() as u64);
                last = last.max(time);
            }
            thread::sleep(SETTLE_TIME);
        }
        let after = self.counts();
        let boot = self.measure_boot()?;
        self.clear_faults()?;
        let changes = self.options.changes as f64;
        let cost = before.rates_until(&after).minus(&idle);
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let per_change = |rate: f64| rate * seconds / changes;
        let nodes = (self.options.sides + self.options.entries) as f64;
        Ok(Row {
            store: condition.name,
            node: Quantiles::of(&node),
            last_ms: last.as_secs_f64() * 1e3,
            not_in_force,
            boot_ms: boot.map(|time| time.as_secs_f64() * 1e3),
            submit_ms: submit.as_secs_f64() * 1e3 / changes,
            object_reads: per_change(cost.object_reads) / nodes,
            object_bytes: per_change(cost.object_bytes) / nodes,
            table_reads: per_change(cost.table_reads) / nodes,
            entry_link_bytes: per_change(cost.entry_link_bytes),
            side_link_bytes: per_change(cost.side_link_bytes),
            entry_cpu_ms: per_change(cost.entry_cpu_ms),
            side_cpu_ms: per_change(cost.side_cpu_ms),
        })
    }

    /// Clears the faults of the store and waits until all sides have the
    /// current generation.
    fn clear_faults(&mut self) -> anyhow::Result<()> {
        for service in ["table", "objects"] {
            self.fleet.set_faults(service, &json!({}));
        }
        let generation = self.generation;
        let sides: Vec<String> = self
            .fleet
            .control_addresses()
            .into_keys()
            .filter_map(|n| n.strip_prefix("side-").map(str::to_owned))
            .collect();
        self.fleet.wait_for(
            "all sides to have the current generation",
            |fleet| {
                let generation_of =
                    |side| fleet.side_status(side)["generation"].as_u64();
                sides
                    .iter()
                    .all(|side| generation_of(side) == Some(generation))
            },
        )?;
        thread::sleep(SETTLE_TIME);
        Ok(())
    }

    fn idle_rates(&self) -> Rates {
        let before = self.counts();
        thread::sleep(SETTLE_TIME * 2);
        before.rates_until(&self.counts())
    }

    fn counts(&self) -> Counts {
        let fleet = &self.fleet;
        let objects = fleet.stats("objects");
        let number = |value: &Value| value.as_f64().unwrap_or(0.0);
        let links = control_bytes(fleet).into_iter();
        Counts {
            at: Instant::now(),
            cpu: Snapshot::take(fleet),
            links: links.map(|(r, b)| (r, b.sent + b.received)).collect(),
            table_reads: number(&fleet.stats("table")["reads"]),
            object_reads: number(&objects["reads"]),
            object_bytes: number(&objects["read_bytes"]),
        }
    }

    /// Submits a change of one account and waits until all nodes have it in
    /// force, or the timeout.
    fn apply_change(&mut self, number: usize) -> anyhow::Result<Times> {
        let text = self.manifest_text(number);
        let started = Instant::now();
        self.submit(&text)?;
        let submit = started.elapsed();
        let accepted = Instant::now();
        let mut nodes = Vec::new();
        while self.logs.has_pending() && accepted.elapsed() < CHANGE_TIMEOUT {
            let count = self.logs.count_newly_in_force(self.generation);
            nodes.resize(nodes.len() + count, accepted.elapsed());
            thread::sleep(LOG_POLL_INTERVAL);
        }
        let is_complete = !self.logs.has_pending();
        self.logs.reset();
        Ok(Times { submit, nodes, is_complete })
    }

    /// Restarts a process, as on a new VM, and waits until it has the manifest
    /// in force.
    fn measure_boot(&mut self) -> anyhow::Result<Option<Duration>> {
        let log =
            self.fleet.directory().join(format!("{RESTARTED_PROCESS}.log"));
        let mut log = Log { path: log, read_bytes: 0, has_generation: false };
        self.fleet.process(RESTARTED_PROCESS).kill();
        log.read_new_lines();
        self.fleet.process(RESTARTED_PROCESS).restart()?;
        let started = Instant::now();
        while !log.check_in_force(self.generation) {
            if started.elapsed() > CHANGE_TIMEOUT {
                return Ok(None);
            }
            thread::sleep(LOG_POLL_INTERVAL);
        }
        Ok(Some(started.elapsed()))
    }

    /// Submits a manifest, with retries until the manifest is accepted.
    fn submit(&mut self, text: &str) -> anyhow::Result<()> {
        let mut last_error = None;
        for _ in 0..SUBMIT_ATTEMPTS {
            match self.fleet.apply_text(self.generation, text) {
                Ok(generation) => {
                    self.generation = generation;
                    return Ok(());
                }
                Err(e) => last_error = Some(e),
            }
        }
        bail!("the manifest was not accepted: {last_error:?}")
    }

    /// Returns a manifest in which the account of this number has a new weight
    /// and all other accounts have the same weight.
    fn manifest_text(&self, number: usize) -> String {
        let mut text = self.fleet.manifest_text();
        for account in 0..self.options.accounts {
            let is_changed = account == number;
            let weight = if is_changed { 20 + self.generation } else { 10 };
            let digest = key_digest(&format!("key-{account}"));
            let _ = write!(
                text,
                "[account cooperative-{account:04}]\n\
                 key-digests = {digest}\nweight = {weight}\n\
                 services = desk-llm\n\n"
            );
        }
        text
    }
}

impl Counts {
    fn rates_until(&self, later: &Counts) -> Rates {
        let elapsed_s = later.at.duration_since(self.at).as_secs_f64();
        let cpu = self.cpu.rates_until(&later.cpu);
        let per_s = |after: f64, before: f64| (after - before) / elapsed_s;
        let links = |role| per_s(later.links[role], self.links[role]);
        let cpu_ms = |role| {
            let rate: crate::machine::CpuRate = cpu[role];
            rate.cores * 1e3 / rate.processes as f64
        };
        Rates {
            table_reads: per_s(later.table_reads, self.table_reads),
            object_reads: per_s(later.object_reads, self.object_reads),
            object_bytes: per_s(later.object_bytes, self.object_bytes),
            entry_link_bytes: links("entry"),
            side_link_bytes: links("side"),
            entry_cpu_ms: cpu_ms("entry"),
            side_cpu_ms: cpu_ms("side"),
        }
    }
}

impl Rates {
    fn minus(self, other: &Rates) -> Rates {
        Rates {
            table_reads: self.table_reads - other.table_reads,
            object_reads: self.object_reads - other.object_reads,
            object_bytes: self.object_bytes - other.object_bytes,
            entry_link_bytes: self.entry_link_bytes - other.entry_link_bytes,
            side_link_bytes: self.side_link_bytes - other.side_link_bytes,
            entry_cpu_ms: self.entry_cpu_ms - other.entry_cpu_ms,
            side_cpu_ms: self.side_cpu_ms - other.side_cpu_ms,
        }
    }
}

/// The logs of all nodes, read while the nodes append to them.
struct Logs {
    logs: Vec<Log>,
}

struct Log {
    path: PathBuf,
    read_bytes: u64,
    has_generation: bool,
}

impl Logs {
    fn new(fleet: &Fleet) -> Logs {
        let names = fleet.ops_addresses().into_keys();
        let logs = names.map(|name| {
            let path = fleet.directory().join(format!("{name}.log"));
            Log { path, read_bytes: 0, has_generation: false }
        });
        Logs { logs: logs.collect() }
    }

    /// Returns how many nodes put the generation in force since the last call.
    fn count_newly_in_force(&mut self, generation: u64) -> usize {
        let pending = self.logs.iter_mut().filter(|log| !log.has_generation);
        pending
            .filter_map(|log| log.check_in_force(generation).then_some(()))
            .count()
    }

    fn has_pending(&self) -> bool {
        self.logs.iter().any(|log| !log.has_generation)
    }

    fn reset(&mut self) {
        self.logs.iter_mut().for_each(|log| log.has_generation = false);
    }
}

impl Log {
    fn check_in_force(&mut self, generation: u64) -> bool {
        let text = self.read_new_lines();
        let number = format!("\"generation\":\"{generation}\"");
        let mut lines = text.lines();
        self.has_generation = lines.any(|line| {
            line.contains("\"manifest_in_force\"") && line.contains(&number)
        });
        self.has_generation
    }

    /// Returns the complete lines appended since the last call.
    fn read_new_lines(&mut self) -> String {
        let mut text = String::new();
        let read = File::open(&self.path).and_then(|mut file| {
            file.seek(SeekFrom::Start(self.read_bytes))?;
            file.read_to_string(&mut text)
        });
        if read.is_err() {
            return String::new();
        }
        text.truncate(text.rfind('\n').map_or(0, |at| at + 1));
        self.read_bytes += text.len() as u64;
        text
    }
}

impl Show for Change {
    fn show(&self) -> String {
        let mut times = Table::new(&[
            "store",
            "node p50 ms",
            "p95 ms",
            "p99 ms",
            "last ms",
            "submit ms",
        ]);
        let mut costs = Table::new(&[
            "store",
            "object reads",
            "object bytes",
            "table reads",
            "entry link B",
            "side link B",
            "entry CPU ms",
            "side CPU ms",
        ]);
        for row in &self.rows {
            let ms = |us: f64| decimals(us / 1e3, 0);
            times.push_row(vec![
                row.store.to_owned(),
                ms(row.node.p50_us),
                ms(row.node.p95_us),
                ms(row.node.p99_us),
                decimals(row.last_ms, 0),
                decimals(row.submit_ms, 0),
                row.not_in_force.to_string(),
                row.boot_ms.map_or("never".to_owned(), |ms| decimals(ms, 0)),
            ]);
            costs.push_row(vec![
                row.store.to_owned(),
                decimals(row.object_reads, 2),
                decimals(row.object_bytes, 0),
                decimals(row.table_reads, 2),
                decimals(row.entry_link_bytes, 0),
                decimals(row.side_link_bytes, 0),
                decimals(row.entry_cpu_ms, 1),
                decimals(row.side_cpu_ms, 1),
            ]);
        }
        format!(
            "{} nodes, {} accounts, {} changes of one account each, \
             request-timeout-ms {}; times from acceptance\n\n{}\n\
             per change and node:\n{}",
            self.nodes,
            self.accounts,
            self.changes,
            self.request_timeout_ms,
            times.to_text(),
            costs.to_text()
        )
    }
}
