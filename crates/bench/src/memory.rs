//! Memory that an open stream takes at entries and sides.
//!
//! An engine iteration takes two seconds, so that streams stay open with
//! little work. Each count of streams has its own fleet, and all streams are
//! opened before the first iteration ends: once the entries learn how slow
//! the engines are, they refuse further requests as too late.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use anyhow::ensure;
use async_io::block_on;
use chestnutreach_fleet::Fleet;
use futures_lite::future;
use serde::Serialize;

use crate::{
    load::{RoutedTarget, Target},
    machine::resident_by_role,
    overhead::fleet_plan,
    report::{Show, Table, decimals},
};

/// Tokens of a stream: more than the engines generate during the measurement.
const MAX_TOKENS: u32 = 60;
const OPEN_INTERVAL: Duration = Duration::from_micros(500);
/// Time until callers have received first tokens and memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(12);
const CHAINS: usize = 2;
/// Stages of a chain; a stream is open at one side of each stage.
const STAGES: f64 = 2.0;

/// Memory at each count of streams.
#[derive(Debug, Serialize)]
pub(crate) struct Memory {
    pub(crate) entries: usize,
    pub(crate) sides: usize,
    pub(crate) rows: Vec<Row>,
    /// Growth from the first row to the last.
    pub(crate) entry_kib_per_stream: f64,
    /// Growth from the first row to the last, per stream and stage.
    pub(crate) side_kib_per_stage: f64,
}

/// Mean memory per process of each role, with this count of streams.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) streams: usize,
    pub(crate) resident_kib: BTreeMap<&'static str, f64>,
}

/// Measures memory with each of these counts of open streams.
pub(crate) fn measure(
    counts: &[usize],
    entries: usize,
) -> anyhow::Result<Memory> {
    let rows: anyhow::Result<Vec<Row>> =
        counts.iter().map(|count| measure_row(*count, entries)).collect();
    Ok(summarise(entries, rows?))
}

fn measure_row(streams: usize, entries: usize) -> anyhow::Result<Row> {
    let plan = fleet_plan(entries, CHAINS)
        .max_running(4_096)
        .engine_argument("--step-us=2000000")
        .engine_argument("--max-batch=4096")
        .setting("side", "max-batch", "4096")
        .setting("side", "step-timeout-ms", "60000")
        .setting("side", "prefill-timeout-ms", "60000");
    let fleet = Fleet::start(plan)?;
    let routed = RoutedTarget::new(&fleet, entries);
    // The streams end when this process or the fleet exits.
    thread::spawn(move || block_on(open_streams(&routed, streams)));
    thread::sleep(SETTLE_TIME);
    let resident_kib = resident_by_role(&fleet);
    let in_flight = in_flight(&fleet, entries);
    ensure!(in_flight == streams, "{in_flight} of {streams} streams are open");
    Ok(Row { streams, resident_kib })
}

async fn open_streams(routed: &RoutedTarget, count: usize) {
    let executor = async_executor::LocalExecutor::new();
    let open = async {
        for _ in 0..count {
            let stream = routed.request(Instant::now(), MAX_TOKENS);
            executor.spawn(stream).detach();
            async_io::Timer::after(OPEN_INTERVAL).await;
        }
        future::pending::<()>().await;
    };
    executor.run(open).await;
}

fn in_flight(fleet: &Fleet, entries: usize) -> usize {
    let count = |entry| fleet.entry_status(entry)["in_flight"].as_u64();
    (0..entries).filter_map(count).sum::<u64>() as usize
}

fn summarise(entries: usize, rows: Vec<Row>) -> Memory {
    let sides = CHAINS * STAGES as usize;
    let growth = |role| {
        let resident_of =
            |row: Option<&Row>| row.map_or(0.0, |r| r.resident_kib[role]);
        resident_of(rows.last()) - resident_of(rows.first())
    };
    let streams = rows.last().map_or(0, |row| row.streams) as f64;
    let streams_per_entry = streams / entries as f64;
    let stages_per_side = streams * STAGES / sides as f64;
    Memory {
        entry_kib_per_stream: growth("entry") / streams_per_entry,
        side_kib_per_stage: growth("side") / stages_per_side,
        entries,
        sides,
        rows,
    }
}

impl Show for Memory {
    fn show(&self) -> String {
        let mut table = Table::new(&["open streams", "entry MiB", "side MiB"]);
        for row in &self.rows {
            let mib = |role| decimals(row.resident_kib[role] / 1_024.0, 1);
            table.push_row(vec![
                row.streams.to_string(),
                mib("entry"),
                mib("side"),
            ]);
        }
        format!(
            "{} entries, {} sides, each stream at 1 entry and 2 sides; \
             memory of one process\n\n{}\n{:.1} KiB a stream at an entry, \
             {:.1} KiB a stream and stage at a side\n",
            self.entries,
            self.sides,
            table.to_text(),
            self.entry_kib_per_stream,
            self.side_kib_per_stage
        )
    }
}
