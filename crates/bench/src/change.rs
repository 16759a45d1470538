//! Time until a new generation is in force on every node, and its cost.
//!
//! Nodes note in their logs when a generation is in force there; the logs
//! are read while they grow, which asks nothing of the nodes. The time
//! counts from the submission's acceptance. The manifest has as many client
//! accounts as the target, and each change is of one of them.

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
    idle::plan,
    load::{Quantiles, histogram},
    machine::Snapshot,
    report::{Show, Table, places},
};

/// Time between two looks at the logs: how exact times are.
const LOOK: Duration = Duration::from_millis(5);
/// Time that a change may take.
const LIMIT: Duration = Duration::from_secs(20);
/// The process that is started again.
const BOOTED: &str = "side-desk-0a";
/// Time after a change until its last messages have passed.
const SETTLE: Duration = Duration::from_millis(2_500);
/// Tries to submit while the store fails.
const SUBMIT_TRIES: usize = 40;

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) sides: usize,
    pub(crate) entries: usize,
    pub(crate) accounts: usize,
    pub(crate) changes: usize,
    pub(crate) request_timeout_ms: u64,
    /// Leaves the states out in which the store fails.
    pub(crate) is_healthy_only: bool,
}

/// Figures with each state of the store.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    pub(crate) nodes: usize,
    pub(crate) accounts: usize,
    pub(crate) changes: usize,
    pub(crate) request_timeout_ms: u64,
    pub(crate) rows: Vec<Row>,
}

/// Figures with one state of the store.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) store: &'static str,
    /// Time until a node has the generation in force, over all nodes.
    pub(crate) node: Quantiles,
    /// Time until the last node has it, the longest of all changes.
    pub(crate) last_ms: f64,
    pub(crate) submit_ms: f64,
    /// Changes that were not in force everywhere within the limit.
    pub(crate) not_in_force: usize,
    /// Time until a process that has just started has its first generation;
    /// none if it had none within the limit.
    pub(crate) boot_ms: Option<f64>,
    /// Per change and node, less what nodes without changes cost.
    pub(crate) object_reads: f64,
    pub(crate) object_bytes: f64,
    pub(crate) table_reads: f64,
    pub(crate) entry_link_bytes: f64,
    pub(crate) side_link_bytes: f64,
    pub(crate) entry_cpu_ms: f64,
    pub(crate) side_cpu_ms: f64,
}

/// How the store fares.
struct Store {
    name: &'static str,
    faults: fn() -> Value,
}

const STORES: [Store; 3] = [
    Store { name: "healthy", faults: || json!({}) },
    Store { name: "30% errors", faults: || json!({"error_permille": 300}) },
    Store { name: "500 ms slow", faults: || json!({"slow_ms": 500}) },
];

/// Measures changes with each state of the store.
pub(crate) fn measure(options: Options) -> anyhow::Result<Change> {
    let timeout_ms = options.request_timeout_ms.to_string();
    let plan = plan(options.sides, options.entries).setting(
        "platform",
        "request-timeout-ms",
        &timeout_ms,
    );
    let fleet = Fleet::start(plan)?;
    let mut run =
        Run { logs: Logs::new(&fleet), fleet, options, generation: 1 };
    // The accounts come first, so that each change is of one of them only.
    run.change(0)?;
    thread::sleep(SETTLE);
    let stores = if options.is_healthy_only { &STORES[..1] } else { &STORES };
    let rows: Result<Vec<Row>, _> =
        stores.iter().map(|store| run.row(store)).collect();
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
    is_everywhere: bool,
}

/// Counts at one moment.
struct Counts {
    at: Instant,
    cpu: Snapshot,
    links: BTreeMap<&'static str, f64>,
    table_reads: f64,
    object_reads: f64,
    object_bytes: f64,
}

/// Counts per second.
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
    fn row(&mut self, store: &Store) -> anyhow::Result<Row> {
        let faults = (store.faults)();
        for service in ["table", "objects"] {
            self.fleet.set_faults(service, &faults);
        }
        let idle = self.idle();
        let before = self.counts();
        let mut node = histogram();
        let mut last = Duration::ZERO;
        let mut submit = Duration::ZERO;
        let mut not_in_force = 0;
        for number in 0..self.options.changes {
            let times = self.change(number + 1)?;
            submit += times.submit;
            not_in_force += usize::from(!times.is_everywhere);
            for time in times.nodes {
                node.saturating_record(time.as_nanos() as u64);
                last = last.max(time);
            }
            thread::sleep(SETTLE);
        }
        let after = self.counts();
        let boot = self.boot()?;
        self.heal()?;
        let changes = self.options.changes as f64;
        let cost = before.rates_until(&after).less(&idle);
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let per_change = |rate: f64| rate * seconds / changes;
        let nodes = (self.options.sides + self.options.entries) as f64;
        Ok(Row {
            store: store.name,
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

    /// Has the store work, and waits until all nodes agree again.
    fn heal(&mut self) -> anyhow::Result<()> {
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
        self.fleet.wait_for("all sides to agree", |fleet| {
            let of = |side| fleet.side_status(side)["generation"].as_u64();
            sides.iter().all(|side| of(side) == Some(generation))
        })?;
        thread::sleep(SETTLE);
        Ok(())
    }

    fn idle(&self) -> Rates {
        let before = self.counts();
        thread::sleep(SETTLE * 2);
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

    /// Changes one account, and waits until all nodes have it in force.
    fn change(&mut self, number: usize) -> anyhow::Result<Times> {
        let text = self.manifest_text(number);
        let started = Instant::now();
        self.submit(&text)?;
        let submit = started.elapsed();
        let accepted = Instant::now();
        let mut nodes = Vec::new();
        while self.logs.has_unfinished() && accepted.elapsed() < LIMIT {
            let count = self.logs.look(self.generation);
            nodes.resize(nodes.len() + count, accepted.elapsed());
            thread::sleep(LOOK);
        }
        let is_everywhere = !self.logs.has_unfinished();
        self.logs.begin_again();
        Ok(Times { submit, nodes, is_everywhere })
    }

    /// Starts a process again, as on a new VM, and waits until it has the
    /// manifest in force.
    fn boot(&mut self) -> anyhow::Result<Option<Duration>> {
        let log = self.fleet.directory().join(format!("{BOOTED}.log"));
        let mut log = Log { path: log, read: 0, is_finished: false };
        self.fleet.process(BOOTED).kill();
        log.new_text();
        self.fleet.process(BOOTED).restart()?;
        let started = Instant::now();
        while !log.look(self.generation) {
            if started.elapsed() > LIMIT {
                return Ok(None);
            }
            thread::sleep(LOOK);
        }
        Ok(Some(started.elapsed()))
    }

    /// Submits until it is accepted.
    fn submit(&mut self, text: &str) -> anyhow::Result<()> {
        let mut last = None;
        for _ in 0..SUBMIT_TRIES {
            match self.fleet.apply_text(self.generation, text) {
                Ok(generation) => {
                    self.generation = generation;
                    return Ok(());
                }
                Err(e) => last = Some(e),
            }
        }
        bail!("the manifest was not accepted: {last:?}")
    }

    /// The manifest with one account's weight set by the number.
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
            let rate: crate::machine::Rate = cpu[role];
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
    fn less(self, other: &Rates) -> Rates {
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

/// The logs of all nodes, read as they grow.
struct Logs {
    logs: Vec<Log>,
}

struct Log {
    path: PathBuf,
    read: u64,
    is_finished: bool,
}

impl Logs {
    fn new(fleet: &Fleet) -> Logs {
        let names = fleet.ops_addresses().into_keys();
        let logs = names.map(|name| {
            let path = fleet.directory().join(format!("{name}.log"));
            Log { path, read: 0, is_finished: false }
        });
        Logs { logs: logs.collect() }
    }

    /// How many more nodes have a generation in force now.
    fn look(&mut self, generation: u64) -> usize {
        let open = self.logs.iter_mut().filter(|log| !log.is_finished);
        open.filter_map(|log| log.look(generation).then_some(())).count()
    }

    fn has_unfinished(&self) -> bool {
        self.logs.iter().any(|log| !log.is_finished)
    }

    fn begin_again(&mut self) {
        self.logs.iter_mut().for_each(|log| log.is_finished = false);
    }
}

impl Log {
    fn look(&mut self, generation: u64) -> bool {
        let text = self.new_text();
        let number = format!("\"generation\":\"{generation}\"");
        let mut lines = text.lines();
        self.is_finished = lines.any(|line| {
            line.contains("\"manifest_in_force\"") && line.contains(&number)
        });
        self.is_finished
    }

    /// Whole lines written since the last look.
    fn new_text(&mut self) -> String {
        let mut text = String::new();
        let read = File::open(&self.path).and_then(|mut file| {
            file.seek(SeekFrom::Start(self.read))?;
            file.read_to_string(&mut text)
        });
        if read.is_err() {
            return String::new();
        }
        text.truncate(text.rfind('\n').map_or(0, |at| at + 1));
        self.read += text.len() as u64;
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
            let ms = |us: f64| places(us / 1e3, 0);
            times.row(vec![
                row.store.to_owned(),
                ms(row.node.p50_us),
                ms(row.node.p95_us),
                ms(row.node.p99_us),
                places(row.last_ms, 0),
                places(row.submit_ms, 0),
                row.not_in_force.to_string(),
                row.boot_ms.map_or("never".to_owned(), |ms| places(ms, 0)),
            ]);
            costs.row(vec![
                row.store.to_owned(),
                places(row.object_reads, 2),
                places(row.object_bytes, 0),
                places(row.table_reads, 2),
                places(row.entry_link_bytes, 0),
                places(row.side_link_bytes, 0),
                places(row.entry_cpu_ms, 1),
                places(row.side_cpu_ms, 1),
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
